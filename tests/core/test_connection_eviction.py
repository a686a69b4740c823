"""Tests of the choice of connections that are closed for new ones."""

from __future__ import annotations

import pytest

from skylarktrail.core.connection_eviction import (
    MIN_HELD_S,
    ConnectionState,
    Phase,
    choose_evicted,
)

LONG_S = 2 * max(MIN_HELD_S.values())


def test_phases_are_closed_in_the_order_of_what_their_callers_lose():
    """Guards against the end of requests while idle connections are held."""
    states = {phase: ConnectionState(phase, LONG_S) for phase in reversed(Phase)}
    expected = [phase for phase in Phase if phase is not Phase.ACTIVE]
    assert choose_evicted(states, len(states)) == expected


def test_active_connections_are_never_closed():
    """Guards against a running request that is cut for a newcomer."""
    states = {number: ConnectionState(Phase.ACTIVE, LONG_S) for number in range(5)}
    assert choose_evicted(states, 5) == []


@pytest.mark.parametrize("phase", [item for item in Phase if item != Phase.ACTIVE])
def test_the_longest_held_is_closed_first(phase):
    """Guards against the end of callers that were active a moment ago."""
    states = {held_s: ConnectionState(phase, held_s) for held_s in (6.0, 9.0, 7.0)}
    assert choose_evicted(states, 2) == [9.0, 7.0]


@pytest.mark.parametrize("phase", [Phase.SLOW, Phase.UNREAD])
def test_the_slowest_is_closed_first(phase):
    """Guards against the end of large bodies on slow links before trickled ones."""
    states = {rate: ConnectionState(phase, LONG_S, rate) for rate in (9e4, 3.0, 400.0)}
    assert choose_evicted(states, 2) == [3.0, 400.0]


def test_idle_connections_are_closed_without_a_delay():
    """Guards against newcomers that wait for a crowd of answered clients."""
    states = {"new": ConnectionState(Phase.IDLE, 0.0)}
    assert choose_evicted(states, 1) == ["new"]


@pytest.mark.parametrize(
    "phase", [Phase.UNUSED, Phase.STALLED, Phase.SLOW, Phase.UNREAD]
)
def test_connections_that_are_new_in_their_phase_are_kept(phase):
    """Guards against the end of callers whose first bytes are on their way."""
    held_s = MIN_HELD_S[phase] / 2
    assert choose_evicted({"new": ConnectionState(phase, held_s)}, 1) == []


def test_idle_connections_are_kept_while_a_crowd_opens_new_ones():
    """Guards against the end of honest idle connections, as a crowd is new."""
    states = {f"idle {n}": ConnectionState(Phase.IDLE, LONG_S) for n in range(4)}
    states |= {f"new {n}": ConnectionState(Phase.UNUSED, 0.0) for n in range(6)}
    assert choose_evicted(states, 2) == []


def test_idle_connections_beyond_half_are_closed_for_new_ones():
    """Guards against clients that are kept out by idle connections."""
    states = {n: ConnectionState(Phase.IDLE, LONG_S + n) for n in range(6)}
    states |= {f"new {n}": ConnectionState(Phase.UNUSED, 0.0) for n in range(2)}
    assert choose_evicted(states, 2) == [5, 4]


def test_idle_connections_are_closed_if_all_others_run_requests():
    """Guards against idle connections that are kept for good."""
    states = {n: ConnectionState(Phase.IDLE, LONG_S + n) for n in range(2)}
    states |= {f"runs {n}": ConnectionState(Phase.ACTIVE) for n in range(6)}
    assert choose_evicted(states, 1) == [1]


def test_no_more_are_closed_than_asked_for():
    """Guards against a crowd that makes a daemon close all idle connections."""
    states = {number: ConnectionState(Phase.IDLE, LONG_S) for number in range(9)}
    assert len(choose_evicted(states, 4)) == 4
