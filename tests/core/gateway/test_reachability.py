"""Tests of the conclusion that a daemon is cut off from all instances."""

from __future__ import annotations

import random

import pytest

from skylarktrail.core.gateway.reachability import (
    FAILURE_TTL_MS,
    PROBE_INTERVAL_MS,
    RENEWED_DOUBT_MS,
    SILENCE_MS,
    LinkState,
    Reachability,
)

NEAR = [f"near-{number}" for number in range(4)]
FAR = [f"far-{number}" for number in range(8)]
NAMES = NEAR + FAR
LATER_MS = 10_000.0


@pytest.fixture
def links():
    return Reachability(random.Random(1).sample)


def fail(links, names, now_ms):
    for name in names:
        links.record_connect_failure(name, now_ms)


def probe(links, now_ms, reachable=()):
    """Probes if that is due and returns the instances that were probed."""
    names = links.choose_probes(NEAR, FAR, now_ms)
    links.record_probes({name: name in reachable for name in names}, now_ms)
    return names


def cut(links, now_ms=0.0):
    fail(links, NAMES[:2], now_ms)
    probe(links, now_ms)
    assert links.is_cut


def test_one_failed_instance_is_no_reason_for_doubt(links):
    for now_ms in range(0, 2000, 100):
        fail(links, NAMES[:1], now_ms)
    assert links.state is LinkState.REACHING
    assert links.choose_probes(NEAR, FAR, 2000.0) == []


def test_two_failed_instances_are_followed_by_probes_of_others_in_both_distances(links):
    fail(links, [NEAR[0], FAR[0]], 0.0)
    assert links.state is LinkState.DOUBTFUL
    probes = links.choose_probes(NEAR, FAR, 10.0)
    assert len(set(probes) & set(NEAR)) == len(set(probes) & set(FAR)) == 2
    assert not set(probes) & {NEAR[0], FAR[0]}


def test_failed_probes_show_a_cut(links):
    cut(links)


def test_one_open_connection_ends_a_cut(links):
    cut(links)
    links.record_connected(100.0)
    assert links.state is LinkState.REACHING


def test_failures_of_many_instances_show_no_cut(links):
    """Most instances are lost at once, and no other connection is opened."""
    for now_ms in range(0, 10_000, 50):
        fail(links, [NAMES[now_ms // 50 % 10]], now_ms)
        assert not links.is_cut
        probe(links, now_ms, NAMES[10:] + NEAR)


def test_a_zone_cut_from_the_others_is_not_cut_off(links):
    """The instances of other zones fail, those of the own zone do not."""
    for now_ms in range(0, 10_000, 50):
        fail(links, [FAR[now_ms // 50 % 8]], now_ms)
        probe(links, now_ms, NEAR)
        assert not links.is_cut


def test_probes_are_few_while_many_instances_are_lost(links):
    count = 0
    for now_ms in range(0, 10_000, 50):
        fail(links, [FAR[now_ms // 50 % 8]], now_ms)
        count += bool(probe(links, now_ms, NEAR))
    assert count <= 10_000 / RENEWED_DOUBT_MS + 1


def test_old_failures_do_not_add_up(links):
    for number, name in enumerate(NAMES):
        fail(links, [name], number * (FAILURE_TTL_MS + 1))
    assert links.state is LinkState.REACHING


def test_a_cut_lasts_until_a_connection_succeeds(links):
    cut(links)
    fail(links, NAMES[:1], 60_000.0)
    probe(links, 60_000.0)
    assert links.is_cut
    probe(links, 61_000.0, NAMES)
    assert not links.is_cut


def test_requests_without_responses_are_followed_by_probes(links):
    links.record_response(0.0)
    links.check_silence([SILENCE_MS - 1, SILENCE_MS - 1], SILENCE_MS - 1)
    assert links.state is LinkState.REACHING
    links.check_silence([SILENCE_MS, SILENCE_MS], SILENCE_MS)
    assert links.state is LinkState.DOUBTFUL


def test_slow_requests_beside_responses_are_no_reason_for_doubt(links):
    links.record_response(900.0)
    links.check_silence([1000.0, 1000.0, 1000.0], 1000.0)
    assert links.state is LinkState.REACHING


def test_one_slow_instance_is_no_reason_for_doubt(links):
    links.check_silence([5000.0], 5000.0)
    assert links.state is LinkState.REACHING


def test_open_connections_that_respond_stay_in_use_during_a_cut(links):
    cut(links, 1000.0)
    links.record_response(1000.0)
    assert not links.are_open_connections_silent(1000.0 + SILENCE_MS - 1)
    assert links.are_open_connections_silent(1000.0 + SILENCE_MS)


def test_probes_are_paced(links):
    cut(links)
    sent = [now for now in range(0, 2000, 50) if probe(links, now)]
    assert len(sent) <= 2000 / PROBE_INTERVAL_MS


def test_a_site_with_two_instances_is_cut_off_if_both_fail(links):
    fail(links, NEAR[:2], 0.0)
    probes = links.choose_probes(NEAR[:2], [], 0.0)
    links.record_probes(dict.fromkeys(probes, False), 0.0)
    assert links.is_cut


def test_unanswered_calls_lead_to_probes_and_not_to_a_cut(links):
    for name in NAMES:
        links.record_unanswered_call(name, LATER_MS)
    assert links.state is LinkState.DOUBTFUL


def test_instances_that_leave_calls_unanswered_cause_few_probes(links):
    count = 0
    for now_ms in range(0, 10_000, 50):
        links.record_unanswered_call(NAMES[now_ms // 50 % 12], now_ms)
        count += bool(probe(links, now_ms, NAMES))
    assert count <= 10_000 / RENEWED_DOUBT_MS + 1
