"""Writes of the granter to the shared records, until their outcome is known."""

from __future__ import annotations

import math
from typing import Sequence

from .ranges import OwnedRange
from .shared_state import (
    ERA_KEY,
    GRANTER_KEY,
    OWNERS_PREFIX,
    SharedState,
    encode_era,
    encode_granter,
    encode_owners,
)

WRITE_RETRY_MS = 200.0  # Delay before a write of unknown outcome is retried.


class PendingWrite:
    """A write to the shared records whose outcome is not known yet.

    Args:
        key: Key of the record.
        value: Value of the record.
        service: Service whose owners are written; empty for other records.
        ranges: The owners that the value encodes.

    Attributes:
        expected_position: The write applies only if the log ends at this position.
        is_sent: Whether the write was sent at least once.
        sent_ms: When it was sent last.
        retry_at_ms: When to send it again; 0 while a call is in flight, infinite if
            that is of no use.
    """

    def __init__(
        self,
        key: str,
        value: bytes,
        service: str = "",
        ranges: Sequence[OwnedRange] = (),
    ) -> None:
        self.ranges = ranges
        self.key = key
        self.value = value
        self.service = service
        self.expected_position = -1
        self.is_sent = False
        self.sent_ms = 0.0
        self.retry_at_ms = 0.0

    @property
    def is_in_flight(self) -> bool:
        """Returns whether a call that carries the write has not ended yet."""
        return self.is_sent and self.retry_at_ms == 0.0

    def name_term(self, term: int) -> None:
        """Lets owners that are sent for the first time name a term.

        They may have waited for the claim of a later era.
        """
        if self.service and not self.is_sent:
            self.value = encode_owners(self.ranges, term)

    def is_on_record(self, shared: SharedState) -> bool:
        """Returns whether the records that were read say what the write says."""
        if self.key == GRANTER_KEY:
            return encode_granter(shared.granter) == self.value
        if self.key == ERA_KEY:
            return encode_era(shared.era) == self.value
        if shared.are_owners_uncertain(self.service):
            return False
        return shared.recorded_owners(self.service).ranges == list(self.ranges)

    def is_due(self, now_ms: float) -> bool:
        """Returns whether to send the write, or to send it again."""
        return not self.is_sent or 0.0 < self.retry_at_ms <= now_ms

    def record_sending(self, position: int, now_ms: float) -> None:
        """Records that a call starts; the log has to end at the first's position."""
        if not self.is_sent:
            self.expected_position = position
        self.is_sent = True
        self.sent_ms = now_ms
        self.retry_at_ms = 0.0

    def record_failure(self, now_ms: float) -> None:
        """Records that a call ended without a position."""
        self.retry_at_ms = now_ms + WRITE_RETRY_MS

    def record_conflict(self) -> None:
        """Records that the log does not end at the expected position any more.

        The write cannot be applied after that; a read shows whether it was before.
        """
        self.retry_at_ms = math.inf


def make_owners_write(
    service: str, ranges: Sequence[OwnedRange], term: int
) -> PendingWrite:
    """Returns a write of the owners of a service by the granter of a term."""
    value = encode_owners(ranges, term)
    return PendingWrite(OWNERS_PREFIX + service, value, service, ranges)
