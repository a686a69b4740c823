"""The listed instances of one keyed service, and what follows from their entries."""

from __future__ import annotations

from typing import Mapping

from .lease_calls import KeyedInstance
from .leased_range import LeasedRange


class ListedOwners:
    """The instances that are listed at present.

    Args:
        owners: The instances by identifier.
    """

    def __init__(self, owners: Mapping[str, KeyedInstance]) -> None:
        self._owners = owners

    def get(self, instance: str) -> KeyedInstance | None:
        """Returns an instance; None if it is not listed."""
        return self._owners.get(instance)

    def start_ms(self, instance: str) -> int:
        """Returns the start of the incarnation of a listed instance."""
        return self._owners[instance].start_ms

    def capacities(self) -> dict[str, float]:
        """Returns the capacity of each instance that may receive keys."""
        return {
            owner.instance: owner.capacity
            for owner in self._owners.values()
            if owner.can_receive_keys
        }

    def can_receive(self, instance: str) -> bool:
        """Returns whether an instance may receive keys."""
        owner = self._owners.get(instance)
        return owner is not None and owner.can_receive_keys

    def can_target_receive(self, item: LeasedRange) -> bool:
        """Returns whether the target still runs as recorded and may receive keys."""
        owner = self._owners.get(item.target)
        is_same_incarnation = (
            owner is not None and owner.start_ms == item.target_start_ms
        )
        return is_same_incarnation and owner.can_receive_keys

    def can_keep(self, item: LeasedRange) -> bool:
        """Returns whether the owner of a range may keep it."""
        owner = self._owners.get(item.owned.owner)
        return owner is not None and owner.can_keep_keys

    def is_pinned(self, item: LeasedRange) -> bool:
        """Returns whether the owner of a range keeps its keys but may get no more."""
        return self.can_keep(item) and not self.can_receive(item.owned.owner)

    def keeps_meanwhile(self, item: LeasedRange) -> bool:
        """Returns whether the owner keeps a range until it may be released."""
        return item.is_deferred and item.owned.owner in self._owners

    def reaches_known_process(self, item: LeasedRange) -> bool:
        """Returns whether calls to an owner reach the process that is known of it.

        They may reach another one while the listing is older than the records.
        """
        owner = self._owners.get(item.owned.owner)
        return owner is None or owner.start_ms == item.process_start_ms

    def address_of(self, item: LeasedRange) -> str:
        """Returns the address of the owner; the last known one if it is unlisted."""
        owner = self._owners.get(item.owned.owner)
        return owner.address if owner else item.address

    def target_address(self, item: LeasedRange) -> str:
        """Returns the address of the target; empty if it is unlisted."""
        owner = self._owners.get(item.target)
        return owner.address if owner else ""
