"""The home of one home group in this process, across its terms."""

from __future__ import annotations

import uuid

from .table import Attempt, IdempotencyTable, TableLimits, TableSnapshot, TermView
from .verdicts import NotHome, Outcome, Verdict


class Home:
    """The idempotency table of one home group and its barrier.

    The barrier is the timestamp up to which keys may have run at previous homes; a key
    up to it that has no entry is refused. The table is kept across terms: its entries
    stay valid, and keys that another home may have run in between are below the barrier
    of the new term. If this process claims the term directly after its own, no other
    home acted in between and the barrier stays. A home that has stopped may hand over a
    snapshot of its table to the home of the next term, which also takes over the
    barrier.

    Attributes:
        table: Entries of the keys.
        term: Latest term in which this home acted; 0 before the first one.
    """

    def __init__(self, limits: TableLimits) -> None:
        self.table = IdempotencyTable(limits)
        self.term = 0
        # Latest term that was handed over; the home acts in no term up to it.
        self._closed_term = 0
        # Term at whose start the barrier was raised; 0 before the first one and after
        # a snapshot was taken over.
        self._barrier_term = 0
        self._acting_since_wall_ms = 0

    def begin(
        self, now_ms: int, wall_ms: int, attempt: Attempt, granter_term: TermView
    ) -> Verdict:
        """Decides whether an attempt may run; see `IdempotencyTable.begin`."""
        if not self.update_term(granter_term):
            return NotHome()
        since_ms = self._acting_since_wall_ms
        known = granter_term._replace(acting_since_wall_ms=since_ms)
        return self.table.begin(now_ms, wall_ms, attempt, known)

    def finish(self, key: uuid.UUID, attempt_id: bytes, outcome: Outcome) -> bool:
        """Records the outcome of an attempt; see `IdempotencyTable.finish`."""
        return self.table.finish(key, attempt_id, outcome)

    def update_term(self, granter_term: TermView) -> bool:
        """Applies a term; returns False if this home may not act in it."""
        if not granter_term.is_confirmed or granter_term.term <= self._closed_term:
            return False
        if granter_term.term != self.term and not self._is_next_term(granter_term.term):
            self._barrier_term = granter_term.term
            self._acting_since_wall_ms = granter_term.acting_since_wall_ms
        self.term = granter_term.term
        self._update_barrier(granter_term)
        return True

    def _update_barrier(self, granter_term: TermView) -> None:
        """Raises the barrier if the wall clock was stepped in the term that set it."""
        if granter_term.term == self._barrier_term:
            since_ms = max(
                self._acting_since_wall_ms, granter_term.acting_since_wall_ms
            )
            self._acting_since_wall_ms = since_ms
            self.table.raise_barrier(since_ms)

    def hand_over(self, now_ms: int, term: int, max_bytes: int) -> TableSnapshot | None:
        """Stops acting in a term permanently and returns a snapshot of the table.

        Args:
            now_ms: Monotonic time.
            term: A term that is over.
            max_bytes: Largest estimated memory of the entries; the newest are included
                first.

        Returns:
            The snapshot, or None if this home did not act in that term.
        """
        self._closed_term = max(self._closed_term, term)
        if self.term != term:
            return None
        return self.table.create_snapshot(now_ms, max_bytes)

    def take_over(
        self, now_ms: int, term: int, previous_term: int, table_snapshot: TableSnapshot
    ) -> bool:
        """Adds the snapshot of the home of the previous term.

        Args:
            now_ms: Monotonic time.
            term: Term of this home.
            previous_term: Term in which the other home acted.
            table_snapshot: Snapshot that the other home returned after it stopped.

        Returns:
            False, without any change, if other homes may have acted in between.
        """
        if previous_term + 1 != term or self.term > term:
            return False
        self.term = term
        self._barrier_term = 0
        self._acting_since_wall_ms = self.table.restore_snapshot(now_ms, table_snapshot)
        return True

    def _is_next_term(self, term: int) -> bool:
        """Returns whether a term directly follows the last term of this home."""
        return self.term > 0 and term == self.term + 1
