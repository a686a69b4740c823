"""Tests that a call or write that raises an exception does not block its range."""

from __future__ import annotations

import threading

import pytest
from result import Ok

from skylarktrail.config.gateway_settings import SiteBounds
from skylarktrail.core.gateway.lease_calls import CallResult
from skylarktrail.core.gateway.model import InstanceEntry, ServiceSpec
from skylarktrail.core.gateway.ranges import OwnedRange
from skylarktrail.core.gateway.shared_state import (
    GRANTER_KEY,
    GranterRecord,
    encode_granter,
    encode_owners,
)
from skylarktrail.daemon.ticker import Tick
from skylarktrail.gateway.granter_messages import SharedRecordsRead
from skylarktrail.gateway.site_state import SiteState
from skylarktrail.gateway.site_store import Listing, SharedUpdate

SERVICE = "stock"
WAIT_S = 5.0
TERM = 1


class FailingOnce:
    """Raises an exception in the first call, as when memory is short."""

    def __init__(self) -> None:
        self.called = threading.Semaphore(0)
        self._has_failed = False

    def _check(self):
        self.called.release()
        if not self._has_failed:
            self._has_failed = True
            raise MemoryError

    def grant(self, call):
        """Answers a grant."""
        self._check()
        return CallResult(call.call_id, "done")

    def share(self, key, value, position):
        """Accepts a write."""
        self._check()
        return Ok(position + 1)


@pytest.fixture
def site(clock):
    site = SiteState("d1", "east", SiteBounds())
    site.scheduler.services = {SERVICE: ServiceSpec(SERVICE, is_keyed=True)}
    entry = InstanceEntry("i-1", SERVICE, "i-1:80", "east", 3, False, 0.0, 1, 1)
    site.apply_listing(Listing([entry], 1), clock.at_ms)
    return site


@pytest.fixture
def client():
    return FailingOnce()


@pytest.fixture
def actor(start_granter_actor, site, client, clock):
    return start_granter_actor(site, client, client)


@pytest.fixture
def run(actor, site, clock):
    def advance(*records):
        """Begins the term and lets the granter act for 5 s."""
        granter = (GRANTER_KEY, encode_granter(GranterRecord("d1", "p1", TERM)))
        site.apply_shared(SharedUpdate([granter, *records], False, 1), clock.at_ms)
        for _ in range(20):
            actor.ask(SharedRecordsRead(1, clock.at_ms))
            actor.ask(Tick())
            clock.at_ms += 250

    return advance


def test_a_grant_that_raises_an_exception_is_made_anew(run, client):
    run((f"owners/{SERVICE}", encode_owners([OwnedRange(0, 65535, "i-1", 1)])))
    assert client.called.acquire(timeout=WAIT_S)
    run((f"owners/{SERVICE}", encode_owners([OwnedRange(0, 65535, "i-1", 1)])))
    assert client.called.acquire(timeout=WAIT_S), "the range gets no grant any more"


def test_a_write_that_raises_an_exception_is_made_anew(run, client):
    """The service has no owners yet, and the first record of them fails."""
    run()
    assert client.called.acquire(timeout=WAIT_S)
    run()
    assert client.called.acquire(timeout=WAIT_S), "no owners are recorded any more"
