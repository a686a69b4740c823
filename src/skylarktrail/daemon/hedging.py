"""Timers for hedges, and the race between a first attempt and its hedge."""

from __future__ import annotations

import heapq
import itertools
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import Callable

from ..core.traffic.messages import Outcome
from .clock import now_ms
from .exchange import MAY_HAVE_RUN, ExchangeResult
from .pools import AbortHandle

HEDGE_THREADS = 8
HEDGE_UNFINISHED = ExchangeResult(Outcome.TIMED_OUT, None, "no answer to the hedge")


class Timer:
    """A scheduled callback.

    Attributes:
        callback: Called when the timer expires.
        is_cancelled: Whether the callback is skipped.
    """

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback = callback
        self.is_cancelled = False

    def cancel(self) -> None:
        """Skips the callback unless it has already started."""
        self.is_cancelled = True


class HedgeTimers:
    """Runs callbacks at given times in a small thread pool."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Timer]] = []
        # Orders timers of the same time in the heap, since timers do not compare.
        self._tie_breakers = itertools.count()
        self._heap_changed = threading.Condition()
        self._is_stopped = False
        self._threads = ThreadPoolExecutor(HEDGE_THREADS, "hedge")
        thread = threading.Thread(target=self._run, name="hedge-timers", daemon=True)
        thread.start()

    def schedule(self, at_ms: float, callback: Callable[[], None]) -> Timer:
        """Schedules a callback.

        Args:
            at_ms: Time by the monotonic clock.
            callback: Called in a thread of the pool.
        """
        timer = Timer(callback)
        with self._heap_changed:
            is_first = not self._heap or at_ms < self._heap[0][0]
            heapq.heappush(self._heap, (at_ms, next(self._tie_breakers), timer))
            if is_first:
                self._heap_changed.notify()
        return timer

    def submit(self, callback: Callable[[], None]) -> None:
        """Runs a callback as soon as a thread of the pool is free."""
        self._threads.submit(callback)

    def stop(self) -> None:
        """Drops all callbacks that have not started."""
        with self._heap_changed:
            self._is_stopped = True
            self._heap_changed.notify()
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _run(self) -> None:
        while timer := self._wait_for_next_timer():
            if not timer.is_cancelled:
                self._threads.submit(timer.callback)

    def _wait_for_next_timer(self) -> Timer | None:
        with self._heap_changed:
            while not self._is_stopped:
                if not self._heap:
                    self._heap_changed.wait()
                    continue
                remaining_ms = self._heap[0][0] - now_ms()
                if remaining_ms <= 0:
                    return heapq.heappop(self._heap)[2]
                self._heap_changed.wait(remaining_ms / 1000)
        return None


class HedgeRace:
    """Decides between a first attempt and its hedge.

    The first attempt runs in the caller's thread. If the hedge wins, it aborts the
    first attempt, so that the caller's thread continues with the hedge's response.

    Attributes:
        hedge_result: Result of the hedge; None while it runs or if there is none.
    """

    def __init__(self, first: AbortHandle) -> None:
        self._lock = threading.Lock()
        self._first = first
        self._hedge: AbortHandle | None = None
        self._is_decided = False
        self._hedge_done = threading.Event()
        self.hedge_result: ExchangeResult | None = None

    def register_hedge(self, abort_handle: AbortHandle) -> bool:
        """Registers the hedge; returns False if the race is already decided."""
        with self._lock:
            if self._is_decided:
                return False
            self._hedge = abort_handle
            return True

    def record_hedge_result(self, result: ExchangeResult, is_winner: bool) -> None:
        """Records the hedge's result; a winner aborts the first attempt."""
        with self._lock:
            self.hedge_result = result
            aborts_first = is_winner and not self._is_decided
            self._is_decided = self._is_decided or is_winner
        if aborts_first:
            self._first.abort()
        self._hedge_done.set()

    def resolve(self, first: ExchangeResult, until_ms: float) -> ExchangeResult:
        """Returns the result of the race once the first attempt has ended.

        A response takes precedence, then an outcome after which the request may have
        run, so that the refusal of one attempt never hides that the other may have
        run.

        Args:
            first: Result of the first attempt.
            until_ms: Monotonic time until which a running hedge is awaited.
        """
        is_winner = first.outcome is Outcome.ANSWERED
        running_hedge = self.finish_first_attempt(is_winner)
        if is_winner:
            if running_hedge is not None:
                running_hedge.abort()
            return first
        hedge_result = self.hedge_result
        if running_hedge is not None:
            hedge_result = self.wait_for_hedge(until_ms) or HEDGE_UNFINISHED
        if hedge_result is None:
            return first
        if hedge_result.outcome is Outcome.ANSWERED:
            return hedge_result
        only_hedge_may_have_run = first.outcome not in MAY_HAVE_RUN
        only_hedge_may_have_run = (
            only_hedge_may_have_run and hedge_result.outcome in MAY_HAVE_RUN
        )
        return hedge_result if only_hedge_may_have_run else first

    def finish_first_attempt(self, is_winner: bool) -> AbortHandle | None:
        """Records that the first attempt has ended.

        Args:
            is_winner: Whether the first attempt got a response.

        Returns:
            The abort handle of the hedge if it is still running, else None.
        """
        with self._lock:
            self._is_decided = self._is_decided or is_winner
            is_hedge_running = self._hedge is not None and self.hedge_result is None
            if not is_hedge_running:
                self._is_decided = True
            return self._hedge if is_hedge_running else None

    def wait_for_hedge(self, until_ms: float) -> ExchangeResult | None:
        """Returns the hedge's result, or None if it does not end in time."""
        self._hedge_done.wait(max(until_ms - now_ms(), 0) / 1000)
        return self.hedge_result
