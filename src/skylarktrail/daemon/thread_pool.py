"""Threads that work on callers' requests, started as requests need them."""

from __future__ import annotations

import threading

from waitress.task import ThreadedTaskDispatcher

FIRST_THREADS = 8
ADDED_THREADS = 4  # A burst needs several at once, and starting one takes a moment.


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
        self._growing = threading.Lock()
        self.set_thread_count(min(FIRST_THREADS, limit))

    def add_task(self, task) -> None:
        """Queues a request; makes sure that a thread can take it at once."""
        with self._growing:
            missing = self._missing_threads()
            if missing > 0:
                wanted = len(self.threads) + max(ADDED_THREADS, missing)
                self.set_thread_count(min(self._limit, wanted))
        super().add_task(task)

    def _missing_threads(self) -> int:
        """Returns how many threads one more request would need."""
        with self.lock:
            idle = len(self.threads) - self.active_count
            return len(self.queue) + 1 - idle
