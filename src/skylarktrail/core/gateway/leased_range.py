"""Hashes of one owner and what the granter knows of the owner's lease."""

from __future__ import annotations

import math
from copy import copy

from .ranges import OwnedRange


class LeasedRange:
    """Hashes, their owner and what is known of the owner's lease.

    Attributes:
        owned: The hashes and the only instance that may hold them, but for a move that
            is taken over.
        target: Instance that is to get them.
        target_start_ms: Start of its life.
        is_target_recorded: Whether the record names the target, so that it may get them as soon
            as the owner holds them no more.
        is_inherited_move: Whether a former granter has agreed on the move, so that either
            instance may hold them.
        former_calls_end_ms: Until when orders of that granter may still arrive.
    """

    def __init__(
        self, owned: OwnedRange, address: str, inherited_lease_end_ms: float
    ) -> None:
        self.owned = owned._replace(next_owner="", next_start_ms=0)
        self.address = address
        self.inherited_lease_end_ms = inherited_lease_end_ms
        self.fence = 0
        self.is_acknowledged = False
        self.is_releasing = False
        self.is_released = False
        self.unanswered_grant_end_ms = -math.inf
        self.lease_end_ms = -math.inf
        self.next_call_ms = 0.0
        self.call_id = 0
        self.refusals = 0
        self.handover = ""
        self.target = owned.next_owner
        self.target_start_ms = owned.next_start_ms
        self.is_target_recorded = self.is_inherited_move = bool(owned.next_owner)
        self.former_calls_end_ms = -math.inf

    @property
    def recorded(self) -> OwnedRange:
        """Returns the range as the record has to show it while its owner keeps it."""
        return self.owned._replace(
            next_owner=self.target, next_start_ms=self.target_start_ms
        )

    def transfer_to_target(self, address: str) -> None:
        """Makes the target the owner; nobody else may hold the hashes any more.

        Args:
            address: Where the target listens.
        """
        if (
            not self.is_inherited_move
        ):  # Else a former granter may have given it a lease.
            self.inherited_lease_end_ms = -math.inf
        self.owned = self.owned._replace(
            owner=self.target, start_ms=self.target_start_ms
        )
        self.address = address
        self.fence = 0
        self.is_acknowledged = self.is_releasing = self.is_released = False
        self.unanswered_grant_end_ms = self.lease_end_ms = -math.inf
        self.next_call_ms = 0.0
        self.refusals = 0
        self.is_inherited_move = False
        self.clear_target()

    def set_target(self, target: str, start_ms: int) -> None:
        """Notes which life of an instance is to get the hashes."""
        self.target = target
        self.target_start_ms = start_ms

    def clear_target(self) -> None:
        """Gives up a move that has not come about."""
        self.set_target("", 0)
        self.is_target_recorded = False

    def needs_fencing(self, now_ms: float) -> bool:
        """Tells whether an earlier grant may still take effect after a release."""
        return not self.is_acknowledged or now_ms < self.unanswered_grant_end_ms

    def can_release(self, now_ms: float) -> bool:
        """Tells whether a release now ends all that the owner may hold."""
        if self.is_inherited_move:
            return now_ms >= self.former_calls_end_ms
        return not self.needs_fencing(now_ms)

    def copy_subrange(self, first: int, last: int) -> LeasedRange:
        """Returns a copy for some of its hashes."""
        subrange = copy(self)
        subrange.owned = self.owned._replace(first=first, last=last)
        subrange.call_id = 0
        return subrange
