"""Determines whether all owners of keys are on record.

A store that returned to an older copy has lost its last records. A record that is
missing is then no proof that there was none, and numbers that follow the last record
may be given out twice. Only the era of the store tells of it: it rises each time.
"""

from __future__ import annotations

from .positions import era_of
from .shared_state import SharedState

# A first read within this time after the first start of a site precedes all grants: a
# new granter waits longer for the first listing of the instances.
FIRST_READ_MS = 2000.0


class OwnerRecords:
    """Whether the records of owners are complete, as far as one process can know.

    They are if the granter of the store's present era has recorded so, or if the
    process has seen this era from the first start of the site on. A store whose era is
    0, or that names none, never returned to an older copy.

    Args:
        shared: Records that the daemons share, as last read.
        first_start_ms: When the process started, if that was the first start of the
            whole site; else None.
    """

    def __init__(self, shared: SharedState, first_start_ms: float | None) -> None:
        self._shared = shared
        self._first_start_ms = first_start_ms
        self._has_read = False
        self._first_era: int | None = None

    def observe_read(self, position: int, now_ms: float) -> bool:
        """Handles a read of the records; returns whether it shows a new site.

        Only the first read may, as it shows the era at the start.
        """
        is_first, self._has_read = not self._has_read, True
        started_ms = self._first_start_ms
        if not is_first or started_ms is None or now_ms > started_ms + FIRST_READ_MS:
            return False
        self._first_era = era_of(position)
        return True

    def are_complete(self, position: int) -> bool:
        """Returns whether the records up to a position name all owners."""
        era = era_of(position)
        return era == self._first_era or self.is_era_recorded(position)

    def is_era_recorded(self, position: int) -> bool:
        """Returns whether a granter has recorded all owners in a position's era."""
        return self._shared.era >= era_of(position)
