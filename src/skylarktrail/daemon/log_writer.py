"""The actor that appends to the platform's log."""

from __future__ import annotations

import time
from collections import deque

import pykka

from ..providers.interface import LogClient
from .messages import AppendRecord, Poll, RecordFolded

RETRY_DELAY_MS = 200


class LogWriter(pykka.ThreadingActor):
    """Appends records in order, one at a time.

    A failed append is retried until it succeeds or the record is read back from the
    log. Later records wait, since the fold ignores a record whose sequence number
    does not increase.

    Args:
        log: Client of the log; this actor alone uses it.
    """

    use_daemon_thread = True

    def __init__(self, log: LogClient) -> None:
        super().__init__()
        self._log = log
        self._pending: deque[AppendRecord] = deque()

    def on_receive(self, message: AppendRecord | RecordFolded | Poll) -> None:
        """Queues or discards records, or appends the first pending one."""
        if isinstance(message, AppendRecord):
            self._pending.append(message)
            self.actor_ref.tell(Poll())
        elif isinstance(message, RecordFolded):
            self._discard(message.seq)
        elif self._pending:
            self._append(self._pending[0])

    def _discard(self, seq: int) -> None:
        while self._pending and self._pending[0].seq <= seq:
            self._pending.popleft()

    def _append(self, record: AppendRecord) -> None:
        if self._log.append(record.data).is_ok():
            self._discard(record.seq)
            return
        time.sleep(RETRY_DELAY_MS / 1000)
        self.actor_ref.tell(Poll())
