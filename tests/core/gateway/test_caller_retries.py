"""Tests of the detection of callers' retries."""

from __future__ import annotations

import random

import pytest

from skylarktrail.core.gateway.caller_retries import CallerRetryDetector

LONGEST_MS = 2600.0


@pytest.fixture
def detector():
    """Returns a detector that knows callers with 85% to 100% of the longest timeout."""
    rng = random.Random(1)
    detector = CallerRetryDetector()
    for _ in range(200):
        detector.observe_deadline("stock", LONGEST_MS * rng.uniform(0.85, 1.0))
    return detector


@pytest.mark.parametrize("ratio", [0.85, 0.9, 1.0])
def test_slightly_different_deadlines_are_first_attempts(detector, ratio):
    assert detector.observe_deadline("stock", LONGEST_MS * ratio) == 0.0


def test_a_much_shorter_deadline_is_a_retry(detector):
    spent_ms = detector.observe_deadline("stock", LONGEST_MS * 0.65)
    assert spent_ms == pytest.approx(LONGEST_MS * 0.27, abs=LONGEST_MS * 0.08)


def test_retries_are_detected_while_half_of_the_callers_retry(detector):
    for _ in range(100):
        assert detector.observe_deadline("stock", LONGEST_MS * 0.9) == 0.0
        assert detector.observe_deadline("stock", LONGEST_MS * 0.6) > 0.0


def test_a_few_outliers_are_ignored(detector):
    for _ in range(3):
        detector.observe_deadline("stock", LONGEST_MS * 20)
    assert detector.observe_deadline("stock", LONGEST_MS * 0.9) == 0.0


def test_routes_are_tracked_separately(detector):
    assert detector.observe_deadline("order", LONGEST_MS * 0.5) == 0.0
