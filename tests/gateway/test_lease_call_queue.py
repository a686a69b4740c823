"""Tests of the thread pool for grants and releases."""

from __future__ import annotations

import threading

import pytest

from skylarktrail.gateway.lease_call_queue import (
    MAX_RUNNING_PER_LANE,
    Lane,
    LeaseCallQueue,
)

THREADS = 6
WAIT_S = 5.0


@pytest.fixture
def call_queue():
    call_queue = LeaseCallQueue(THREADS)
    yield call_queue
    call_queue.stop()


@pytest.mark.parametrize(
    ("hanging", "calls", "other"),
    [
        # Dozens of releases to an instance that does not respond.
        (Lane("hangs", "release"), 10 * THREADS, Lane("works", "grant")),
        # Renewals submitted after releases to the same instance.
        (Lane("busy", "release"), 2 * MAX_RUNNING_PER_LANE, Lane("busy", "grant")),
    ],
)
def test_hanging_calls_do_not_block_other_lanes(call_queue, hanging, calls, other):
    end, done = threading.Event(), threading.Event()
    for _ in range(calls):
        call_queue.submit(hanging, lambda: end.wait(WAIT_S))
    call_queue.submit(other, done.set)
    assert done.wait(WAIT_S / 2)
    end.set()


def test_all_tasks_of_a_lane_run_even_if_each_fails(call_queue):
    done = threading.Semaphore(0)

    def fail():
        done.release()
        raise ValueError

    for _ in range(4 * MAX_RUNNING_PER_LANE):
        call_queue.submit(Lane("i-1", "grant"), fail)
    assert all(done.acquire(timeout=WAIT_S) for _ in range(4 * MAX_RUNNING_PER_LANE))


def test_running_calls_of_a_lane_are_limited(call_queue):
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
        call_queue.submit(Lane("i-1", "grant"), call)
    assert all(ended.acquire(timeout=WAIT_S) for _ in range(20))
    assert max(peaks) <= MAX_RUNNING_PER_LANE
