"""Tests that the granter keeps exactly one holder per hash, also under faults."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from skylarktrail.core.gateway import granter as granter_module
from skylarktrail.core.gateway.key_load import LoadDistribution
from skylarktrail.core.gateway.lease_calls import ListedProcess
from skylarktrail.core.gateway.leased_range import LeasedRange

from .simulation import TIMINGS, Simulation

SERVER_COUNT = 5
RECOVERY_TARGET_MS = 5000.0  # Maximum time until the keys of a lost server are served.
# No ranges move for load while calls of a former granter may arrive.
FORMER_CALLS_MS = TIMINGS.authority_ms + 2500.0


@pytest.fixture
def simulation():
    simulation = Simulation(SERVER_COUNT, seed=1)
    simulation.advance(1000)
    assert simulation.count_unheld() == 0
    return simulation


def test_keys_of_a_crashed_server_are_served_again_within_the_target(simulation):
    simulation.servers["s1"].is_up = False
    simulation.servers["s1"].is_listed = False
    simulation.advance(RECOVERY_TARGET_MS)
    assert simulation.count_unheld() == 0


def test_keys_of_a_new_incarnation_are_granted_at_once(simulation):
    simulation.restart("s1")
    simulation.advance(300)
    assert simulation.count_unheld() == 0


def test_a_listed_server_that_cannot_be_reached_keeps_its_keys_through_its_lease(
    simulation,
):
    simulation.daemons[-1].unreachable.add("s1")
    simulation.advance(TIMINGS.lease_ms + 1000)
    assert simulation.count_unheld() == 0


def test_a_successor_keeps_all_keys_leased(simulation):
    simulation.replace_granter()
    simulation.advance(300)
    assert simulation.count_unheld() == 0


def test_a_granter_without_the_store_renews_until_its_authority_ends(simulation):
    simulation.daemons[-1].can_reach_store = False
    simulation.advance(TIMINGS.authority_ms)
    assert simulation.count_unheld() == 0
    simulation.advance(TIMINGS.lease_ms * 1.1)
    assert simulation.count_unheld() > 0


def test_a_former_granter_that_still_reaches_a_server_is_waited_for(simulation):
    old = simulation.daemons[-1]
    old.can_reach_store = False
    simulation.replace_granter()
    simulation.daemons[-1].unreachable.add("s1")
    simulation.servers["s1"].is_listed = False
    former_authority_ms = TIMINGS.authority_ms
    simulation.advance(former_authority_ms + TIMINGS.lease_ms * 2 + RECOVERY_TARGET_MS)
    assert simulation.count_unheld() == 0


def test_keys_of_a_lost_server_are_served_again_soon_after_a_change_of_granter(
    simulation,
):
    simulation.replace_granter()
    simulation.servers["s1"].is_up = False
    simulation.servers["s1"].is_listed = False
    simulation.end_former_granters()
    simulation.advance(RECOVERY_TARGET_MS)
    assert simulation.count_unheld() == 0


def test_another_instance_at_its_address_proves_that_an_owner_has_ended(simulation):
    daemon = simulation.daemons[-1]
    simulation.servers["s1"].is_up = False
    simulation.servers["s1"].is_listed = False
    owners = simulation.instances_seen_by(daemon)
    later = ListedProcess("of another service", int(simulation.now_ms))
    daemon.granter.step(owners, simulation.now_ms, {"s1": later})
    simulation.advance(300)
    assert simulation.count_unheld() == 0


class GranterMachine(RuleBasedStateMachine):
    """Applies faults of servers and granters in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = Simulation(SERVER_COUNT, seed=7)

    names = st.sampled_from([f"s{number}" for number in range(SERVER_COUNT)])

    @rule(steps=st.integers(1, 60))
    def time_passes(self, steps):
        self.simulation.advance(steps * 100.0)

    @rule(name=names)
    def server_crashes(self, name):
        self.simulation.servers[name].is_up = False

    @rule(name=names)
    def server_restarts(self, name):
        self.simulation.restart(name)

    @rule(name=names, is_listed=st.booleans())
    def entry_expires_or_returns(self, name, is_listed):
        self.simulation.servers[name].is_listed = is_listed

    @rule(name=names)
    def link_to_server_fails_or_recovers(self, name):
        self.simulation.daemons[-1].unreachable ^= {name}

    @rule()
    def granter_loses_the_store_and_is_replaced(self):
        self.simulation.daemons[-1].can_reach_store = False
        self.simulation.replace_granter()

    @rule()
    def granter_is_replaced(self):
        self.simulation.replace_granter()

    @rule()
    def former_granters_report_their_end(self):
        self.simulation.end_former_granters()

    @rule(is_reachable=st.booleans())
    def store_is_lost_or_regained(self, is_reachable):
        self.simulation.daemons[-1].can_reach_store = is_reachable

    @rule(lost_ratio=st.sampled_from([0.0, 0.4]), late=st.sampled_from([0.0, 0.4]))
    def responses_are_lost_or_grants_delayed(self, lost_ratio, late):
        self.simulation.lost_response_ratio = lost_ratio
        self.simulation.late_grant_ratio = late

    @invariant()
    def each_hash_has_one_holder(self):
        self.simulation.check()


TestGranterMachine = GranterMachine.TestCase
TestGranterMachine.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None
)


def run_with_faults(seed: int) -> None:
    """Runs a series of faults that violates leases if a safety rule is missing."""
    simulation = Simulation(SERVER_COUNT, seed)
    simulation.advance(1500)
    simulation.late_grant_ratio = 0.3
    simulation.lost_response_ratio = 0.2
    for number in range(12):
        name = f"s{number % SERVER_COUNT}"
        if number % 3 == 0:
            simulation.daemons[-1].can_reach_store = False
            simulation.replace_granter()
            simulation.daemons[-1].unreachable.add(name)
        if number % 3 == 1:
            simulation.servers[name].is_listed = False
        simulation.advance(3000)
        simulation.servers[name].is_listed = True
        for daemon in simulation.daemons:
            daemon.unreachable.discard(name)
        simulation.advance(700)


@pytest.mark.parametrize("seed", range(4))
def test_each_hash_has_one_holder_under_faults(seed):
    run_with_faults(seed)


def test_simulation_detects_a_release_without_fencing_of_late_grants(monkeypatch):
    def needs_fencing_without_unanswered(self, now_ms):
        return not self.is_acknowledged

    for name in ("needs_fencing", "needs_fencing_before_release"):
        monkeypatch.setattr(LeasedRange, name, needs_fencing_without_unanswered)
    with pytest.raises(AssertionError):
        for seed in range(30):
            run_with_faults(seed)


def test_simulation_detects_leases_that_are_not_waited_for(monkeypatch):
    monkeypatch.setattr(granter_module, "CLOCK_DRIFT_RATIO", 0.0)
    monkeypatch.setattr(granter_module, "LEASE_SLACK_MS", 0.0)
    with pytest.raises(AssertionError):
        for seed in range(30):
            run_with_faults(seed)


def lose_store_during_move(simulation):
    """Cuts the granter off the store while it splits and moves a hot range."""
    simulation.distribution = LoadDistribution(
        {key: 5.0 for key in range(0, 9000, 50)}, 0.1, 900.0
    )
    while not simulation.daemons[-1].release_count:
        simulation.advance(50)
    simulation.daemons[-1].can_reach_store = False
    simulation.advance(1000)


def test_moving_keys_have_an_owner_during_an_outage_of_the_store(simulation):
    """The store becomes unreachable while a hot range is split and moved."""
    lose_store_during_move(simulation)
    assert simulation.count_unheld() == 0


def test_a_successor_completes_a_move_with_all_keys_leased(simulation):
    """The former granter has completed a move that is recorded as in progress."""
    lose_store_during_move(simulation)
    simulation.replace_granter()
    simulation.end_former_granters()
    for _ in range(60):
        simulation.advance(100)
        assert simulation.count_unheld() == 0


def run_with_replaced_granters(seed: int) -> None:
    """Replaces granters while keys move and some of their calls arrive late."""
    simulation = Simulation(SERVER_COUNT, seed)
    simulation.advance(1500)
    simulation.late_grant_ratio = 0.3
    simulation.lost_response_ratio = 0.2
    for number in range(8):
        hot = range(number * 8000, number * 8000 + 6000, 50)
        simulation.distribution = LoadDistribution(
            {key: 5.0 for key in hot}, 0.1, 900.0
        )
        simulation.advance(300)
        simulation.daemons[-1].can_reach_store = False
        simulation.advance(300)
        simulation.replace_granter()
        simulation.advance(FORMER_CALLS_MS)


@pytest.mark.parametrize("seed", range(4))
def test_inherited_moves_have_one_holder(seed):
    run_with_replaced_granters(seed)


def test_simulation_detects_a_move_whose_next_owner_is_ignored(monkeypatch):
    def init_without_target(self, owned, address, inherited_lease_end_ms):
        original_init(
            self, owned._replace(next_owner=""), address, inherited_lease_end_ms
        )

    original_init = LeasedRange.__init__
    monkeypatch.setattr(LeasedRange, "__init__", init_without_target)
    with pytest.raises(AssertionError):
        for seed in range(30):
            run_with_replaced_granters(seed)


def test_simulation_detects_a_successor_that_does_not_wait_for_late_calls(monkeypatch):
    monkeypatch.setattr(LeasedRange, "can_release", lambda self, now_ms: True)
    with pytest.raises(AssertionError):
        for seed in range(30):
            run_with_replaced_granters(seed)


def test_a_briefly_unreachable_owner_keeps_its_keys(simulation):
    """Connections to the owner are reset while the load is unbalanced."""
    simulation.pinned = {"s1"}
    simulation.distribution = LoadDistribution(
        {key: 5.0 for key in range(0, 9000, 50)}, 0.1, 900.0
    )
    held = simulation.count_held_by("s1")
    simulation.advance(3000)
    assert simulation.count_held_by("s1") == held
    assert simulation.count_unheld() == 0
