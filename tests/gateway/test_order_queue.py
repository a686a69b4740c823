"""Tests of the threads that send grants and releases."""

from __future__ import annotations

import threading

import pytest

from skylarktrail.gateway.order_queue import CALLS_PER_LANE, Lane, OrderQueue

THREADS = 6
WAIT_S = 5.0


@pytest.fixture
def orders():
    orders = OrderQueue(THREADS)
    yield orders
    orders.stop()


def test_an_instance_that_hangs_does_not_hold_up_the_others(orders):
    """Load pattern: dozens of releases to one instance that does not answer."""
    end, done = threading.Event(), threading.Event()
    for _ in range(10 * THREADS):
        orders.submit(Lane("hangs", "release"), lambda: end.wait(WAIT_S))
    orders.submit(Lane("works", "grant"), done.set)
    assert done.wait(WAIT_S / 2)
    end.set()


def test_releases_do_not_hold_up_renewals_at_the_same_instance(orders):
    end, done = threading.Event(), threading.Event()
    for _ in range(2 * CALLS_PER_LANE):
        orders.submit(Lane("busy", "release"), lambda: end.wait(WAIT_S))
    orders.submit(Lane("busy", "grant"), done.set)
    assert done.wait(WAIT_S / 2)
    end.set()


def test_all_tasks_of_a_lane_run_even_if_one_fails(orders):
    done = threading.Semaphore(0)

    def fail():
        done.release()
        raise ValueError

    for _ in range(4 * CALLS_PER_LANE):
        orders.submit(Lane("i-1", "grant"), fail)
    assert all(done.acquire(timeout=WAIT_S) for _ in range(4 * CALLS_PER_LANE))


def test_no_more_calls_at_an_instance_than_allowed(orders):
    running, peaks, lock = [], [], threading.Lock()
    ended = threading.Semaphore(0)

    def call():
        with lock:
            running.append(1)
            peaks.append(len(running))
        threading.Event().wait(0.01)
        with lock:
            running.pop()
        ended.release()

    for _ in range(20):
        orders.submit(Lane("i-1", "grant"), call)
    assert all(ended.acquire(timeout=WAIT_S) for _ in range(20))
    assert max(peaks) <= CALLS_PER_LANE
