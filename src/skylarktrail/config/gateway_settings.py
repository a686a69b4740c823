"""Settings of a gateway daemon, read from JSON and checked."""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from result import Err, Ok, Result

from ..core.gateway.lease_calls import LeaseTimings
from ..errors import settings as codes
from ..errors.code import Fault
from ..receive_budget import DEFAULT_MEMORY_MB
from .schema import find_schema_faults

SCHEMA = "gateway_settings"
KIND = "gateway"
# In a fifth of a shorter bound, the granter's replies and the reads do not arrive.
MIN_REVOKE_MS = 1000.0


class StoreSettings(NamedTuple):
    """The store that holds the site's shared state.

    Attributes:
        address: `host:port` of the store.
        adapter: Name of the adapter.
    """

    address: str
    adapter: str = "platform"


class SiteBounds(NamedTuple):
    """Bounds that apply to a whole site and are equal on all its daemons.

    Attributes:
        repeat_ratio: Retries allowed per request, over all daemons.
        repeat_window_s: Length of the window in which retries are counted, seconds.
        repeat_extra: Retries allowed in a window on top of the ratio, over all
            daemons.
        grace_s: Time between SIGTERM and SIGKILL, seconds.
        lease_max_ms: Longest lease that an instance accepts, milliseconds.
        revoke_ms: Time after which no daemon runs requests with a removed API key,
            milliseconds; 0 for no bound.
    """

    repeat_ratio: float = 0.2
    repeat_window_s: float = 10.0
    repeat_extra: float = 20.0
    grace_s: float = 6.0
    lease_max_ms: float = 10_000.0
    revoke_ms: float = 0.0


class ClientSettings(NamedTuple):
    """Bounds on what callers bind in the process.

    Attributes:
        held_bytes: Memory that all callers together make the process hold; 0 to
            derive it from the memory of the process.
        stall_ms: How long a caller may neither send nor read inside a request or
            response.
        linger_ms: How long a refused caller may go on sending.
    """

    held_bytes: int = 0
    stall_ms: int = 15_000
    linger_ms: int = 2000


class GatewaySettings(NamedTuple):
    """Everything that a gateway daemon knows before it reads the store.

    Attributes:
        daemon: Name of the daemon.
        zone: Availability zone of the daemon.
        caller_address: `host:port` for callers.
        ready_address: `host:port` for health checks and metrics.
        peer_address: `host:port` where other daemons connect.
        store: The store of the site.
        bounds: Bounds of the site.
        forward_address: `host:port` for requests that other daemons forward; empty to
            accept none.
        metrics_address: `host:port` for metrics alone; empty for none.
        threads: Largest number of requests handled at once.
        processors: Processor time that the process may use, in processors of usual
            speed.
        descriptors: File descriptors that the process may use.
        leases: Durations of leases.
        first_start: Whether the whole site starts for the first time.
        memory_mb: Memory that the process may use, megabytes.
        clients: Bounds on what callers bind.
    """

    daemon: str
    zone: str
    caller_address: str
    ready_address: str
    peer_address: str
    store: StoreSettings
    bounds: SiteBounds = SiteBounds()
    metrics_address: str = ""
    forward_address: str = ""
    threads: int = 160
    processors: float = 1.0
    descriptors: int = 1024
    leases: LeaseTimings = LeaseTimings()
    first_start: bool = False
    memory_mb: float = DEFAULT_MEMORY_MB
    clients: ClientSettings = ClientSettings()


def is_gateway(document: Any) -> bool:
    """Returns whether a settings document is that of a gateway daemon."""
    return isinstance(document, dict) and document.get("kind") == KIND


def parse_gateway_settings(document: Any) -> Result[GatewaySettings, list[Fault]]:
    """Checks a settings document and fills in the defaults.

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
    fields["clients"] = ClientSettings(**document.get("clients", {}))
    fields["bounds"] = bounds = SiteBounds(**document.get("bounds", {}))
    leases = _make_leases(document.get("leases", {}), bounds)
    fields["leases"] = leases
    fault = _find_lease_fault(leases, bounds) or _find_revocation_fault(bounds)
    if fault is not None:
        return Err([fault])
    return Ok(GatewaySettings(**fields))


def _make_leases(document: dict[str, int], bounds: SiteBounds) -> LeaseTimings:
    """Returns the durations of leases; those in an outage fit the others if unset."""
    leases = LeaseTimings(**document)
    if "outage_lease_ms" in document:
        return leases
    outage_lease_ms = max(leases.lease_ms, leases.outage_lease_ms)
    return leases._replace(outage_lease_ms=min(outage_lease_ms, bounds.lease_max_ms))


def _find_revocation_fault(bounds: SiteBounds) -> Fault | None:
    """Returns the fault of a bound that daemons could not keep while they serve."""
    if 0 < bounds.revoke_ms < MIN_REVOKE_MS:
        detail = f"0 for no bound, or {MIN_REVOKE_MS:.0f} at least"
        return Fault(codes.VALUE_OUT_OF_RANGE, "$.bounds.revoke_ms", detail)
    return None


def _find_lease_fault(leases: LeaseTimings, bounds: SiteBounds) -> Fault | None:
    """Returns the first fault of the durations of leases, if there is one."""
    if leases.renew_ms * 2 > leases.lease_ms:
        detail = "two renewals have to fit into a lease"
        return Fault(codes.VALUE_OUT_OF_RANGE, "$.leases.renew_ms", detail)
    if leases.lease_ms > bounds.lease_max_ms:
        detail = "instances take no lease above bounds.lease_max_ms"
        return Fault(codes.VALUE_OUT_OF_RANGE, "$.leases.lease_ms", detail)
    if leases.outage_lease_ms > bounds.lease_max_ms:
        detail = "instances take no lease above bounds.lease_max_ms"
        return Fault(codes.VALUE_OUT_OF_RANGE, "$.leases.outage_lease_ms", detail)
    if leases.lease_ms > leases.outage_lease_ms:
        detail = "leases in an outage are not shorter than others"
        return Fault(codes.VALUE_OUT_OF_RANGE, "$.leases.outage_lease_ms", detail)
    return None
