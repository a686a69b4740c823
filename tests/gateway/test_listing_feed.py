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
    MAX_REMOVED_COUNT,
    NO_POSITION,
    WHOLE_LISTING_PAUSE_MS,
    ListingFeed,
    ReceivedListing,
)
from skylarktrail.gateway.site_store import Listing


def make_entry(name, **changes):
    entry = InstanceEntry(name, "stock", name + ":80", "east", 3, False, 0.0, 1, 1)
    return entry._replace(**changes)


ENTRIES = [make_entry(f"i-{number}") for number in range(300)]


class Granter:
    """A feed and the instances that its daemon knows."""

    def __init__(self) -> None:
        self.fleet = Fleet()
        self.feed = ListingFeed()

    def read(self, entries, offset, era=1):
        """Reads entries from the store."""
        self.fleet.merge(entries, 0.0)
        self.feed.update(self.fleet, make_position(era, offset))


@pytest.fixture
def granter():
    return Granter()


@pytest.fixture
def received():
    """Returns the listing of a daemon that has read all entries up to offset 900."""
    listing = ReceivedListing()
    listing.replace(Listing(ENTRIES, make_position(1, 900)))
    return listing


def begin_term(granter, received, term=2):
    """Begins a term of a daemon that has the same entries as the others."""
    own = ReceivedListing()
    own.replace(Listing(list(received.entries.values()), make_position(1, 900)))
    granter.fleet.merge(own.entries.values(), 0.0)
    granter.feed.begin_term(term, own)


def test_a_new_granter_sends_only_changes_to_daemons_that_had_a_listing(
    granter, received
):
    """The granter of 300 daemons is killed; its successor's link is slow."""
    begin_term(granter, received)
    changed = make_entry("i-0", is_draining=True)
    granter.read([changed, *ENTRIES[1:]], 910)
    message = granter.feed.select_listing("d3", 0.0)
    assert (message.base, message.entries) == (900, (changed,))
    assert received.apply(message, era=1)
    assert (received.entries["i-0"], received.position) == (changed, 910)


def test_a_daemon_that_read_the_store_gets_the_changes_since_then(granter, received):
    granter.read(ENTRIES[:200], 890)
    granter.feed.record_reported_position("d3", 900, 0.0)
    granter.read([*ENTRIES, make_entry("i-new")], 905)
    message = granter.feed.select_listing("d3", 0.0)
    assert message.base == 900
    assert received.apply(message, era=1)
    assert "i-new" in received.entries


def test_changes_before_the_position_of_a_daemon_are_not_sent(granter):
    granter.read(ENTRIES, 900)
    granter.read(ENTRIES[1:], 901)
    granter.feed.record_reported_position("d3", 901, 0.0)
    granter.read([make_entry("i-1", is_draining=True), *ENTRIES[2:]], 902)
    message = granter.feed.select_listing("d3", 0.0)
    assert [entry.instance for entry in message.entries] == ["i-1"]
    assert message.removed_instances == ()


def test_removed_instances_are_sent_until_they_are_forgotten(granter, received):
    begin_term(granter, received)
    granter.read(ENTRIES[1:], 905)
    message = granter.feed.select_listing("d3", 0.0)
    assert message.removed_instances == ("i-0",)
    many = [make_entry(f"x-{number}") for number in range(MAX_REMOVED_COUNT + 1)]
    granter.feed.record_reported_position("d4", 905, 0.0)
    granter.read(many, 906)
    granter.read([], 907)
    assert granter.feed.select_listing("d4", 0.0).base == NO_POSITION


def test_a_daemon_that_missed_a_change_gets_one_whole_listing(granter, received):
    """Its reports that cross the whole listing on its way ask for no further one."""
    granter.read(ENTRIES, 900)
    granter.feed.select_listing("d3", 0.0)
    assert granter.feed.record_reported_position("d3", NO_POSITION, 10_000.0)
    assert len(granter.feed.make_whole_listing("d3", 10_000.0).entries) == 300
    crossing_ms = 10_000.0 + WHOLE_LISTING_PAUSE_MS / 2
    assert not granter.feed.record_reported_position("d3", NO_POSITION, crossing_ms)
    granter.read(ENTRIES, 901)
    assert granter.feed.select_listing("d3", crossing_ms).entries == ()
    later_ms = 10_000.0 + 2 * WHOLE_LISTING_PAUSE_MS
    assert granter.feed.record_reported_position("d3", NO_POSITION, later_ms)


def test_a_change_after_a_missed_one_is_not_applied(received):
    granter = Granter()
    granter.read(ENTRIES, 950)
    granter.feed.select_listing("d3", 0.0)
    granter.read(ENTRIES[1:], 951)
    assert not received.apply(granter.feed.select_listing("d3", 0.0), era=1)
    assert received.position == NO_POSITION


def test_a_position_of_an_earlier_era_is_not_continued(granter, received):
    """The store came back from an older copy, so its offsets are lower."""
    begin_term(granter, received)
    granter.read(ENTRIES, 910)
    granter.feed.select_listing("d3", 0.0)
    granter.read(ENTRIES, 40, era=2)
    assert granter.feed.needs_era("d3")
    assert granter.feed.select_listing("d3", 0.0).base == NO_POSITION
    granter.feed.record_reported_position("d4", 900, 0.0)
    granter.read(ENTRIES, 1000, era=2)
    assert granter.feed.needs_era("d4")
    assert not received.apply(granter.feed.select_listing("d4", 0.0), era=2)


def test_an_older_read_does_not_replace_the_entries(received):
    received.replace(Listing([], make_position(1, 899)))
    assert len(received.entries) == 300


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
