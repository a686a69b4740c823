"""Tests of the memory that callers share."""

from __future__ import annotations

import pytest

from skylarktrail.caller_budget import (
    PROCESS_MB,
    CallerBudget,
    CallerReservation,
    make_caller_budget,
)
from skylarktrail.receive_budget import make_receive_budget

LIMIT_BYTES = 1600
LARGEST_BODY_BYTES = 64 << 20


@pytest.fixture
def budget():
    return CallerBudget(LIMIT_BYTES)


def test_all_together_stay_within_the_hard_limit(budget):
    """Guards against a sum that grows with the number of callers."""
    callers = [CallerReservation(budget) for _ in range(200)]
    for size_bytes in range(1, 100):
        for caller in callers:
            caller.try_resize(size_bytes)
    assert LIMIT_BYTES <= budget.used_bytes <= LIMIT_BYTES * 17 / 16


def test_a_small_request_fits_beside_large_ones_that_stall(budget):
    """Guards against large bodies that keep all other callers out."""
    large = [CallerReservation(budget) for _ in range(4)]
    assert all(caller.try_resize(400) for caller in large)
    assert not large[0].try_resize(410)
    assert CallerReservation(budget).try_resize(50)


def test_idle_connections_do_not_reduce_the_equal_share(budget):
    """Guards against shares that shrink with connections that hold nothing."""
    for _ in range(100):
        assert CallerReservation(budget).try_resize(0)
    first, second = CallerReservation(budget), CallerReservation(budget)
    assert first.try_resize(LIMIT_BYTES)
    assert second.try_resize(100)


def test_what_shrinks_or_ends_gives_memory_back(budget):
    """Guards against bytes that stay counted for good."""
    caller = CallerReservation(budget)
    assert caller.try_resize(1000)
    assert caller.try_resize(400)
    assert budget.used_bytes == caller.held_bytes == 400
    caller.release()
    caller.release()
    assert budget.used_bytes == caller.held_bytes == 0


@pytest.mark.parametrize("memory_mb", [160, 256, 300, 552])
def test_the_largest_body_fits_and_all_bounds_fit_into_the_memory(memory_mb):
    """Guards against a ratio that refuses a legal body or exceeds the process."""
    budget = make_caller_budget(memory_mb)
    assert CallerReservation(budget).try_resize(LARGEST_BODY_BYTES + (64 << 10))
    hard_bytes = budget._hard_limit_bytes + make_receive_budget(memory_mb)._limit_bytes
    assert hard_bytes / (1 << 20) + PROCESS_MB <= memory_mb
