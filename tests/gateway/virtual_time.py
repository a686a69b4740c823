"""Runs threads in virtual time, one at a time and in a reproducible order."""

from __future__ import annotations

import itertools
import threading
from typing import Callable, NamedTuple


class _Stopped(BaseException):
    """Ends a thread; workers that catch exceptions do not catch it."""


class _Timer(NamedTuple):
    """A function that is due at a time; ties run in the order of creation."""

    at_ms: float
    number: int
    run: Callable[[], None]


class _Task:
    """A thread that runs only when the clock lets it.

    Attributes:
        wake_ms: When it goes on.
        number: Order among tasks that go on at the same time.
    """

    def __init__(self, clock: VirtualClock, run: Callable[[], None]) -> None:
        self._clock = clock
        self._run = run
        self._resumed = threading.Semaphore(0)
        self.wake_ms = clock.now_ms
        self.number = clock.next_number()
        self._thread = threading.Thread(target=self._main, daemon=True)
        self._thread.start()

    def resume(self) -> None:
        """Lets the thread go on until it waits again."""
        self._resumed.release()

    def wait_until(self, at_ms: float) -> None:
        """Waits, in the thread itself, until the clock lets it go on."""
        self.wake_ms = at_ms
        self._clock.yield_turn()
        self._resumed.acquire()
        if self._clock.is_stopped:
            raise _Stopped

    def join(self) -> None:
        """Waits for the end of the thread."""
        self._thread.join()

    def _main(self) -> None:
        self._resumed.acquire()
        try:
            if not self._clock.is_stopped:
                self._run()
        except _Stopped:
            pass
        finally:
            self.wake_ms = float("inf")
            self._clock.yield_turn()


class VirtualClock:
    """A clock that jumps to the next time at which a thread or a timer is due.

    Attributes:
        now_ms: The current time.
        is_stopped: Whether all threads end at their next wait.
    """

    def __init__(self) -> None:
        self.now_ms = 1_000_000.0
        self.is_stopped = False
        self._numbers = itertools.count()
        self._tasks: list[_Task] = []
        self._timers: list[_Timer] = []
        self._turn_ended = threading.Semaphore(0)
        self._running: _Task | None = None

    def read(self) -> float:
        """Returns the current time in milliseconds."""
        return self.now_ms

    def next_number(self) -> int:
        """Returns the number of the next thread or timer."""
        return next(self._numbers)

    def start(self, run: Callable[[], None]) -> None:
        """Starts a thread."""
        self._tasks.append(_Task(self, run))

    def call_later(self, delay_ms: float, run: Callable[[], None]) -> None:
        """Calls a function after a delay; it must not wait."""
        timer = _Timer(self.now_ms + delay_ms, self.next_number(), run)
        self._timers.append(timer)

    def sleep(self, duration_ms: float) -> None:
        """Lets the current thread wait."""
        self.current_task().wait_until(self.now_ms + max(0.0, duration_ms))

    def yield_turn(self) -> None:
        """Ends the turn of the current thread."""
        self._turn_ended.release()

    def run_until(self, end_ms: float) -> None:
        """Runs all that is due until a time."""
        while True:
            due = [*self._timers, *self._tasks]
            nearest = min(due, key=lambda item: (_due_ms(item), item.number))
            if _due_ms(nearest) > end_ms:
                self.now_ms = end_ms
                return
            self.now_ms = max(self.now_ms, _due_ms(nearest))
            if isinstance(nearest, _Timer):
                self._timers.remove(nearest)
                nearest.run()
            else:
                self._take_turn(nearest)

    def stop(self) -> None:
        """Ends all threads."""
        self.is_stopped = True
        for task in self._tasks:
            task.resume()
            task.join()

    def make_event(self) -> VirtualEvent:
        """Returns an event for use in place of `threading.Event`."""
        return VirtualEvent(self)

    def _take_turn(self, task: _Task) -> None:
        self._running = task
        task.resume()
        self._turn_ended.acquire()
        self._running = None

    def current_task(self) -> _Task:
        """Returns the thread that runs now."""
        assert self._running is not None
        return self._running


class VirtualEvent:
    """Has the methods of `threading.Event` that are used; for one waiting thread."""

    def __init__(self, clock: VirtualClock) -> None:
        self._clock = clock
        self._is_set = False
        self._waiting: _Task | None = None

    def set(self) -> None:
        """Wakes the waiting thread."""
        self._is_set = True
        if self._waiting is not None:
            self._waiting.wake_ms = self._clock.now_ms

    def clear(self) -> None:
        """Lets the next wait block."""
        self._is_set = False

    def is_set(self) -> bool:
        """Returns whether the event is set."""
        return self._is_set

    def wait(self, timeout_s: float) -> bool:
        """Waits until the event is set; returns False after the timeout."""
        if not self._is_set:
            end_ms = self._clock.now_ms + max(0.0, timeout_s) * 1000
            self._waiting = self._clock.current_task()
            self._waiting.wait_until(end_ms)
            self._waiting = None
        return self._is_set


def _due_ms(item: _Task | _Timer) -> float:
    return item.at_ms if isinstance(item, _Timer) else item.wake_ms
