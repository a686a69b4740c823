"""Parts of the status that are computed from the folded state."""

from __future__ import annotations

from collections import Counter
from typing import Mapping

from ..core.hashing import hash_key
from ..core.ownership.status import GroupStatus, OwnershipStatus
from ..core.slices import Slice
from ..core.state import State
from ..core.traffic.messages import InstanceStatus, TrafficStatus
from .status import (
    GroupSummary,
    KeyExplanation,
    ServerSummary,
    TenantStatus,
    UpstreamExplanation,
    ZoneStatus,
)

INSTANCE_REASONS = {
    "warm": "It takes its full share.",
    "cold": "It has started or returned lately, so it takes few requests at once.",
    "ejected": "It was much slower than the others; it is probed from time to time.",
    "leaving": "The platform is about to remove it; it takes no new work.",
    "draining": "It says that it is draining; it takes no new work.",
    "zone-out": "Its zone is out in the file in force; it takes no new work.",
    "outside-subset": "Other daemons send to it; this one does not.",
}


def summarize_zones(state: State) -> tuple[ZoneStatus, ...]:
    """Returns the zones of the file in force."""
    zones = state.file.get("zones", [])
    return tuple(ZoneStatus(zone["name"], zone["state"]) for zone in zones)


def summarize_groups(
    state: State, ownership: OwnershipStatus
) -> tuple[GroupSummary, ...]:
    """Returns every granter group, with this daemon's role in it."""
    own_groups = {group.group: group for group in ownership.groups}
    return tuple(
        _summarize_group(state, name, own_groups.get(name)) for name in state.groups()
    )


def _summarize_group(
    state: State, name: str, own_group: GroupStatus | None
) -> GroupSummary:
    granter_term = state.granter_terms.get(name)
    return GroupSummary(
        name,
        granter_term.term if granter_term else 0,
        granter_term.granter if granter_term and not granter_term.resigned else "",
        granter_term.heir if granter_term else "",
        own_group.role if own_group else "none",
        own_group.confirmed if own_group else False,
        own_group.waiting if own_group else 0,
        own_group.provisional if own_group else 0,
    )


def summarize_servers(
    state: State, zones: Mapping[str, str]
) -> tuple[ServerSummary, ...]:
    """Counts the slices of each server.

    Args:
        state: The folded state.
        zones: Availability zone of each server in the VM list.

    Returns:
        One entry for each service and server; the server is "" for unassigned
        slices.
    """
    return tuple(
        ServerSummary(service, server, zones.get(server, ""), slices)
        for service, table in sorted(state.tables.items())
        for server, slices in sorted(Counter(table.dump()["servers"]).items())
    )


def summarize_tenants(
    counts: Mapping[str, Mapping[str, int]],
) -> tuple[TenantStatus, ...]:
    """Returns the requests of each tenant, from the counts of the metrics."""
    return tuple(
        TenantStatus(
            tenant,
            outcomes.get("answered", 0),
            outcomes.get("not-run", 0),
            outcomes.get("unknown", 0),
        )
        for tenant, outcomes in sorted(counts.items())
    )


def explain_key(
    state: State, service: str, key: str, provisional: Slice | None = None
) -> KeyExplanation | None:
    """Explains which server owns a key.

    Args:
        state: The folded state.
        service: A keyed service.
        key: The key.
        provisional: The key's slice with an owner that is not in the log yet.

    Returns:
        The explanation, or None if there is no such keyed service.
    """
    table = state.tables.get(service)
    if table is None:
        return None
    key_hash = hash_key(key)
    key_slice = provisional or table.find(key_hash)
    granter_term = state.granter_terms.get(key_slice.group)
    return KeyExplanation(
        service,
        key,
        key_hash,
        key_slice.start,
        key_slice.end,
        key_slice.group,
        granter_term.granter if granter_term else "",
        granter_term.term if granter_term else 0,
        key_slice.server,
        key_slice.fence,
        provisional is not None,
        _key_reason(key_slice, provisional is not None),
    )


def _key_reason(key_slice: Slice, is_provisional: bool) -> str:
    if not key_slice.server:
        return f"No server owns its slice; the granter of {key_slice.group} assigns it."
    if is_provisional:
        return f"{key_slice.server} owns its slice; the record waits for the log."
    return (
        f"{key_slice.server} owns its slice by the record with fence {key_slice.fence}."
    )


def explain_upstream(traffic: TrafficStatus, name: str) -> UpstreamExplanation | None:
    """Explains how the traffic policy uses an instance; None if it is unknown."""
    for service in traffic.services:
        for instance in service.instances:
            if instance.id == name:
                reason = _instance_reason(instance)
                return UpstreamExplanation(service.name, instance, reason)
    return None


def _instance_reason(instance: InstanceStatus) -> str:
    reason = INSTANCE_REASONS.get(instance.state, "It takes requests.")
    return f"{reason} {instance.in_flight} of at most {instance.limit} in flight."
