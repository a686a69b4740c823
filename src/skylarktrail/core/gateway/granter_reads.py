"""Decides how long a daemon relies on the granter's broadcasts of a log.

That the granter lives, or sends the results of other reads, does not show that it still
reads this log: its read may hang while others come through. Only a read that reached
the end of the log shows that, and only for a while.
"""

from __future__ import annotations

import math

# With the read and its application, a record is in force within 2 s of its write if the
# granter does not read it. Granters read twice in this time.
RELIED_ON_MS = 1300.0


class GranterReads:
    """Reads of one log by the granter, as it reports them to this daemon."""

    def __init__(self) -> None:
        self._latest_ms = -math.inf

    def record(self, read_ms: float) -> None:
        """Records a read to the end of the log.

        Args:
            read_ms: When the read began.
        """
        self._latest_ms = max(self._latest_ms, read_ms)

    def relied_on_ms(self, now_ms: float) -> float:
        """Returns for how long the broadcasts are relied on; 0 if they are not."""
        return max(0.0, self._latest_ms + RELIED_ON_MS - now_ms)
