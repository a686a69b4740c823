"""Finds the instance that owns a key, while ranges move and records lag behind.

A new owner is recorded before its grant arrives, and a former one may have released a
range before the record says so. Requests then wait a moment or go to the next owner.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from .fleet import Fleet
from .ranges import OwnedRange, OwnerTable
from .shared_state import SharedState

# Requests for a range wait this long after a new owner is recorded, as the grant
# reaches the owner at about the time when other daemons read the record.
GRANT_DELIVERY_MS = 12.0
MAX_MOVE_MS = 600.0  # Longest time that requests wait for the move of a range.
# How long requests for a range that its owner has released go to its next owner.
RELEASED_RANGE_MS = 1000.0
# How long requests for a key do not go to an owner that said it does not hold the key,
# the first time and when it says so again.
UNHELD_KEY_MS = 200.0
REPEATED_UNHELD_KEY_MS = 400.0
# Two such answers follow on each other if the second comes this soon after that time.
UNHELD_SEQUENCE_MS = 1000.0
MAX_UNHELD_KEYS = 4096


class UnheldKey(NamedTuple):
    """A key hash that its owner said it does not hold.

    Attributes:
        instance: The owner, or the next owner of a range that its owner has released.
        owners: Recorded owner and next owner at that time, with their starts.
        until_ms: Until when requests for the hash do not go to the owner.
        is_repeated: Whether it said so again after it had been given time.
    """

    instance: str
    owners: tuple[str | int, ...]
    until_ms: float
    is_repeated: bool


class KeyOwners:
    """Owners of key hashes as requests are to be sent; the caller holds a lock.

    Args:
        shared: Records that the daemons share, with the recorded owners.
        fleet: Instances of the site.

    Attributes:
        now_ms: Time of the current decision.
    """

    def __init__(self, shared: SharedState, fleet: Fleet) -> None:
        self._shared = shared
        self._fleet = fleet
        self._unheld_keys: dict[tuple[str, int], UnheldKey] = {}
        self._pending_ranges: dict[tuple[str, OwnedRange], float] = {}
        self._released_ranges: dict[tuple[str, OwnedRange], float] = {}
        self.now_ms = 0.0

    def record_owners(
        self, service: str, before: OwnerTable | None, after: OwnerTable, now_ms: float
    ) -> None:
        """Records a new table of owners; ranges with a new owner wait for its grant."""
        if before is None or before is after:
            return
        known = set(before.ranges)
        self._pending_ranges = {
            k: v for k, v in self._pending_ranges.items() if v > now_ms
        }
        self._released_ranges = {
            k: v for k, v in self._released_ranges.items() if v > now_ms
        }
        for owned in after.ranges:
            previous = before.find(owned.first)
            is_same = (
                previous is not None
                and previous[2:] == owned[2:]
                and previous.last >= owned.last
            )
            if owned not in known and not is_same:
                wait_ms = MAX_MOVE_MS if owned.next_owner else GRANT_DELIVERY_MS
                self._pending_ranges[(service, owned)] = now_ms + wait_ms

    def record_unheld_key(
        self, service: str, key_hash: int, instance: str, now_ms: float
    ) -> None:
        """Records that an instance reports that it does not hold a key hash."""
        table = self._shared.owners.get(service)
        owned = table.find(key_hash) if table else None
        if owned is None:
            return
        if owned.next_owner and owned.owner == instance:
            self._released_ranges[(service, owned)] = now_ms + RELEASED_RANGE_MS
            return
        self._add_unheld_key((service, key_hash), instance, owned, now_ms)

    def record_held_key(self, service: str, key_hash: int) -> None:
        """Records that the owner of a key hash has answered a request for it."""
        self._unheld_keys.pop((service, key_hash), None)

    def _add_unheld_key(
        self, key: tuple[str, int], instance: str, owned: OwnedRange, now_ms: float
    ) -> None:
        """Adds a key hash that its owner does not hold.

        The answers to requests that were sent together count as one.
        """
        known = self._unheld_keys.get(key)
        known_until_ms = -math.inf
        if known is not None and known[:2] == (instance, owned[2:]):
            known_until_ms = known.until_ms
        if now_ms < known_until_ms:
            return
        is_repeated = now_ms < known_until_ms + UNHELD_SEQUENCE_MS
        wait_ms = REPEATED_UNHELD_KEY_MS if is_repeated else UNHELD_KEY_MS
        if len(self._unheld_keys) >= MAX_UNHELD_KEYS:
            self._unheld_keys.clear()
        self._unheld_keys[key] = UnheldKey(
            instance, owned[2:], now_ms + wait_ms, is_repeated
        )

    def _find_unheld_key(
        self, service: str, key_hash: int, owned: OwnedRange | None
    ) -> UnheldKey | None:
        """Returns what its owner said of a hash if it still counts."""
        unheld = self._unheld_keys.get((service, key_hash))
        is_valid = (
            unheld is not None
            and unheld.until_ms > self.now_ms
            and owned is not None
            and unheld.owners == owned[2:]
        )
        return unheld if is_valid else None

    def missing_ms(self, service: str, key_hash: int) -> float:
        """Returns how long a hash is known to have no owner; 0 if it may have one.

        An owner that says again, after some time, that it does not hold a hash waits
        for a grant that is late, and no newer record names another owner.
        """
        table = self._shared.owners.get(service)
        owned = table.find(key_hash) if table else None
        unheld = self._find_unheld_key(service, key_hash, owned)
        if unheld is None or not unheld.is_repeated:
            return 0.0
        return unheld.until_ms - self.now_ms

    def find(self, service: str, key_hash: int) -> str:
        """Returns the instance that requests for a key hash go to; "" for none."""
        table = self._shared.owners.get(service)
        owned = table.find(key_hash) if table else None
        if owned is None:
            return ""
        if self._pending_ranges.get((service, owned), 0.0) > self.now_ms:
            return ""
        name, start_ms = owned.owner, owned.start_ms
        if self._released_ranges.get((service, owned), 0.0) > self.now_ms:
            name, start_ms = owned.next_owner, owned.next_start_ms
        unheld = self._find_unheld_key(service, key_hash, owned)
        if unheld is not None and unheld.instance == name:
            return ""
        instance = self._fleet.find(name)
        is_same_incarnation = (
            instance is not None and instance.entry.start_ms == start_ms
        )
        return name if is_same_incarnation else ""

    def is_moving(self, service: str, key_hash: int) -> bool:
        """Returns whether a key hash will have an owner again soon.

        An owner that is no longer listed may hold its lease for seconds, so its hashes
        are not expected to move soon.
        """
        table = self._shared.owners.get(service)
        if table is None:
            return False
        owned = table.find(key_hash)
        return owned is None or self._fleet.find(owned.owner) is not None
