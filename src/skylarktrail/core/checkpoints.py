"""Schedule of checkpoints and recovery of readers that missed records."""

from __future__ import annotations

from typing import Iterable, NamedTuple

from .hashing import rank_candidates
from .records import Checkpoint
from .state import State

CHECKPOINT_RETENTION_RATIO = 0.25
RANK_STAGGER_MS = 2000
CHECKPOINT_ITEM = "checkpoint"


class Retention(NamedTuple):
    """Retention that the platform guarantees for the log.

    Attributes:
        records: Number of records that the log retains.
        span_ms: Time for which the log retains a record.
    """

    records: int
    span_ms: float


class LogWindow(NamedTuple):
    """Range of offsets that the log retains.

    Attributes:
        start: Offset of the first retained record; equals `end` in an empty log.
        end: Offset of the next record to be written.
    """

    start: int
    end: int


class FoundCheckpoint(NamedTuple):
    """A checkpoint in the log.

    Attributes:
        offset: Offset of the checkpoint record.
        end_offset: Offset of the first record that its state does not contain.
    """

    offset: int
    end_offset: int


class Continue(NamedTuple):
    """No record is known to be missed: continue at the reader's next offset."""


class LoadCheckpoint(NamedTuple):
    """Load this checkpoint and continue folding at its end offset."""

    checkpoint: FoundCheckpoint


class WaitForCheckpoint(NamedTuple):
    """Records were missed: wait for the checkpoint of a daemon that missed none."""


class AskPeers(NamedTuple):
    """The log cannot be read: a peer's snapshot is enough for stateless routes."""


Recovery = Continue | LoadCheckpoint | WaitForCheckpoint | AskPeers


def decide_recovery(
    window: LogWindow | None, next_offset: int, found: Iterable[FoundCheckpoint]
) -> Recovery:
    """Decides how a reader continues.

    Args:
        window: Retained range of the log; None when it cannot be read.
        next_offset: Offset of the first record that the reader has not folded; 1
            when it has folded none.
        found: Checkpoints in the log, in any order.
    """
    if window is None:
        return AskPeers() if next_offset == 1 else Continue()
    if window.start <= next_offset <= window.end:
        return Continue()
    usable = [
        checkpoint
        for checkpoint in found
        if window.start <= checkpoint.end_offset <= window.end
        and checkpoint.end_offset > next_offset
    ]
    if usable:
        return LoadCheckpoint(max(usable, key=lambda checkpoint: checkpoint.end_offset))
    return WaitForCheckpoint()


def is_complete(window: LogWindow, next_offset: int) -> bool:
    """Tells whether a daemon has missed no record.

    Only then may its state be written as a checkpoint.
    """
    return window.start <= next_offset <= window.end


class CheckpointSchedule:
    """Decides when this daemon appends a checkpoint.

    The members wait in rendezvous order, each `RANK_STAGGER_MS` longer than the one
    before it, so that usually only one of them writes.
    """

    def __init__(self, daemon: str, retention: Retention, now_ms: float) -> None:
        """Starts the age of the last checkpoint at the current time.

        Args:
            daemon: Name of this daemon.
            retention: Retention of the platform's log.
            now_ms: Monotonic time.
        """
        self._daemon = daemon
        self._retention = retention
        self._last_end_offset = 1
        self._last_checkpoint_ms = now_ms
        self._needed_since_ms: float | None = None

    def record_checkpoint(self, end_offset: int, now_ms: float) -> None:
        """Records that a checkpoint was folded or loaded."""
        if end_offset > self._last_end_offset:
            self._last_end_offset = end_offset
            self._last_checkpoint_ms = now_ms
            self._needed_since_ms = None

    def is_due(
        self, now_ms: float, window: LogWindow, next_offset: int, members: Iterable[str]
    ) -> bool:
        """Tells whether this daemon should append a checkpoint now.

        Args:
            now_ms: Monotonic time.
            window: Retained range of the log.
            next_offset: Offset of the first record that this daemon has not folded.
            members: Daemons in the roster.
        """
        if not is_complete(window, next_offset):
            return False
        if not self._is_needed(now_ms, window, next_offset):
            self._needed_since_ms = None
            return False
        if self._needed_since_ms is None:
            self._needed_since_ms = now_ms
        ranked = rank_candidates(f"{CHECKPOINT_ITEM}:{self._last_end_offset}", members)
        if self._daemon not in ranked:
            return False
        wait_ms = ranked.index(self._daemon) * RANK_STAGGER_MS
        return now_ms - self._needed_since_ms >= wait_ms

    def _is_needed(self, now_ms: float, window: LogWindow, next_offset: int) -> bool:
        """Tells whether a new checkpoint is needed.

        That is the case when a quarter of the retention, in records or in time, has
        passed since the last one. A checkpoint is replaced at once when the log no
        longer retains the record after it, because it cannot be loaded any more.
        """
        if next_offset <= self._last_end_offset:
            return self._last_end_offset < window.start
        if self._last_end_offset < window.start:
            return True
        records = next_offset - self._last_end_offset
        if records >= self._retention.records * CHECKPOINT_RETENTION_RATIO:
            return True
        age_ms = now_ms - self._last_checkpoint_ms
        return age_ms >= self._retention.span_ms * CHECKPOINT_RETENTION_RATIO


def make_checkpoint(state: State) -> Checkpoint:
    """Returns a checkpoint of the state."""
    return Checkpoint(state.next_offset, state.dump())
