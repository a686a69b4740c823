"""Tests of publication: conflicts, lost responses, retries, outages, retention."""

from __future__ import annotations

import pytest

from skylarktrail.config.operator_file import is_valid
from skylarktrail.core.checkpoints import make_checkpoint
from skylarktrail.core.records import Checkpoint, Envelope, Publish
from skylarktrail.core.state import State
from skylarktrail.ctl import publishing
from skylarktrail.ctl.publishing import Outcome, Publisher
from skylarktrail.errors import log as log_codes
from skylarktrail.errors import tool as tool_codes
from skylarktrail.providers.record_codec import decode, encode

TIMEOUT_S = 5.0


class Clock:
    """Virtual clock that advances only in pauses."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s

    def pause(self, seconds: float) -> None:
        self.now_s += seconds


@pytest.fixture
def publish(log):
    """Returns a function that publishes a file through the in-memory log."""

    def run(file, base, publish_id="p1"):
        clock = Clock()
        body = Publish(publish_id, base, file)
        publisher = Publisher(log, body, TIMEOUT_S, clock, clock.pause)
        publication = publisher.run()
        assert clock.now_s <= TIMEOUT_S + 2 * publishing.RETRY_INTERVAL_S
        return publication

    return run


def encode_publish(publish_id, base, file):
    """Returns the encoded record of another operator's publication."""
    return encode(Envelope("operator", "other", 1, Publish(publish_id, base, file)))


def build_state(log, first=1):
    """Returns the state that a daemon folds from the log."""
    state = State(is_valid)
    for offset, data in enumerate(log.records, 1):
        state.apply(offset, decode(data))
    return state


def test_the_first_file_is_accepted(publish, log, pecera):
    assert publish(pecera, 0) == (Outcome.ACCEPTED, 1, ())
    assert build_state(log).file == pecera


def test_an_old_base_is_a_conflict_and_sends_nothing(publish, log, pecera):
    publish(pecera, 0)
    publication = publish(pecera, 0, "p2")
    assert (publication.outcome, publication.revision) == (Outcome.CONFLICT, 1)
    assert publication.faults[0].code == log_codes.REVISION_CONFLICT
    assert len(log.records) == 1


def test_the_loser_of_a_race_gets_a_conflict(publish, log, pecera):
    other = encode_publish("p2", 0, {**pecera, "default_tenant": "shops"})
    log.on_append = lambda: log.records.append(other) if not log.records else None
    publication = publish(pecera, 0)
    assert (publication.outcome, publication.revision) == (Outcome.CONFLICT, 1)
    assert build_state(log).file["default_tenant"] == "shops"


def test_a_forbidden_change_is_invalid_and_sends_nothing(publish, log, pecera):
    publish(pecera, 0)
    pecera["services"][0]["slices"] = 128
    publication = publish(pecera, 1, "p2")
    assert publication.outcome == Outcome.INVALID
    assert publication.faults[0].path == "$.services[0].slices"
    assert len(log.records) == 1


def test_a_file_that_the_state_refuses_is_invalid(publish, log, pecera, monkeypatch):
    monkeypatch.setattr(publishing, "check_change", lambda old, new: [])
    publish(pecera, 0)
    pecera["services"][0]["slices"] = 128
    publication = publish(pecera, 1, "p2")
    assert (publication.outcome, publication.revision) == (Outcome.INVALID, 1)
    assert publication.faults[0].code == log_codes.FILE_INVALID


def test_a_lost_append_response_is_resolved_by_reading(publish, log, pecera):
    log.lost_response_count = 1
    assert publish(pecera, 0) == (Outcome.ACCEPTED, 1, ())
    assert len(log.records) == 1


def test_a_lost_append_is_retried(publish, log, pecera):
    log.lost_append_count = 3
    assert publish(pecera, 0) == (Outcome.ACCEPTED, 1, ())


def test_an_outage_before_the_append_sends_nothing(publish, log, pecera):
    log.failing_read_count = 1000
    publication = publish(pecera, 0)
    assert publication.outcome == Outcome.NO_ANSWER
    assert log.records == []


def test_an_outage_after_the_append_leaves_the_outcome_unknown(publish, log, pecera):
    log.lost_response_count = 1
    log.on_append = lambda: setattr(log, "failing_read_count", 1000)
    publication = publish(pecera, 0)
    assert publication.outcome == Outcome.UNKNOWN
    assert publication.faults[0].code == tool_codes.FATE_UNKNOWN


def test_publishing_again_with_the_same_identifier_returns_the_outcome(
    publish, log, pecera
):
    publish(pecera, 0)
    later = {**pecera, "default_tenant": "shops"}
    publish(later, 1, "p2")
    assert publish(pecera, 0) == (Outcome.ACCEPTED, 1, ())
    assert build_state(log).file == later
    assert len(log.records) == 2


def test_a_delayed_duplicate_record_changes_nothing(publish, log, pecera):
    publish(pecera, 0)
    log.records.append(log.records[0])
    assert publish(pecera, 0) == (Outcome.ACCEPTED, 1, ())
    assert build_state(log).revision == 1


def append_checkpoint(log):
    checkpoint = make_checkpoint(build_state(log))
    log.records.append(encode(Envelope("d1", "i1", 1, checkpoint)))


def test_dropped_records_are_replaced_by_a_checkpoint(publish, log, pecera):
    publish(pecera, 0)
    append_checkpoint(log)
    log.records.append(b"malformed")
    log.start = 2
    later = {**pecera, "default_tenant": "shops"}
    assert publish(later, 1, "p2") == (Outcome.ACCEPTED, 4, ())


def test_a_log_without_checkpoint_is_reported_as_no_answer(publish, log, pecera):
    publish(pecera, 0)
    log.records.append(b"malformed")
    log.start = 2
    publication = publish(pecera, 1, "p2")
    assert publication.outcome == Outcome.NO_ANSWER
    assert publication.faults[0].code == tool_codes.RECORD_UNREADABLE
    assert len(log.records) == 2


def test_a_checkpoint_of_dropped_records_is_not_loaded(publish, log, pecera):
    log.records += [encode(Envelope("d1", "i1", 1, Checkpoint(1, {})))] * 3
    log.start = 3
    assert publish(pecera, 0).faults[0].code == tool_codes.RECORD_UNREADABLE
