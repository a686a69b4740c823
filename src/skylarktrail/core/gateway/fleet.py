"""Tracks all instances by the entries that they keep in the store."""

from __future__ import annotations

import math
from typing import Iterable, NamedTuple

from .instance import Instance
from .leaving import LeavingInstances, LeavingNotice
from .model import InstanceEntry

# Entries that expired during an outage of the store are written again within this time.
OUTAGE_GRACE_MS = 2000.0
# An instance that reaches the store writes a newer entry within this time.
MAX_OUTDATED_MS = 5000.0


class FleetChange(NamedTuple):
    """A change of one instance.

    Attributes:
        instance: Its identifier.
        change: `joined`, `reborn` (a new incarnation under the same identifier),
            `draining`, `ready` or `gone`.
        service: Service that it belongs to.
    """

    instance: str
    change: str
    service: str


class Fleet:
    """Instances by identifier.

    Instances whose entries expire during an outage of the store are kept for a while.
    An incarnation that has said that it leaves is leaving whenever it is listed.
    """

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self._by_service: dict[str, list[Instance]] = {}
        self._unreliable_until_ms = 0.0
        self._lower_since_ms: dict[str, float] = {}
        self._leaving = LeavingInstances()

    def record_store_outage(self, now_ms: float) -> None:
        """Records that a read of the store has failed."""
        self._unreliable_until_ms = now_ms + OUTAGE_GRACE_MS

    def merge(
        self, entries: Iterable[InstanceEntry], now_ms: float
    ) -> list[FleetChange]:
        """Applies all entries of one read and returns the changes."""
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
        """Returns the instance with an identifier, if there is one."""
        return self.instances.get(instance)

    def record_leaving(self, notice: LeavingNotice, now_ms: float) -> bool:
        """Records that an incarnation says that it leaves; returns whether it is new.

        It may not be listed yet, or not any more.
        """
        if not self._leaving.record(notice, now_ms):
            return False
        found = self.instances.get(notice.instance)
        if found is not None and found.entry.start_ms == notice.start_ms:
            found.record_leaving(now_ms)
        return True

    def leaving_notices(self) -> list[LeavingNotice]:
        """Returns the notices of the listed instances that say that they leave."""
        return [
            _make_notice(instance.entry)
            for instance in self.instances.values()
            if instance.told_leaving_ms < math.inf
        ]

    def _add(self, entry: InstanceEntry, now_ms: float) -> None:
        instance = Instance(entry, now_ms)
        instance.record_leaving(self._leaving.since_ms(_make_notice(entry)))
        self.instances[entry.instance] = instance

    def _merge_one(self, entry: InstanceEntry, now_ms: float) -> str:
        known = self.instances.get(entry.instance)
        if known is None:
            self._add(entry, now_ms)
            return "joined"
        if entry.start_ms != known.entry.start_ms:
            if entry.start_ms < known.entry.start_ms:
                return ""
            self._add(entry, now_ms)
            return "reborn"
        if self._is_outdated(entry, known.entry, now_ms):
            return ""
        was_draining = known.entry.is_draining
        known.update_entry(entry, now_ms)
        if entry.is_draining == was_draining:
            return ""
        return "draining" if entry.is_draining else "ready"

    def _is_outdated(
        self, entry: InstanceEntry, known: InstanceEntry, now_ms: float
    ) -> bool:
        """Returns whether a store may have returned an earlier entry of an incarnation.

        If it does for long, the known entry is the wrong one: another writer left it.
        """
        if entry.sequence >= known.sequence:
            self._lower_since_ms.pop(entry.instance, None)
            return False
        since_ms = self._lower_since_ms.setdefault(entry.instance, now_ms)
        if now_ms - since_ms < MAX_OUTDATED_MS:
            return True
        del self._lower_since_ms[entry.instance]
        return False

    def _remove(self, names: set[str]) -> list[FleetChange]:
        for name in names:
            self._lower_since_ms.pop(name, None)
        removed = [self.instances.pop(name) for name in sorted(names)]
        return [FleetChange(i.entry.instance, "gone", i.entry.service) for i in removed]

    def _index_by_service(self) -> None:
        self._by_service = {}
        for instance in self.instances.values():
            self._by_service.setdefault(instance.entry.service, []).append(instance)


def _make_notice(entry: InstanceEntry) -> LeavingNotice:
    return LeavingNotice(entry.instance, entry.start_ms)
