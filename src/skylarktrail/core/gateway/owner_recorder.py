"""Decides what the granter writes to the store about the owners of a service."""

from __future__ import annotations

import math
from typing import Iterable, Sequence

from .lease_calls import RecordOwners
from .leased_range import LeasedRange
from .ranges import OwnedRange, coalesce

RECORD_INTERVAL_MS = 60.0  # Changes within this time are recorded together.


class OwnerRecorder:
    """Compares the ranges with their record, and keeps the record being written.

    Args:
        recorded: Ranges on record.

    Attributes:
        is_recording: Whether a record is being written.
    """

    def __init__(self, recorded: Iterable[OwnedRange]) -> None:
        self.is_recording = False
        self._recorded = list(recorded)
        self._last_record_ms = -math.inf
        self._ranges_being_recorded: list[OwnedRange] = []
        self._moves_being_recorded: list[LeasedRange] = []

    def set_recorded(self, recorded: Iterable[OwnedRange]) -> None:
        """Handles that the store has other ranges on record than were written."""
        self._recorded = list(recorded)

    def has_unrecorded(self, ranges: Sequence[LeasedRange]) -> bool:
        """Returns whether an owner or next owner is not on record."""
        return bool(set(_ranges_to_record(ranges)) - set(self._recorded))

    def is_due(self, now_ms: float) -> bool:
        """Returns whether changes may be recorded now."""
        is_early = now_ms < self._last_record_ms + RECORD_INTERVAL_MS
        return not self.is_recording and not is_early

    def begin(
        self, ranges: Sequence[LeasedRange], now_ms: float
    ) -> RecordOwners | None:
        """Returns a record of the owners and next owners if it has changed."""
        if not self.has_unrecorded(ranges):
            return None
        wanted = _ranges_to_record(ranges)
        self._moves_being_recorded = [
            item for item in ranges if item.target and not item.is_target_recorded
        ]
        self._ranges_being_recorded = wanted
        self.is_recording = True
        self._last_record_ms = now_ms
        return RecordOwners(tuple(wanted))

    def finish(self, is_recorded: bool) -> list[LeasedRange]:
        """Handles the result of a record and returns the moves that are now on it."""
        self.is_recording = False
        moves, self._moves_being_recorded = self._moves_being_recorded, []
        if not is_recorded:
            return []
        self._recorded = self._ranges_being_recorded
        return moves


def _ranges_to_record(ranges: Sequence[LeasedRange]) -> list[OwnedRange]:
    """Returns all ranges; a released one has its target as the owner."""
    return coalesce(
        (
            item.owned._replace(owner=item.target, start_ms=item.target_start_ms)
            if item.is_released
            else item.recorded
        )
        for item in ranges
    )
