"""Tests of the choice of the daemon to which a request is forwarded."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from skylarktrail.core.gateway.forward_targets import (
    MAX_BACKOFF_MS,
    ForwardTarget,
    ForwardTargets,
)

TARGETS = {
    "near-1": ForwardTarget("east", "10.0.0.1:80"),
    "near-2": ForwardTarget("east", "10.0.0.2:80"),
    "far-1": ForwardTarget("west", "10.1.0.1:80"),
    "far-2": ForwardTarget("west", "10.1.0.2:80"),
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
        targets.record_failure(name, 0.0)
    assert {targets.choose(TARGETS, (), 10.0) for _ in range(20)} == {"far-2"}
    later = {targets.choose(TARGETS, (), MAX_BACKOFF_MS) for _ in range(20)}
    assert later == {"near-1", "near-2"}


def test_a_target_that_fails_again_is_avoided_for_longer(targets):
    only = {"near-1": TARGETS["near-1"]}
    targets.record_failure("near-1", 0.0)
    assert targets.choose(only, (), 400.0) == "near-1"
    targets.record_failure("near-1", 400.0)
    assert targets.choose(only, (), 900.0) is None
    targets.record_success("near-1")
    targets.record_failure("near-1", 2000.0)
    assert targets.choose(only, (), 2400.0) == "near-1"
