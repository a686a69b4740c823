"""Lookup of the owner of a key for each request."""

from __future__ import annotations

from bisect import bisect_right
from typing import Iterable, NamedTuple

from .ownership.messages import FencedPlacement
from .slices import Slice, SliceTable
from .state import State, service_of


class Owner(NamedTuple):
    """The owner of a slice as far as this daemon knows.

    Attributes:
        server: VM identifier of the server.
        fence: Fence that a request to the server must carry.
        start: First hash of the slice.
    """

    server: str
    fence: int
    start: int


class Snapshot(NamedTuple):
    """Owners of the slices of one service; immutable after its publication.

    Attributes:
        starts: First hashes of the slices, ascending.
        owners: Owner of each slice; None for an unassigned slice.
    """

    starts: list[int]
    owners: list[Owner | None]


class ProvisionalOwner(NamedTuple):
    """A provisional owner that a granter broadcast.

    Attributes:
        term: Term of the granter.
        placement: The slice, its owner and the fence.
    """

    term: int
    placement: FencedPlacement


class OwnerDirectory:
    """Owners of slices: those recorded in the log, overridden by provisional owners.

    Only one thread may update the directory. Any number of threads may call `owner`
    at the same time, because they read immutable snapshots.
    """

    def __init__(self) -> None:
        self._snapshots: dict[str, Snapshot] = {}
        self._tables: dict[str, SliceTable] = {}
        self._table_versions: dict[str, tuple] = {}
        self._terms: dict[str, int] = {}
        self._provisional: dict[str, dict[int, ProvisionalOwner]] = {}

    def owner(self, service: str, key_hash: int) -> Owner | None:
        """Returns the owner of a key hash; None when no server owns it."""
        snapshot = self._snapshots.get(service)
        if snapshot is None:
            return None
        return snapshot.owners[bisect_right(snapshot.starts, key_hash) - 1]

    def update(self, state: State) -> None:
        """Updates the owners from the state; cheap when no table has changed."""
        self._terms = {
            group: granter_term.term
            for group, granter_term in state.granter_terms.items()
        }
        for service in set(self._snapshots) - set(state.tables):
            del self._snapshots[service]
            del self._table_versions[service]
            self._provisional.pop(service, None)
        versions = _table_versions(state)
        for service, table in state.tables.items():
            version = versions.get(service, ())
            is_same_table = self._tables.get(service) is table
            if is_same_table and self._table_versions.get(service) == version:
                continue
            self._table_versions[service] = version
            self._tables[service] = table
            self._publish_snapshot(service)
        self._tables = dict(state.tables)

    def add_provisional(
        self, group: str, term: int, placements: Iterable[FencedPlacement]
    ) -> bool:
        """Adds provisional owners that a granter broadcast.

        Returns:
            False when the service is unknown or the term has been superseded.
        """
        service = service_of(group)
        if term < self._terms.get(group, 0) or service not in self._tables:
            return False
        known = self._provisional.setdefault(service, {})
        for placement in placements:
            before = known.get(placement.start)
            if before is None or before.placement.fence < placement.fence:
                known[placement.start] = ProvisionalOwner(term, placement)
        self._publish_snapshot(service)
        return True

    def provisional(self, service: str, start: int) -> FencedPlacement | None:
        """Returns the provisional owner of the slice that starts at a hash."""
        entry = self._provisional.get(service, {}).get(start)
        return entry.placement if entry else None

    def _is_in_force(self, entry: ProvisionalOwner, current: Slice) -> bool:
        """Tells whether neither the log nor a newer term supersedes an entry."""
        if entry.term < self._terms.get(current.group, 0):
            return False
        return entry.placement.fence > current.fence

    def _publish_snapshot(self, service: str) -> None:
        """Replaces the snapshot of a service and drops superseded entries."""
        starts, owners = [], []
        provisional = self._provisional.get(service, {})
        kept = {}
        for current in self._tables[service]:
            server, fence = current.server, current.fence
            entry = provisional.get(current.start)
            if entry is not None and self._is_in_force(entry, current):
                kept[current.start] = entry
                server, fence = entry.placement.server, entry.placement.fence
            starts.append(current.start)
            owners.append(Owner(server, fence, current.start) if server else None)
        self._provisional[service] = kept
        self._snapshots[service] = Snapshot(starts, owners)


def _table_versions(state: State) -> dict[str, tuple]:
    """Returns a value for each service that changes whenever its table changes."""
    versions: dict[str, tuple] = {}
    for group, granter_term in state.granter_terms.items():
        part = (group, granter_term.term, granter_term.seq)
        service = service_of(group)
        versions[service] = versions.get(service, ()) + (part,)
    return versions
