"""Lease calls of the granter that have no result yet."""

from __future__ import annotations

from typing import NamedTuple, Sequence

from .leased_range import LeasedRange

GRANT, RENEWAL, FENCING, RELEASE = "grant", "renewal", "fencing", "release"
# Longer than any call whose answer comes at once, with the wait for a thread.
MAX_CALL_MS = 6000.0


class PendingCall(NamedTuple):
    """A call without a result yet.

    Attributes:
        ranges: The parts of the range that it is about.
        lease_ms: Length of the lease that it grants; 0 for a release.
        kind: `GRANT`, `RENEWAL`, `FENCING` or `RELEASE`.
        begun_ms: When it began.
    """

    ranges: list[LeasedRange]
    lease_ms: float
    kind: str
    begun_ms: float


class PendingCalls:
    """Numbers the calls and keeps those without a result.

    Args:
        last_number: Number before that of the first call.
    """

    def __init__(self, last_number: int) -> None:
        self._last_number = last_number
        self._calls: dict[int, PendingCall] = {}

    def begin(
        self, item: LeasedRange, lease_ms: float, kind: str, now_ms: float
    ) -> int:
        """Registers a new call about a range and returns its number."""
        self._last_number += 1
        item.call_id = self._last_number
        self._calls[item.call_id] = PendingCall([item], lease_ms, kind, now_ms)
        return item.call_id

    def pop(self, call_id: int) -> PendingCall | None:
        """Removes a call and returns it; None if it is not pending."""
        return self._calls.pop(call_id, None)

    def find_overdue(self, now_ms: float) -> list[int]:
        """Returns the numbers of the calls that have had no result for too long."""
        return [
            call_id
            for call_id, call in self._calls.items()
            if now_ms > call.begun_ms + MAX_CALL_MS
        ]

    def split_range(self, item: LeasedRange, parts: Sequence[LeasedRange]) -> None:
        """Lets the result of the call in flight apply to all parts of its range."""
        if not item.call_id:
            return
        call = self._calls[item.call_id]
        others = [other for other in call.ranges if other is not item]
        for part in parts:
            part.call_id = item.call_id
        self._calls[item.call_id] = call._replace(ranges=[*others, *parts])
