"""Tests of key ranges, load distributions, planned moves and shared records."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from skylarktrail.core.gateway.capacities import limit_capacities
from skylarktrail.core.gateway.key_load import KeyLoad, LoadDistribution
from skylarktrail.core.gateway.model import HASH_COUNT
from skylarktrail.core.gateway.planner import RangeAssignment, plan_moves
from skylarktrail.core.gateway.ranges import (
    OwnedRange,
    OwnerTable,
    apply_changed_ranges,
    changed_ranges,
    coalesce,
    find_gaps,
)
from skylarktrail.core.gateway.shared_state import (
    GRANTER_KEY,
    MEMBER_PREFIX,
    OWNERS_PREFIX,
    GranterRecord,
    Member,
    SharedState,
    encode_granter,
    encode_member,
    encode_owners,
)

NAMES = [f"i-{number}" for number in range(13)]
EVEN_LOAD = LoadDistribution({}, 1.0, 0.0)


def owners_after(assignments, moves):
    """Returns the owner of each block of eight hashes after some moves."""
    owners = {}
    for item in [*assignments, *moves]:
        for key_hash in range(item.first + -item.first % 8, item.last + 1, 8):
            owners[key_hash] = item.owner
    return owners


def loads_by_owner(owners, distribution):
    loads = dict.fromkeys(NAMES, 0.0)
    for key_hash, owner in owners.items():
        loads[owner] = loads.get(owner, 0.0) + distribution.load_between(
            key_hash, key_hash + 7
        )
    return loads


def equal_assignments():
    step = HASH_COUNT // len(NAMES)
    firsts = [number * step for number in range(len(NAMES))]
    lasts = [first - 1 for first in firsts[1:]] + [HASH_COUNT - 1]
    return [RangeAssignment(*item) for item in zip(firsts, lasts, NAMES)]


def test_adjacent_ranges_of_one_owner_are_merged():
    ranges = [
        OwnedRange(5, 9, "a", 1),
        OwnedRange(0, 4, "a", 1),
        OwnedRange(10, 11, "a", 2),
    ]
    assert coalesce(ranges) == [OwnedRange(0, 9, "a", 1), OwnedRange(10, 11, "a", 2)]


def test_owner_of_a_hash():
    table = OwnerTable([OwnedRange(10, 19, "a", 1), OwnedRange(30, 39, "b", 1)])
    assert table.find(19).owner == "a"
    assert table.find(20) is None
    assert table.find(5) is None
    assert find_gaps([(10, 19), (30, HASH_COUNT - 1)]) == [(0, 9), (20, 29)]


def test_a_new_site_is_distributed_over_all_instances():
    moves = plan_moves(
        [RangeAssignment(0, HASH_COUNT - 1, "")], dict.fromkeys(NAMES, 1.0), EVEN_LOAD
    )
    loads = loads_by_owner(owners_after([], moves), EVEN_LOAD)
    assert max(loads.values()) < 1.15 * min(loads.values())


def test_a_hot_range_is_split_and_spread():
    """40% of the requests are for 200 adjacent hashes."""
    load = KeyLoad()
    load.add({30_000 + number: 2 for number in range(200)}, 0.0)
    load.add({number * 109: 1 for number in range(600)}, 0.0)
    distribution = load.distribution(0.0)
    assignments = equal_assignments()
    capacities = dict.fromkeys(NAMES, 1.0)
    before = loads_by_owner(owners_after(assignments, []), distribution)
    assert max(before.values()) > 4 / len(NAMES)
    moves = plan_moves(assignments, capacities, distribution)
    after = loads_by_owner(owners_after(assignments, moves), distribution)
    assert max(after.values()) < 1.5 / len(NAMES)


def test_a_key_that_overloads_any_owner_moves_to_the_fastest():
    """40% of the requests are for one key."""
    load = KeyLoad()
    load.add({30_000: 400}, 0.0)
    load.add({number * 109: 1 for number in range(600)}, 0.0)
    item = equal_assignments()[5]
    assignments = [
        RangeAssignment(item.first, 29_999, "i-5"),
        RangeAssignment(30_000, 30_000, "i-5"),
        RangeAssignment(30_001, item.last, "i-5"),
    ]
    others = [item for item in equal_assignments() if item.owner != "i-5"]
    capacities = dict.fromkeys(NAMES, 1.0) | {"i-9": 1.5}
    moves = plan_moves(assignments + others, capacities, load.distribution(0.0))
    assert RangeAssignment(30_000, 30_000, "i-9") in [
        RangeAssignment(*move) for move in moves
    ]


def test_an_owner_that_names_a_low_rate_keeps_only_keys_for_it():
    """One of the owners accepts a third of its usual 13 requests a second."""
    load = KeyLoad()
    load.add({number * 109: 1 for number in range(600)}, 0.0)
    limits = {NAMES[2]: 0.33 * load.rate_per_s(0.0) / len(NAMES)}
    capacities = limit_capacities(
        dict.fromkeys(NAMES, 1.0), limits, load.rate_per_s(0.0)
    )
    distribution = load.distribution(0.0)
    moves = plan_moves(equal_assignments(), capacities, distribution)
    after = loads_by_owner(owners_after(equal_assignments(), moves), distribution)
    assert after[NAMES[2]] * load.rate_per_s(0.0) <= limits[NAMES[2]]
    assert max(after.values()) < 1.4 / len(NAMES)


@pytest.mark.parametrize("limits", [{}, {"a": 100.0}, {"gone": 1.0}])
def test_limits_above_the_load_change_no_capacity(limits):
    capacities = {"a": 1.0, "b": 2.0}
    limited = limit_capacities(capacities, limits, 30.0)
    assert limited == pytest.approx(capacities)


def test_capacities_stay_positive_when_all_instances_are_limited():
    limited = limit_capacities({"a": 1.0, "b": 2.0}, {"a": 0.0, "b": 1.0}, 30.0)
    assert 0 < limited["a"] < limited["b"]


def test_random_imbalance_moves_nothing():
    load = KeyLoad()
    load.add({number * 655: 1 for number in range(100)}, 0.0)
    capacities = dict.fromkeys(NAMES, 1.0)
    assert plan_moves(equal_assignments(), capacities, load.distribution(0.0)) == []


def test_added_instances_get_keys():
    capacities = dict.fromkeys([*NAMES, "new-1", "new-2"], 1.0)
    moves = plan_moves(equal_assignments(), capacities, EVEN_LOAD)
    assert {move.owner for move in moves} >= {"new-1", "new-2"}


def test_a_slow_instance_gets_no_more_keys():
    capacities = dict.fromkeys(NAMES, 1.0) | {"i-3": 0.4}
    moves = plan_moves(
        equal_assignments(), capacities, LoadDistribution({}, 1.0, 500.0)
    )
    assert moves and all(move.owner != "i-3" for move in moves)


def test_keys_of_a_lost_owner_go_to_several_others():
    capacities = dict.fromkeys(NAMES[1:], 1.0)
    moves = plan_moves(equal_assignments(), capacities, EVEN_LOAD)
    assert len({move.owner for move in moves}) >= 3


@given(
    st.dictionaries(st.integers(0, HASH_COUNT - 1), st.floats(0.1, 50), max_size=30),
    st.floats(0, 1),
)
def test_distribution_and_its_inverse_agree(counts, load):
    distribution = LoadDistribution(counts, 0.1, sum(counts.values()))
    found = distribution.hash_at(load)
    assert found == HASH_COUNT or distribution.load_below(found) >= load - 1e-9
    assert found == 0 or distribution.load_below(found - 1) < load + 1e-9


@given(
    st.dictionaries(st.integers(0, HASH_COUNT - 1), st.integers(1, 50), max_size=40),
    st.lists(st.sampled_from(["", *NAMES]), min_size=1, max_size=20),
    st.sets(st.sampled_from(NAMES), min_size=1),
)
def test_moves_go_to_usable_instances_and_do_not_overlap(counts, owners, usable):
    load = KeyLoad()
    load.add(counts, 0.0)
    step = HASH_COUNT // len(owners)
    edges = [number * step for number in range(len(owners))] + [HASH_COUNT]
    assignments = [
        RangeAssignment(low, high - 1, owner)
        for low, high, owner in zip(edges, edges[1:], owners)
    ]
    moves = plan_moves(assignments, dict.fromkeys(usable, 1.0), load.distribution(0.0))
    spans = sorted((move.first, move.last) for move in moves)
    assert all(first <= last for first, last in spans)
    assert all(a[1] < b[0] for a, b in zip(spans, spans[1:]))
    assert {move.owner for move in moves} <= usable


def test_shared_records_are_applied_in_order():
    state = SharedState()
    ranges = [OwnedRange(0, 99, "a", 7)]
    state.apply(
        [
            (MEMBER_PREFIX + "d1", encode_member(Member("p1", "10.0.0.1:1"))),
            (MEMBER_PREFIX + "d2", encode_member(Member("p2", ""))),
            (GRANTER_KEY, encode_granter(GranterRecord("d1", "p1", 3))),
            (OWNERS_PREFIX + "stock", encode_owners(ranges)),
        ],
        True,
    )
    assert state.granter == GranterRecord("d1", "p1", 3)
    assert state.owners["stock"].ranges == ranges
    state.apply([(MEMBER_PREFIX + "d2", b"")], False)
    assert state.members == {"d1": Member("p1", "10.0.0.1:1")}


tables = st.lists(st.sampled_from(["", "a", "b", "c"]), min_size=1, max_size=12).map(
    lambda owners: OwnerTable(
        OwnedRange(n * 5000, n * 5000 + 4999, owner, 1)
        for n, owner in enumerate(owners)
        if owner
    )
)


@given(tables, tables)
def test_changes_applied_to_a_table_give_the_other(before, after):
    result = apply_changed_ranges(before, changed_ranges(before, after))
    assert result.ranges == after.ranges


def test_repeatedly_lost_keys_are_not_split_finer_each_time():
    """The instances of a zone are lost, and then the next owners of their keys."""
    assignments = equal_assignments()
    for lost in NAMES * 2:
        usable = {name: 1.0 for name in NAMES if name != lost}
        moves = plan_moves(assignments, usable, EVEN_LOAD)
        kept = [item for item in assignments if item.owner != lost]
        assignments = kept + [RangeAssignment(*move) for move in moves]
    assert len(assignments) <= 4 * len(NAMES)
