"""Tests of the check that no two instances hold a key at the same time."""

from __future__ import annotations

import pytest

from soak.holdings import Holding, find_shared_ranges, list_holdings, parse_changes


def list_from(lines, kill_times_ms=()):
    return list_holdings("a", parse_changes(lines, kill_times_ms))


def test_a_holding_ends_with_its_lease():
    assert list_from(["begins 1.0", "holds 2.0 [[0, 9, 5.0]]"]) == [
        Holding("a", 0, 9, 2.0, 5.0)
    ]


def test_a_holding_ends_with_the_next_change():
    lines = ["holds 2.0 [[0, 9, 5.0]]", "run r1 1.000", "holds 3.0 [[0, 4, 5.0]]"]
    assert list_from(lines) == [Holding("a", 0, 9, 2.0, 3.0), Holding("a", 0, 4, 3, 5)]


def test_a_killed_instance_holds_nothing():
    lines = ["holds 2.0 [[0, 9, 5.0]]", "begins 4.0"]
    assert list_from(lines, [3.0]) == [Holding("a", 0, 9, 2.0, 3.0)]


def test_an_instance_that_ended_by_itself_holds_nothing():
    lines = ["holds 2.0 [[0, 9, 5.0]]", "ends 3.0"]
    assert list_from(lines) == [Holding("a", 0, 9, 2.0, 3.0)]


def test_the_line_that_a_killed_instance_did_not_end_is_passed_over():
    assert list_from(["holds 2.0 [[0, 9, 5.0]]", "holds 3.0 [[0, 9, 6"]) == [
        Holding("a", 0, 9, 2.0, 5.0)
    ]


@pytest.mark.parametrize(
    "other", [Holding("b", 9, 12, 4.9, 8.0), Holding("b", 0, 99, 1.0, 9.0)]
)
def test_a_key_held_by_two_instances_for_any_time_is_found(other):
    """Also for less time than lies between two looks at the instances."""
    (finding,) = find_shared_ranges([Holding("a", 0, 9, 2.0, 5.0), other])
    assert finding.startswith("a and b hold keys at the same time")


@pytest.mark.parametrize(
    "other",
    [
        Holding("a", 0, 9, 3.0, 6.0),
        Holding("b", 10, 12, 3.0, 6.0),
        Holding("b", 0, 9, 5.0, 6.0),
    ],
)
def test_keys_held_by_one_instance_after_another_are_no_finding(other):
    assert find_shared_ranges([Holding("a", 0, 9, 2.0, 5.0), other]) == []
