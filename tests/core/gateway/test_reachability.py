"""Tests of the conclusion that a daemon is cut off from all instances."""

from __future__ import annotations

import random

import pytest

from skylarktrail.core.gateway.reachability import (
    CUT_COUNT,
    FAILURE_TTL_MS,
    PROBE_INTERVAL_MS,
    RENEWED_DOUBT_MS,
    SILENCE_MS,
    LinkState,
    Reachability,
)

NAMES = [f"i-{number}" for number in range(12)]


@pytest.fixture
def links():
    return Reachability(random.Random(1).sample)


def fail(links, names, now_ms, count=len(NAMES)):
    for name in names:
        links.record_connect_failure(name, count, now_ms)


def test_one_failed_instance_is_no_reason_for_doubt(links):
    for now_ms in range(0, 2000, 100):
        fail(links, NAMES[:1], now_ms)
    assert links.state is LinkState.REACHING
    assert links.choose_probes(NAMES, 2000.0) == []


def test_two_failed_instances_are_followed_by_probes_of_others(links):
    fail(links, NAMES[:2], 0.0)
    assert links.state is LinkState.DOUBTFUL
    probes = links.choose_probes(NAMES, 10.0)
    assert len(probes) == CUT_COUNT and not set(probes) & set(NAMES[:2])


def test_failed_probes_show_a_cut(links):
    fail(links, NAMES[:2], 0.0)
    fail(links, links.choose_probes(NAMES, 10.0), 300.0)
    assert links.is_cut


def test_one_open_connection_ends_a_cut(links):
    fail(links, NAMES[:5], 0.0)
    assert links.is_cut
    links.record_connected(100.0)
    assert links.state is LinkState.REACHING


def test_failures_of_a_lost_zone_show_no_cut(links):
    """A third of the instances fail; connections to the others succeed between."""
    for now_ms in range(0, 5000, 50):
        fail(links, [NAMES[now_ms // 50 % 3]], now_ms)
        links.record_connected(now_ms + 20.0)
        assert not links.is_cut


def test_old_failures_do_not_add_up(links):
    for number, name in enumerate(NAMES):
        fail(links, [name], number * (FAILURE_TTL_MS + 1))
    assert links.state is LinkState.REACHING


def test_a_cut_lasts_until_a_connection_succeeds(links):
    fail(links, NAMES[:4], 0.0)
    fail(links, NAMES[:1], 60_000.0)
    assert links.is_cut


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
    fail(links, NAMES[:4], 1000.0)
    links.record_response(1000.0)
    assert not links.are_open_connections_silent(1000.0 + SILENCE_MS - 1)
    assert links.are_open_connections_silent(1000.0 + SILENCE_MS)


def test_probes_are_paced(links):
    fail(links, NAMES[:4], 0.0)
    sent = [now for now in range(0, 2000, 50) if links.choose_probes(NAMES, now)]
    assert len(sent) <= 2000 / PROBE_INTERVAL_MS


def test_a_site_with_two_instances_is_cut_off_if_both_fail(links):
    fail(links, NAMES[:2], 0.0, count=2)
    assert links.is_cut


def test_unanswered_calls_lead_to_probes_and_not_to_a_cut(links):
    for name in NAMES:
        links.record_unanswered_call(name, 5000.0)
    assert links.state is LinkState.DOUBTFUL


def test_instances_that_leave_calls_unanswered_cause_few_probes(links):
    probe_count = 0
    for now_ms in range(0, 10_000, 50):
        links.record_unanswered_call(NAMES[now_ms // 50 % 12], now_ms)
        if links.choose_probes(NAMES, now_ms):
            probe_count += 1
            links.record_connected(now_ms)
    assert probe_count <= 10_000 / RENEWED_DOUBT_MS + 1
