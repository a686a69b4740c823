"""The thread pool for callers' requests."""

from __future__ import annotations

import threading

import pytest

from skylarktrail.daemon.thread_pool import INITIAL_THREAD_COUNT, GrowingDispatcher

LIMIT = 40
WAIT_S = 5.0


class Task:
    """A request that runs until an event is set."""

    def __init__(self, started: threading.Semaphore, end: threading.Event) -> None:
        self._started = started
        self._end = end

    def service(self) -> None:
        """Signals that it runs, then waits for the event."""
        self._started.release()
        self._end.wait(WAIT_S)

    def cancel(self) -> None:
        """Does nothing; waitress calls it for requests still queued at shutdown."""


@pytest.fixture
def pool():
    pool = GrowingDispatcher(LIMIT)
    yield pool
    pool.shutdown(timeout=WAIT_S)


def run_tasks(pool, count):
    """Runs tasks concurrently; returns how many got a thread."""
    started, end = threading.Semaphore(0), threading.Event()
    for _ in range(count):
        pool.add_task(Task(started, end))
    running = 0
    while running < count and started.acquire(timeout=0.5):
        running += 1
    end.set()
    return running


def test_an_idle_daemon_has_few_threads(pool):
    assert len(pool.threads) == INITIAL_THREAD_COUNT


def test_a_burst_gets_a_thread_for_each_request(pool):
    """Many callers send requests at the same time."""
    assert run_tasks(pool, 30) == 30


def test_no_more_threads_than_the_limit(pool):
    assert run_tasks(pool, LIMIT + 10) == LIMIT
    assert len(pool.threads) == LIMIT


def test_threads_are_reused(pool):
    run_tasks(pool, 12)
    before = len(pool.threads)
    run_tasks(pool, 12)
    assert len(pool.threads) <= before + INITIAL_THREAD_COUNT
