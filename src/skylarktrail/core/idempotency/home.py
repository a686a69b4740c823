"""The home of one group in this process, through its successive tenures."""

from __future__ import annotations

import uuid

from .table import Attempt, IdempotencyTable, TableLimits, TableSnapshot, TenureView
from .verdicts import NotHome, Outcome, Verdict


class Home:
    """Keeps the table of one group and the time from which it knows every key.

    The table outlives a tenure: what it holds stays true, and keys that another
    home may have run in between are below the barrier of the new tenure. When
    this process claims the term after its own, no other home acted in between
    and the barrier stays. A home that has stopped may hand its knowledge to the
    home of the next term, which takes over the barrier with it.

    Attributes:
        table: The keys.
        term: The last term that was entered; 0 for none.
    """

    def __init__(self, limits: TableLimits) -> None:
        self.table = IdempotencyTable(limits)
        self.term = 0
        self._closed_term = 0
        self._barrier_term = 0
        self._acting_since_wall_ms = 0

    def begin(
        self, now_ms: int, wall_ms: int, attempt: Attempt, tenure: TenureView
    ) -> Verdict:
        """Decides whether an attempt may run; see `IdempotencyTable.begin`."""
        if not self.update_tenure(tenure):
            return NotHome()
        since_ms = self._acting_since_wall_ms
        known = tenure._replace(acting_since_wall_ms=since_ms)
        return self.table.begin(now_ms, wall_ms, attempt, known)

    def finish(self, key: uuid.UUID, attempt_id: bytes, outcome: Outcome) -> bool:
        """Records how an attempt ended; see `IdempotencyTable.finish`."""
        return self.table.finish(key, attempt_id, outcome)

    def update_tenure(self, tenure: TenureView) -> bool:
        """Takes note of a tenure; returns False when this home may not act in it."""
        if not tenure.is_confirmed or tenure.term <= self._closed_term:
            return False
        if tenure.term != self.term and not self._is_next_term(tenure.term):
            self._barrier_term = tenure.term
            self._acting_since_wall_ms = tenure.acting_since_wall_ms
        self.term = tenure.term
        self._update_barrier(tenure)
        return True

    def _update_barrier(self, tenure: TenureView) -> None:
        """Follows a step of the wall clock in the term that set the barrier."""
        if tenure.term == self._barrier_term:
            since_ms = max(self._acting_since_wall_ms, tenure.acting_since_wall_ms)
            self._acting_since_wall_ms = since_ms
            self.table.raise_barrier(since_ms)

    def hand_over(self, now_ms: int, term: int, max_bytes: int) -> TableSnapshot | None:
        """Stops acting in a term for good and returns what is known.

        Args:
            now_ms: Monotonic clock.
            term: A term that is over.
            max_bytes: Memory of the entries handed over; the newest go first.

        Returns:
            The knowledge, or None when this home did not act in that term.
        """
        self._closed_term = max(self._closed_term, term)
        if self.term != term:
            return None
        return self.table.create_snapshot(now_ms, max_bytes)

    def take_over(
        self, now_ms: int, term: int, previous_term: int, table_snapshot: TableSnapshot
    ) -> bool:
        """Adds the knowledge of the home of the term before.

        Args:
            now_ms: Monotonic clock.
            term: Own term.
            former_term: Term in which the other home acted.
            kept: What it knew when it had stopped.

        Returns:
            False when other homes may have acted in between; nothing changes.
        """
        if previous_term + 1 != term or self.term > term:
            return False
        self.term = term
        self._barrier_term = 0
        self._acting_since_wall_ms = self.table.restore_snapshot(now_ms, table_snapshot)
        return True

    def _is_next_term(self, term: int) -> bool:
        """Tells whether a term follows directly on one of this process."""
        return self.term > 0 and term == self.term + 1
