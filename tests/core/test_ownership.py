"""Tests claims, heirs and the distribution of groups and slices."""

from __future__ import annotations

from collections import Counter

import pytest

from benchmarks.ownership_world import SERVICE, Simulation
from skylarktrail.core.ownership import Timings
from skylarktrail.core.ownership.claimants import choose_heir, order_claimants
from skylarktrail.core.state import Member

COOLDOWN_MS = 12_000
DAEMONS = [f"d{index}" for index in range(5)]


def count_groups(simulation: Simulation) -> Counter[str]:
    return Counter(
        granter_term.granter
        for granter_term in simulation.log.state.granter_terms.values()
    )


def count_slices(simulation: Simulation) -> Counter[str]:
    return Counter(current.server for current in simulation.log.state.tables[SERVICE])


def test_new_groups_are_claimed_evenly():
    orders = order_claimants([f"g{index}" for index in range(10)], DAEMONS, {})
    assert Counter(order[0] for order in orders.values()) == dict.fromkeys(DAEMONS, 2)


def test_claimant_with_the_fewest_groups_goes_first():
    counts = dict.fromkeys(DAEMONS, 3) | {"d4": 1}
    assert order_claimants(["g"], DAEMONS, counts)["g"][0] == "d4"


def test_groups_have_no_claimants_without_candidates():
    assert order_claimants(["g"], [], {}) == {"g": []}


def test_heir_is_in_another_zone_if_a_daemon_there_is_reachable():
    members = {
        "d0": Member("i", "heredia", "", 1),
        "d1": Member("i", "heredia", "", 1),
        "d2": Member("i", "cartago", "", 1),
    }
    assert choose_heir("g", "d0", "heredia", members, {"d1", "d2"}) == "d2"
    assert choose_heir("g", "d0", "heredia", members, {"d1"}) == "d1"
    assert choose_heir("g", "d0", "heredia", members, set()) == "d2"
    assert choose_heir("g", "d0", "heredia", {"d0": members["d0"]}, set()) == ""


@pytest.mark.parametrize("seed", range(1, 6))
def test_first_daemon_waits_for_the_others_before_it_claims(seed):
    simulation = Simulation(seed)
    for index in range(1, 5):
        simulation.kill(index, 0)
    simulation.advance(6000)
    assert max(count_groups(simulation).values()) == 1


@pytest.mark.parametrize("seed", range(1, 6))
def test_lone_daemon_claims_all_groups_and_releases_some_when_others_join(seed):
    simulation = Simulation(seed)
    for index in range(1, 5):
        simulation.kill(index, 10_000)
    simulation.advance(8000)
    assert count_groups(simulation) == {"d0": 3}
    simulation.advance(60_000)
    assert max(count_groups(simulation).values()) <= 2


@pytest.mark.parametrize("seed", range(1, 6))
def test_slices_are_placed_on_all_servers(seed):
    simulation = Simulation(seed)
    simulation.advance(6000)
    assert len(count_slices(simulation)) == 5


@pytest.mark.parametrize("seed", range(1, 4))
def test_hot_key_gets_its_own_slice_and_slices_are_merged_again(seed):
    simulation = Simulation(seed)
    widths = set()
    for _ in range(60):
        simulation.advance(2000)
        table = simulation.log.state.tables[SERVICE]
        widths.update(current.end - current.start for current in table)
        assert len(table) <= 24
    assert 1 in widths


@pytest.mark.parametrize("seed", [9, 10, 20])
def test_moved_slice_is_not_moved_again_during_its_cooldown(seed):
    simulation = Simulation(seed)
    simulation.advance(100_000)
    moves = Counter(
        (placement.start, int(at_ms // COOLDOWN_MS))
        for at_ms, body in simulation.log.assignments
        for placement in body.placements
        if at_ms > 10_000
    )
    assert moves
    assert max(moves.values()) <= 2


@pytest.mark.parametrize("seed", range(1, 6))
def test_restarted_granter_names_an_heir_before_its_links_are_up(seed):
    simulation = Simulation(seed)
    simulation.advance(8000)
    granter = simulation.granter_of(0)
    simulation.cut_peers(granter, 2500)
    simulation.kill(granter, 0)
    for _ in range(100):
        simulation.advance(50)
        assert all(
            granter_term.heir
            for granter_term in simulation.log.state.granter_terms.values()
        )


@pytest.mark.parametrize("seed", range(1, 6))
def test_granter_without_heir_names_one_as_soon_as_another_joins(seed):
    simulation = Simulation(seed)
    for index in range(1, 5):
        simulation.kill(index, 8000)
    simulation.advance(8000)
    assert not any(
        granter_term.heir
        for granter_term in simulation.log.state.granter_terms.values()
    )
    simulation.advance(2500)
    assert all(
        granter_term.heir
        for granter_term in simulation.log.state.granter_terms.values()
    )


@pytest.mark.parametrize("seed", range(1, 6))
def test_service_restored_within_a_lease_is_granted_under_a_new_term(seed):
    simulation = Simulation(seed)
    simulation.advance(8000)
    terms = {
        group: granter_term.term
        for group, granter_term in simulation.log.state.granter_terms.items()
    }
    simulation.withdraw_service(0, 600)
    simulation.advance(300)
    assert SERVICE not in simulation.log.state.tables
    simulation.advance(8000)
    assert not simulation.find_unserved(list(simulation.servers.values()))
    for group, granter_term in simulation.log.state.granter_terms.items():
        assert granter_term.term > terms[group] or not group.startswith(SERVICE)


@pytest.mark.parametrize("seed", range(1, 6))
def test_adopted_provisional_owner_is_recorded_only_after_former_leases_ended(seed):
    simulation = Simulation(seed, Timings(balance_ms=10**9, give_ms=10**9))
    simulation.advance(8000)
    granter = simulation.granter_of(0)
    server = simulation.server_granted_by(0)
    simulation.stop_log(0, 7000)
    simulation.advance(1500)
    simulation.freeze(int(server[1:]), 10**6)
    simulation.advance(4500)
    simulation.kill(granter, 10**6)
    while simulation.granter_of(0) == granter:
        simulation.advance(20)
    claimed_ms = simulation.now_ms
    simulation.advance(8000)
    term = simulation.log.state.granter_terms[f"{SERVICE}/0"].term
    recorded = [
        (at_ms, body)
        for at_ms, body in simulation.log.assignments
        if body.group == f"{SERVICE}/0" and body.term == term
    ]
    assert recorded
    assert min(at_ms for at_ms, _ in recorded) >= claimed_ms + 3000
