"""The thread pool for callers' requests, which grows on demand."""

from __future__ import annotations

import threading

from waitress.task import ThreadedTaskDispatcher

INITIAL_THREAD_COUNT = 8
# A burst of requests needs several threads at once, and starting each takes time.
GROWTH_THREAD_COUNT = 4


class GrowingDispatcher(ThreadedTaskDispatcher):
    """Starts threads, up to a limit, when a request would wait for one.

    Most daemons never need as many threads as an overloaded one, and each thread
    costs memory and startup time.

    Args:
        limit: Maximum number of threads.
    """

    def __init__(self, limit: int) -> None:
        super().__init__()
        self._limit = limit
        self._growth_lock = threading.Lock()
        self.set_thread_count(min(INITIAL_THREAD_COUNT, limit))

    def add_task(self, task) -> None:
        """Queues a request; starts threads if none is idle to handle it."""
        with self._growth_lock:
            missing_count = self._count_missing_threads()
            if missing_count > 0:
                new_count = len(self.threads) + max(GROWTH_THREAD_COUNT, missing_count)
                self.set_thread_count(min(self._limit, new_count))
        super().add_task(task)

    def _count_missing_threads(self) -> int:
        """Returns how many threads are missing for one more request."""
        with self.lock:
            idle_count = len(self.threads) - self.active_count
            return len(self.queue) + 1 - idle_count
