"""Tests of admission by priority for an overloaded owner, without a network."""

from __future__ import annotations

import pytest

from skylarktrail.core.gateway.admission import PriorityAdmission
from skylarktrail.core.gateway.demand import DEMAND_DECAY_MS, DemandMeter
from skylarktrail.core.gateway.expected_times import ExpectedTimes
from skylarktrail.core.gateway.ticket import Ticket

WORK_RATIO = 0.3  # Of the target, before the first response.


@pytest.fixture
def admission():
    return PriorityAdmission(ExpectedTimes(), DemandMeter())


@pytest.fixture
def arrive(admission, make_route):
    """Returns a function that records a number of requests and returns the last."""

    def arrive_at(priority, count=1, work_ms=90.0, is_late=False, now_ms=0.0):
        target_ms = work_ms / WORK_RATIO
        name = f"r-{priority}-{work_ms}"
        route = make_route(name=name, priority=priority, target_ms=target_ms)
        for _ in range(count):
            ticket = Ticket(route, "stock", 7, 2000.0, target_ms, is_late, lambda: None)
            ticket.is_late = is_late
            admission.record_arrival(ticket, now_ms)
        return ticket

    return arrive_at


def test_lower_priorities_are_refused_completely_before_higher_ones(admission, arrive):
    """Guards against urgent requests that are refused as often as any other."""
    urgent, usual, low = arrive(0, 20), arrive(1, 40), arrive(2, 40)
    parts = [admission.admitted_part(t, 0.4, 0.0) for t in (urgent, usual, low)]
    assert parts == pytest.approx([1.0, 0.5, 0.0])


def test_the_fraction_applies_to_work(admission, arrive):
    """Guards against counting a request of long work as one of short work."""
    short, long = arrive(0, 40, 90.0), arrive(2, 10, 900.0)
    assert admission.admitted_part(short, 0.5, 0.0) == 1.0
    part = admission.admitted_part(long, 0.5, 0.0)
    assert part == pytest.approx((0.5 * 12_600 - 3600) / 9000)


def test_a_caller_that_returns_comes_before_lower_priorities(admission, arrive):
    """Guards against callers that are refused again, for less urgent ones."""
    arrive(0, 20)
    returned, low = arrive(0, 10, is_late=True), arrive(1, 50)
    assert admission.admitted_part(returned, 0.4, 0.0) == 1.0
    assert admission.admitted_part(low, 0.4, 0.0) < 0.1


def test_within_a_priority_short_work_in_time_comes_first(admission, arrive):
    late = arrive(1, 10, is_late=True)
    long, short = arrive(1, 10, 360.0), arrive(1, 40)
    parts = [admission.admitted_part(t, 0.6, 0.0) for t in (short, long, late)]
    assert parts[0] == 1.0
    assert 0 < parts[1] < 1
    assert parts[2] == 0.0


def test_a_single_kind_is_admitted_by_the_plain_fraction(admission, arrive):
    """Guards against a daemon that knows little and refuses or admits all."""
    first = arrive(2)
    assert admission.admitted_part(first, 0.4, 0.0) == pytest.approx(0.4)
    assert admission.admitted_part(first, 1.0, 0.0) == 1.0


def test_demand_is_forgotten_when_it_ends(admission, arrive):
    arrive(0, 100)
    now_ms = 10 * DEMAND_DECAY_MS
    low = arrive(2, 10, now_ms=now_ms)
    assert admission.admitted_part(low, 0.5, now_ms) == pytest.approx(0.5, abs=0.01)
