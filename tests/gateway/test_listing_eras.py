"""Tests of positions that daemons tell each other in a store that was restored."""

from __future__ import annotations

import io

import pytest

from skylarktrail.config.gateway_settings import SiteBounds
from skylarktrail.core.gateway.model import InstanceEntry
from skylarktrail.core.gateway.positions import make_position
from skylarktrail.core.gateway.shared_state import GranterRecord, Member
from skylarktrail.gateway import messenger as messenger_module
from skylarktrail.gateway.event_log import EventLog
from skylarktrail.gateway.messenger import Messenger
from skylarktrail.gateway.site_state import SiteState
from skylarktrail.gateway.site_store import Listing
from skylarktrail.peer.gateway_messages import GatewayListing, GatewayStoreEra

ENTRY = InstanceEntry("i-1", "stock", "i-1:80", "east", 3, False, 0.0, 1, 1)


class RecordingLinks:
    """Keeps what is sent."""

    def __init__(self, *arguments) -> None:
        self.sent = []

    def set_peers(self, peers):
        """Needs no handling."""

    def send(self, daemon, message):
        """Keeps a message."""
        self.sent.append(message)


class Daemon:
    """A daemon without sockets.

    Attributes:
        positions: Positions in the shared records that it was told.
        sent: Messages that it sent.
    """

    def __init__(self, name) -> None:
        self.site = SiteState(name, "east", SiteBounds())
        self.site.shared.granter = GranterRecord("d1", "p1", 1)
        self.site.shared.members = {n: Member("p", f"{n}:1") for n in ("d1", "d2")}
        self.positions = []
        self.messenger = Messenger(
            self.site,
            "p-" + name,
            "",
            True,
            EventLog(name, io.StringIO()),
            lambda daemon, report: None,
            lambda service, changed, position: None,
            lambda message: None,
            lambda shared, operators: self.positions.append(shared),
            lambda: None,
            lambda term: None,
            lambda term: None,
        )
        self.messenger.update_peers()
        self.sent = self.messenger._links.sent

    def broadcast(self, era, offset):
        """Broadcasts a listing after reads up to an offset; returns the messages."""
        self.sent.clear()
        position = make_position(era, offset)
        self.site.apply_listing(Listing([ENTRY], position), 0.0)
        self.messenger.record_positions(position, position)
        self.messenger.broadcast_listing(Listing([ENTRY], position))
        return list(self.sent)

    def receive(self, messages):
        """Handles messages of the granter."""
        for message in messages:
            self.messenger._handle_message("d1", message, lambda reply: None)


@pytest.fixture(autouse=True)
def links(monkeypatch):
    monkeypatch.setattr(messenger_module, "PeerLinks", RecordingLinks)


@pytest.fixture
def granter():
    return Daemon("d1")


@pytest.fixture
def follower():
    return Daemon("d2")


def test_offsets_of_a_new_era_are_later_positions(granter, follower):
    follower.receive(granter.broadcast(era=1, offset=900))
    follower.receive(granter.broadcast(era=2, offset=40))
    assert follower.positions == [make_position(1, 900), make_position(2, 40)]
    assert follower.site.versions(0.0).listing == make_position(2, 40)


def test_messages_carry_offsets_that_earlier_builds_understand(granter):
    era, listing = granter.broadcast(era=1, offset=900)
    assert era == GatewayStoreEra(1)
    assert (listing.base, listing.position, listing.shared) == (-1, 900, 900)


def test_changes_within_an_era_go_without_it(granter):
    granter.broadcast(era=1, offset=900)
    (listing,) = granter.broadcast(era=1, offset=901)
    assert (listing.base, listing.position) == (900, 901)


def test_offsets_of_an_earlier_build_are_of_the_same_era(follower):
    follower.messenger.record_positions(make_position(1, 890), None)
    listing = GatewayListing(-1, 900, 900, 900, (ENTRY,), ())
    follower.receive([listing])
    assert follower.positions == [make_position(1, 900)]


def test_a_store_that_names_no_era_needs_no_further_message(granter, follower):
    messages = granter.broadcast(era=0, offset=900)
    assert [type(message) for message in messages] == [GatewayListing]
    follower.receive(messages)
    assert follower.positions == [900]


@pytest.mark.parametrize(
    "change",
    [
        {"slots": 10**200},
        {"start_ms": 10**200},
        {"address": "a..b:80"},
        {"instance": "i\r\nX: y"},
        {"cold_ms": float("inf")},
    ],
    ids=repr,
)
def test_an_odd_entry_of_a_granter_of_an_earlier_build_hides_no_other(
    granter, follower, change
):
    era, listing = granter.broadcast(era=1, offset=900)
    odd = ENTRY._replace(instance="i-0")._replace(**change)
    follower.receive([era, listing._replace(entries=(odd, *listing.entries))])
    assert set(follower.site.fleet.instances) == {"i-1"}
    assert follower.positions == [make_position(1, 900)]
