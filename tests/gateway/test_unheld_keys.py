"""Tests of requests for keys that their owner says again and again it does not hold.

On a day with a late grant, each request was sent to the owner up to three times, and
its caller learned nothing before the deadline.
"""

from __future__ import annotations

import pytest

from skylarktrail.config.gateway_settings import SiteBounds
from skylarktrail.core.gateway.key_owners import REPEATED_UNHELD_KEY_MS, UNHELD_KEY_MS
from skylarktrail.core.gateway.model import (
    InstanceEntry,
    Route,
    ServiceSpec,
    WeightedService,
)
from skylarktrail.core.gateway.ranges import OwnedRange
from skylarktrail.core.gateway.ticket import Ticket
from skylarktrail.gateway.site_state import SiteState
from skylarktrail.gateway.site_store import Listing

SERVICE = "stock"
KEY = 7
LAST_HASH = (1 << 16) - 1
OWNED = OwnedRange(0, LAST_HASH, "i-1", 1)
DEADLINE_MS = 1500.0
START_MS = 10_000.0
STEP_MS = 10.0


class World:
    """A daemon's state, time, and the owner of all keys, which may hold none.

    Attributes:
        site: State of the site.
        now_ms: Present time.
        holds_from_ms: When the owner takes the late grant.
        arrived_ms: Times at which requests came to the owner.
    """

    def __init__(self, holds_from_ms: float) -> None:
        self.now_ms = START_MS
        self.holds_from_ms = START_MS + holds_from_ms
        self.arrived_ms: list[float] = []
        self.site = SiteState("d1", "east", SiteBounds())
        self.site.scheduler.services = {SERVICE: ServiceSpec(SERVICE, is_keyed=True)}
        entries = [
            InstanceEntry(name, SERVICE, f"{name}:80", "east", 3, False, 0.0, 1, 1)
            for name in ("i-1", "i-2")
        ]
        self.site.apply_listing(Listing(entries, 1), self.now_ms)
        self.site.apply_owner_changes(SERVICE, [OWNED], self.now_ms)

    def submit(self, end_ms: float) -> Ticket:
        """Submits a ticket for the key."""
        split = (WeightedService(SERVICE, 1.0),)
        route = Route("r", "a", "/", True, split, 2, DEADLINE_MS, 300.0, 0)
        ticket = Ticket(
            route, SERVICE, KEY, end_ms, self.now_ms + 300.0, True, lambda: None
        )
        self.site.submit(ticket, self.now_ms)
        return ticket

    def wait(self, duration_ms: float) -> None:
        """Lets time pass."""
        for _ in range(int(duration_ms / STEP_MS)):
            self.now_ms += STEP_MS
            self.site.poll(self.now_ms)

    def request(self) -> tuple[str, float, float]:
        """Serves a request as the router does.

        Returns:
            How it ended, after how long, and the backlog of its refusal.
        """
        start_ms = self.now_ms
        while True:
            ticket = self.submit(start_ms + DEADLINE_MS)
            while not ticket.is_decided:
                self.wait(STEP_MS)
            if ticket.instance is None:
                took_ms = self.now_ms - start_ms
                return ticket.refusal_reason, took_ms, ticket.backlog_ms
            self.arrived_ms.append(self.now_ms - START_MS)
            holds = self.now_ms >= self.holds_from_ms
            self.site.finish(ticket, self.now_ms)
            if holds:
                self.site.record_held_key(SERVICE, KEY)
                return "answered", self.now_ms - start_ms, 0.0
            name = ticket.instance.entry.instance
            self.site.record_unheld_key(SERVICE, KEY, name, self.now_ms)


@pytest.fixture
def make_world():
    return World


def test_request_is_refused_as_soon_as_the_grant_is_known_to_be_late(make_world):
    world = make_world(5000.0)
    reason, took_ms, backlog_ms = world.request()
    assert (reason, took_ms) == ("no_instance", UNHELD_KEY_MS)
    assert backlog_ms == REPEATED_UNHELD_KEY_MS
    assert len(world.arrived_ms) == 2


def test_request_waits_for_a_grant_that_comes_at_once(make_world):
    """A record of an owner may come before the grant that it is about."""
    world = make_world(100.0)
    assert world.request() == ("answered", UNHELD_KEY_MS, 0.0)


def test_further_requests_are_refused_at_once(make_world):
    world = make_world(5000.0)
    world.request()
    world.wait(100.0)
    reason, took_ms, backlog_ms = world.request()
    assert (reason, took_ms) == ("no_instance", 0.0)
    assert backlog_ms == REPEATED_UNHELD_KEY_MS - 100.0
    assert len(world.arrived_ms) == 2


def test_owner_is_asked_now_and_then(make_world):
    """No record says that an owner has taken a late grant."""
    world = make_world(2000.0)
    world.request()
    while world.request()[0] != "answered":
        world.wait(50.0)
    intervals = zip(world.arrived_ms[1:], world.arrived_ms[2:])
    assert all(after - before >= REPEATED_UNHELD_KEY_MS for before, after in intervals)
    assert 2000.0 <= world.arrived_ms[-1] <= 2000.0 + REPEATED_UNHELD_KEY_MS + 50.0


def test_answer_ends_the_sequence(make_world):
    """What an owner says later is about another grant."""
    world = make_world(300.0)
    while world.request()[0] != "answered":
        world.wait(50.0)
    world.holds_from_ms = world.now_ms + 100.0
    assert world.request() == ("answered", UNHELD_KEY_MS, 0.0)


def test_refusals_of_requests_sent_together_count_as_one(make_world):
    world = make_world(100.0)
    for _ in range(3):
        world.site.record_unheld_key(SERVICE, KEY, "i-1", world.now_ms)
    assert world.request() == ("answered", UNHELD_KEY_MS, 0.0)


def test_newer_owner_is_asked_at_once(make_world):
    world = make_world(5000.0)
    world.request()
    moved = OWNED._replace(owner="i-2")
    world.site.apply_owner_changes(SERVICE, [moved], world.now_ms)
    world.holds_from_ms = world.now_ms
    reason, took_ms, _ = world.request()
    assert reason == "answered" and took_ms <= 2 * STEP_MS


def test_next_owner_that_does_not_hold_a_released_range_yet_is_spared(make_world):
    world = make_world(5000.0)
    moving = OWNED._replace(next_owner="i-2", next_start_ms=1)
    world.site.apply_owner_changes(SERVICE, [moving], world.now_ms)
    world.wait(700.0)
    reason, _, backlog_ms = world.request()
    assert reason == "no_instance" and backlog_ms > 0
    assert len(world.arrived_ms) == 3  # One at the owner, two at the next one.
