"""Tests of the limits on retries, cold instances and retry delays."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from skylarktrail.core.gateway.budget import RetryBudget, TokenBucket
from skylarktrail.core.gateway.cold import cold_rate_per_s
from skylarktrail.core.gateway.instance_access import COLD_BURST_COUNT
from skylarktrail.core.gateway.retry_after import retry_after_ms

DAEMONS = frozenset(f"d{number}" for number in range(67))
COLD_PER_S = 11.0
COLD_BOUND = COLD_PER_S * 1.5 + 5


@given(st.lists(st.tuples(st.integers(0, 200), st.booleans()), max_size=300))
def test_retries_stay_within_ratio_and_extra_in_every_window(events):
    budget = RetryBudget(10_000.0, 0.2, 3.0)
    first_attempts, retries, now_ms = [], [], 0.0
    for pause_ms, is_retry in events:
        now_ms += pause_ms
        if not is_retry:
            budget.record_first_attempt(now_ms)
            first_attempts.append(now_ms)
        elif budget.try_acquire(now_ms):
            retries.append(now_ms)
        recent_retries = [at for at in retries if at > now_ms - 10_000]
        recent_first_attempts = [at for at in first_attempts if at > now_ms - 10_000]
        assert len(recent_retries) <= 0.2 * len(recent_first_attempts) + 3 + 1e-9


def test_all_daemons_together_stay_within_the_rate_of_a_cold_instance():
    rates = [cold_rate_per_s(DAEMONS, name, "i-1", COLD_PER_S) for name in DAEMONS]
    using = [rate for rate in rates if rate]
    assert sum(using) <= COLD_PER_S
    assert sum(using) + COLD_BURST_COUNT * len(using) <= COLD_BOUND


def test_cold_instances_are_used_by_different_daemons():
    users = {
        name
        for number in range(20)
        for name in DAEMONS
        if cold_rate_per_s(DAEMONS, name, f"i-{number}", COLD_PER_S)
    }
    assert len(users) > 20


def test_bucket_allows_its_rate_and_burst_only():
    bucket = TokenBucket(2.0, 1.0, 0.0)
    taken = sum(bucket.try_acquire(at_ms) for at_ms in range(0, 1000, 10))
    assert taken <= 3


@given(
    left_ms=st.floats(1, 5000),
    backlog_ms=st.floats(0, 10_000),
    target_ms=st.floats(50, 1000),
    random_fraction=st.floats(0, 0.999),
)
def test_retry_delay_is_at_most_a_third_of_the_remaining_time(
    left_ms, backlog_ms, target_ms, random_fraction
):
    wait_ms = retry_after_ms(left_ms, backlog_ms, target_ms, random_fraction)
    assert 0 <= wait_ms <= left_ms / 3


def test_retries_of_callers_refused_together_are_spread():
    waits = {retry_after_ms(1000, 5000, 300, tenths / 10) for tenths in range(10)}
    assert max(waits) - min(waits) > 75
