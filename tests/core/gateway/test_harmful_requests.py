"""Replays of loads in which requests end the instances that run them."""

from __future__ import annotations

import pytest

from skylarktrail.core.gateway.harmful_requests import (
    ANSWERED_MEMORY_MS,
    BLOCK_MS,
    ENDED_MEMORY_MS,
    MAX_ENDED_INSTANCES,
    MAX_REMEMBERED,
    BlockedRequest,
    HarmfulRequests,
    InstanceEnd,
)

REPORT_DELAY_MS = 20.0  # From an end to the block on all daemons.
DAEMON_COUNT = 195


@pytest.fixture
def requests():
    return HarmfulRequests()


def end(number, fingerprint="bad", start_ms=1):
    return InstanceEnd(fingerprint, f"i-{number}", start_ms)


def test_a_request_is_blocked_after_it_has_ended_two_instances(requests):
    assert not requests.record_end(end(1), 0.0)
    assert requests.record_end(end(2), 100.0)
    assert requests.blocked_ms("bad", 100.0) == BLOCK_MS
    assert not requests.blocked_ms("good", 100.0)


def test_two_lives_of_one_instance_count_as_two(requests):
    requests.record_end(end(1, start_ms=1), 0.0)
    assert requests.record_end(end(1, start_ms=2), 100.0)


def test_several_reports_of_one_end_count_once(requests):
    for _ in range(5):
        assert not requests.record_end(end(1), 0.0)


def test_ends_long_after_each_other_are_unrelated(requests):
    requests.record_end(end(1), 0.0)
    assert not requests.record_end(end(2), ENDED_MEMORY_MS + 1)


def test_a_block_ends(requests):
    for number in (1, 2):
        requests.record_end(end(number), 0.0)
    assert not requests.blocked_ms("bad", BLOCK_MS)
    assert not requests.list_blocked(BLOCK_MS)


def test_copies_through_many_daemons_end_few_instances():
    """A caller sends a copy each 50 ms, each through another daemon."""
    granter = HarmfulRequests()
    daemons = [HarmfulRequests() for _ in range(DAEMON_COUNT)]
    ended = []
    blocked_at_ms = None
    for copy in range(DAEMON_COUNT):
        now_ms = 50.0 * copy
        if blocked_at_ms is not None and now_ms >= blocked_at_ms + REPORT_DELAY_MS:
            blocked = granter.list_blocked(now_ms)
            daemons[copy].block(blocked, now_ms)
        if daemons[copy].blocked_ms("bad", now_ms):
            continue
        ended.append(copy)
        daemons[copy].record_end(end(copy), now_ms)
        if granter.record_end(end(copy), now_ms):
            blocked_at_ms = now_ms
    assert len(ended) == MAX_ENDED_INSTANCES


def test_requests_that_many_callers_send_survive_the_loss_of_a_zone():
    """A third of the instances ends at once and breaks off whatever they run."""
    requests = HarmfulRequests()
    requests.record_answer("popular", 0.0)
    for number in range(60):
        assert not requests.record_end(end(number, "popular"), 500.0)


def test_a_daemon_with_an_answer_does_not_block_a_request(requests):
    requests.record_answer("popular", 0.0)
    blocked = [BlockedRequest("popular", 1000.0), BlockedRequest("bad", 1000.0)]
    assert requests.block(blocked, 10.0) == ["popular"]
    assert not requests.blocked_ms("popular", 10.0)
    assert requests.blocked_ms("bad", 10.0) == 1000.0


def test_an_answer_elsewhere_ends_a_block(requests):
    for number in (1, 2):
        requests.record_end(end(number), 0.0)
    requests.unblock(["bad"])
    assert not requests.blocked_ms("bad", 0.0)
    assert not requests.record_end(end(3), 0.0)


def test_old_answers_prove_nothing(requests):
    requests.record_answer("bad", 0.0)
    late_ms = ANSWERED_MEMORY_MS + 1
    requests.record_end(end(1), late_ms)
    assert requests.record_end(end(2), late_ms)


def test_memory_is_bounded(requests):
    requests.record_end(end(1, "first"), 0.0)
    for number in range(MAX_REMEMBERED):
        requests.record_end(end(1, f"r-{number}"), 0.0)
        requests.record_answer(f"a-{number}", 0.0)
    assert not requests.record_end(end(2, "first"), 0.0)
