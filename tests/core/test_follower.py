"""Tests that no record is missed after a gap, by a late reader or a checkpoint."""

from __future__ import annotations

import pytest

from skylarktrail.core.checkpoints import LogWindow, make_checkpoint
from skylarktrail.core.follower import LogFollower
from skylarktrail.core.records import Envelope, Join, Publish
from skylarktrail.core.state import State


def publish(base: int, name: str) -> Envelope:
    return Envelope("operator", "", 0, Publish(name, base, {"site": name}))


def join(daemon: str) -> Envelope:
    return Envelope(daemon, "i1", 1, Join("heredia", "", ""))


@pytest.fixture
def log() -> list[tuple[int, Envelope]]:
    """Returns four records and a checkpoint of them, with their offsets."""
    records = [publish(0, "a"), join("d1"), publish(1, "b"), join("d2")]
    state = State(lambda file: True)
    for offset, record in enumerate(records, 1):
        state.apply(offset, record)
    body = make_checkpoint(state)
    records.append(Envelope("d1", "i1", 2, body))
    return list(enumerate(records, 1))


@pytest.fixture
def state() -> State:
    return State(lambda file: True)


def test_reads_that_overlap_fold_each_record_once(state, log):
    follower = LogFollower(state)
    assert len(follower.handle_read(1, LogWindow(1, 6), log[:2]).applied) == 2
    again = follower.handle_read(1, LogWindow(1, 6), log[:2])
    assert again.applied == () and again.next_read_offset == 3
    assert follower.handle_read(3, LogWindow(1, 6), log[2:]).is_at_end


def test_every_roster_of_a_read_is_returned_in_order(state, log):
    result = LogFollower(state).handle_read(1, LogWindow(1, 6), log)
    names = [[entry.daemon for entry in roster] for roster in result.rosters]
    assert names == [["d1"], ["d1", "d2"]]


def test_late_reader_loads_the_checkpoint_and_folds_later_records(state, log):
    follower = LogFollower(state)
    loaded = follower.handle_read(1, LogWindow(3, 6), log[2:])
    assert loaded.has_loaded_checkpoint and loaded.next_read_offset == 5
    assert state.file == {"site": "b"} and set(state.members) == {"d1", "d2"}
    assert follower.handle_read(5, LogWindow(3, 6), log[4:]).is_at_end


def test_checkpoint_before_the_retained_records_is_not_loaded(state, log):
    """Records between the checkpoint and the first retained record would be missed."""
    stale = log[4][1]._replace(body=log[4][1].body._replace(end_offset=3))
    result = LogFollower(state).handle_read(1, LogWindow(5, 6), [(5, stale)])
    assert result.is_history_lost and state.revision == 0


def test_reader_without_a_checkpoint_waits_and_folds_nothing(state, log):
    result = LogFollower(state).handle_read(1, LogWindow(3, 5), log[2:4])
    assert result.is_history_lost and result.applied == ()
    assert not result.is_at_end


def test_log_that_ends_before_the_state_is_lost_history(state, log):
    follower = LogFollower(state)
    follower.handle_read(1, LogWindow(1, 6), log)
    assert follower.handle_read(6, LogWindow(1, 3), []).is_history_lost


def test_paused_daemon_that_missed_no_record_continues(state, log):
    follower = LogFollower(state)
    follower.handle_read(1, LogWindow(1, 5), log[:4])
    assert follower.handle_read(5, LogWindow(5, 5), []).is_at_end
