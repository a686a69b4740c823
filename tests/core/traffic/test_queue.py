"""Tests of the shares of tenants in the fair queue."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from skylarktrail.core.traffic.messages import RequestInfo
from skylarktrail.core.traffic.queue import FairQueue
from skylarktrail.core.traffic.ticket import Ticket

from .conftest import assert_machine_fails

LIMIT = 16
WEIGHTS = {"a": 1.0, "b": 2.0, "c": 4.0}
SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    stateful_step_count=60,
)


def make_ticket(tenant: str) -> Ticket:
    return Ticket(RequestInfo("s", tenant, True, 0.0), None, None)


def fill(queue: FairQueue, tenant: str) -> int:
    count = 0
    while queue.has_room(tenant):
        queue.push(make_ticket(tenant))
        count += 1
    return count


def test_one_tenant_leaves_room_for_others():
    queue = FairQueue(LIMIT, {"a": 1, "b": 1})
    assert fill(queue, "a") == LIMIT // 2
    assert fill(queue, "b") >= LIMIT // 4


def test_tickets_are_served_in_the_ratio_of_the_weights():
    queue = FairQueue(1_000, WEIGHTS)
    for tenant in WEIGHTS:
        for _ in range(100):
            queue.push(make_ticket(tenant))
    served = [queue.pop().request.tenant for _ in range(70)]
    counts = {tenant: served.count(tenant) for tenant in WEIGHTS}
    for tenant, weight in WEIGHTS.items():
        assert abs(counts[tenant] - 10 * weight) <= 1


def test_unknown_tenants_share_one_queue():
    queue = FairQueue(1_000, {"a": 1})
    for index in range(50):
        queue.push(make_ticket(f"unknown-{index}"))
        queue.push(make_ticket("a"))
    served = [queue.pop().request.tenant for _ in range(20)]
    assert 9 <= served.count("a") <= 11


def test_reconfiguring_keeps_the_waiting_tickets():
    queue = FairQueue(LIMIT, WEIGHTS)
    tickets = [make_ticket(tenant) for tenant in ("a", "b", "a", "x")]
    for ticket in tickets:
        queue.push(ticket)
    queue.reconfigure(LIMIT, {"a": 1})
    assert {queue.pop() for _ in range(4)} == set(tickets)
    assert queue.pop() is None


class Queue(RuleBasedStateMachine):
    """Compares a fair queue with a plain list of its waiting tickets."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = FairQueue(LIMIT, WEIGHTS)
        self.waiting: list[Ticket] = []
        self.passed_over: dict[str, dict[str, int]] = {}

    @rule(tenant=st.sampled_from(sorted(WEIGHTS)), count=st.integers(1, 12))
    def push(self, tenant: str, count: int) -> None:
        for _ in range(count):
            is_new = all(t.request.tenant != tenant for t in self.waiting)
            if is_new and len(self.waiting) < LIMIT:
                assert self.queue.has_room(tenant)
            if self.queue.has_room(tenant):
                ticket = make_ticket(tenant)
                self.queue.push(ticket)
                self.waiting.append(ticket)
        assert len(self.queue) == len(self.waiting) <= LIMIT

    @rule(count=st.integers(1, 6))
    def pop(self, count: int) -> None:
        for _ in range(min(count, len(self.waiting))):
            ticket = self.queue.pop()
            tenant = ticket.request.tenant
            oldest = next(t for t in self.waiting if t.request.tenant == tenant)
            assert ticket is oldest
            self.waiting.remove(ticket)
            self.check_starvation(tenant)
        assert bool(self.waiting) == (self.queue.peek() is not None)

    def check_starvation(self, served: str) -> None:
        self.passed_over.pop(served, None)
        for tenant in {t.request.tenant for t in self.waiting} - {served}:
            counts = self.passed_over.setdefault(tenant, {})
            counts[served] = counts.get(served, 0) + 1
            assert counts[served] <= WEIGHTS[served] / WEIGHTS[tenant] + 1

    @rule(index=st.integers(0, LIMIT))
    def remove(self, index: int) -> None:
        if index < len(self.waiting):
            ticket = self.waiting.pop(index)
            self.queue.remove(ticket)
            if all(t.request.tenant != ticket.request.tenant for t in self.waiting):
                self.passed_over.pop(ticket.request.tenant, None)
        assert len(self.queue) == len(self.waiting)


def test_no_tenant_starves():
    run_state_machine_as_test(Queue, settings=SETTINGS)


def admit_until_full(monkeypatch):
    monkeypatch.setattr(
        FairQueue, "has_room", lambda self, _: self._waiting < self._limit
    )


def ignore_virtual_time(monkeypatch):
    schedule = FairQueue._schedule

    def by_name(self, tenant):
        tenant.start_tag = tenant.weight
        schedule(self, tenant)

    monkeypatch.setattr(FairQueue, "_schedule", by_name)


def test_sharing_fails_without_the_limit_of_each_tenant(monkeypatch):
    admit_until_full(monkeypatch)
    with pytest.raises(AssertionError):
        test_one_tenant_leaves_room_for_others()


def test_machine_fails_without_virtual_time(monkeypatch):
    ignore_virtual_time(monkeypatch)
    assert_machine_fails(Queue, steps=60)
