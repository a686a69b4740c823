"""Tests when a daemon joins the roster and when it evicts another one."""

from __future__ import annotations

import pytest

from skylarktrail.core.membership import (
    EVICT_AFTER_MS,
    EVICT_INTERVAL_MS,
    JOIN_RETRY_MS,
    Membership,
)
from skylarktrail.core.records import Envelope, Join, Leave
from skylarktrail.core.state import State


@pytest.fixture
def state() -> State:
    return State(lambda file: True)


@pytest.fixture
def membership() -> Membership:
    return Membership("d1", "i2", "heredia", "127.0.0.1:1")


def fold_join(state: State, daemon: str, incarnation: str, replaces: str = "") -> None:
    join = Join("heredia", "", replaces)
    state.apply(state.next_offset, Envelope(daemon, incarnation, 1, join))


def test_join_names_the_incarnation_that_it_replaces(state, membership):
    fold_join(state, "d1", "i1")
    assert membership.join(0, state) == Join("heredia", "127.0.0.1:1", "i1")


def test_join_is_not_repeated_before_it_can_be_read_back(state, membership):
    assert membership.join(0, state)
    assert membership.join(JOIN_RETRY_MS - 1, state) is None
    assert membership.join(JOIN_RETRY_MS, state)


def test_daemon_that_was_evicted_joins_again(state, membership):
    fold_join(state, "d1", "i2")
    assert membership.join(0, state) is None
    del state.members["d1"]
    assert membership.join(JOIN_RETRY_MS, state) == Join("heredia", "127.0.0.1:1", "")


def test_replaced_daemon_does_not_rejoin(state, membership):
    fold_join(state, "d1", "i2")
    membership.join(0, state)
    fold_join(state, "d1", "i3", replaces="i2")
    assert membership.is_replaced(state)
    assert membership.join(JOIN_RETRY_MS, state) is None


def test_member_is_evicted_only_after_it_was_unlisted_and_silent_for_long(
    state, membership
):
    fold_join(state, "d1", "i2")
    fold_join(state, "d2", "i1")
    listed = frozenset(("d1",))
    membership.update_vm_list(0, state, listed)
    assert membership.evict(EVICT_AFTER_MS - 1, state, set()) is None
    assert membership.evict(EVICT_AFTER_MS, state, {"d2"}) is None
    assert membership.evict(EVICT_AFTER_MS, state, set()) == Leave("d2", "i1")
    later = EVICT_AFTER_MS + EVICT_INTERVAL_MS - 1
    assert membership.evict(later, state, set()) is None


def test_listing_a_vm_again_restarts_its_eviction_delay(state, membership):
    fold_join(state, "d1", "i2")
    fold_join(state, "d2", "i1")
    membership.update_vm_list(0, state, frozenset(("d1",)))
    membership.update_vm_list(5_000, state, frozenset(("d1", "d2")))
    membership.update_vm_list(6_000, state, frozenset(("d1",)))
    assert membership.evict(EVICT_AFTER_MS, state, set()) is None


def test_daemon_outside_the_roster_evicts_no_member(state, membership):
    fold_join(state, "d2", "i1")
    membership.update_vm_list(0, state, frozenset(("d1",)))
    assert membership.evict(EVICT_AFTER_MS, state, set()) is None
