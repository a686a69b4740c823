"""State of the daemon and the site that the scheduling decisions depend on."""

from __future__ import annotations

import math
from typing import Callable, Mapping, NamedTuple

from .fleet import Fleet
from .instance import Instance
from .model import ServiceSpec
from .ticket import Ticket


def _has_no_missing_owner(service: str, key_hash: int) -> float:
    return 0.0


class SchedulerView(NamedTuple):
    """State of the daemon that the scheduler depends on.

    Attributes:
        find_owner: Returns the identifier of the owner of a hash of a service; empty
            if it has none at present.
        is_moving: Returns whether a hash of a service is about to get an owner.
        has_idle_connection: Returns whether an idle connection to an instance is open.
        zones_out: Zones that get no new requests, and when that was first seen.
        daemons: Names of all recorded daemons.
        own_daemon: Name of this daemon.
        own_zone: Its availability zone.
        is_cut: Whether this daemon can open no connections to instances.
        cut_daemon_count: Number of other daemons that cannot.
        missing_owner_ms: Returns how long a hash of a service is known to have no
            owner; 0 if it may have one.
        stop_ms: When this daemon stops and cuts what is still running; infinite if it
            is not shutting down.
    """

    find_owner: Callable[[str, int], str]
    is_moving: Callable[[str, int], bool]
    has_idle_connection: Callable[[str], bool]
    zones_out: Mapping[str, float]
    daemons: frozenset[str]
    own_daemon: str
    own_zone: str
    is_cut: bool = False
    cut_daemon_count: int = 0
    missing_owner_ms: Callable[[str, int], float] = _has_no_missing_owner
    stop_ms: float = math.inf

    @property
    def sending_daemon_count(self) -> int:
        """Returns the number of daemons that can send requests; 1 at least."""
        return max(1, len(self.daemons) - self.cut_daemon_count)


class SchedulerState:
    """State that all parts of the scheduler share.

    Attributes:
        fleet: All instances.
        view: State of the daemon; replaced when it changes.
        services: Declared services by name; replaced when the configuration changes.
    """

    def __init__(self, fleet: Fleet, view: SchedulerView) -> None:
        self.fleet = fleet
        self.view = view
        self.services: dict[str, ServiceSpec] = {}

    def find_candidates(self, ticket: Ticket) -> list[Instance]:
        """Returns the owner of the ticket's key, or all instances of its service."""
        if ticket.key_hash is None:
            return self.fleet.find_by_service(ticket.service)
        name = self.view.find_owner(ticket.service, ticket.key_hash)
        found = self.fleet.find(name) if name else None
        return [found] if found else []
