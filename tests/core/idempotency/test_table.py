"""Tests of the idempotency table, homes and keys."""

from __future__ import annotations

import uuid

import pytest

from skylarktrail.core.idempotency import verdicts
from skylarktrail.core.idempotency.home import Home
from skylarktrail.core.idempotency.keys import (
    digest_of,
    home_group_of,
    is_well_formed,
    key_timestamp_ms,
    parse_key,
)
from skylarktrail.core.idempotency.table import (
    FINISH_MARGIN_MS,
    Attempt,
    IdempotencyTable,
    TableLimits,
    TermView,
)
from skylarktrail.errors import idempotency as codes

NOW_MS = 50_000
WALL_MS = 1_700_000_000_000
SKEW_MS = 200
LIMITS = TableLimits(
    max_bytes=100_000, max_entries=100, keep_ms=60_000, skew_ms=SKEW_MS
)
TERM = TermView(True, WALL_MS - 10_000, 3)
ANSWER = verdicts.Answered(201, (("Location", "/orders/1"),), b"booked")


def make_key(timestamp_ms: int = WALL_MS, number: int = 1) -> uuid.UUID:
    return uuid.UUID(int=timestamp_ms << 80 | 7 << 76 | 2 << 62 | number)


def make_attempt(key: uuid.UUID | None = None, **changes) -> Attempt:
    attempt = Attempt(key or make_key(), b"digest", b"first", 2000, WALL_MS)
    return attempt._replace(**changes)


@pytest.fixture
def table() -> IdempotencyTable:
    return IdempotencyTable(LIMITS)


def begin(table, attempt=None, now_ms=NOW_MS, wall_ms=WALL_MS, granter_term=TERM):
    return table.begin(now_ms, wall_ms, attempt or make_attempt(), granter_term)


def test_first_attempt_runs_and_its_retry_is_in_progress(table):
    assert begin(table) == verdicts.Run(3)
    assert begin(table, make_attempt(id=b"second")) == verdicts.InProgress()


def test_retry_gets_the_recorded_answer(table):
    begin(table)
    assert table.finish(make_key(), b"first", ANSWER)
    assert begin(table, make_attempt(id=b"second")) == verdicts.Recorded(ANSWER)


def test_attempt_that_did_not_run_leaves_the_key_free(table):
    begin(table)
    assert table.finish(make_key(), b"first", verdicts.NotRun())
    assert len(table) == 0 and table.size_bytes == 0
    assert begin(table, make_attempt(id=b"second")) == verdicts.Run(3)


def test_another_attempt_cannot_end_the_one_that_runs(table):
    begin(table)
    assert not table.finish(make_key(), b"second", verdicts.NotRun())
    assert begin(table, make_attempt(id=b"second")) == verdicts.InProgress()


def test_unfinished_attempt_is_unknown_after_its_deadline(table):
    begin(table)
    later_ms = NOW_MS + 2000 + FINISH_MARGIN_MS
    assert begin(table, now_ms=later_ms) == verdicts.ExecutionUnknown()


def test_unknown_outcome_stays_unknown(table):
    begin(table)
    table.finish(make_key(), b"first", verdicts.OutcomeUnknown())
    assert begin(table) == verdicts.ExecutionUnknown()


def test_other_body_under_the_same_key_is_refused(table):
    begin(table)
    table.finish(make_key(), b"first", ANSWER)
    assert begin(table, make_attempt(digest=b"other")) == verdicts.RequestMismatch()


def test_large_answer_is_reported_as_dropped(table):
    begin(table)
    table.finish(make_key(), b"first", ANSWER._replace(body=b"x" * 50_000))
    assert begin(table) == verdicts.RecordedDropped(201)
    assert table.size_bytes < 1000


@pytest.mark.parametrize(
    ("key", "verdict"),
    [
        (uuid.UUID(int=7), verdicts.Malformed()),
        (uuid.uuid4(), verdicts.Malformed()),
        (make_key(WALL_MS + SKEW_MS), verdicts.Run(3)),
        (make_key(WALL_MS + SKEW_MS + 1), verdicts.FromFuture()),
        (make_key(TERM.acting_since_wall_ms), verdicts.Forgotten(0)),
        (make_key(TERM.acting_since_wall_ms + 2 * SKEW_MS), verdicts.Forgotten(0)),
        (make_key(TERM.acting_since_wall_ms + 2 * SKEW_MS + 1), verdicts.Run(3)),
    ],
)
def test_timestamp_decides_whether_a_new_key_may_run(table, key, verdict):
    assert begin(table, make_attempt(key)) == verdict


def test_unconfirmed_home_refuses_every_attempt(table):
    unconfirmed = TERM._replace(is_confirmed=False)
    assert begin(table, granter_term=unconfirmed) == verdicts.NotHome()
    early = TERM._replace(acting_since_wall_ms=WALL_MS + 1)
    assert begin(table, granter_term=early) == verdicts.NotHome()


def test_home_whose_clock_is_behind_refuses(table):
    ahead = make_attempt(wall_ms=WALL_MS + SKEW_MS + 1)
    assert begin(table, ahead) == verdicts.ClockBehind()


def test_key_from_the_future_is_judged_by_the_earlier_clock(table):
    key = make_key(WALL_MS + 1000)
    late = make_attempt(key)
    assert begin(table, late, wall_ms=WALL_MS + 5000) == verdicts.FromFuture()


def test_dropped_keys_raise_the_watermark(table):
    small = IdempotencyTable(LIMITS._replace(max_entries=2))
    keys = [make_key(WALL_MS - 300 + index) for index in range(3)]
    for key in keys:
        assert begin(small, make_attempt(key)) == verdicts.Run(3)
    assert len(small) == 2
    assert small.watermark_ms == WALL_MS - 300
    assert begin(small, make_attempt(keys[0])) == verdicts.Forgotten(0)
    unseen = make_key(WALL_MS - 300, number=9)
    assert begin(small, make_attempt(unseen)) == verdicts.Forgotten(0)


def test_size_in_bytes_is_bounded():
    small = IdempotencyTable(LIMITS._replace(max_bytes=5000))
    for index in range(50):
        key = make_key(WALL_MS - 100 + index)
        begin(small, make_attempt(key))
        small.finish(key, b"first", ANSWER)
        assert small.size_bytes <= 5000


def test_keys_expire_after_the_keep_time(table):
    begin(table)
    table.finish(make_key(), b"first", ANSWER)
    late_ms = WALL_MS + LIMITS.keep_ms + 1
    fresh = make_key(late_ms, number=2)
    begin(table, make_attempt(fresh, wall_ms=late_ms), wall_ms=late_ms)
    assert len(table) == 1
    assert begin(table, wall_ms=late_ms) == verdicts.Forgotten(0)


def test_next_term_of_the_same_home_keeps_its_entries():
    home = Home(LIMITS)
    begin(home)
    following = TermView(True, WALL_MS, 4)
    fresh = make_key(WALL_MS, number=2)
    assert begin(home, make_attempt(fresh), granter_term=following) == verdicts.Run(4)


def test_term_after_another_daemons_term_raises_the_barrier():
    home = Home(LIMITS)
    begin(home)
    home.finish(make_key(), b"first", ANSWER)
    later = TermView(True, WALL_MS, 5)
    fresh = make_key(WALL_MS, number=2)
    forgotten = verdicts.Forgotten(2 * SKEW_MS)
    assert begin(home, make_attempt(fresh), granter_term=later) == forgotten
    assert begin(home, granter_term=later) == verdicts.Recorded(ANSWER)


def test_keys_are_parsed_and_divided_among_the_home_groups():
    key = make_key()
    assert parse_key(f' "{key}" ') == parse_key(str(key)) == key
    assert parse_key("order-1") is None
    assert parse_key(str(uuid.uuid4())) is None
    assert is_well_formed(key) and key_timestamp_ms(key) == WALL_MS
    groups = {home_group_of(make_key(number=index), 8) for index in range(200)}
    assert groups == {f"home/{index}" for index in range(8)}


def test_digest_depends_on_the_boundaries_of_its_parts():
    assert digest_of(b"ab", b"c") != digest_of(b"a", b"bc")


def test_every_refusal_has_a_code_and_the_correct_outcome():
    for name, cls in verdicts.VERDICT_TYPES.items():
        if name in ("run", "recorded"):
            assert cls.code is None
        else:
            assert cls.code.status >= 400, name
            assert cls.reported_outcome in (verdicts.NOT_RUN, verdicts.UNKNOWN), name
    assert (
        verdicts.Forgotten.reported_outcome
        == verdicts.ExecutionUnknown.reported_outcome
        == verdicts.UNKNOWN
    )
    assert (
        verdicts.ExecutionUnknown.reported_outcome
        == verdicts.InProgress.reported_outcome
        == verdicts.UNKNOWN
    )
    assert verdicts.RecordedDropped.reported_outcome == verdicts.UNKNOWN
    assert verdicts.ExecutionUnknown.code == codes.KEY_OUTCOME_UNKNOWN
