"""Tests of the listing that the granter sends to each daemon."""

from __future__ import annotations

import io
import json

import pytest

from skylarktrail.core.gateway.fleet import Fleet, FleetChange
from skylarktrail.core.gateway.model import InstanceEntry
from skylarktrail.core.gateway.positions import make_position
from skylarktrail.gateway.event_log import EventLog
from skylarktrail.gateway.instance_log import MAX_LINES, log_instance_changes
from skylarktrail.gateway.listing_feed import (
    NO_POSITION,
    WHOLE_LISTING_PAUSE_MS,
    ListingFeed,
)


def make_entry(name, **changes):
    entry = InstanceEntry(name, "stock", name + ":80", "east", 3, False, 0.0, 1, 1)
    return entry._replace(**changes)


ENTRIES = [make_entry(f"i-{number}") for number in range(300)]


class Granter:
    """A feed and the instances that its daemon knows."""

    def __init__(self) -> None:
        self.fleet = Fleet()
        self.feed = ListingFeed()

    def read(self, entries, offset):
        """Reads entries from the store; returns the change since the last read."""
        self.fleet.merge(entries, 0.0)
        return self.feed.make_change(self.fleet, make_position(1, offset))


@pytest.fixture
def granter():
    return Granter()


def test_an_entry_that_expires_without_a_new_position_is_removed(granter):
    """The store writes nothing to its log then."""
    for _ in range(2):
        granter.feed.select_listing("d3", granter.read(ENTRIES, 900), 0.0)
    change = granter.feed.select_listing("d3", granter.read(ENTRIES[1:], 900), 0.0)
    assert (change.base, change.removed_instances) == (900, ("i-0",))


def test_a_drain_without_a_new_position_is_sent(granter):
    granter.feed.select_listing("d3", granter.read(ENTRIES, 900), 0.0)
    draining = make_entry("i-0", is_draining=True)
    change = granter.read([draining, *ENTRIES[1:]], 900)
    assert granter.feed.select_listing("d3", change, 0.0).entries == (draining,)


def test_a_daemon_that_missed_a_change_gets_one_whole_listing(granter):
    """Its reports that cross the whole listing on its way ask for no further one."""
    granter.feed.select_listing("d3", granter.read(ENTRIES, 900), 0.0)
    assert granter.feed.record_reported_position("d3", NO_POSITION, 10_000.0)
    assert len(granter.feed.make_whole_listing("d3", 10_000.0).entries) == 300
    crossing_ms = 10_000.0 + WHOLE_LISTING_PAUSE_MS / 2
    assert not granter.feed.record_reported_position("d3", NO_POSITION, crossing_ms)
    change = granter.read(ENTRIES, 901)
    assert granter.feed.select_listing("d3", change, crossing_ms).entries == ()
    later_ms = 10_000.0 + 2 * WHOLE_LISTING_PAUSE_MS
    assert granter.feed.record_reported_position("d3", NO_POSITION, later_ms)


def test_a_daemon_without_a_listing_gets_all_entries(granter):
    granter.read(ENTRIES, 900)
    change = granter.read(ENTRIES[1:], 901)
    whole = granter.feed.select_listing("d4", change, 0.0)
    assert (whole.base, len(whole.entries)) == (NO_POSITION, 299)


def test_many_changes_are_logged_as_totals():
    """A daemon of a large site starts."""
    stream = io.StringIO()
    log = EventLog("d1", stream)
    log.start()
    changes = [FleetChange(f"i-{n}", "joined", "stock") for n in range(3000)]
    log_instance_changes(log, changes, 7)
    log_instance_changes(log, changes[:MAX_LINES], 8, told_by="d2")
    log.stop()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert lines[0]["event"] == "instances_joined"
    assert (lines[0]["count"], lines[0]["service"]) == (3000, "stock")
    assert {line["event"] for line in lines[1:]} == {"instance_joined"}
    assert len(lines) == 1 + MAX_LINES
