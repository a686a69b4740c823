"""The thread pool for callers' requests, which grows on demand."""

from __future__ import annotations

import threading
from typing import Callable

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
        self._unfinished_count = 0
        self.set_thread_count(min(INITIAL_THREAD_COUNT, limit))

    def add_task(self, task) -> None:
        """Queues a request; starts threads if there are fewer than requests.

        Threads that have been started and do not run yet count, too.
        """
        with self._growth_lock:
            self._unfinished_count += 1
            missing_count = self._unfinished_count - len(self.threads)
            if missing_count > 0:
                new_count = len(self.threads) + max(GROWTH_THREAD_COUNT, missing_count)
                self.set_thread_count(min(self._limit, new_count))
        super().add_task(CountedTask(task, self._count_finished))

    def _count_finished(self) -> None:
        with self._growth_lock:
            self._unfinished_count -= 1


class CountedTask:
    """A request, and a function that is called when it has been served.

    Args:
        task: The request.
        finish: Called once, when the request was served, failed or was cancelled.
    """

    def __init__(self, task, finish: Callable[[], None]) -> None:
        self._task = task
        self._finish = finish

    def service(self) -> None:
        """Serves the request."""
        try:
            self._task.service()
        finally:
            self._finish()

    def cancel(self) -> None:
        """Cancels the request, which was not served."""
        try:
            self._task.cancel()
        finally:
            self._finish()
