"""Tests that the granter balances and merges the ranges of each keyed service."""

from __future__ import annotations

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

SERVICES = ("orders", "stock")


class AcceptingClient:
    """Accepts each call and each write, and keeps the services that were written."""

    def __init__(self) -> None:
        self.written = set()

    def grant(self, call):
        """Answers a call."""
        return CallResult(call.call_id, "done")

    release = grant

    def share(self, key, value, position):
        """Accepts a write."""
        self.written.add(key.removeprefix("owners/"))
        return Ok(position + 1)


def test_load_moves_between_the_instances_of_each_service(start_granter_actor, clock):
    """All keys of each service lie at one of its two instances."""
    site = SiteState("d1", "east", SiteBounds())
    site.scheduler.services = {s: ServiceSpec(s, is_keyed=True) for s in SERVICES}
    entries = [
        InstanceEntry(f"{s}-{n}", s, f"{s}-{n}:80", "east", 3, False, 0.0, 1, 1)
        for s in SERVICES
        for n in range(2)
    ]
    site.apply_listing(Listing(entries, 1), clock.at_ms)
    records = [(GRANTER_KEY, encode_granter(GranterRecord("d1", "p1", 1)))] + [
        ("owners/" + s, encode_owners([OwnedRange(0, 65535, f"{s}-0", 1)]))
        for s in SERVICES
    ]
    site.apply_shared(SharedUpdate(records, False, 1), clock.at_ms)
    client = AcceptingClient()
    actor = start_granter_actor(site, client, client)
    for _ in range(100):
        actor.ask(SharedRecordsRead(1, clock.at_ms))
        actor.ask(Tick())
        clock.at_ms += 100
    assert client.written == set(SERVICES)
