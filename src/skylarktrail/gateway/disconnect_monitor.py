"""Detects callers that disconnect while an instance processes their request."""

from __future__ import annotations

import threading
from contextlib import contextmanager
from typing import Callable, Iterator

from absl import logging

from .exchange import Connection

# Requests of callers that have disconnected are aborted well within 0.5 s.
POLL_INTERVAL_S = 0.1


class DisconnectMonitor:
    """Aborts the exchanges of callers that have disconnected."""

    def __init__(self) -> None:
        self._watched: dict[int, tuple[Callable[[], bool], Connection]] = {}
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="disconnect-monitor", daemon=True
        )

    def start(self) -> None:
        """Starts the polling thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the polling thread and waits for its end."""
        self._stopped.set()
        self._thread.join()

    @contextmanager
    def watch(
        self, is_disconnected: Callable[[], bool], connection: Connection
    ) -> Iterator[None]:
        """Aborts a connection if the caller disconnects within the `with` block.

        Args:
            is_disconnected: Returns whether the caller has closed its connection.
            connection: Connection to the instance.
        """
        with self._lock:
            self._watched[id(connection)] = (is_disconnected, connection)
        try:
            yield
        finally:
            with self._lock:
                self._watched.pop(id(connection), None)

    def _run(self) -> None:
        while not self._stopped.wait(POLL_INTERVAL_S):
            with self._lock:
                watched = list(self._watched.values())
            for is_disconnected, connection in watched:
                _abort_if_disconnected(is_disconnected, connection)


def _abort_if_disconnected(
    is_disconnected: Callable[[], bool], connection: Connection
) -> None:
    try:
        if is_disconnected():
            connection.abort()
    except Exception:  # It must not end the thread, which watches all connections.
        logging.exception("the check of a caller's connection failed")
