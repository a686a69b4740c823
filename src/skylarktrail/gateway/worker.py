"""Background thread that runs a task periodically."""

from __future__ import annotations

import threading
from typing import Callable

from .event_log import EventLog


class Worker:
    """Runs a task periodically; exceptions are logged and do not end the thread.

    Args:
        name: Name of the thread.
        task: Runs once and returns the milliseconds until its next run.
        log: Receives a line for each exception.
    """

    def __init__(self, name: str, task: Callable[[], float], log: EventLog) -> None:
        self._name = name
        self._task = task
        self._log = log
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Starts the thread and the first run."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread after the current run."""
        self._stopped.set()

    def _run(self) -> None:
        pause_ms = 0.0
        while not self._stopped.wait(max(0.0, pause_ms) / 1000):
            try:
                pause_ms = self._task()
            except Exception as error:
                self._log.state("worker_failed", worker=self._name, error=repr(error))
                pause_ms = FAULT_PAUSE_MS


FAULT_PAUSE_MS = 500.0  # Keeps repeated exceptions from flooding the log.
