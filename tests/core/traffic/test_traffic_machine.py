"""Tests that budgets and limits hold for any order of calls and outcomes."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from skylarktrail.core.traffic import Traffic, health_tracker, queue, retry_budget
from skylarktrail.core.traffic.messages import Attempt, Outcome, Refusal, Wait

from .conftest import Site, assert_machine_fails, make_instances

COUNT = 6
POLICY = {"queue_limit": 8, "retry_burst": 3, "queue_wait_ms": 400}
EJECTION_MAX = int(COUNT * 0.35)
OUTCOMES = st.sampled_from([*Outcome] + [Outcome.ANSWERED] * 6)
LATENCIES_MS = st.sampled_from([5, 10, 10, 20, 200])
SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    stateful_step_count=80,
)


class Caller:
    """A ticket, its attempts in flight and the time until which it waits."""

    def __init__(self, ticket: Any) -> None:
        self.ticket = ticket
        self.attempts: list[Attempt] = []
        self.until_ms: float | None = None


class OneDaemon(RuleBasedStateMachine):
    """One daemon with six instances, three tenants and arbitrary outcomes."""

    def __init__(self) -> None:
        super().__init__()
        self.site = Site()
        self.traffic: Traffic = self.site.traffic
        self.random = random.Random(2)
        self.zones_out: tuple[str, ...] = ()
        self.site.configure(make_instances(COUNT), **POLICY)
        self.callers: list[Caller] = []
        self.extra_attempts = 0

    @property
    def now_ms(self) -> float:
        return self.site.now_ms

    def status(self) -> Any:
        return self.traffic.status().services[0]

    @rule(
        count=st.integers(1, 12),
        tenant=st.sampled_from(["a", "b", "c"]),
        is_idempotent=st.booleans(),
        deadline_ms=st.sampled_from([1, 100, 2_000]),
    )
    def arrive(
        self, count: int, tenant: str, is_idempotent: bool, deadline_ms: float
    ) -> None:
        for _ in range(count):
            request = self.site.request(
                tenant=tenant,
                is_idempotent=is_idempotent,
                deadline_ms=self.now_ms + deadline_ms,
            )
            ticket = self.traffic.admit(self.now_ms, request)
            if isinstance(ticket, Refusal):
                assert ticket.retry_after_ms > 0
            else:
                caller = Caller(ticket)
                self.callers.append(caller)
                self.step(caller)

    def step(self, caller: Caller) -> None:
        result = self.traffic.start(self.now_ms, caller.ticket)
        caller.until_ms = None
        if isinstance(result, Attempt):
            self.check_attempt(caller, result)
        elif isinstance(result, Wait):
            assert result.until_ms > self.now_ms
            assert result.until_ms < caller.ticket.request.deadline_ms
            caller.until_ms = result.until_ms
        else:
            self.leave(caller)

    def check_attempt(self, caller: Caller, attempt: Attempt) -> None:
        assert attempt.instance.zone not in self.zones_out
        assert attempt.timeout_ms <= caller.ticket.request.deadline_ms - self.now_ms
        instance_ids = {other.instance.id for other in caller.attempts}
        assert attempt.instance.id not in instance_ids
        caller.attempts.append(attempt)

    def leave(self, caller: Caller) -> None:
        self.callers.remove(caller)
        caller.attempts.clear()
        self.wake(self.traffic.close(self.now_ms, caller.ticket))

    def wake(self, tickets: list[Any]) -> None:
        for ticket in tickets:
            caller = next(c for c in self.callers if c.ticket is ticket)
            assert caller.until_ms is not None
            self.step(caller)

    @precondition(lambda self: any(c.attempts for c in self.callers))
    @rule(outcome=OUTCOMES, latency_ms=LATENCIES_MS, count=st.integers(1, 6))
    def end(self, outcome: Outcome, latency_ms: float, count: int) -> None:
        self.pass_time(latency_ms)
        busy = [c for c in self.callers if c.attempts][:count]
        for caller in busy:
            if caller.attempts:
                self.end_one(caller, outcome, latency_ms)

    def end_one(self, caller: Caller, outcome: Outcome, latency_ms: float) -> None:
        index = self.random.randrange(len(caller.attempts))
        attempt = caller.attempts.pop(index)
        traffic, ticket = self.traffic, caller.ticket
        self.wake(traffic.finish(self.now_ms, ticket, attempt, outcome, latency_ms))
        if outcome is Outcome.ANSWERED:
            self.leave(caller)
        elif not caller.attempts:
            if traffic.try_acquire_retry(self.now_ms, ticket, outcome):
                self.extra_attempts += 1
                self.step(caller)
            else:
                self.leave(caller)

    @rule(slow=st.sets(st.integers(0, COUNT - 1)), count=st.integers(20, 80))
    def serve(self, slow: set[int], count: int) -> None:
        for _ in range(count):
            request = self.site.request(deadline_ms=self.now_ms + 2_000)
            ticket = self.traffic.admit(self.now_ms, request)
            if isinstance(ticket, Refusal):
                continue
            caller = Caller(ticket)
            self.callers.append(caller)
            self.step(caller)
            if caller.attempts:
                index = int(caller.attempts[0].instance.id[1:])
                latency_ms = 200.0 if index in slow else 10.0
                self.end_one(caller, Outcome.ANSWERED, latency_ms)

    @precondition(lambda self: any(c.attempts for c in self.callers))
    @rule()
    def hedge(self) -> None:
        caller = next(c for c in self.callers if c.attempts)
        attempt = self.traffic.try_begin_hedge(self.now_ms, caller.ticket)
        if attempt is not None:
            assert caller.ticket.request.is_idempotent
            self.extra_attempts += 1
            self.check_attempt(caller, attempt)

    @rule(ms=st.sampled_from([1, 20, 500, 6_000]))
    def pass_time(self, ms: float) -> None:
        until_ms = self.now_ms + ms
        while True:
            due = [c for c in self.callers if c.until_ms is not None]
            first = min(due, key=lambda c: c.until_ms, default=None)
            if first is None or first.until_ms > until_ms:
                break
            self.site.now_ms = max(self.now_ms, first.until_ms)
            self.step(first)
        self.site.now_ms = until_ms

    @rule(zones_out=st.sampled_from([(), ("heredia",), ("cartago",)]))
    def change_zones(self, zones_out: tuple[str, ...]) -> None:
        self.zones_out = zones_out
        self.site.configure(make_instances(COUNT), zones_out=zones_out, **POLICY)

    @rule(index=st.integers(0, COUNT - 1), ready=st.booleans())
    def report_health(self, index: int, ready: bool) -> None:
        self.traffic.update_health(self.now_ms, f"p{index}", ready, False)

    @invariant()
    def extra_attempts_stay_within_the_budget(self) -> None:
        status = self.status()
        assert self.extra_attempts == status.retries + status.hedges
        assert self.extra_attempts <= status.first_tries * 0.1 + POLICY["retry_burst"]

    @invariant()
    def status_counts_match_the_callers(self) -> None:
        status = self.status()
        in_flight = sum(len(c.attempts) for c in self.callers)
        waiting = sum(c.until_ms is not None for c in self.callers)
        assert status.in_flight == in_flight
        assert sum(i.in_flight for i in status.instances) == in_flight
        assert status.waiting == waiting <= POLICY["queue_limit"]

    @invariant()
    def no_instance_exceeds_its_slots(self) -> None:
        assert all(i.in_flight <= 3 for i in self.status().instances)

    @invariant()
    def few_slow_instances_are_ejected(self) -> None:
        states = self.traffic._services["pedidos"].instances.values()
        slow = [
            i for i in states if i.ejection_reason and i.ejection_reason.value == "slow"
        ]
        assert len(slow) <= EJECTION_MAX

    @invariant()
    def waiting_callers_are_refused_before_their_deadline(self) -> None:
        for caller in self.callers:
            if caller.until_ms is not None:
                assert self.now_ms <= caller.ticket.request.deadline_ms
                waited_ms = self.now_ms - caller.ticket.queued_at_ms
                assert waited_ms <= POLICY["queue_wait_ms"]


def test_budgets_and_limits_hold_for_any_order_of_calls():
    run_state_machine_as_test(OneDaemon, settings=SETTINGS)


def ignore_budget(monkeypatch):
    monkeypatch.setattr(retry_budget.RetryBudget, "try_acquire", lambda self: True)
    monkeypatch.setattr(retry_budget.RetryBudget, "has_token", lambda self: True)


def ignore_ejection_limit(monkeypatch):
    monkeypatch.setattr(
        health_tracker.HealthTracker, "_may_eject_slow", lambda self: True
    )


def ignore_queue_limit(monkeypatch):
    monkeypatch.setattr(queue.FairQueue, "has_room", lambda *_: True)


def ignore_queue_deadline(monkeypatch):
    monkeypatch.setattr(Traffic, "_queue_deadline_ms", lambda *_: float("inf"))


@pytest.mark.parametrize(
    "remove_rule",
    [ignore_budget, ignore_ejection_limit, ignore_queue_limit, ignore_queue_deadline],
)
def test_machine_fails_without_each_rule(monkeypatch, remove_rule):
    remove_rule(monkeypatch)
    assert_machine_fails(OneDaemon, steps=80)
