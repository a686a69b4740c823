"""Builds the state of a site of a given size by folding log records."""

from __future__ import annotations

from typing import Any, Sequence

from skylarktrail.core.hashing import rank_candidates
from skylarktrail.core.ownership.granter import MAX_SERVERS_PER_GROUP
from skylarktrail.core.records import (
    Assign,
    Claim,
    Envelope,
    Join,
    Placement,
    Publish,
    Record,
)
from skylarktrail.core.slices import make_fence
from skylarktrail.core.state import State

ZONES = tuple(f"zone-{index}" for index in range(7))
SERVICE = "catalogo"
INCARNATION = "0193a1b2-c3d4-7e5f-8a9b-0c1d2e3f4a5b"
AUTHORITY_MS = 1000
LEASE_MS = 2000
FIRST_FENCE = make_fence(1, 1)


def names(role: str, count: int) -> list[str]:
    """Returns the names of the VMs of a role: `<role>-0` and so on."""
    return [f"{role}-{index}" for index in range(count)]


def zone_of(index: int) -> str:
    """Returns the zone of the VM with this index."""
    return ZONES[index % len(ZONES)]


def make_service(name: str, keyed: bool, slices: int, groups: int) -> dict[str, Any]:
    """Returns one service of an operator file."""
    service = {
        "name": name,
        "kind": "keyed" if keyed else "stateless",
        "path_prefix": f"/{name}/",
        "methods": ["GET", "HEAD", "POST"],
        "idempotent_methods": ["GET", "HEAD"],
        "slots": 3,
        "connections": 110,
        "checks_fences": True,
    }
    if keyed:
        service |= {
            "key": {"path_segment": 2},
            "slices": slices,
            "granter_groups": groups,
        }
    return service


def make_file(slices: int, groups: int, homes: int, services: int = 1) -> dict:
    """Returns an operator file whose first service is the only keyed one."""
    service_list = [make_service(SERVICE, True, slices, groups)]
    service_list += [
        make_service(f"service-{i}", False, 0, 0) for i in range(1, services)
    ]
    return {
        "format": 1,
        "site": "capacity",
        "zones": [{"name": zone, "state": "in"} for zone in ZONES],
        "tenants": [{"name": "shops", "weight": 6}, {"name": "jobs", "weight": 1}],
        "idempotency": {"homes": homes, "keep_ms": 600_000, "skew_ms": 2000},
        "services": service_list,
    }


class SiteLog:
    """Folds each appended record into a state immediately, without storing it."""

    def __init__(self) -> None:
        self.state = State(lambda file: True)
        self._seq = 0

    def append(self, writer: str, body: Record) -> Any:
        """Folds one record and returns its verdict."""
        self._seq += 1
        envelope = Envelope(writer, INCARNATION, self._seq, body)
        return self.state.apply(self.state.next_offset, envelope)


def build_site(
    slices: int, groups: int, daemons: int, servers: int, homes: int
) -> SiteLog:
    """Returns a site in which every group has a granter and every slice an owner."""
    log = SiteLog()
    log.append("operator", Publish("p-1", 0, make_file(slices, groups, homes)))
    daemon_names = names("router", daemons)
    for index, daemon in enumerate(daemon_names):
        log.append(daemon, Join(zone_of(index), f"10.0.{index // 256}.1:9000", ""))
    for index, group in enumerate(log.state.groups()):
        granter, heir = (daemon_names[i % daemons] for i in (index, index + 1))
        log.append(granter, Claim(group, 1, heir, AUTHORITY_MS, LEASE_MS))
    _assign_slices(log, daemon_names, names("server", servers))
    return log


def _assign_slices(
    log: SiteLog, daemon_names: Sequence[str], servers: Sequence[str]
) -> None:
    starts: dict[str, list[int]] = {}
    for current in log.state.tables[SERVICE]:
        starts.setdefault(current.group, []).append(current.start)
    for group, slice_starts in starts.items():
        candidates = rank_candidates(group, servers)[:MAX_SERVERS_PER_GROUP]
        granter = log.state.granter_terms[group].granter
        placements = tuple(
            Placement(start, candidates[index % len(candidates)])
            for index, start in enumerate(slice_starts)
        )
        log.append(granter, Assign(group, 1, 1, placements))
