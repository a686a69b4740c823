"""Structured JSON log on standard output; rate-limited and non-blocking."""

from __future__ import annotations

import json
import queue
import sys
import threading
import time
from typing import Any, TextIO

MAX_LINES_PER_S = 200  # About 40 KB a second; further lines are only counted.
MAX_QUEUED_LINES = 1000  # Bounds the memory used if standard output blocks.
BURST_S = 2.0
WRITE_PAUSE_S = 0.2  # Batches lines to save system calls.


class EventLog:
    """Writes one JSON object per line in a background thread.

    Args:
        daemon: Name of this daemon, written in each line.
        stream: Output stream.

    Attributes:
        dropped: Number of lines that were not written.
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
        """Starts the writer thread."""
        self._thread.start()

    def stop(self) -> None:
        """Writes the queued lines and stops the writer thread."""
        try:
            self._lines.put(None, timeout=WRITE_PAUSE_S)
        except queue.Full:
            return
        self._thread.join(timeout=2 * WRITE_PAUSE_S)

    def write(self, event: str, **fields: Any) -> None:
        """Queues a line about a request or decision; drops it above the rate limit."""
        if self._take_token():
            self._enqueue(event, fields)

    def state(self, event: str, **fields: Any) -> None:
        """Queues a line about a change of state, exempt from the rate limit."""
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
