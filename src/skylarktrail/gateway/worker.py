"""A thread that repeats a task until it is stopped."""

from __future__ import annotations

import threading
from typing import Callable

from .event_log import EventLog


class Worker:
    """Repeats a task; a fault inside is logged and does not end the thread.

    Args:
        name: Name of the thread.
        task: Does one round and returns the pause until the next in milliseconds.
        log: Gets a line for each fault.
    """

    def __init__(self, name: str, task: Callable[[], float], log: EventLog) -> None:
        self._name = name
        self._task = task
        self._log = log
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Begins the first round."""
        self._thread.start()

    def stop(self) -> None:
        """Lets the round under way be the last."""
        self._stopped.set()

    def _run(self) -> None:
        pause_ms = 0.0
        while not self._stopped.wait(max(0.0, pause_ms) / 1000):
            try:
                pause_ms = self._task()
            except Exception as error:
                self._log.state("worker_failed", worker=self._name, error=repr(error))
                pause_ms = FAULT_PAUSE_MS


FAULT_PAUSE_MS = 500.0  # Keeps a fault that repeats from filling the log.
