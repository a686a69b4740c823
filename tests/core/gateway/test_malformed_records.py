"""Tests that a malformed record hides no other one and gives no two owners."""

from __future__ import annotations

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from skylarktrail.core.gateway.forward_targets import ForwardTarget
from skylarktrail.core.gateway.lease_calls import (
    MAX_GRANT_DELIVERY_MS,
    GrantCall,
    RecordOwners,
)
from skylarktrail.core.gateway.positions import make_position
from skylarktrail.core.gateway.shared_state import (
    ERA_KEY,
    FORWARD_PREFIX,
    GRANTER_KEY,
    MEMBER_PREFIX,
    OWNERS_PREFIX,
    GranterRecord,
    Member,
    SharedState,
    decode_granter,
    encode_era,
    encode_forward_target,
    encode_member,
)

from .test_granter_role import (
    FORMER_LEASES_MS,
    MOVED_OWNERS,
    OWNERS,
    SERVICE,
    TIMINGS,
    Daemon,
    granter_record,
    owners_record,
)

SETTINGS = settings(derandomize=True, database=None, deadline=None, max_examples=400)
SUCCESSION_MS = 2_001.0  # Longer than a successor gets to send its first listing.
KEYS = (
    GRANTER_KEY,
    ERA_KEY,
    MEMBER_PREFIX + "d2",
    FORWARD_PREFIX + "d2",
    OWNERS_PREFIX + SERVICE,
)
RANGE = [0, 65535, "i-1", 1, "", 0]
ODD_VALUES = [
    b"\xff",
    b"\x00\x01",
    b"\x81" * 100_000,
    b"\x9b" + b"\xff" * 8,
    b"\xc0\x61x",
    b"\xd8\x23\x61(",
    *[cbor2.dumps([RANGE]) + term for term in (b"\xff", b"\x20", b"\x61x", b"\x1b")],
    *[
        cbor2.dumps(value)
        for value in (
            [None, "", {}, 1.5, "x", True, [3], [[]], [[0, 9]], {"d2": 3}, 1 << 70]
            + [["d2", 3, 4], ["d2", "p2", -1], ["d2", "p2", 1 << 70], ["x"] * 9]
            + [["d2", "p2", True], ["d2", "p2", 3, 4], ["d2\n", "p2", 3], [7, "a"]]
            + [["x" * 300, "a"], [[0, 65536, "i-1", 1]], [[9, 3, "i-1", 1]]]
            + [[[0, 9, "i-1", 1 << 70]], [[0, 9, 7, 1]], [[0, 9, "i-1", 1, 3]]]
            + [[[-1, 9, "i-1", 1]], [[0, 9, "i-1", 1], [9, 20, "i-2", 1]]]
            + [[[0, "9", "i-1", 1]], [[0, 9, "i\n", 1]], [RANGE + [3]]]
        )
    ],
]


def list_good(term: int = 4):
    """Returns a good record for each kind."""
    return [
        granter_record("d2", "p2", term),
        (ERA_KEY, encode_era(0)),
        (MEMBER_PREFIX + "d2", encode_member(Member("p2", "10.0.0.2:1"))),
        (FORWARD_PREFIX + "d2", encode_forward_target(ForwardTarget("z", "a:1"))),
        owners_record(OWNERS),
    ]


@pytest.mark.parametrize("is_snapshot", [False, True])
@pytest.mark.parametrize("value", ODD_VALUES, ids=lambda value: repr(value[:30]))
def test_a_malformed_record_hides_no_later_one(value, is_snapshot):
    state = SharedState()
    malformed = [(key, value) for key in KEYS]
    malformed += [(MEMBER_PREFIX, value), ("", value), ("other", value)]
    state.apply([*malformed, *list_good()], is_snapshot)
    assert state.granter == GranterRecord("d2", "p2", 4)
    assert (state.era, state.uncertain_keys - {MEMBER_PREFIX}) == (0, set())
    assert state.members["d2"] == Member("p2", "10.0.0.2:1")
    assert state.forward_targets["d2"] == ForwardTarget("z", "a:1")
    assert state.owners[SERVICE].ranges == list(OWNERS)


def check_effect(key: str, value: bytes) -> None:
    """Checks that a record is applied as a whole, or counts as malformed."""
    state = SharedState()
    state.apply(list_good(), False)
    state.apply([(key, value)], False)
    if key == GRANTER_KEY and state.granter != GranterRecord("d2", "p2", 4):
        assert state.granter.term >= 0 and state.granter.process != "p2"
    for name in ("members", "forward_targets"):
        for text in (
            item for record in getattr(state, name).values() for item in record
        ):
            assert text.isprintable()
    for item in state.owners[SERVICE].ranges:
        assert 0 <= item.first <= item.last <= 65535
    assert state.era >= -1


@pytest.mark.parametrize("key", KEYS)
def test_a_record_is_applied_as_a_whole_or_not_at_all(key):
    for value in ODD_VALUES:
        check_effect(key, value)


ITEMS = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text()),
    lambda inner: st.lists(inner, max_size=7),
    max_leaves=9,
)


@SETTINGS
@given(st.sampled_from(KEYS), st.one_of(st.binary(), ITEMS.map(cbor2.dumps)))
def test_any_record_is_applied_as_a_whole_or_not_at_all(key, value):
    if value:
        check_effect(key, value)


def test_what_is_known_of_daemons_and_owners_holds_behind_a_malformed_record():
    state = SharedState()
    state.apply(list_good(), False)
    state.apply([(key, b"\xff") for key in KEYS[2:]], False)
    assert state.uncertain_keys == set(KEYS[2:])
    assert set(state.members) == set(state.forward_targets) == {"d2"}
    assert state.owners[SERVICE].ranges == list(OWNERS)


@pytest.fixture
def daemon():
    return Daemon()


def make_candidate(daemon):
    """Lets the store choose a daemon when no other one may still become granter."""
    daemon.now_ms += SUCCESSION_MS
    daemon.role.handle_candidacy(True, daemon.now_ms)


MALFORMED_GRANTER = (GRANTER_KEY, b"\xff")


def test_a_granter_grants_no_more_behind_a_malformed_record_of_the_granter(daemon):
    """Another daemon may have become granter by this record."""
    daemon.become_granter(5, granter_record("d2", "p2", 4), owners_record(OWNERS))
    daemon.read(7, MALFORMED_GRANTER)
    assert not daemon.role.is_granter
    assert not daemon.role.may_grant(daemon.now_ms)


def test_a_daemon_that_read_all_records_claims_a_term_that_was_not_used(daemon):
    """The malformed record may have been a claim of the next term."""
    daemon.read(5, granter_record("d2", "p2", 4), owners_record(OWNERS))
    daemon.read(6, MALFORMED_GRANTER)
    daemon.now_ms += 100
    daemon.role.handle_candidacy(True, daemon.now_ms)
    assert daemon.writes == []
    make_candidate(daemon)
    assert decode_granter(daemon.writes[0].value) == GranterRecord("d1", "p1", 6)
    daemon.land()
    former_end_ms = daemon.role.former_authority_end_ms()
    assert former_end_ms >= daemon.now_ms + TIMINGS.authority_ms


def test_a_daemon_that_missed_records_claims_nothing_behind_a_malformed_one(daemon):
    """It does not know the last term: its grants would have lower fences."""
    daemon.read(9, MALFORMED_GRANTER, owners_record(OWNERS), is_snapshot=True)
    for _ in range(3):
        make_candidate(daemon)
        daemon.role.handle_offer(0, daemon.now_ms)
        daemon.read(9)
    assert daemon.writes == [] and not daemon.role.is_granter
    daemon.read(10, granter_record("d2", "p2", 40))
    make_candidate(daemon)
    make_candidate(daemon)
    assert decode_granter(daemon.writes[0].value).term == 41


def test_a_new_granter_waits_for_all_leases_when_the_owners_are_malformed(daemon):
    """The record may name owners that hold leases of a former granter."""
    daemon.read(5, granter_record("d2", "p2", 4), owners_record(MOVED_OWNERS))
    daemon.read(6, (OWNERS_PREFIX + SERVICE, b"\xff"))
    daemon.role.handle_candidacy(True, daemon.now_ms)
    daemon.land()
    assert daemon.step_service() == []
    daemon.now_ms += FORMER_LEASES_MS - 1
    assert daemon.step_service() == []
    daemon.now_ms += 2
    assert daemon.step_service() != []


def test_a_granter_in_office_records_owners_again_that_were_overwritten(daemon):
    daemon.become_granter(5, granter_record("d2", "p2", 4), owners_record(OWNERS))
    actions = daemon.step_service()
    assert [type(item) for item in actions] == [GrantCall]
    daemon.answer_grants(actions)
    daemon.read(7, (OWNERS_PREFIX + SERVICE, b"\xff"))
    daemon.now_ms += 100
    records = [a for a in daemon.step_service() if isinstance(a, RecordOwners)]
    assert [item.ranges for item in records] == [OWNERS]
    assert daemon.land() == OWNERS_PREFIX + SERVICE
    daemon.read(8)
    daemon.now_ms += 100
    assert not any(isinstance(a, RecordOwners) for a in daemon.step_service())
    assert daemon.writes == []


def test_a_new_granter_waits_for_all_leases_when_the_era_is_malformed(daemon):
    """The store may have lost the last owners; only the record of the era says so."""
    position = make_position(2, 5)
    daemon.read(
        position,
        granter_record("d2", "p2", 4),
        owners_record(OWNERS),
        (ERA_KEY, b"\xff"),
        is_snapshot=True,
    )
    daemon.role.handle_candidacy(True, daemon.now_ms)
    daemon.land()
    assert daemon.step_service() == []
    daemon.now_ms += FORMER_LEASES_MS + MAX_GRANT_DELIVERY_MS
    assert daemon.step_service() != []
    daemon.read(position + 1)
    assert [write.key for write in daemon.writes] == [ERA_KEY]
