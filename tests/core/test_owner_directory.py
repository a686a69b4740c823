"""Tests the lookup of recorded and provisional owners."""

from __future__ import annotations

import pytest

from skylarktrail.core.owner_directory import Owner, OwnerDirectory
from skylarktrail.core.ownership.messages import FencedPlacement
from skylarktrail.core.records import (
    Assign,
    Claim,
    Envelope,
    Join,
    Placement,
    Publish,
    Split,
)
from skylarktrail.core.slices import make_fence
from skylarktrail.core.state import State

SERVICE = "catalogo"
GROUP = "catalogo/0"
FILE = {
    "services": [{"name": SERVICE, "kind": "keyed", "slices": 4, "granter_groups": 1}]
}
HALF = 1 << 63


@pytest.fixture
def state():
    state = State(lambda file: True)
    for envelope in (
        Envelope("operator", "", 0, Publish("p", 0, FILE)),
        Envelope("d1", "i1", 1, Join("heredia", "", "")),
        Envelope("d1", "i1", 2, Claim(GROUP, 1, "d2", 1000, 2000)),
    ):
        state.apply(state.next_offset, envelope)
    return state


def write(state, seq, body):
    state.apply(state.next_offset, Envelope("d1", "i1", seq, body))


def assign(state, seq, start, server, term=1):
    write(state, seq + 10 * term, Assign(GROUP, term, seq, (Placement(start, server),)))


def test_key_without_owner_returns_none(state):
    directory = OwnerDirectory()
    assert directory.owner(SERVICE, 5) is None
    directory.update(state)
    assert directory.owner(SERVICE, 5) is None


def test_recorded_owner_is_found_with_its_fence(state):
    directory = OwnerDirectory()
    assign(state, 1, HALF, "s1")
    directory.update(state)
    assert directory.owner(SERVICE, HALF + 7) == Owner("s1", make_fence(1, 1), HALF)
    assert directory.owner(SERVICE, HALF - 1) is None


def test_provisional_owner_has_precedence_until_the_log_has_a_higher_fence(state):
    directory = OwnerDirectory()
    assign(state, 1, 0, "s1")
    directory.update(state)
    fence = make_fence(1, 2)
    assert directory.add_provisional(GROUP, 1, [FencedPlacement(0, "s2", fence)])
    assert directory.owner(SERVICE, 1).server == "s2"
    assert directory.add_provisional(
        GROUP, 1, [FencedPlacement(0, "s9", make_fence(1, 1))]
    )
    assert directory.owner(SERVICE, 1).server == "s2"
    assign(state, 3, 0, "s3")
    directory.update(state)
    assert directory.owner(SERVICE, 1).server == "s3"


def test_provisional_owner_of_a_superseded_term_is_rejected(state):
    directory = OwnerDirectory()
    assign(state, 1, 0, "s1")
    write(state, 12, Claim(GROUP, 2, "d2", 1000, 2000))
    directory.update(state)
    assert not directory.add_provisional(
        GROUP, 1, [FencedPlacement(0, "s2", make_fence(1, 9))]
    )
    assert directory.owner(SERVICE, 1).server == "s1"


def test_split_slice_is_found_by_its_parts(state):
    directory = OwnerDirectory()
    assign(state, 1, 0, "s1")
    directory.update(state)
    write(state, 12, Split(GROUP, 1, 2, 0, (100, 101)))
    assign(state, 3, 100, "s2")
    directory.update(state)
    assert [directory.owner(SERVICE, key).server for key in (99, 100, 101)] == [
        "s1",
        "s2",
        "s1",
    ]


def test_unchanged_table_keeps_its_snapshot(state):
    directory = OwnerDirectory()
    directory.update(state)
    before = directory._snapshots[SERVICE]
    directory.update(state)
    assert directory._snapshots[SERVICE] is before


def test_removed_service_has_no_owners(state):
    directory = OwnerDirectory()
    assign(state, 1, 0, "s1")
    directory.update(state)
    state.apply(state.next_offset, Envelope("operator", "", 0, Publish("q", 1, {})))
    directory.update(state)
    assert directory.owner(SERVICE, 1) is None
