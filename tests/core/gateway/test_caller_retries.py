"""Tests of telling first attempts from returning callers."""

from __future__ import annotations

import random

import pytest

from skylarktrail.core.gateway.caller_retries import CallerRetryDetector

LONGEST_MS = 2600.0


@pytest.fixture
def deadlines():
    """Detector that has seen callers wait 85% to 100% of the longest time."""
    rng = random.Random(1)
    known = CallerRetryDetector()
    for _ in range(200):
        known.observe_deadline("stock", LONGEST_MS * rng.uniform(0.85, 1.0))
    return known


@pytest.mark.parametrize("part", [0.85, 0.9, 1.0])
def test_callers_that_wait_differently_long_are_first_attempts(deadlines, part):
    assert deadlines.observe_deadline("stock", LONGEST_MS * part) == 0.0


def test_a_caller_with_much_less_time_has_been_refused_before(deadlines):
    spent_ms = deadlines.observe_deadline("stock", LONGEST_MS * 0.65)
    assert spent_ms == pytest.approx(LONGEST_MS * 0.27, abs=LONGEST_MS * 0.08)


def test_returns_are_told_while_half_of_the_callers_return(deadlines):
    for _ in range(100):
        assert deadlines.observe_deadline("stock", LONGEST_MS * 0.9) == 0.0
        assert deadlines.observe_deadline("stock", LONGEST_MS * 0.6) > 0.0


def test_a_few_odd_deadlines_change_nothing(deadlines):
    for _ in range(3):
        deadlines.observe_deadline("stock", LONGEST_MS * 20)
    assert deadlines.observe_deadline("stock", LONGEST_MS * 0.9) == 0.0


def test_routes_are_told_apart(deadlines):
    assert deadlines.observe_deadline("order", LONGEST_MS * 0.5) == 0.0
