"""Follows the log: folds records in order and recovers from missed ones."""

from __future__ import annotations

from typing import NamedTuple

from ..errors import log as codes
from ..errors.code import Code
from .checkpoints import (
    Continue,
    FoundCheckpoint,
    LoadCheckpoint,
    LogWindow,
    decide_recovery,
)
from .records import Checkpoint, Envelope, Join, Leave
from .state import State
from .traffic.messages import RosterEntry

OffsetRecord = tuple[int, Envelope | None]


class AppliedRecord(NamedTuple):
    """A record that was folded.

    Attributes:
        offset: Offset of the record.
        envelope: The record; None when it could not be decoded.
        code: Result of `State.apply`.
    """

    offset: int
    envelope: Envelope | None
    code: Code


Roster = tuple[RosterEntry, ...]


class ReadResult(NamedTuple):
    """Result of folding one read of the log.

    Attributes:
        applied: Records that were folded.
        rosters: The roster after each record that changed it, in order.
        is_at_end: Whether the state contains every record up to the end of the log.
        next_read_offset: Offset at which the next read has to start; None to
            continue after this read.
        has_loaded_checkpoint: Whether a checkpoint replaced the state.
        is_history_lost: Whether records were missed and no usable checkpoint was
            found.
    """

    applied: tuple[AppliedRecord, ...] = ()
    rosters: tuple[Roster, ...] = ()
    is_at_end: bool = False
    next_read_offset: int | None = None
    has_loaded_checkpoint: bool = False
    is_history_lost: bool = False


def roster_of(state: State) -> Roster:
    """Returns the daemons of the roster with their zones, sorted by name."""
    return tuple(
        RosterEntry(name, member.zone) for name, member in sorted(state.members.items())
    )


def _changes_roster(envelope: Envelope | None) -> bool:
    return envelope is not None and isinstance(envelope.body, (Join, Leave))


class LogFollower:
    """Folds the records that one daemon reads into its state.

    Args:
        state: State that is changed in place.

    Attributes:
        window: Retained range of the log as of the last read.
    """

    def __init__(self, state: State) -> None:
        self._state = state
        self.window = LogWindow(1, 1)

    def handle_read(
        self, from_offset: int, window: LogWindow, records: list[OffsetRecord]
    ) -> ReadResult:
        """Folds the records of one read, or recovers when records were missed.

        Args:
            from_offset: Offset that was requested.
            window: Retained range of the log.
            records: The records with their offsets, ascending.
        """
        self.window = window
        next_offset = self._state.next_offset
        if isinstance(decide_recovery(window, next_offset, ()), Continue):
            return self._fold(from_offset, records)
        return self._recover(records)

    def _fold(self, from_offset: int, records: list[OffsetRecord]) -> ReadResult:
        """Folds records that start at the next offset; requests others again."""
        next_offset = self._state.next_offset
        if from_offset != next_offset:
            return ReadResult(next_read_offset=next_offset)
        applied, rosters = [], []
        for offset, envelope in records:
            code = self._state.apply(offset, envelope)
            applied.append(AppliedRecord(offset, envelope, code))
            if code is codes.RECORD_ACCEPTED and _changes_roster(envelope):
                rosters.append(roster_of(self._state))
        is_at_end = self._state.next_offset >= self.window.end
        return ReadResult(tuple(applied), tuple(rosters), is_at_end)

    def _recover(self, records: list[OffsetRecord]) -> ReadResult:
        """Loads a checkpoint after which the log retains every record."""
        states = {
            offset: envelope.body
            for offset, envelope in records
            if envelope
            and isinstance(envelope.body, Checkpoint)
            and self._state.can_load(envelope.body.state)
        }
        found = [
            FoundCheckpoint(offset, body.end_offset) for offset, body in states.items()
        ]
        decision = decide_recovery(self.window, self._state.next_offset, found)
        if not isinstance(decision, LoadCheckpoint):
            return ReadResult(is_history_lost=True)
        self._state.load(states[decision.checkpoint.offset].state)
        return ReadResult(
            next_read_offset=self._state.next_offset, has_loaded_checkpoint=True
        )
