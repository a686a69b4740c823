"""Structured log lines on standard output, bounded in volume and never blocking."""

from __future__ import annotations

import json
import queue
import sys
import threading
import time
from typing import Any, TextIO

MAX_LINES_PER_S = 200  # About 40 KB a second; what is beyond it is counted.
MAX_QUEUED_LINES = 1000  # A reader that stands still costs at most this memory.
BURST_S = 2.0
WRITE_PAUSE_S = 0.2  # Lines are written together, which costs fewer calls.


class EventLog:
    """Writes one JSON object a line from a thread of its own.

    Args:
        daemon: Name of this daemon, part of each line.
        stream: Where lines go.
    """

    def __init__(self, daemon: str, stream: TextIO = sys.stdout) -> None:
        self._daemon = daemon
        self._stream = stream
        self._lines: queue.Queue[str | None] = queue.Queue(MAX_QUEUED_LINES)
        self._lock = threading.Lock()
        self._tokens = MAX_LINES_PER_S * BURST_S
        self._refilled_at_s = time.monotonic()
        self.dropped = 0
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)

    def start(self) -> None:
        """Begins to write."""
        self._thread.start()

    def stop(self) -> None:
        """Writes what is queued and ends."""
        try:
            self._lines.put(None, timeout=WRITE_PAUSE_S)
        except queue.Full:
            return
        self._thread.join(timeout=2 * WRITE_PAUSE_S)

    def write(self, event: str, **fields: Any) -> None:
        """Queues a line about a request or a decision; drops it when over the rate."""
        if self._take_token():
            self._enqueue(event, fields)

    def state(self, event: str, **fields: Any) -> None:
        """Queues a line about a change of state, whatever the rate of others."""
        self._enqueue(event, fields)

    def _take_token(self) -> bool:
        with self._lock:
            current_s = time.monotonic()
            refill = (current_s - self._refilled_at_s) * MAX_LINES_PER_S
            self._refilled_at_s = current_s
            self._tokens = min(MAX_LINES_PER_S * BURST_S, self._tokens + refill)
            if self._tokens < 1:
                self.dropped += 1
                return False
            self._tokens -= 1
            return True

    def _enqueue(self, event: str, fields: dict[str, Any]) -> None:
        line = {"at": round(time.time(), 3), "daemon": self._daemon, "event": event}
        try:
            self._lines.put_nowait(json.dumps(line | fields, default=str))
        except queue.Full:
            with self._lock:
                self.dropped += 1

    def _run(self) -> None:
        while True:
            lines = [self._lines.get()]
            while lines[-1] is not None and not self._lines.empty():
                lines.append(self._lines.get())
            text = "".join(line + "\n" for line in lines if line is not None)
            try:
                self._stream.write(text)
                self._stream.flush()
            except (OSError, ValueError):
                with self._lock:
                    self.dropped += len(lines)
            if lines[-1] is None:
                return
            time.sleep(WRITE_PAUSE_S)
