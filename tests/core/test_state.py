"""Tests the fold of the log: every reader accepts and skips the same records."""

from __future__ import annotations

import pytest

from skylarktrail.core.records import (
    Assign,
    Claim,
    Envelope,
    Join,
    Leave,
    Merge,
    Placement,
    Publish,
    Resign,
    Split,
)
from skylarktrail.core.state import State
from skylarktrail.errors import log as codes

FILE = {
    "services": [
        {"name": "catalogo", "kind": "keyed", "slices": 8, "granter_groups": 2}
    ]
}


def make_state(*records: Envelope) -> State:
    state = State(lambda file: "bad" not in file)
    for record in records:
        state.apply(state.next_offset, record)
    return state


def publish(base_revision: int, file: dict) -> Envelope:
    return Envelope("operator", "", 0, Publish("p", base_revision, file))


def join(daemon: str, incarnation: str = "i1", replaces: str = "") -> Envelope:
    return Envelope(daemon, incarnation, 1, Join("heredia", "", replaces))


def claim(daemon: str, term: int, seq: int = 2, heir: str = "") -> Envelope:
    body = Claim("catalogo/0", term, heir, 1000, 2000)
    return Envelope(daemon, "i1", seq, body)


def test_first_valid_file_for_a_revision_is_accepted():
    state = make_state(publish(0, FILE))
    assert state.revision == 1
    assert state.apply(2, publish(0, FILE)) == codes.REVISION_CONFLICT
    assert state.apply(3, publish(1, {"bad": 1})) == codes.FILE_INVALID
    assert state.revision == 1


@pytest.mark.parametrize("change", [{"homes": 9}, {"skew_ms": 1}, None])
def test_homes_and_skew_of_idempotency_keys_stay_as_first_published(change):
    first = FILE | {"idempotency": {"homes": 8, "skew_ms": 2000}}
    state = make_state(publish(0, first))
    file = dict(FILE)
    if change is not None:
        file["idempotency"] = first["idempotency"] | change
    assert state.apply(2, publish(1, file)) == codes.FILE_INVALID
    assert state.file == first


def test_late_join_of_a_replaced_incarnation_is_skipped():
    state = make_state(join("d1"), join("d1", "i2", replaces="i1"))
    assert state.apply(3, join("d1", "i0")) == codes.JOIN_STALE
    assert state.members["d1"].incarnation == "i2"


def test_only_granter_or_heir_claims_the_next_term():
    state = make_state(publish(0, FILE), join("d1"), join("d2"), join("d3"))
    assert state.apply(5, claim("d1", 1, heir="d2")) == codes.RECORD_ACCEPTED
    assert state.apply(6, claim("d3", 2)) == codes.CLAIM_NOT_ENTITLED
    assert state.apply(7, claim("d2", 2)) == codes.RECORD_ACCEPTED
    assert state.apply(8, claim("d1", 2, seq=3)) == codes.TERM_STALE


def test_assignment_of_an_older_term_changes_nothing():
    state = make_state(publish(0, FILE), join("d1"), join("d2"))
    state.apply(4, claim("d1", 1, heir="d2"))
    first = Assign("catalogo/0", 1, 1, (Placement(0, "s1"),))
    assert state.apply(5, Envelope("d1", "i1", 3, first)) == codes.RECORD_ACCEPTED
    state.apply(6, claim("d2", 2))
    late = Assign("catalogo/0", 1, 2, (Placement(0, "s2"),))
    assert state.apply(7, Envelope("d1", "i1", 4, late)) == codes.TERM_STALE
    assert state.tables["catalogo"].find(0).server == "s1"


def test_dump_and_load_give_the_same_state():
    state = make_state(publish(0, FILE), join("d1"), claim("d1", 1))
    other = State(lambda file: True)
    other.load(state.dump())
    assert other.dump() == state.dump()


def test_late_copies_of_a_daemon_that_left_change_nothing():
    state = make_state(publish(0, FILE), join("d1"), join("d2"))
    refused = claim("d2", 1, seq=2)
    state.apply(4, claim("d1", 1))
    assert state.apply(5, refused) == codes.TERM_STALE
    state.apply(6, Envelope("d1", "i1", 3, Leave("d2", "i1")))
    assert state.apply(7, join("d2")) == codes.RECORD_REPEATED
    assert state.apply(8, refused) == codes.WRITER_UNKNOWN


def test_daemon_removed_by_mistake_joins_again_with_a_higher_sequence():
    state = make_state(join("d1"), join("d2"))
    state.apply(3, Envelope("d1", "i1", 2, Leave("d2", "i1")))
    again = Envelope("d2", "i1", 5, Join("heredia", "", ""))
    assert state.apply(4, again) == codes.RECORD_ACCEPTED
    assert state.members["d2"].last_seq == 5


def test_term_keeps_the_longest_durations_of_all_terms():
    state = make_state(publish(0, FILE), join("d1"))
    long = Claim("catalogo/0", 1, "", 3000, 9000)
    short = Claim("catalogo/0", 2, "", 500, 1000)
    state.apply(3, Envelope("d1", "i1", 2, long))
    state.apply(4, Envelope("d1", "i1", 3, short))
    granter_term = state.granter_terms["catalogo/0"]
    assert (granter_term.longest_authority_ms, granter_term.longest_lease_ms) == (
        3000,
        9000,
    )
    assert (granter_term.authority_ms, granter_term.lease_ms) == (500, 1000)


def test_resigned_group_accepts_any_claim_but_no_late_assignment():
    state = make_state(publish(0, FILE), join("d1"), join("d3"), claim("d1", 1))
    state.apply(5, Envelope("d1", "i1", 3, Resign("catalogo/0", 1)))
    late = Assign("catalogo/0", 1, 1, (Placement(0, "s1"),))
    assert state.apply(6, Envelope("d1", "i1", 4, late)) == codes.TERM_STALE
    assert state.apply(7, claim("d3", 2)) == codes.RECORD_ACCEPTED


def test_split_and_merge_keep_owner_and_fence():
    state = make_state(publish(0, FILE), join("d1"), claim("d1", 1))
    bodies = (
        Assign("catalogo/0", 1, 1, (Placement(0, "s1"),)),
        Split("catalogo/0", 1, 2, 0, (100, 101)),
        Merge("catalogo/0", 1, 3, 101),
        Merge("catalogo/0", 1, 4, 100),
    )
    before = None
    for seq, body in enumerate(bodies, 3):
        assert state.apply(seq + 1, Envelope("d1", "i1", seq, body)).number == 2000
        found = state.tables["catalogo"].find(100)
        before = before or found
        assert (found.server, found.fence) == (before.server, before.fence)
    assert state.tables["catalogo"].find(100) == before


def test_slices_of_different_owners_are_not_merged():
    state = make_state(publish(0, FILE), join("d1"), claim("d1", 1))
    split = Split("catalogo/0", 1, 1, 0, (100,))
    move = Assign("catalogo/0", 1, 2, (Placement(100, "s2"),))
    state.apply(4, Envelope("d1", "i1", 3, split))
    state.apply(5, Envelope("d1", "i1", 4, move))
    merge = Envelope("d1", "i1", 5, Merge("catalogo/0", 1, 3, 100))
    assert state.apply(6, merge) == codes.SLICE_UNKNOWN


def test_removed_service_keeps_its_numbers_of_slices_and_groups():
    state = make_state(publish(0, FILE), publish(1, {}))
    service = FILE["services"][0]
    for change in ({"slices": 16}, {"granter_groups": 4}):
        other = {"services": [service | change]}
        assert state.apply(state.next_offset, publish(2, other)) == codes.FILE_INVALID
    copy = State(lambda file: True)
    copy.load(state.dump())
    assert copy.dump() == state.dump()
    assert copy.apply(5, publish(2, other)) == codes.FILE_INVALID
    assert state.apply(5, publish(2, FILE)) == codes.RECORD_ACCEPTED
