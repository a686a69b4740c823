"""All instances that a daemon knows, from the entries that they keep in the store."""

from __future__ import annotations

from typing import Iterable, NamedTuple

from .instance import Instance
from .model import InstanceEntry

OUTAGE_GRACE_MS = 2000.0  # Lapsed entries are back within this time after an outage.


class FleetChange(NamedTuple):
    """An instance that came, left or changed its state.

    Attributes:
        instance: Its identifier.
        change: `joined`, `reborn`, `draining`, `ready` or `gone`.
        service: Service that it belongs to.
    """

    instance: str
    change: str
    service: str


class Fleet:
    """Instances by identifier; keeps what the store lost during an outage."""

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self._by_service: dict[str, list[Instance]] = {}
        self._unreliable_until_ms = 0.0

    def record_store_outage(self, now_ms: float) -> None:
        """Says that the store could not be read just now."""
        self._unreliable_until_ms = now_ms + OUTAGE_GRACE_MS

    def merge(
        self, entries: Iterable[InstanceEntry], now_ms: float
    ) -> list[FleetChange]:
        """Takes all entries of one read and returns what changed."""
        changes = []
        seen = set()
        for entry in entries:
            seen.add(entry.instance)
            change = self._merge_one(entry, now_ms)
            if change:
                changes.append(FleetChange(entry.instance, change, entry.service))
        if now_ms >= self._unreliable_until_ms:
            changes += self._remove(set(self.instances) - seen)
        if changes:
            self._index_by_service()
        return changes

    def find_by_service(self, service: str) -> list[Instance]:
        """Returns the instances of a service."""
        return self._by_service.get(service, [])

    def find(self, instance: str) -> Instance | None:
        """Returns an instance by its identifier."""
        return self.instances.get(instance)

    def _merge_one(self, entry: InstanceEntry, now_ms: float) -> str:
        known = self.instances.get(entry.instance)
        if known is None:
            self.instances[entry.instance] = Instance(entry, now_ms)
            return "joined"
        if entry.start_ms != known.entry.start_ms:
            if entry.start_ms < known.entry.start_ms:
                return ""
            self.instances[entry.instance] = Instance(entry, now_ms)
            return "reborn"
        if entry.sequence < known.entry.sequence:
            return ""
        was_draining = known.entry.is_draining
        known.update_entry(entry, now_ms)
        if entry.is_draining == was_draining:
            return ""
        return "draining" if entry.is_draining else "ready"

    def _remove(self, instances: set[str]) -> list[FleetChange]:
        removed = [self.instances.pop(name) for name in sorted(instances)]
        return [FleetChange(i.entry.instance, "gone", i.entry.service) for i in removed]

    def _index_by_service(self) -> None:
        self._by_service = {}
        for instance in self.instances.values():
            self._by_service.setdefault(instance.entry.service, []).append(instance)
