"""Table of the outcomes of idempotency keys at their home."""

from __future__ import annotations

import uuid
from typing import NamedTuple

from sortedcontainers import SortedDict

from .keys import is_well_formed, key_timestamp_ms
from .verdicts import (
    AnswerDropped,
    Answered,
    ClockBehind,
    ExecutionUnknown,
    Forgotten,
    FromFuture,
    InProgress,
    Malformed,
    NotHome,
    NotRun,
    Outcome,
    OutcomeUnknown,
    Recorded,
    RecordedDropped,
    RequestMismatch,
    Run,
    Verdict,
)

ENTRY_OVERHEAD_BYTES = 640
HEADER_OVERHEAD_BYTES = 160
ANSWER_MAX_DIVISOR = 16
FINISH_MARGIN_MS = 1000


class TableLimits(NamedTuple):
    """Limits of one table.

    Attributes:
        max_bytes: Estimated memory of all entries; the tables of a daemon share it.
        max_entries: Number of entries; the tables of a daemon share it.
        keep_ms: How long a key is kept, counted from its timestamp.
        skew_ms: Largest skew between two clocks, and largest time by which the
            timestamp of a key may be in the future.
        max_answer_bytes: Largest answer that is recorded.
    """

    max_bytes: int
    max_entries: int
    keep_ms: int
    skew_ms: int
    max_answer_bytes: int = 64 << 10


class TermView(NamedTuple):
    """Term of a home as known after it received the attempt.

    Attributes:
        is_confirmed: Whether the home may act now.
        acting_since_wall_ms: Wall clock time from which no previous home acts.
        term: Term of the term.
    """

    is_confirmed: bool
    acting_since_wall_ms: int
    term: int


class Attempt(NamedTuple):
    """One attempt to run a request.

    Attributes:
        key: Idempotency key of the request.
        digest: Digest of tenant, method, route and body.
        id: Unique id of the attempt.
        time_left_ms: Time until the deadline of the attempt.
        wall_ms: Wall clock time of the entry daemon.
    """

    key: uuid.UUID
    digest: bytes
    id: bytes
    time_left_ms: int
    wall_ms: int


class Entry(NamedTuple):
    """Entry of one key.

    Attributes:
        digest: Digest of the first attempt.
        attempt_id: Id of the attempt that was allowed to run.
        wait_ends_ms: Monotonic time until which its outcome is awaited.
        outcome: Outcome of the attempt; None while it runs.
    """

    digest: bytes
    attempt_id: bytes
    wait_ends_ms: int
    outcome: Answered | AnswerDropped | OutcomeUnknown | None


class SnapshotEntry(NamedTuple):
    """Entry of one key in a snapshot.

    Attributes:
        key: Idempotency key.
        digest: Digest of the first attempt.
        attempt_id: Id of the attempt that was allowed to run.
        time_left_ms: How much longer its outcome is awaited.
        outcome: Outcome of the attempt; None while it runs.
    """

    key: uuid.UUID
    digest: bytes
    attempt_id: bytes
    time_left_ms: int
    outcome: Answered | AnswerDropped | OutcomeUnknown | None


class TableSnapshot(NamedTuple):
    """Snapshot of a table for the home of the next term.

    Attributes:
        barrier_ms: Keys with a timestamp up to this one may have run at previous homes.
        watermark_ms: Keys with a timestamp up to this one may have been dropped.
        entries: Entries of the keys, newest first.
    """

    barrier_ms: int
    watermark_ms: int
    entries: tuple[SnapshotEntry, ...]


class IdempotencyTable:
    """Outcomes of the keys of one home group.

    A key without an entry may run only if no home can have run it. So its timestamp
    must be after the start of the term and above the watermark of dropped keys.

    Attributes:
        size_bytes: Estimated memory of all entries.
        watermark_ms: Keys with a timestamp up to this one may have been dropped.
    """

    def __init__(self, limits: TableLimits) -> None:
        self._limits = limits
        self._entries: SortedDict[int, Entry] = SortedDict()
        self._barrier_ms = 0
        self.size_bytes = 0
        self.watermark_ms = 0

    def __len__(self) -> int:
        return len(self._entries)

    def begin(
        self, now_ms: int, wall_ms: int, attempt: Attempt, granter_term: TermView
    ) -> Verdict:
        """Decides whether an attempt may run.

        Args:
            now_ms: Monotonic time of the home.
            wall_ms: Wall clock time of the home.
            attempt: The attempt.
            term: State of the term, read after the attempt was received.
        """
        if not is_well_formed(attempt.key):
            return Malformed()
        if not granter_term.is_confirmed or wall_ms < granter_term.acting_since_wall_ms:
            return NotHome()
        self._drop_expired(wall_ms)
        entry = self._entries.get(attempt.key.int)
        if entry is not None:
            return self._verdict_for_retry(entry, now_ms, attempt)
        fault = self._check_new_key(wall_ms, attempt, granter_term)
        if fault is not None:
            return fault
        ends_ms = now_ms + attempt.time_left_ms + FINISH_MARGIN_MS
        self._put(attempt.key, Entry(attempt.digest, attempt.id, ends_ms, None))
        return Run(granter_term.term)

    def finish(self, key: uuid.UUID, attempt_id: bytes, outcome: Outcome) -> bool:
        """Records the outcome of an attempt.

        Returns:
            False, without any change, if the key has no entry of this attempt.
        """
        entry = self._entries.get(key.int)
        if entry is None or entry.attempt_id != attempt_id:
            return False
        self._remove(key.int)
        if not isinstance(outcome, NotRun):
            self._put(key, entry._replace(outcome=self._drop_large_answer(outcome)))
        return True

    def oldest_timestamp_ms(self) -> int | None:
        """Returns the timestamp of the key that is dropped next; None if empty."""
        if not self._entries:
            return None
        return key_timestamp_ms(uuid.UUID(int=self._entries.keys()[0]))

    def drop_oldest_key(self) -> None:
        """Drops the key with the earliest timestamp and raises the watermark."""
        key = self._entries.keys()[0]
        timestamp_ms = key_timestamp_ms(uuid.UUID(int=key))
        self.watermark_ms = max(self.watermark_ms, timestamp_ms)
        self._remove(key)

    def raise_barrier(self, acting_since_wall_ms: int) -> None:
        """Raises the barrier, given that previous homes acted until some time.

        They accepted keys with a timestamp up to the skew ahead of the clock of an
        entry daemon, which may itself be ahead of this clock by the skew.
        """
        barrier_ms = acting_since_wall_ms + 2 * self._limits.skew_ms
        self._barrier_ms = max(self._barrier_ms, barrier_ms)

    def create_snapshot(self, now_ms: int, max_bytes: int) -> TableSnapshot:
        """Returns the newest entries within a size; the watermark covers the others."""
        watermark_ms = self.watermark_ms
        entries, size_bytes = [], 0
        for number in reversed(self._entries):
            key, entry = uuid.UUID(int=number), self._entries[number]
            size_bytes += ENTRY_OVERHEAD_BYTES + _size_of(entry.outcome)
            if size_bytes > max_bytes:
                watermark_ms = max(watermark_ms, key_timestamp_ms(key))
                break
            left_ms = max(0, entry.wait_ends_ms - now_ms)
            entries.append(
                SnapshotEntry(
                    key, entry.digest, entry.attempt_id, left_ms, entry.outcome
                )
            )
        return TableSnapshot(self._barrier_ms, watermark_ms, tuple(entries))

    def restore_snapshot(self, now_ms: int, table_snapshot: TableSnapshot) -> int:
        """Adds the snapshot of the home of the previous term.

        Returns:
            Wall clock time up to which the homes before that one acted.
        """
        self._barrier_ms = table_snapshot.barrier_ms
        self.watermark_ms = max(self.watermark_ms, table_snapshot.watermark_ms)
        for key, digest, attempt_id, left_ms, outcome in table_snapshot.entries:
            if key.int not in self._entries:
                self._put(key, Entry(digest, attempt_id, now_ms + left_ms, outcome))
        return table_snapshot.barrier_ms - 2 * self._limits.skew_ms

    def _verdict_for_retry(
        self, entry: Entry, now_ms: int, attempt: Attempt
    ) -> Verdict:
        if entry.digest != attempt.digest:
            return RequestMismatch()
        if isinstance(entry.outcome, Answered):
            return Recorded(entry.outcome)
        if isinstance(entry.outcome, AnswerDropped):
            return RecordedDropped(entry.outcome.status)
        if entry.outcome is None and now_ms < entry.wait_ends_ms:
            return InProgress()
        return ExecutionUnknown()

    def _check_new_key(
        self, wall_ms: int, attempt: Attempt, granter_term: TermView
    ) -> Verdict | None:
        """Returns why a key without an entry may not run, or None if it may."""
        skew_ms = self._limits.skew_ms
        timestamp_ms = key_timestamp_ms(attempt.key)
        self.raise_barrier(granter_term.acting_since_wall_ms)
        barrier_or_watermark_ms = max(self._barrier_ms, self.watermark_ms)
        if timestamp_ms <= barrier_or_watermark_ms:
            return Forgotten(max(0, barrier_or_watermark_ms - wall_ms))
        if attempt.wall_ms - wall_ms > skew_ms:
            return ClockBehind()
        if timestamp_ms > min(wall_ms, attempt.wall_ms) + skew_ms:
            return FromFuture()
        return None

    def _drop_large_answer(self, outcome: Outcome) -> Outcome:
        """Replaces an answer that is too large to be recorded."""
        if not isinstance(outcome, Answered):
            return outcome
        share_bytes = self._limits.max_bytes // ANSWER_MAX_DIVISOR
        if _size_of(outcome) > min(share_bytes, self._limits.max_answer_bytes):
            return AnswerDropped(outcome.status)
        return outcome

    def _put(self, key: uuid.UUID, entry: Entry) -> None:
        self._entries[key.int] = entry
        self.size_bytes += ENTRY_OVERHEAD_BYTES + _size_of(entry.outcome)
        while self._exceeds_limits():
            self.drop_oldest_key()

    def _exceeds_limits(self) -> bool:
        if len(self._entries) > self._limits.max_entries:
            return True
        return self.size_bytes > self._limits.max_bytes

    def _drop_expired(self, wall_ms: int) -> None:
        oldest_ms = wall_ms - self._limits.keep_ms
        while self._entries:
            timestamp_ms = key_timestamp_ms(uuid.UUID(int=self._entries.keys()[0]))
            if timestamp_ms >= oldest_ms:
                return
            self.drop_oldest_key()

    def _remove(self, key: int) -> None:
        entry = self._entries.pop(key)
        self.size_bytes -= ENTRY_OVERHEAD_BYTES + _size_of(entry.outcome)


def _size_of(outcome: Outcome | None) -> int:
    """Returns the estimated memory that an outcome adds to its entry."""
    if not isinstance(outcome, Answered):
        return 0
    text_length = sum(len(name) + len(value) for name, value in outcome.headers)
    return (
        HEADER_OVERHEAD_BYTES * len(outcome.headers) + text_length + len(outcome.body)
    )
