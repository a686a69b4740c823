"""Fixtures of the tests of the traffic policy: a small site."""

from __future__ import annotations

import random
from typing import Any, Callable

import pytest
from hypothesis import Phase, seed, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

from skylarktrail.core.traffic import Traffic
from skylarktrail.core.traffic.messages import (
    Attempt,
    Instance,
    RequestInfo,
    RosterEntry,
)
from skylarktrail.core.traffic.ticket import Ticket

ZONES = ("heredia", "alajuela", "cartago")
MUTANT_SEED_COUNT = 25
MUTANT_EXAMPLE_COUNT = 300


def assert_machine_fails(machine: type[RuleBasedStateMachine], steps: int) -> None:
    """Runs a state machine with several seeds until a check fails.

    The examples of a seed depend on the loaded modules, so a single seed could miss the
    fault in one test run and find it in another.
    """
    defaults = settings(
        database=None,
        deadline=None,
        max_examples=MUTANT_EXAMPLE_COUNT,
        stateful_step_count=steps,
        phases=[Phase.generate],
        report_multiple_bugs=False,
    )
    for number in range(MUTANT_SEED_COUNT):
        seeded = seed(number)(type(machine.__name__, (machine,), {}))
        try:
            run_state_machine_as_test(seeded, settings=defaults)
        except AssertionError:
            return
    pytest.fail("no example fails without the rule")


def make_roster(count: int = 8) -> list[RosterEntry]:
    return [RosterEntry(f"d{i}", ZONES[i % len(ZONES)]) for i in range(count)]


def make_instances(count: int = 6, **changes: Any) -> list[Instance]:
    return [
        Instance(
            f"p{i}", "pedidos", ZONES[i % len(ZONES)], f"127.0.0.1:{i}", False, 3, 110
        )._replace(**changes)
        for i in range(count)
    ]


def make_file(
    zones_out: tuple[str, ...] = (), kind: str = "stateless", **policy: Any
) -> Any:
    return {
        "zones": [
            {"name": zone, "state": "out" if zone in zones_out else "in"}
            for zone in ZONES
        ],
        "tenants": [{"name": "a", "weight": 1}, {"name": "b", "weight": 1}],
        "services": [{"name": "pedidos", "kind": kind, "policy": policy}],
    }


class Site:
    """Traffic policy of one daemon, with a clock that the test advances."""

    def __init__(self, roster: list[RosterEntry] | None = None) -> None:
        self.now_ms = 1_000.0
        self.roster = make_roster() if roster is None else roster
        self.traffic = Traffic(self.roster[0], random.Random(1).random)

    def configure(self, instances: list[Instance] | None = None, **file: Any) -> None:
        found = make_instances() if instances is None else instances
        self.traffic.configure(self.now_ms, make_file(**file), found, self.roster)

    def request(self, **changes: Any) -> RequestInfo:
        defaults = RequestInfo("pedidos", "a", True, self.now_ms + 2_000, None)
        return defaults._replace(**changes)

    def admit(self, **changes: Any) -> Ticket:
        ticket = self.traffic.admit(self.now_ms, self.request(**changes))
        assert isinstance(ticket, Ticket), ticket
        return ticket

    def start(self, **changes: Any) -> tuple[Ticket, Attempt]:
        ticket = self.admit(**changes)
        attempt = self.traffic.start(self.now_ms, ticket)
        assert isinstance(attempt, Attempt), attempt
        return ticket, attempt


@pytest.fixture
def make_site() -> Callable[..., Site]:
    return Site


@pytest.fixture
def site() -> Site:
    found = Site()
    found.configure()
    return found
