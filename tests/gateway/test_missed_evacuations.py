"""Tests how long owners of keys get requests in a zone whose evacuation was missed."""

from __future__ import annotations

import io

import pytest
from result import Ok

from skylarktrail.config.gateway_settings import SiteBounds
from skylarktrail.core.gateway.instance_access import ZONE_OUT_OWNER_GRACE_MS
from skylarktrail.core.gateway.model import (
    InstanceEntry,
    Route,
    ServiceSpec,
    SiteConfig,
    WeightedService,
)
from skylarktrail.core.gateway.ranges import OwnedRange
from skylarktrail.core.gateway.ticket import Ticket
from skylarktrail.gateway import log_reader, operator_watcher
from skylarktrail.gateway.event_log import EventLog
from skylarktrail.gateway.metrics import GatewayMetrics
from skylarktrail.gateway.operator_watcher import OperatorWatcher
from skylarktrail.gateway.site_state import SiteState
from skylarktrail.gateway.site_store import Listing, OperatorUpdate
from skylarktrail.gateway.store_monitor import StoreCallMonitor

from .test_watchers import Messenger, ScriptedStore

EVACUATION_BOUND_MS = 5000.0  # From the acknowledgement of an evacuation.
OUT = {"east": True}
ROUTE = Route(
    "r", "h", "/", True, (WeightedService("stock", 1.0),), 1, 1000.0, 500.0, 0
)


def update(position, zones=None, is_snapshot=False):
    config = SiteConfig(1, (), {"stock": ServiceSpec("stock", is_keyed=True)})
    return Ok(OperatorUpdate(config, zones or {}, is_snapshot, position))


class Daemon:
    """A daemon that reads the operators' log; its only instance is in the zone."""

    def __init__(self, clock, *answers):
        self.clock = clock
        self.site = SiteState("d1", "east", SiteBounds())
        log = EventLog("d1", io.StringIO())
        monitor = StoreCallMonitor("operators", log, GatewayMetrics())
        self.watcher = OperatorWatcher(
            ScriptedStore(*answers), self.site, monitor, log, Messenger(), lambda: False
        )
        entry = InstanceEntry(
            "i-1", "stock", "127.0.0.1:1", "east", 3, False, 0.0, 1, 1
        )
        self.site.apply_listing(Listing([entry], 0), clock())
        self.site.apply_owner_changes("stock", [OwnedRange(0, 9, "i-1", 1)], clock())

    def sends_requests(self):
        """Returns whether a request for a key goes to its owner."""
        end_ms = self.clock() + 1000.0
        ticket = Ticket(ROUTE, "stock", 5, end_ms, end_ms, False, lambda: None, 0)
        self.site.submit(ticket, self.clock())
        self.site.cancel(ticket, self.clock())
        return ticket.instance is not None


@pytest.fixture(autouse=True)
def settle_ms(monkeypatch, clock):
    monkeypatch.setattr(log_reader, "SETTLE_MS", 0.0)
    for module in (log_reader, operator_watcher):
        monkeypatch.setattr(module, "now_ms", clock)


def test_a_daemon_that_starts_sends_nothing_to_a_zone_that_is_out(clock):
    """All daemons were killed, and sent to the zone for 2.5 s after their start."""
    daemon = Daemon(clock, update(7, OUT, is_snapshot=True))
    daemon.watcher.run_once()
    assert not daemon.sends_requests()


def test_owners_have_their_whole_grace_if_an_evacuation_is_known_at_once(clock):
    daemon = Daemon(clock, update(7, is_snapshot=True), update(8, OUT))
    daemon.watcher.run_once()
    clock.at_ms += 1000.0
    daemon.watcher.run_once()
    clock.at_ms += ZONE_OUT_OWNER_GRACE_MS - 1.0
    assert daemon.sends_requests()
    clock.at_ms += 1.0
    assert not daemon.sends_requests()


@pytest.mark.parametrize("missed_ms", [2000.0, 3000.0, 6000.0])
def test_a_daemon_that_missed_an_evacuation_is_within_the_bound(clock, missed_ms):
    """It may have been published as soon as the last read was over."""
    daemon = Daemon(clock, update(7, is_snapshot=True), update(8, OUT))
    daemon.watcher.run_once()
    published_ms = clock.at_ms
    clock.at_ms += missed_ms
    daemon.watcher.run_once()
    clock.at_ms = max(clock.at_ms, published_ms + EVACUATION_BOUND_MS)
    assert not daemon.sends_requests()
