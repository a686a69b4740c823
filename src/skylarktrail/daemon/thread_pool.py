"""Threads that work on callers' requests, started as requests need them."""

from __future__ import annotations

import threading

from waitress.task import ThreadedTaskDispatcher

INITIAL_THREAD_COUNT = 8
GROWTH_THREAD_COUNT = (
    4  # A burst needs several at once, and starting one takes a moment.
)


class GrowingDispatcher(ThreadedTaskDispatcher):
    """Starts threads up to a limit while requests would wait for one.

    Most daemons never need the threads that one overloaded daemon needs, and each
    costs memory and time at the start.

    Args:
        limit: Largest number of threads.
    """

    def __init__(self, limit: int) -> None:
        super().__init__()
        self._limit = limit
        self._growth_lock = threading.Lock()
        self.set_thread_count(min(INITIAL_THREAD_COUNT, limit))

    def add_task(self, task) -> None:
        """Queues a request; makes sure that a thread can take it at once."""
        with self._growth_lock:
            missing_count = self._count_missing_threads()
            if missing_count > 0:
                new_count = len(self.threads) + max(GROWTH_THREAD_COUNT, missing_count)
                self.set_thread_count(min(self._limit, new_count))
        super().add_task(task)

    def _count_missing_threads(self) -> int:
        """Returns how many threads one more request would need."""
        with self.lock:
            idle_count = len(self.threads) - self.active_count
            return len(self.queue) + 1 - idle_count
