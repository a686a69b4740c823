"""The tool's view of the log: the folded state and the verdict on a publication."""

from __future__ import annotations

from typing import Iterator

from result import Err, Ok, Result

from ..config.operator_file import is_valid
from ..core.checkpoints import (
    FoundCheckpoint,
    LoadCheckpoint,
    LogWindow,
    decide_recovery,
)
from ..core.records import Checkpoint, Envelope, Publish
from ..core.state import State
from ..errors import tool as codes
from ..errors.code import Code, Fault
from ..providers.interface import LogBatch, LogClient
from ..providers.record_codec import decode

MAX_BATCH_RECORDS = 500


class LogView:
    """Folds the log and records the verdict on one publication.

    Attributes:
        state: The state folded so far.
        verdict: Verdict on the publication; None until its record is read.
        offset: Offset of the publication's record; 0 until it is read.

    Args:
        log: Client of the log.
        publish_id: Identifier of the publication to watch for; "" for none.
    """

    def __init__(self, log: LogClient, publish_id: str = "") -> None:
        self._log = log
        self._publish_id = publish_id
        self.state = State(is_valid)
        self.verdict: Code | None = None
        self.offset = 0

    def catch_up(self) -> Result[None, Fault]:
        """Reads and folds records until a read reaches the end of the log."""
        while True:
            outcome = self._read_batch(self.state.next_offset)
            if outcome.is_err():
                return outcome
            batch = outcome.ok_value
            if batch.start > self.state.next_offset:
                recovered = self._load_checkpoint(batch)
                if recovered.is_err():
                    return recovered
                continue
            self._fold(batch)
            if self.state.next_offset >= batch.end:
                return Ok(None)

    def _read_batch(self, from_offset: int) -> Result[LogBatch, Fault]:
        return self._log.read(from_offset, MAX_BATCH_RECORDS, 0)

    def _fold(self, batch: LogBatch) -> None:
        for offset, data in batch.records:
            if offset < self.state.next_offset:
                continue
            envelope = decode(data)
            verdict = self.state.apply(offset, envelope)
            if self.verdict is None and self._is_watched(envelope):
                self.verdict, self.offset = verdict, offset

    def _is_watched(self, envelope: Envelope | None) -> bool:
        if envelope is None or not isinstance(envelope.body, Publish):
            return False
        return envelope.body.publish_id == self._publish_id != ""

    def _load_checkpoint(self, batch: LogBatch) -> Result[None, Fault]:
        """Loads a checkpoint that replaces the records which the log has dropped."""
        checkpoints: dict[FoundCheckpoint, Checkpoint] = {}
        window = LogWindow(batch.start, batch.end)
        for outcome in self._read_window(batch.start, batch.end):
            if outcome.is_err():
                return outcome
            for offset, data in outcome.ok_value.records:
                envelope = decode(data)
                if envelope and isinstance(envelope.body, Checkpoint):
                    position = FoundCheckpoint(offset, envelope.body.end_offset)
                    checkpoints[position] = envelope.body
        recovery = decide_recovery(window, self.state.next_offset, checkpoints)
        if not isinstance(recovery, LoadCheckpoint):
            detail = f"the log begins at offset {batch.start}"
            return Err(Fault(codes.RECORD_UNREADABLE, "", detail))
        self.state.load(checkpoints[recovery.checkpoint].state)
        return Ok(None)

    def _read_window(self, start: int, end: int) -> Iterator[Result[LogBatch, Fault]]:
        while start < end:
            outcome = self._read_batch(start)
            yield outcome
            if outcome.is_err() or not outcome.ok_value.records:
                return
            start = outcome.ok_value.records[-1][0] + 1
