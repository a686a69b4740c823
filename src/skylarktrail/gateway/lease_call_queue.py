"""Runs grants and releases in threads, few at a time for each instance.

Load pattern: an instance hangs while dozens of its ranges are to be released. A release
waits for the work that runs, so without a limit these calls hold all threads, and the
leases of other instances run out behind them.
"""

from __future__ import annotations

import threading
from collections import deque
from concurrent.futures import ThreadPoolExecutor
from typing import Callable, NamedTuple

# A renewal takes milliseconds; one that hangs holds no more threads.
MAX_RUNNING_PER_LANE = 3

Task = Callable[[], None]


class Lane(NamedTuple):
    """Calls that wait for each other.

    Attributes:
        instance: Where they go.
        kind: Releases do not keep renewals waiting.
    """

    instance: str
    kind: str


class LeaseCallQueue:
    """Threads for calls to instances; may be used from any thread.

    Args:
        threads: Most calls at once.
    """

    def __init__(self, threads: int) -> None:
        self._pool = ThreadPoolExecutor(threads, "lease-calls")
        self._lock = threading.Lock()
        self._running: dict[Lane, int] = {}
        self._waiting: dict[Lane, deque[Task]] = {}

    def submit(self, lane: Lane, task: Task) -> None:
        """Runs a task as soon as its lane has room.

        Raises:
            RuntimeError: The queue has been stopped.
        """
        with self._lock:
            if self._running.get(lane, 0) >= MAX_RUNNING_PER_LANE:
                self._waiting.setdefault(lane, deque()).append(task)
                return
            self._running[lane] = self._running.get(lane, 0) + 1
        self._pool.submit(self._run, lane, task)

    def stop(self) -> None:
        """Starts no further task."""
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
            pass  # The queue has been stopped; nobody waits for the task.

    def _pop_or_free_slot(self, lane: Lane) -> Task | None:
        """Returns the next task of a lane; gives up the lane's place without one."""
        with self._lock:
            waiting = self._waiting.get(lane)
            if waiting:
                return waiting.popleft()
            self._waiting.pop(lane, None)
            self._running[lane] -= 1
            if not self._running[lane]:
                del self._running[lane]
            return None
