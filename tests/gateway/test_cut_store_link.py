"""A granter whose answers from the store are cut in their head loses its role.

Its successor takes the keys from their owner, which forgets all fences when its
process is born again. The former granter, whose authority has ended by then, must not
grant them to that owner once more.
"""

from __future__ import annotations

import json
import threading
import time

import pytest
from waitress.server import create_server

from skylarktrail.core.gateway.key_load import LoadDistribution
from skylarktrail.core.gateway.lease_calls import (
    MAX_GRANT_DELIVERY_MS,
    GrantCall,
    KeyedInstance,
    LeaseTimings,
    RecordOwners,
)
from skylarktrail.core.gateway.ranges import OwnedRange
from skylarktrail.core.gateway.shared_state import OWNERS_PREFIX, encode_owners
from skylarktrail.gateway.clock import now_ms
from skylarktrail.platform.lease_client import HttpLeaseClient
from skylarktrail.platform.site_store import PlatformStore
from standins.platform.instance import KeyRanges
from standins.platform.store import Store
from standins.serving import Application, json_response

from ..cutting_server import CuttingRelay
from .granter_daemon import GranterDaemon

KEEP_MS = 60_000.0
SERVICE = "stock"
EVEN_LOAD = LoadDistribution({}, 1.0, 0.0)
KEY = 0
TIMINGS = LeaseTimings(
    lease_ms=1500.0, renew_ms=300.0, authority_ms=2000.0, outage_lease_ms=1500.0
)
STEP_S = 0.05
MOVE_TIMEOUT_S = 15.0
RENEWALS_S = 1.0  # A granter in office would renew three times meanwhile.


class Instance:
    """An instance that holds ranges.

    Attributes:
        address: `host:port` of the instance.
    """

    def __init__(self) -> None:
        self._ranges = KeyRanges()
        application = Application()
        application.route("POST", "/api/grant")(self._handle_grant)
        application.route("POST", "/api/release")(self._handle_release)
        self.server = create_server(application, listen="127.0.0.1:0")
        self.address = f"127.0.0.1:{self.server.effective_port}"
        threading.Thread(target=self.server.run, daemon=True).start()

    def _handle_grant(self, request):
        call = json.loads(request.body)
        is_accepted = self._ranges.grant(
            call["from"], call["to"], call["fence"], call["holdMs"]
        )
        return json_response({}, 200 if is_accepted else 409)

    def _handle_release(self, request):
        call = json.loads(request.body)
        self._ranges.release(call["from"], call["to"], call["fence"], 0.0)
        return json_response({})

    def restart(self) -> None:
        """Forgets all ranges and fences, as a new process does."""
        self._ranges = KeyRanges()

    def holds_key(self) -> bool:
        """Returns whether the instance runs requests on the key."""
        return self._ranges.covers(KEY)


class GrantingDaemon(GranterDaemon):
    """A daemon that also sends the lease calls of its role."""

    def step(self, instances) -> None:
        """Reads the shared records, then sends the calls and writes that are due."""
        self.read()
        self.role.step(now_ms())
        if self.may_grant():
            self._step_service(instances)
        self.send_writes()

    def _step_service(self, instances) -> None:
        granter = self.role.find_granter(SERVICE, now_ms())
        if granter is None:
            return
        confirmed_ms = self.role.confirmed_ms
        for action in granter.step(instances, now_ms(), confirmed_ms=confirmed_ms):
            self._execute(granter, action)
        granter.rebalance(EVEN_LOAD, False)

    def _execute(self, granter, action) -> None:
        if isinstance(action, RecordOwners):
            self.role.record_owners(SERVICE, action.ranges, now_ms())
        elif self.gate.allows(self.role.term, now_ms(), now_ms()):
            client = HttpLeaseClient()
            is_grant = isinstance(action, GrantCall)
            result = client.grant(action) if is_grant else client.release(action)
            granter.handle_result(result, now_ms())
            if result.outcome == "fenced":
                self.role.handle_fenced(now_ms())


@pytest.fixture
def store_address():
    store = Store(KEEP_MS, KEEP_MS)
    server = create_server(store.application, listen="127.0.0.1:0")
    threading.Thread(target=server.run, daemon=True).start()
    yield f"127.0.0.1:{server.effective_port}"
    server.close()


@pytest.fixture
def relay(store_address):
    relay = CuttingRelay(store_address)
    yield relay
    relay.close()


@pytest.fixture
def owners():
    owners = {"i-1": Instance(), "i-2": Instance()}
    yield owners
    for instance in owners.values():
        instance.server.close()


def make_instances(owners, leaving=""):
    return {
        name: KeyedInstance(
            name, owner.address, 1, name != leaving, 1.0, name != leaving
        )
        for name, owner in owners.items()
    }


def run_until(condition, step):
    end_s = time.monotonic() + MOVE_TIMEOUT_S
    while not condition():
        assert time.monotonic() < end_s
        step()
        time.sleep(STEP_S)


@pytest.mark.parametrize("sent_bytes", [12, 17, 40])
def test_a_granter_behind_a_cutting_link_stops(
    store_address, relay, owners, sent_bytes
):
    recorded = encode_owners((OwnedRange(0, 65535, "i-1", 1),))
    client = PlatformStore(store_address)
    assert client.share(OWNERS_PREFIX + SERVICE, recorded, None).is_ok()
    former = GrantingDaemon("d1", relay.address, TIMINGS)
    former.become_granter()
    instances = make_instances(owners)
    run_until(owners["i-1"].holds_key, lambda: former.step(instances))

    relay.sent_bytes = sent_bytes
    successor = GrantingDaemon("d2", store_address, TIMINGS)
    successor.become_granter()
    without_first = make_instances(owners, leaving="i-1")

    def step_both():
        former.step(instances)
        successor.step(without_first)
        assert not all(owner.holds_key() for owner in owners.values()), "two owners"

    def step_both_for(seconds):
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            step_both()
            time.sleep(STEP_S)

    run_until(owners["i-2"].holds_key, step_both)
    step_both_for((TIMINGS.authority_ms + MAX_GRANT_DELIVERY_MS) / 1000)
    owners["i-1"].restart()
    step_both_for(RENEWALS_S)
    assert relay.cut_count
    assert not former.may_grant()
