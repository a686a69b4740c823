"""Tests of what a former granter reports of its last grants, and of its use."""

from __future__ import annotations

import threading
import time

import pytest
from result import Ok

from skylarktrail.config.gateway_settings import SiteBounds
from skylarktrail.core.gateway.lease_calls import CallResult, ReleaseCall
from skylarktrail.core.gateway.model import InstanceEntry, ServiceSpec
from skylarktrail.core.gateway.ranges import OwnedRange
from skylarktrail.core.gateway.shared_state import (
    GRANTER_KEY,
    GranterRecord,
    encode_granter,
    encode_owners,
)
from skylarktrail.gateway.granter_messages import (
    FormerTermEnded,
    OpenGrantsReceived,
    OpenGrantsRequested,
    SharedRecordsRead,
)
from skylarktrail.gateway.site_state import SiteState
from skylarktrail.gateway.site_store import Listing, SharedUpdate
from skylarktrail.peer.gateway_messages import GatewayOpenGrants, OpenGrantReport

SERVICE = "stock"
LAST_HASH = (1 << 16) - 1
MOVE = OwnedRange(0, LAST_HASH, "i-1", 1, "i-2", 1)
WAIT_S = 2.0
QUIET_S = 0.2


class LeaseClient:
    """Answers each call with an outcome, and signals releases."""

    def __init__(self) -> None:
        self.outcome = "done"
        self.released = threading.Semaphore(0)
        self.granted = threading.Semaphore(0)

    def grant(self, call):
        """Answers a grant."""
        self.granted.release()
        return CallResult(call.call_id, self.outcome)

    def release(self, call: ReleaseCall):
        """Answers a release."""
        self.released.release()
        return CallResult(call.call_id, self.outcome)


class Store:
    """Accepts each write."""

    def share(self, key, value, position):
        """Accepts a write."""
        return Ok(position + 1)


@pytest.fixture
def site(clock):
    site = SiteState("d2", "east", SiteBounds())
    site.scheduler.services = {SERVICE: ServiceSpec(SERVICE, is_keyed=True)}
    entries = [
        InstanceEntry(name, SERVICE, f"{name}:80", "east", 3, False, 0.0, 1, 1)
        for name in ("i-1", "i-2")
    ]
    site.apply_listing(Listing(entries, 1), clock.at_ms)
    return site


@pytest.fixture
def lease_client():
    return LeaseClient()


@pytest.fixture
def actor(start_granter_actor, site, lease_client, clock):
    return start_granter_actor(site, Store(), lease_client, process="p2")


@pytest.fixture
def read_records(actor, site, clock):
    def read(daemon, process, term, owned=MOVE):
        """Lets the actor read the record of a granter and of one owner."""
        records = [
            (f"owners/{SERVICE}", encode_owners([owned])),
            (GRANTER_KEY, encode_granter(GranterRecord(daemon, process, term))),
        ]
        site.apply_shared(SharedUpdate(records, False, term), clock.at_ms)
        actor.ask(SharedRecordsRead(term, clock.at_ms))

    return read


def end_former_term(actor, clock):
    """Lets the former granter confirm its end, and the time for late calls pass."""
    actor.ask(FormerTermEnded("d1", 2, clock.at_ms))
    clock.at_ms += 1100.0
    actor.ask(SharedRecordsRead(2, clock.at_ms))


def test_an_inherited_move_waits_while_a_grant_is_open(
    actor, read_records, lease_client, clock
):
    """A grant of the former granter could be carried out after the release."""
    read_records("d1", "p1", 1)
    read_records("d2", "p2", 2)
    report = OpenGrantReport(SERVICE, "i-1", 100, 200)
    actor.ask(OpenGrantsReceived(2, GatewayOpenGrants("p1", (report,))))
    end_former_term(actor, clock)
    assert not lease_client.released.acquire(timeout=QUIET_S)


@pytest.mark.parametrize(
    "report",
    [
        (),
        (OpenGrantReport(SERVICE, "i-2", 100, 200),),
        (OpenGrantReport("other", "i-1", 100, 200),),
    ],
    ids=["none", "of-the-next-owner", "of-another-service"],
)
def test_an_inherited_move_goes_on_when_no_grant_is_open(
    actor, read_records, lease_client, clock, report
):
    read_records("d1", "p1", 1)
    read_records("d2", "p2", 2)
    actor.ask(OpenGrantsReceived(2, GatewayOpenGrants("p1", report)))
    end_former_term(actor, clock)
    assert lease_client.released.acquire(timeout=WAIT_S)


def test_an_inherited_move_waits_without_a_report(
    actor, read_records, lease_client, clock
):
    """The former granter was killed, or is of an earlier release."""
    read_records("d1", "p1", 1)
    read_records("d2", "p2", 2)
    end_former_term(actor, clock)
    assert not lease_client.released.acquire(timeout=QUIET_S)


def ask_for_report(actor):
    replies = []
    actor.ask(OpenGrantsRequested(replies.append))
    assert replies[0].process == "p2"
    return replies[0].grants


def test_a_former_granter_reports_grants_without_an_answer(
    actor, read_records, lease_client
):
    lease_client.outcome = "silent"
    read_records("d2", "p2", 1, OwnedRange(0, LAST_HASH, "i-1", 1))
    assert lease_client.granted.acquire(timeout=WAIT_S)
    read_records("d3", "p3", 2)
    grants = ask_for_report(actor)
    assert {grant.instance for grant in grants} == {"i-1"}
    assert sum(grant.last - grant.first + 1 for grant in grants) == LAST_HASH + 1


def test_a_former_granter_reports_no_grants_that_were_answered(
    actor, read_records, lease_client
):
    read_records("d2", "p2", 1, OwnedRange(0, LAST_HASH, "i-1", 1))
    end_s = time.monotonic() + WAIT_S
    while ask_for_report(actor):
        assert time.monotonic() < end_s, "the answer of a grant was not handled"
        time.sleep(0.02)
    read_records("d3", "p3", 2)
    assert not ask_for_report(actor)
