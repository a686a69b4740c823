"""Tests that an instance which says that it leaves gets no new requests."""

from __future__ import annotations

import random

import pytest

from skylarktrail.core.gateway.fleet import OUTAGE_GRACE_MS, Fleet
from skylarktrail.core.gateway.instance_access import LEAVING_OWNER_GRACE_MS
from skylarktrail.core.gateway.leaving import (
    MAX_REMEMBERED,
    LeavingInstances,
    LeavingNotice,
)
from skylarktrail.core.gateway.model import ServiceSpec
from skylarktrail.core.gateway.scheduler import Scheduler, SchedulerView
from skylarktrail.core.gateway.service_load import sum_up_services
from skylarktrail.core.gateway.ticket import Ticket

SERVICES = {"stock": ServiceSpec("stock")}
KEY_HASH = 7
DEADLINE_MS = 10_000.0


class Daemon:
    """A daemon with instances of one service; `i-1` owns a key."""

    def __init__(self, make_entry, make_route):
        self._make_entry, self._make_route = make_entry, make_route
        self.fleet = Fleet()
        self.scheduler = Scheduler(
            self.fleet,
            SchedulerView(
                lambda service, key_hash: "i-1",
                lambda service, key_hash: False,
                lambda name: False,
                {},
                frozenset(("d1",)),
                "d1",
                "east",
            ),
            random.Random(1).random,
        )
        self.scheduler.services = SERVICES

    def list(self, *names, now_ms=0.0, **changes):
        """Applies a listing of instances."""
        entries = [self._make_entry(name, **changes) for name in names]
        self.fleet.merge(entries, now_ms)

    def hear(self, name, now_ms=0.0, start_ms=1000):
        """Handles that an incarnation says that it leaves."""
        return self.fleet.record_leaving(LeavingNotice(name, start_ms), now_ms)

    def send(self, now_ms=0.0, key_hash=None):
        """Submits a request; returns its ticket."""
        route = self._make_route()
        end_ms = now_ms + DEADLINE_MS
        ticket = Ticket(route, "stock", key_hash, end_ms, end_ms, False, lambda: None)
        self.scheduler.submit(ticket, now_ms)
        return ticket

    def reached(self, now_ms=0.0, count=12):
        """Returns the instances that some requests are placed on."""
        tickets = [self.send(now_ms) for _ in range(count)]
        names = {t.instance.entry.instance for t in tickets if t.instance}
        for ticket in tickets:
            self.scheduler.cancel(ticket)
            self.scheduler.release(ticket)
        return names


@pytest.fixture
def daemon(make_entry, make_route):
    daemon = Daemon(make_entry, make_route)
    daemon.list("i-1", "i-2")
    return daemon


def test_a_leaving_instance_gets_no_requests_while_its_entry_says_ready(daemon):
    """Guards against requests to an instance that ends before they do."""
    assert daemon.reached() == {"i-1", "i-2"}
    assert daemon.hear("i-1")
    assert not daemon.hear("i-1")
    assert daemon.reached() == {"i-2"}
    daemon.list("i-1", "i-2", sequence=2)
    assert daemon.reached() == {"i-2"}


def test_an_entry_that_becomes_ready_again_takes_nothing_back(daemon):
    """Guards against an entry that is older than what the instance says."""
    daemon.hear("i-1")
    daemon.list("i-1", "i-2", sequence=2, is_draining=True)
    daemon.list("i-1", "i-2", sequence=3)
    assert daemon.reached() == {"i-2"}


def test_a_leaving_instance_is_still_leaving_after_its_entry_has_lapsed(daemon):
    """Guards against requests to it as its entry is back after an outage."""
    daemon.hear("i-1")
    daemon.list("i-2", now_ms=OUTAGE_GRACE_MS)
    daemon.list("i-1", "i-2", now_ms=OUTAGE_GRACE_MS)
    assert daemon.reached() == {"i-2"}


def test_a_notice_counts_for_an_instance_that_is_listed_later(daemon):
    """Guards against a daemon that hears of it before it reads the entry."""
    daemon.hear("i-3")
    daemon.list("i-1", "i-2", "i-3")
    assert daemon.reached() == {"i-1", "i-2"}


def test_a_new_incarnation_under_the_same_name_is_not_leaving(daemon):
    """Guards against a restarted instance without requests."""
    daemon.hear("i-1")
    daemon.list("i-1", "i-2", start_ms=2000)
    assert daemon.reached() == {"i-1", "i-2"}
    assert not daemon.fleet.leaving_notices()


def test_a_late_notice_of_a_former_incarnation_changes_nothing(daemon):
    """Guards against a restarted instance that is taken for its predecessor."""
    daemon.list("i-1", "i-2", start_ms=2000)
    daemon.hear("i-1", start_ms=1000)
    assert daemon.reached() == {"i-1", "i-2"}


def test_requests_are_refused_at_once_if_all_instances_leave(daemon):
    """Guards against requests that wait for their deadline."""
    daemon.hear("i-1")
    daemon.hear("i-2")
    assert daemon.send().refusal_reason == "no_instance"
    daemon.list("i-1", "i-2", "i-3")
    assert daemon.reached() == {"i-3"}


def test_a_request_that_waits_for_a_slot_goes_to_no_instance_that_leaves(daemon):
    """Guards against a request that was queued before the instance said it."""
    daemon.hear("i-2")
    tickets = [daemon.send() for _ in range(20)]
    waiting = [ticket for ticket in tickets if not ticket.is_decided]
    assert waiting
    daemon.hear("i-1")
    for ticket in tickets:
        daemon.scheduler.release(ticket)
    daemon.scheduler.poll(1.0)
    assert {ticket.refusal_reason for ticket in waiting} == {"no_instance"}


def test_an_owner_that_leaves_serves_its_keys_only_while_they_move(daemon):
    """Guards against keys that are refused at once, and against late requests."""
    daemon.hear("i-1", now_ms=100.0)
    end_ms = 100.0 + LEAVING_OWNER_GRACE_MS
    assert daemon.send(end_ms - 1, KEY_HASH).instance is not None
    assert daemon.send(end_ms, KEY_HASH).instance is None


def test_a_leaving_instance_adds_no_slots_to_its_service(daemon):
    """Guards against a load that is measured by slots that are not used."""
    daemon.hear("i-1")
    loads = sum_up_services(daemon.fleet.instances.values(), SERVICES, {}, {})
    assert loads.slots == {"stock": 3}


def test_the_oldest_notices_are_forgotten_first():
    """Guards against memory that grows with each instance that ever left."""
    leaving = LeavingInstances()
    for number in range(MAX_REMEMBERED + 1):
        leaving.record(LeavingNotice("i-1", number), 1.0)
    assert leaving.record(LeavingNotice("i-1", 0), 2.0)
    assert not leaving.record(LeavingNotice("i-1", MAX_REMEMBERED), 2.0)
