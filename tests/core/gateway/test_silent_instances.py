"""Tests of when an instance that answers no lease calls loses its keys."""

from __future__ import annotations

import pytest

from skylarktrail.core.gateway.lease_calls import KeyedInstance
from skylarktrail.core.gateway.silent_instances import (
    MIN_CALL_COUNT,
    RETRY_AFTER_MS,
    SilentInstances,
)

PATIENCE_MS = 4000.0
NAMES = ("i-1", "i-2", "i-3")
OWNERS = {name: KeyedInstance(name, name, 1, True) for name in NAMES}


@pytest.fixture
def silent():
    silent = SilentInstances(PATIENCE_MS)
    for number in range(MIN_CALL_COUNT):
        silent.record("i-1", "silent", number * 100.0)
    return silent


def can_keep(silent, now_ms):
    owners = silent.exclude(OWNERS, now_ms)
    return [name for name, owner in owners.items() if owner.can_keep_keys]


def test_an_instance_that_answers_nothing_for_a_lease_loses_its_keys(silent):
    assert can_keep(silent, PATIENCE_MS - 1) == list(NAMES)
    assert can_keep(silent, PATIENCE_MS) == ["i-2", "i-3"]
    assert not silent.exclude(OWNERS, PATIENCE_MS)["i-1"].can_receive_keys


@pytest.mark.parametrize("outcome", ["done", "fenced", "replaced"])
def test_an_answer_of_any_kind_ends_the_silence(silent, outcome):
    silent.record("i-1", outcome, 3000.0)
    assert can_keep(silent, PATIENCE_MS) == list(NAMES)


def test_a_few_lost_calls_are_no_silence():
    silent = SilentInstances(PATIENCE_MS)
    silent.record("i-1", "silent", 0.0)
    assert can_keep(silent, 2 * PATIENCE_MS) == list(NAMES)


def test_a_silent_instance_is_tried_again(silent):
    assert can_keep(silent, PATIENCE_MS + RETRY_AFTER_MS) == ["i-2", "i-3"]
    assert can_keep(silent, PATIENCE_MS + RETRY_AFTER_MS + 1) == list(NAMES)


def test_silence_of_most_instances_takes_no_keys(silent):
    """The daemon's own links may hang."""
    for number in range(MIN_CALL_COUNT):
        silent.record("i-2", "silent", number * 100.0)
    assert can_keep(silent, PATIENCE_MS) == list(NAMES)
