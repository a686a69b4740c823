"""The actor that reads the platform's log."""

from __future__ import annotations

import time

import pykka

from ..providers.interface import LogClient
from ..providers.record_codec import decode
from .clock import now_ms
from .messages import LogReadFailed, LogReadSucceeded, Poll, SetReadOffset

MAX_BATCH_RECORDS = 500
RETRY_DELAY_MS = 200


class LogReader(pykka.ThreadingActor):
    """Reads the log from the next offset on and sends the records to the controller.

    Args:
        log: Client of the log; this actor alone uses it.
        controller: Receives `LogReadSucceeded` and `LogReadFailed`.
        wait_ms: How long a read waits for records at the end of the log.
    """

    use_daemon_thread = True

    def __init__(
        self, log: LogClient, controller: pykka.ActorRef, wait_ms: int
    ) -> None:
        super().__init__()
        self._log = log
        self._controller = controller
        self._wait_ms = wait_ms
        self._next_offset = 1

    def on_receive(self, message: Poll | SetReadOffset) -> None:
        """Sets the next offset, or reads once and schedules the next read."""
        if isinstance(message, SetReadOffset):
            self._next_offset = message.offset
            return
        self._read()
        self.actor_ref.tell(Poll())

    def _read(self) -> None:
        started_ms = now_ms()
        outcome = self._log.read(self._next_offset, MAX_BATCH_RECORDS, self._wait_ms)
        if outcome.is_err():
            self._controller.tell(LogReadFailed())
            time.sleep(RETRY_DELAY_MS / 1000)
            return
        batch = outcome.ok_value
        records = [(offset, decode(data)) for offset, data in batch.records]
        self._controller.tell(
            LogReadSucceeded(
                started_ms, self._next_offset, batch.start, batch.end, records
            )
        )
        if records:
            self._next_offset = records[-1][0] + 1
