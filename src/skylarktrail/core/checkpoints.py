"""When to append a checkpoint, and how to go on after lost history."""

from __future__ import annotations

from typing import Iterable, NamedTuple

from .hashing import rank_candidates
from .records import Checkpoint
from .state import State

CHECKPOINT_RETENTION_RATIO = 0.25
RANK_STAGGER_MS = 2000
CHECKPOINT_ITEM = "checkpoint"


class Retention(NamedTuple):
    """How long the platform keeps a record, by what it promises.

    Attributes:
        records: Number of records kept.
        span_ms: Time for which a record is kept.
    """

    records: int
    span_ms: float


class LogWindow(NamedTuple):
    """What a log holds at the moment.

    Attributes:
        start: Offset of the first record retained; `end` when there is none.
        end: Offset of the next record to be written.
    """

    start: int
    end: int


class FoundCheckpoint(NamedTuple):
    """A checkpoint in the log.

    Attributes:
        offset: Offset of its record.
        end_offset: Offset of the first record that it does not contain.
    """

    offset: int
    end_offset: int


class Continue(NamedTuple):
    """Nothing was missed: fold on from the own next offset."""


class LoadCheckpoint(NamedTuple):
    """Load this checkpoint and fold on from what it covers."""

    checkpoint: FoundCheckpoint


class WaitForCheckpoint(NamedTuple):
    """Records were missed; a daemon that has missed none appends a checkpoint."""


class AskPeers(NamedTuple):
    """No log can be read; a peer's snapshot serves stateless routes."""


Recovery = Continue | LoadCheckpoint | WaitForCheckpoint | AskPeers


def decide_recovery(
    window: LogWindow | None, next_offset: int, found: Iterable[FoundCheckpoint]
) -> Recovery:
    """Decides how a reader goes on.

    Args:
        window: What the log holds; None when it cannot be read.
        next_offset: First record that the reader has not folded; 1 for none.
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
    """Tells whether a daemon's state may be written as a checkpoint."""
    return window.start <= next_offset <= window.end


class CheckpointSchedule:
    """Decides when this daemon appends a checkpoint.

    The members take turns in rank order, so that one of them usually writes.
    """

    def __init__(self, daemon: str, retention: Retention, now_ms: float) -> None:
        """Begins as if a checkpoint of nothing had just been folded.

        Args:
            me: Name of this daemon.
            retention: What the platform keeps.
            now_ms: Monotonic time.
        """
        self._daemon = daemon
        self._retention = retention
        self._last_end_offset = 1
        self._last_checkpoint_ms = now_ms
        self._needed_since_ms: float | None = None

    def record_checkpoint(self, end_offset: int, now_ms: float) -> None:
        """Takes note of a checkpoint that was folded or loaded."""
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
            window: What the log holds.
            next_offset: First record that this daemon has not folded.
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
        """Tells whether a quarter of the retention has passed since the last one.

        A checkpoint whose first record after it is gone cannot be loaded any more,
        so it is replaced at once.
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
    """Returns a checkpoint of all records that the state has folded."""
    return Checkpoint(state.next_offset, state.dump())
