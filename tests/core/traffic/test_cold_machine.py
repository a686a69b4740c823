"""Requests of all daemons together never exceed the capacity of a cold instance."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from skylarktrail.core.traffic import Traffic, instance, roster
from skylarktrail.core.traffic.cold_start import cold_capacity
from skylarktrail.core.traffic.messages import (
    Attempt,
    Outcome,
    Refusal,
    RequestInfo,
    RosterEntry,
)
from skylarktrail.core.traffic.policy import make_policy
from skylarktrail.core.traffic.roster import ROSTER_SETTLE_MS

from .conftest import ZONES, assert_machine_fails, make_file, make_instances

DAEMONS = [RosterEntry(f"d{i}", ZONES[i % 3]) for i in range(5)]
COLD = "p0"
DAEMON_INDEXES = st.sets(st.integers(0, 4))
SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=40,
    stateful_step_count=40,
)


class Daemon:
    """One daemon with its own, delayed view of the site."""

    def __init__(self, entry: RosterEntry) -> None:
        self.entry = entry
        self.traffic = Traffic(entry, random.Random(entry.daemon).random)
        self.roster: tuple[RosterEntry, ...] = ()
        self.seen_index = 0
        self.sees_zone_out = False
        self.in_flight_attempts: list[tuple[Any, Attempt, float]] = []


class ColdStart(RuleBasedStateMachine):
    """Daemons receive rosters, a zone return and a new instance at different times."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0.0
        self.rosters: list[tuple[float, tuple[RosterEntry, ...]]] = [
            (0.0, tuple(DAEMONS[:4]))
        ]
        self.returned_at_ms: float | None = None
        self.daemons = {e.daemon: Daemon(e) for e in DAEMONS[:4]}
        for daemon in self.daemons.values():
            daemon.roster = self.rosters[0][1]
            self.configure(daemon)
        self.advance(ROSTER_SETTLE_MS + 1)
        for daemon in self.daemons.values():
            daemon.sees_zone_out = True
            self.configure(daemon)

    def configure(self, daemon: Daemon) -> None:
        file = make_file(zones_out=(ZONES[0],) if daemon.sees_zone_out else ())
        instances = make_instances(2)
        daemon.traffic.configure(self.now_ms, file, instances, daemon.roster)

    def apply_latest_roster(self, daemon: Daemon) -> None:
        daemon.seen_index = len(self.rosters) - 1
        daemon.roster = self.rosters[-1][1]
        self.configure(daemon)

    def advance(self, ms: float) -> None:
        """Advances the clock, and updates the rosters that would become too old."""
        self.now_ms += ms
        for daemon in self.daemons.values():
            self.time_out(daemon)
            newer = self.rosters[daemon.seen_index + 1 :]
            if newer and self.now_ms - newer[0][0] > ROSTER_SETTLE_MS:
                self.apply_latest_roster(daemon)

    def time_out(self, daemon: Daemon) -> None:
        """Ends the attempts whose timeout has passed, as the daemon's threads do."""
        for entry in [e for e in daemon.in_flight_attempts if e[2] <= self.now_ms]:
            ticket, attempt, _ = entry
            daemon.in_flight_attempts.remove(entry)
            took_ms = attempt.timeout_ms
            traffic = daemon.traffic
            traffic.finish(self.now_ms, ticket, attempt, Outcome.TIMED_OUT, took_ms)
            traffic.close(self.now_ms, ticket)

    @rule(ms=st.sampled_from([1, 50, 700, 2_400, 5_100]))
    def wait(self, ms: float) -> None:
        self.advance(ms)

    @rule(late=DAEMON_INDEXES)
    def return_zone(self, late: set[int]) -> None:
        if self.returned_at_ms is None:
            self.returned_at_ms = self.now_ms
            self.apply_return(set(range(5)) - late)

    @rule(daemon_indexes=DAEMON_INDEXES)
    def apply_return(self, daemon_indexes: set[int]) -> None:
        for daemon in self.select_daemons(daemon_indexes):
            if self.returned_at_ms is not None and daemon.sees_zone_out:
                daemon.sees_zone_out = False
                self.configure(daemon)

    @rule(left_out=st.sets(st.sampled_from(DAEMONS), max_size=2), late=DAEMON_INDEXES)
    def change_roster(self, left_out: set[RosterEntry], late: set[int]) -> None:
        last_ms, last = self.rosters[-1]
        members = set(DAEMONS) - left_out
        is_settled = self.now_ms - last_ms > ROSTER_SETTLE_MS
        if is_settled and set(last) != members:
            self.rosters.append((self.now_ms, tuple(sorted(members))))
            for entry in members:
                self.start_daemon(entry)
            self.apply_roster(set(range(5)) - late)

    def start_daemon(self, entry: RosterEntry) -> None:
        if entry.daemon in self.daemons:
            return
        daemon = self.daemons[entry.daemon] = Daemon(entry)
        daemon.sees_zone_out = self.returned_at_ms is None
        self.apply_latest_roster(daemon)
        others = [d for d in self.daemons.values() if d is not daemon]
        if self.returned_at_ms is not None:
            informed = [d for d in others if not d.sees_zone_out]
            ages = informed[0].traffic.ages(self.now_ms) if informed else []
            daemon.traffic.apply_ages(self.now_ms, ages)

    @rule(daemon_indexes=DAEMON_INDEXES)
    def apply_roster(self, daemon_indexes: set[int]) -> None:
        for daemon in self.select_daemons(daemon_indexes):
            if daemon.seen_index < len(self.rosters) - 1:
                self.apply_latest_roster(daemon)

    def select_daemons(self, daemon_indexes: set[int]) -> list[Daemon]:
        return [
            d
            for i, (_, d) in enumerate(sorted(self.daemons.items()))
            if i in daemon_indexes
        ]

    @rule(daemon_indexes=DAEMON_INDEXES, count=st.integers(1, 6))
    def send(self, daemon_indexes: set[int], count: int) -> None:
        for daemon in self.select_daemons(daemon_indexes):
            for _ in range(count):
                self.send_one(daemon)

    def send_one(self, daemon: Daemon) -> None:
        request = RequestInfo("pedidos", "a", True, self.now_ms + 60_000)
        ticket = daemon.traffic.admit(self.now_ms, request)
        if isinstance(ticket, Refusal):
            return
        attempt = daemon.traffic.start(self.now_ms, ticket)
        if isinstance(attempt, Attempt):
            ends_ms = self.now_ms + attempt.timeout_ms
            daemon.in_flight_attempts.append((ticket, attempt, ends_ms))
        else:
            daemon.traffic.close(self.now_ms, ticket)

    @rule(daemon_indexes=DAEMON_INDEXES, cold_only=st.booleans())
    def answer(self, daemon_indexes: set[int], cold_only: bool) -> None:
        for daemon in self.select_daemons(daemon_indexes):
            for entry in list(daemon.in_flight_attempts):
                ticket, attempt, _ = entry
                if cold_only and attempt.instance.id != COLD:
                    continue
                daemon.in_flight_attempts.remove(entry)
                traffic = daemon.traffic
                traffic.finish(self.now_ms, ticket, attempt, Outcome.ANSWERED, 10)
                traffic.close(self.now_ms, ticket)

    @invariant()
    def cold_instance_stays_within_its_capacity(self) -> None:
        in_flight = sum(
            attempt.instance.id == COLD
            for daemon in self.daemons.values()
            for _, attempt, _ in daemon.in_flight_attempts
        )
        if self.returned_at_ms is None:
            assert in_flight == 0
            return
        age_ms = self.now_ms - self.returned_at_ms
        capacity = cold_capacity(make_policy({}), 3, age_ms)
        assert capacity is None or in_flight <= capacity, (in_flight, capacity)


def test_cold_instance_stays_within_its_capacity():
    run_state_machine_as_test(ColdStart, settings=SETTINGS)


def ignore_quota(monkeypatch):
    monkeypatch.setattr(roster.RosterHistory, "quota", lambda self, *_: 1)


def ignore_ages(monkeypatch):
    monkeypatch.setattr(Traffic, "apply_ages", lambda self, *_: None)


def ignore_return(monkeypatch):
    monkeypatch.setattr(
        instance.InstanceState, "begin_cold_start", lambda *_, **__: None
    )


@pytest.mark.parametrize(
    "remove_rule",
    [ignore_quota, ignore_ages, ignore_return],
)
def test_machine_fails_without_each_rule(monkeypatch, remove_rule):
    remove_rule(monkeypatch)
    assert_machine_fails(ColdStart, steps=40)
