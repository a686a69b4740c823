"""Tests of the readers of the store, against a store that fails as told."""

from __future__ import annotations

import io

import pytest
from result import Err, Ok

from skylarktrail.config.gateway_settings import Bounds
from skylarktrail.core.gateway.model import SiteConfig
from skylarktrail.errors import platform as codes
from skylarktrail.errors.code import Fault
from skylarktrail.gateway.event_log import EventLog
from skylarktrail.gateway.metrics import GatewayMetrics
from skylarktrail.gateway.site import Site
from skylarktrail.gateway.site_store import OperatorUpdate
from skylarktrail.gateway.watchers import FAILED_MAX_MS, OperatorWatcher, StoreWatch

SILENT = Err(Fault(codes.STORE_SILENT))
TRIMMED = Err(Fault(codes.STORE_TRIMMED))


class ScriptedStore:
    """Gives fixed answers and keeps what it was asked."""

    def __init__(self, *answers) -> None:
        self.answers = list(answers)
        self.asked = []

    def read_operators(self, position, wait_ms):
        """Returns the next answer."""
        self.asked.append((position, wait_ms))
        return self.answers.pop(0)


@pytest.fixture
def site():
    return Site("d1", "east", Bounds())


@pytest.fixture
def log():
    return EventLog("d1", io.StringIO())


class Messenger:
    """Links over which a granter is heard or not."""

    def __init__(self, is_heard=False) -> None:
        self.is_heard = is_heard

    def hears_granter(self):
        """Tells whether the granter is heard."""
        return self.is_heard

    def note_positions(self, shared, operators):
        """Takes positions."""

    def tell_positions(self):
        """Sends positions."""


def update(version, position, zones=None):
    return Ok(OperatorUpdate(SiteConfig(version, (), {}), zones or {}, False, position))


def watcher(store, site, log, is_heard=False):
    watch = StoreWatch("operators", log, GatewayMetrics())
    return OperatorWatcher(store, site, watch, log, Messenger(is_heard))


def test_a_failed_read_is_followed_by_quick_ones_until_the_store_answers(site, log):
    store = ScriptedStore(update(4, 7), SILENT, SILENT, update(6, 8), update(6, 8))
    reader = watcher(store, site, log)
    pauses = [reader.round() for _ in range(5)]
    assert [wait > 0 for _, wait in store.asked] == [True, True, False, False, True]
    assert all(pause <= FAILED_MAX_MS for pause in pauses)
    assert site.table.config.version == 6


def test_trimmed_records_are_read_as_a_whole(site, log):
    store = ScriptedStore(update(4, 7), TRIMMED, update(6, 9))
    reader = watcher(store, site, log)
    for _ in range(3):
        reader.round()
    assert [position for position, _ in store.asked] == [None, 7, None]


def test_a_version_never_reverts(site, log):
    store = ScriptedStore(update(6, 8), update(4, 9))
    reader = watcher(store, site, log)
    reader.round()
    reader.round()
    assert site.table.config.version == 6


def test_zones_go_out_and_come_back(site, log):
    store = ScriptedStore(update(4, 7, {"west": True}), update(5, 8, {"west": False}))
    reader = watcher(store, site, log)
    reader.round()
    assert set(site.zones_out) == {"west"}
    reader.round()
    assert not site.zones_out


def test_a_daemon_that_hears_the_granter_reads_when_there_is_news(site, log):
    store = ScriptedStore(update(4, 7), update(6, 8))
    reader = watcher(store, site, log, is_heard=True)
    reader.round()
    reader.round()
    assert len(store.asked) == 1
    reader.take_position(8)
    reader.round()
    assert store.asked[1] == (7, 0)
    assert site.table.config.version == 6
