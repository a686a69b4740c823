"""Tests that no lease call is sent after the authority of its granter has ended."""

from __future__ import annotations

import threading
import time

import pytest
from result import Err

from skylarktrail.config.gateway_settings import SiteBounds
from skylarktrail.core.gateway.lease_calls import CallResult, LeaseTimings
from skylarktrail.core.gateway.model import InstanceEntry, ServiceSpec
from skylarktrail.core.gateway.ranges import OwnedRange
from skylarktrail.core.gateway.shared_state import (
    GRANTER_KEY,
    GranterRecord,
    encode_granter,
    encode_owners,
)
from skylarktrail.errors import platform as codes
from skylarktrail.errors.code import Fault
from skylarktrail.gateway.granter_messages import (
    SharedRecordsRead,
)
from skylarktrail.gateway.lease_call_queue import MAX_RUNNING_PER_LANE
from skylarktrail.gateway.site_state import SiteState
from skylarktrail.gateway.site_store import Listing, SharedUpdate

SERVICE = "stock"
INSTANCES = ("i-1", "i-2")
RANGE_COUNT = 12  # More for each instance than the calls that run at once to it.
RANGE_SIZE = (1 << 16) // RANGE_COUNT
TIMINGS = LeaseTimings()
WAIT_S = 5.0
QUIET_S = 0.3
RUNNING_COUNT = MAX_RUNNING_PER_LANE * len(INSTANCES)


class BlockingLeaseClient:
    """Holds each grant until it is let go, and counts those that were sent."""

    def __init__(self) -> None:
        self.sent = threading.Semaphore(0)
        self.sent_count = 0
        self.proceed = threading.Event()

    def grant(self, call):
        """Sends a grant, which is answered when the test lets it go."""
        self.sent_count += 1
        self.sent.release()
        assert self.proceed.wait(WAIT_S)
        return CallResult(call.call_id, "silent")


class RefusingStore:
    """A store that refuses each write."""

    def share(self, key, value, position):
        """Refuses a write."""
        return Err(Fault(codes.STORE_REFUSED))


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
def lease_client():
    return BlockingLeaseClient()


@pytest.fixture
def actor(start_granter_actor, site, lease_client, clock):
    yield start_granter_actor(site, RefusingStore(), lease_client, timings=TIMINGS)
    lease_client.proceed.set()


@pytest.fixture
def read_records(actor, site, clock):
    def read(daemon, process, term, age_ms=0.0):
        """Lets the actor read the record of a granter and the owners.

        The read began `age_ms` ago.
        """
        owners = [
            OwnedRange(n * RANGE_SIZE, (n + 1) * RANGE_SIZE - 1, INSTANCES[n % 2], 1)
            for n in range(RANGE_COUNT)
        ]
        records = [
            (f"owners/{SERVICE}", encode_owners(owners)),
            (GRANTER_KEY, encode_granter(GranterRecord(daemon, process, term))),
        ]
        site.apply_shared(SharedUpdate(records, False, term), clock.at_ms)
        actor.ask(SharedRecordsRead(term, clock.at_ms - age_ms))

    return read


def wait_for_running_calls(lease_client):
    for _ in range(RUNNING_COUNT):
        assert lease_client.sent.acquire(timeout=WAIT_S)
    time.sleep(QUIET_S)
    assert lease_client.sent_count == RUNNING_COUNT


def test_waiting_calls_are_not_sent_after_the_term_has_ended(
    read_records, lease_client, clock
):
    read_records("d1", "p1", 1)
    wait_for_running_calls(lease_client)
    read_records("d2", "p2", 2)
    lease_client.proceed.set()
    time.sleep(QUIET_S)
    assert lease_client.sent_count == RUNNING_COUNT


def test_the_last_call_of_a_granter_arrives_before_its_authority_ends(
    read_records, lease_client, clock
):
    """A call is under way for a second before it is given up."""
    read_records("d1", "p1", 1, age_ms=TIMINGS.authority_ms - 1200)
    wait_for_running_calls(lease_client)
    clock.at_ms += 300
    lease_client.proceed.set()
    time.sleep(QUIET_S)
    assert lease_client.sent_count == RUNNING_COUNT


def test_calls_that_wait_long_for_a_silent_instance_are_not_sent(
    read_records, lease_client, clock
):
    """Each unanswered call prolongs the wait until the instance's leases expire."""
    read_records("d1", "p1", 1)
    wait_for_running_calls(lease_client)
    clock.at_ms += 600
    lease_client.proceed.set()
    time.sleep(QUIET_S)
    assert lease_client.sent_count == RUNNING_COUNT
