"""Tests that daemons at the same position know the same owners."""

from __future__ import annotations

import io
from types import SimpleNamespace

import pytest
from result import Ok

from skylarktrail.config.gateway_settings import SiteBounds
from skylarktrail.core.gateway.ranges import OwnedRange, OwnerTable
from skylarktrail.core.gateway.shared_state import Member, encode_member, encode_owners
from skylarktrail.gateway.event_log import EventLog
from skylarktrail.gateway.metrics import GatewayMetrics
from skylarktrail.gateway.service import GatewayService
from skylarktrail.gateway.shared_watcher import SharedWatcher
from skylarktrail.gateway.site_state import SiteState
from skylarktrail.gateway.site_store import SharedUpdate
from skylarktrail.gateway.store_monitor import StoreCallMonitor
from skylarktrail.peer.gateway_messages import GatewayRecords, SharedRecord

SERVICE = "stock"
KEY = "owners/" + SERVICE
BEFORE = (OwnedRange(0, 32767, "i-1", 1), OwnedRange(32768, 65535, "i-2", 1))
AFTER = (OwnedRange(0, 65535, "i-2", 1),)
MEMBER = Member("p1", "")


class ScriptedStore:
    """Returns scripted reads."""

    def __init__(self, *updates) -> None:
        self._updates = list(updates)

    def read_shared(self, position, wait_ms):
        """Returns the next update."""
        return Ok(self._updates.pop(0))


class RecordingMessenger:
    """Keeps the broadcasts of a granter.

    Attributes:
        sent: Messages in the order in which they were sent.
    """

    def __init__(self) -> None:
        self.sent = []

    def expects_listings(self):
        """Returns False, so that the daemon reads the store."""
        return False

    def apply_early_listing(self):
        """There is none."""

    def record_positions(self, shared, operators):
        """Ignores positions."""

    def broadcast_records(self, log, base, position, records):
        """Keeps a broadcast of records that were read."""
        items = tuple(SharedRecord(*record) for record in records)
        self.sent.append(GatewayRecords(log, base, position, items))

    def broadcast_owners(self, service, changed, position):
        """Keeps a broadcast of a record that was written."""
        self.sent.append((service, changed, position))


def make_daemon(is_granter, *updates):
    """Returns a daemon that has read the records before position 7."""
    log = EventLog("d1", io.StringIO())
    site = SiteState("d1", "east", SiteBounds())
    messenger = RecordingMessenger()
    member = ("member/d1", encode_member(MEMBER))
    snapshot = SharedUpdate([member, (KEY, encode_owners(BEFORE))], True, 7)
    watcher = SharedWatcher(
        ScriptedStore(snapshot, *updates),
        site,
        MEMBER,
        None,
        StoreCallMonitor("shared", log, GatewayMetrics()),
        lambda position, at_ms: None,
        lambda position: None,
        lambda: is_granter,
        lambda: False,
        messenger,
        lambda: None,
    )
    watcher.trigger_read()
    watcher.run_once()
    return SimpleNamespace(_site=site, _shared=watcher, _messenger=messenger)


def deliver(daemon, message):
    if isinstance(message, GatewayRecords):
        daemon._shared.apply_broadcast(message)
    else:
        daemon._shared.apply_owner_changes(*message)


@pytest.mark.parametrize("order", [(0, 1), (1, 0), (1,)])
def test_a_record_that_the_granter_read_before_its_answer_reaches_each_daemon(order):
    """The broadcasts come from two threads and may use two links, or one is lost.

    A daemon that counts the record as applied and does not know its owners grants the
    range to its former owner once it is granter.
    """
    record = SharedUpdate([(KEY, encode_owners(AFTER))], False, 8)
    granter = make_daemon(True, record)
    granter._shared.trigger_read()
    granter._shared.run_once()
    GatewayService._publish_owners(granter, SERVICE, AFTER, 7)
    sent = dict(enumerate(granter._messenger.sent))
    follower = make_daemon(False, record)
    for index in order:
        if index in sent:
            deliver(follower, sent[index])
    follower._shared.trigger_read()
    if follower._shared._position < 8:
        follower._shared.run_once()
    known = follower._site.shared.owners[SERVICE].ranges
    assert known == OwnerTable(AFTER).ranges
