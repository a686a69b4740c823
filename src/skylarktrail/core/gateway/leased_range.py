"""Hashes of one owner and what the granter knows of the owner's lease."""

from __future__ import annotations

import math

from .ranges import OwnedRange


class LeasedRange:
    """Hashes, their owner and what is known of the owner's lease."""

    def __init__(
        self, owned: OwnedRange, address: str, inherited_end_ms: float
    ) -> None:
        self.owned = owned
        self.address = address
        self.inherited_end_ms = inherited_end_ms
        self.fence = 0
        self.is_held = False
        self.is_leaving = False
        self.is_free = False
        self.unanswered_until_ms = -math.inf
        self.lease_end_ms = -math.inf
        self.next_call_ms = 0.0
        self.call = 0
        self.refusals = 0
        self.handover = ""
        self.target = ""
        self.target_born_ms = 0

    def reset(self) -> None:
        """Begins anew with the owner that was recorded."""
        self.fence = 0
        self.is_held = self.is_leaving = self.is_free = False
        self.unanswered_until_ms = self.lease_end_ms = -math.inf
        self.inherited_end_ms = -math.inf
        self.next_call_ms = 0.0
        self.refusals = 0
        self.target = ""

    def needs_fencing(self, now_ms: float) -> bool:
        """Tells whether an earlier grant may still take effect after a release."""
        return not self.is_held or now_ms < self.unanswered_until_ms

    def part(self, first: int, last: int) -> LeasedRange:
        """Returns a copy for some of its hashes."""
        copy = LeasedRange(
            self.owned._replace(first=first, last=last),
            self.address,
            self.inherited_end_ms,
        )
        names = ("fence", "is_held", "is_leaving", "is_free", "unanswered_until_ms")
        for name in (
            *names,
            "next_call_ms",
            "handover",
            "target",
            "refusals",
            "lease_end_ms",
        ):
            setattr(copy, name, getattr(self, name))
        return copy
