"""Settings of a gateway daemon: the checked form of its JSON file."""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from result import Err, Ok, Result

from ..core.gateway.lease_calls import LeaseTimings
from ..errors import settings as codes
from ..errors.code import Fault
from .schema import find_schema_faults

SCHEMA = "gateway_settings"
KIND = "gateway"


class StoreSettings(NamedTuple):
    """The store that holds the site's shared state.

    Attributes:
        address: Its `host:port`.
        adapter: Name of the adapter.
    """

    address: str
    adapter: str = "platform"


class SiteBounds(NamedTuple):
    """Bounds of a site.

    Attributes:
        repeat_ratio: Repeats at instances for each request, over all daemons.
        repeat_window_s: Window in which repeats are counted.
        repeat_extra: Further repeats in the window, over all daemons.
        grace_s: Time between SIGTERM and SIGKILL.
        lease_max_ms: Longest lease that an instance takes.
    """

    repeat_ratio: float = 0.2
    repeat_window_s: float = 10.0
    repeat_extra: float = 20.0
    grace_s: float = 6.0
    lease_max_ms: float = 10_000.0


class GatewaySettings(NamedTuple):
    """Everything that a gateway daemon knows before it reads the store.

    Attributes:
        daemon: Its name.
        zone: Its availability zone.
        caller_address: `host:port` for callers.
        ready_address: `host:port` for health checks and metrics.
        peer_address: `host:port` where other daemons connect.
        store: The store of the site.
        bounds: Bounds of the site.
        metrics_address: `host:port` for metrics alone; empty for none.
        threads: Requests held at once.
        processors: Processor time that the process may use, in usual processors.
        descriptors: File descriptors that the process may use.
        leases: Durations of leases.
    """

    daemon: str
    zone: str
    caller_address: str
    ready_address: str
    peer_address: str
    store: StoreSettings
    bounds: SiteBounds = SiteBounds()
    metrics_address: str = ""
    threads: int = 160
    processors: float = 1.0
    descriptors: int = 1024
    leases: LeaseTimings = LeaseTimings()


def is_gateway(document: Any) -> bool:
    """Tells whether plain settings are those of a gateway daemon."""
    return isinstance(document, dict) and document.get("kind") == KIND


def parse_gateway_settings(document: Any) -> Result[GatewaySettings, list[Fault]]:
    """Checks settings in plain form and fills in the defaults.

    Returns:
        The settings, or every fault found.
    """
    faults = [item.fault for item in find_schema_faults(SCHEMA, document)]
    if faults:
        return Err(faults)
    fields = {name: value for name, value in document.items() if name != "kind"}
    if "processors" in document:
        fields["processors"] = math.prod(document["processors"])
    fields["store"] = StoreSettings(**document["store"])
    fields["bounds"] = bounds = SiteBounds(**document.get("bounds", {}))
    leases = LeaseTimings(**document.get("leases", {}))
    fields["leases"] = leases
    if leases.renew_ms * 2 > leases.lease_ms:
        detail = "two renewals have to fit into a lease"
        return Err([Fault(codes.VALUE_OUT_OF_RANGE, "$.leases.renew_ms", detail)])
    if leases.lease_ms > bounds.lease_max_ms:
        detail = "instances take no lease above bounds.lease_max_ms"
        return Err([Fault(codes.VALUE_OUT_OF_RANGE, "$.leases.lease_ms", detail)])
    return Ok(GatewaySettings(**fields))
