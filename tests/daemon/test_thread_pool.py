"""The thread pool for callers' requests."""

from __future__ import annotations

import threading
import time

import pytest

from skylarktrail.daemon.thread_pool import INITIAL_THREAD_COUNT, GrowingDispatcher

LIMIT = 40
WAIT_S = 5.0
POLL_S = 0.005


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


class FailingTask(Task):
    """A request that raises an exception."""

    def __init__(self) -> None:
        super().__init__(threading.Semaphore(0), threading.Event())

    def service(self) -> None:
        """Raises an exception."""
        raise ValueError("a failed request of the test")


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


def wait_until_idle(pool):
    """Waits until each thread waits for a request, not only until the tasks may end."""
    end_s = time.monotonic() + WAIT_S
    while pool.queue or pool.active_count:
        assert time.monotonic() < end_s, "threads still run tasks"
        time.sleep(POLL_S)


def test_an_idle_daemon_has_few_threads(pool):
    assert len(pool.threads) == INITIAL_THREAD_COUNT


def test_a_burst_gets_a_thread_for_each_request(pool):
    """Many callers send requests at the same time."""
    assert run_tasks(pool, 30) == 30


@pytest.mark.parametrize(
    ("requests", "threads"), [(8, 8), (12, 12), (13, 16), (30, 32)]
)
def test_a_burst_starts_no_more_threads_than_it_needs(pool, requests, threads):
    """Requests come faster than the threads started for the first of them run."""
    assert run_tasks(pool, requests) == requests
    assert len(pool.threads) == threads


def test_failed_requests_leave_their_threads_to_others(pool):
    for _ in range(INITIAL_THREAD_COUNT):
        pool.add_task(FailingTask())
    wait_until_idle(pool)
    assert run_tasks(pool, INITIAL_THREAD_COUNT) == INITIAL_THREAD_COUNT
    assert len(pool.threads) == INITIAL_THREAD_COUNT


def test_no_more_threads_than_the_limit(pool):
    assert run_tasks(pool, LIMIT + 10) == LIMIT
    assert len(pool.threads) == LIMIT


def test_threads_are_reused(pool):
    """A second burst of the same size comes when the threads of the first are idle."""
    assert run_tasks(pool, 12) == 12
    wait_until_idle(pool)
    before = len(pool.threads)
    assert run_tasks(pool, 12) == 12
    assert len(pool.threads) == before
