"""Sends grants and releases in threads, with a limit per instance.

An instance answers a release when its running work on the range has ended. Without a
limit, dozens of releases to an instance that hangs would occupy all threads, and the
leases of other instances would expire meanwhile.
"""

from __future__ import annotations

import threading
from collections import deque
from concurrent.futures import ThreadPoolExecutor
from typing import Callable, NamedTuple

# Renewals take milliseconds, so few threads suffice; calls that hang occupy no more.
MAX_RUNNING_PER_LANE = 3

Task = Callable[[], None]


class Lane(NamedTuple):
    """Group of calls that share a limit of running calls.

    Attributes:
        instance: Instance that the calls go to.
        kind: Kind of the calls; releases do not delay renewals.
    """

    instance: str
    kind: str


class LeaseCallQueue:
    """Thread pool for calls to instances; all methods are thread-safe.

    Args:
        threads: Maximum number of calls in flight.
    """

    def __init__(self, threads: int) -> None:
        self._pool = ThreadPoolExecutor(threads, "lease-calls")
        self._lock = threading.Lock()
        self._running: dict[Lane, int] = {}
        self._waiting: dict[Lane, deque[Task]] = {}

    def submit(self, lane: Lane, task: Task) -> None:
        """Runs a task as soon as the limit of its lane allows.

        Raises:
            RuntimeError: The queue is stopped.
        """
        with self._lock:
            if self._running.get(lane, 0) >= MAX_RUNNING_PER_LANE:
                self._waiting.setdefault(lane, deque()).append(task)
                return
            self._running[lane] = self._running.get(lane, 0) + 1
        self._pool.submit(self._run, lane, task)

    def stop(self) -> None:
        """Discards the waiting tasks; running ones continue."""
        with self._lock:
            self._waiting.clear()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _run(self, lane: Lane, task: Task) -> None:
        try:
            task()
        finally:
            next_task = self._pop_or_free_slot(lane)
            if next_task is not None:
                self._submit_next(lane, next_task)

    def _submit_next(self, lane: Lane, task: Task) -> None:
        try:
            self._pool.submit(self._run, lane, task)
        except RuntimeError:
            pass  # The queue is stopped; the task is discarded.

    def _pop_or_free_slot(self, lane: Lane) -> Task | None:
        """Returns the next task of a lane, or frees its slot if none waits."""
        with self._lock:
            waiting = self._waiting.get(lane)
            if waiting:
                return waiting.popleft()
            self._waiting.pop(lane, None)
            self._running[lane] -= 1
            if not self._running[lane]:
                del self._running[lane]
            return None
