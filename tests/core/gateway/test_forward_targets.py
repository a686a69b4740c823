"""Tests of the choice of the daemon to which a request is forwarded."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from skylarktrail.core.gateway.forward_targets import (
    INITIAL_BACKOFF_MS,
    MAX_BACKOFF_MS,
    ForwardTargets,
    TargetProcess,
)

TARGETS = {
    "near-1": TargetProcess("east", "10.0.0.1:80", "p1"),
    "near-2": TargetProcess("east", "10.0.0.2:80", "p1"),
    "far-1": TargetProcess("west", "10.1.0.1:80", "p1"),
    "far-2": TargetProcess("west", "10.1.0.2:80", "p1"),
}


@pytest.fixture
def targets():
    return ForwardTargets("east", random.Random(1).random)


def test_idle_targets_of_the_own_zone_are_preferred(targets):
    chosen = {targets.choose(TARGETS, (), 0.0) for _ in range(50)}
    assert chosen == {"near-1", "near-2"}


def test_a_zone_with_one_target_is_not_overloaded(targets):
    """Most daemons of the own zone are cut off."""
    usable = {name: TARGETS[name] for name in ("near-1", "far-1", "far-2")}
    counts = Counter()
    for _ in range(70):
        name = targets.choose(usable, (), 0.0)
        targets.begin(name)
        counts[name] += 1
    assert counts["near-1"] < 2 * min(counts.values())


def test_excluded_targets_are_not_chosen(targets):
    assert targets.choose(TARGETS, TARGETS, 0.0) is None
    assert targets.choose({}, (), 0.0) is None


def test_failed_targets_are_avoided_for_a_while(targets):
    for name in ("near-1", "near-2", "far-1"):
        targets.record_failure(name, TARGETS[name], 0.0)
    assert {targets.choose(TARGETS, (), 10.0) for _ in range(20)} == {"far-2"}
    later = {targets.choose(TARGETS, (), MAX_BACKOFF_MS) for _ in range(20)}
    assert later == {"near-1", "near-2"}


def test_a_target_that_fails_again_is_avoided_for_longer(targets):
    only = {"near-1": TARGETS["near-1"]}
    targets.record_failure("near-1", TARGETS["near-1"], 0.0)
    assert targets.choose(only, (), 400.0) == "near-1"
    targets.record_failure("near-1", TARGETS["near-1"], 400.0)
    assert targets.choose(only, (), 900.0) is None
    targets.record_success("near-1")
    targets.record_failure("near-1", TARGETS["near-1"], 2000.0)
    assert targets.choose(only, (), 2400.0) == "near-1"


def test_a_target_is_used_at_once_after_its_process_was_replaced(targets):
    """Requests to a daemon failed until it was started again at its old address."""
    earlier = TargetProcess("east", "10.0.0.1:80", "p1")
    targets.record_failure("near-1", earlier, 0.0)
    assert targets.choose({"near-1": earlier}, (), 10.0) is None
    later = earlier._replace(process="p2")
    assert targets.choose({"near-1": later}, (), 10.0) == "near-1"
    targets.record_failure("near-1", earlier, 20.0)
    assert targets.choose({"near-1": later}, (), 30.0) == "near-1"


def test_requests_that_fail_together_count_as_one_failure(targets):
    only = {"near-1": TARGETS["near-1"]}
    for _ in range(12):
        targets.record_failure("near-1", TARGETS["near-1"], 0.0)
    assert targets.choose(only, (), INITIAL_BACKOFF_MS) == "near-1"
