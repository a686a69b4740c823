"""Tests that a term begins at most once, so that its fences and calls are unique."""

from __future__ import annotations

import threading
import time

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
from skylarktrail.gateway.granter_messages import (
    CandidacyUpdate,
    SharedRecordsRead,
)
from skylarktrail.gateway.site_state import SiteState
from skylarktrail.gateway.site_store import Listing, SharedUpdate

SERVICE = "stock"
INSTANCES = ("i-1", "i-2")
WAIT_S = 5.0
QUIET_S = 0.2


class RecordingStore:
    """Accepts each write."""

    def __init__(self) -> None:
        self.written = threading.Semaphore(0)

    def share(self, key, value, position):
        """Accepts a write."""
        self.written.release()
        return Ok(position + 1)


class RecordingLeaseClient:
    """Answers each call and keeps it."""

    def __init__(self) -> None:
        self.calls = []

    def grant(self, call):
        """Answers a grant."""
        self.calls.append(call)
        return CallResult(call.call_id, "done")

    release = grant


@pytest.fixture
def site(clock):
    site = SiteState("d1", "east", SiteBounds())
    site.scheduler.services = {SERVICE: ServiceSpec(SERVICE, is_keyed=True)}
    entries = [
        InstanceEntry(name, SERVICE, f"{name}:80", "east", 3, False, 0.0, 1, 1)
        for name in INSTANCES
    ]
    site.apply_listing(Listing(entries, 1), clock.at_ms)
    return site


@pytest.fixture
def store():
    return RecordingStore()


@pytest.fixture
def lease_client():
    return RecordingLeaseClient()


@pytest.fixture
def actor(start_granter_actor, site, store, lease_client, clock):
    return start_granter_actor(site, store, lease_client)


def test_a_read_that_began_before_the_claim_does_not_end_the_term(
    actor, site, store, lease_client, clock
):
    """A slow read is answered after the claim, with the records from before it.

    The term would begin anew with the next read, and give out its fences and the
    numbers of its calls a second time.
    """
    owners = [OwnedRange(0, 32767, "i-1", 1), OwnedRange(32768, 65535, "i-2", 1)]
    former = (GRANTER_KEY, encode_granter(GranterRecord("d2", "p2", 4)))
    records = [("owners/" + SERVICE, encode_owners(owners)), former]
    site.apply_shared(SharedUpdate(records, False, 9), clock.at_ms)
    actor.ask(SharedRecordsRead(9, clock.at_ms))
    actor.ask(CandidacyUpdate(True))
    assert store.written.acquire(timeout=WAIT_S)
    time.sleep(QUIET_S)
    assert len(lease_client.calls) == len(owners)
    actor.ask(SharedRecordsRead(9, clock.at_ms))
    claim = (GRANTER_KEY, encode_granter(GranterRecord("d1", "p1", 5)))
    site.apply_shared(SharedUpdate([claim], False, 10), clock.at_ms)
    clock.at_ms += 10
    actor.ask(SharedRecordsRead(10, clock.at_ms))
    time.sleep(QUIET_S)
    call_ids = [call.call_id for call in lease_client.calls]
    assert len(call_ids) == len(set(call_ids))
