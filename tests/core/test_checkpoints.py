"""Tests the schedule of checkpoints and the recovery of readers."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from skylarktrail.core.checkpoints import (
    AskPeers,
    CheckpointSchedule,
    Continue,
    FoundCheckpoint,
    LoadCheckpoint,
    LogWindow,
    Retention,
    WaitForCheckpoint,
    decide_recovery,
    make_checkpoint,
)
from skylarktrail.core.records import Envelope, Join, Publish
from skylarktrail.core.state import State

RETENTION = Retention(records=100, span_ms=60_000)
MEMBERS = ("d0", "d1", "d2")


def test_reader_inside_the_window_continues():
    assert decide_recovery(LogWindow(5, 9), 7, ()) == Continue()


def test_reader_at_the_end_of_an_emptied_log_continues():
    assert decide_recovery(LogWindow(9, 9), 9, ()) == Continue()


def test_reader_that_missed_records_loads_the_newest_usable_checkpoint():
    found = (FoundCheckpoint(6, 5), FoundCheckpoint(9, 7), FoundCheckpoint(10, 4))
    recovery = decide_recovery(LogWindow(6, 12), 3, found)
    assert recovery == LoadCheckpoint(FoundCheckpoint(9, 7))


def test_checkpoint_followed_by_a_gap_is_not_loaded():
    found = (FoundCheckpoint(8, 5),)
    assert decide_recovery(LogWindow(6, 12), 3, found) == WaitForCheckpoint()


def test_fresh_reader_without_a_log_asks_its_peers():
    assert decide_recovery(None, 1, ()) == AskPeers()
    assert decide_recovery(None, 4, ()) == Continue()


def test_one_member_writes_after_a_quarter_of_the_retained_records():
    due = []
    for name in MEMBERS:
        schedule = CheckpointSchedule(name, RETENTION, 0)
        assert not schedule.is_due(0, LogWindow(1, 20), 20, MEMBERS)
        due.append(schedule.is_due(0, LogWindow(1, 30), 30, MEMBERS))
    assert due.count(True) == 1


def test_next_member_writes_when_the_first_does_not():
    schedules = [CheckpointSchedule(name, RETENTION, 0) for name in MEMBERS]
    window = LogWindow(1, 30)
    assert sum(s.is_due(0, window, 30, MEMBERS) for s in schedules) == 1
    assert sum(s.is_due(2000, window, 30, MEMBERS) for s in schedules) == 2
    for schedule in schedules:
        schedule.record_checkpoint(30, 2100)
    assert not any(s.is_due(2200, window, 31, MEMBERS) for s in schedules)


def test_checkpoint_due_by_age_requires_new_records():
    schedule = CheckpointSchedule("d0", RETENTION, 0)
    schedule.record_checkpoint(5, 0)
    assert not schedule.is_due(20_000, LogWindow(1, 5), 5, ["d0"])
    assert schedule.is_due(20_000, LogWindow(1, 6), 6, ["d0"])


def test_only_a_complete_daemon_writes_after_an_outage_longer_than_retention():
    complete = CheckpointSchedule("d0", RETENTION, 0)
    complete.record_checkpoint(5, 0)
    assert complete.is_due(1, LogWindow(9, 9), 9, ["d0"])
    behind = CheckpointSchedule("d1", RETENTION, 0)
    assert not behind.is_due(1, LogWindow(9, 9), 8, ["d1"])


def test_checkpoint_before_an_emptied_log_is_replaced():
    schedule = CheckpointSchedule("d0", RETENTION, 0)
    schedule.record_checkpoint(5, 0)
    assert schedule.is_due(1, LogWindow(6, 6), 6, ["d0"])
    assert schedule.is_due(1, LogWindow(6, 6), 6, ["d0"])


@settings(derandomize=True, database=None, deadline=None, max_examples=200)
@given(
    names=st.lists(st.sampled_from(["d0", "d1", "d2", "f"]), min_size=1, max_size=20),
    cut=st.integers(0, 20),
)
def test_reader_from_a_checkpoint_reaches_the_same_state(names, cut):
    envelopes = [
        (
            Envelope("operator", "", 0, Publish("p", 0, {"n": index}))
            if name == "f"
            else Envelope(name, f"{name}-{index}", 1, Join("z", "", ""))
        )
        for index, name in enumerate(names)
    ]
    whole, short = State(lambda file: True), State(lambda file: True)
    cut = min(cut, len(envelopes))
    for envelope in envelopes[:cut]:
        whole.apply(whole.next_offset, envelope)
    checkpoint = make_checkpoint(whole)
    short.load(checkpoint.state)
    assert short.next_offset == checkpoint.end_offset
    for envelope in envelopes[cut:]:
        whole.apply(whole.next_offset, envelope)
        short.apply(short.next_offset, envelope)
    assert short.dump() == whole.dump()
