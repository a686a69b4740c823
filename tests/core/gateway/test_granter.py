"""Tests of the granter: one holder a hash, under every trouble of the site."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from skylarktrail.core.gateway import granter as granter_module
from skylarktrail.core.gateway.key_load import LoadDistribution
from skylarktrail.core.gateway.leased_range import LeasedRange

from .world import TIMINGS, World

SERVERS = 5
SERVED_AGAIN_MS = 5000.0  # The target: a key is served again within 5 s of a loss.


@pytest.fixture
def world():
    world = World(SERVERS, seed=1)
    world.advance(1000)
    assert world.unheld() == 0
    return world


def test_keys_of_a_crashed_server_are_served_again_within_the_target(world):
    world.servers["s1"].is_up = False
    world.servers["s1"].is_listed = False
    world.advance(SERVED_AGAIN_MS)
    assert world.unheld() == 0


def test_keys_of_a_new_life_are_granted_at_once(world):
    world.restart("s1")
    world.advance(300)
    assert world.unheld() == 0


def test_a_listed_server_that_cannot_be_reached_keeps_its_keys_through_its_lease(world):
    world.seats[-1].unreached.add("s1")
    world.advance(TIMINGS.lease_ms + 1000)
    assert world.unheld() == 0


def test_a_successor_takes_over_without_a_gap(world):
    world.take_over()
    world.advance(300)
    assert world.unheld() == 0


def test_a_granter_without_the_store_renews_until_its_authority_ends(world):
    world.seats[-1].reaches_store = False
    world.advance(TIMINGS.authority_ms)
    assert world.unheld() == 0
    world.advance(TIMINGS.lease_ms * 1.1)
    assert world.unheld() > 0


def test_a_former_granter_that_still_reaches_a_server_is_waited_for(world):
    old = world.seats[-1]
    old.reaches_store = False
    world.take_over()
    world.seats[-1].unreached.add("s1")
    world.servers["s1"].is_listed = False
    old_listed_ms = TIMINGS.authority_ms
    world.advance(old_listed_ms + TIMINGS.lease_ms * 2 + SERVED_AGAIN_MS)
    assert world.unheld() == 0


def test_keys_of_a_lost_server_are_served_again_soon_after_a_change_of_granter(world):
    world.take_over()
    world.servers["s1"].is_up = False
    world.servers["s1"].is_listed = False
    world.hear_that_former_granters_ended()
    world.advance(SERVED_AGAIN_MS)
    assert world.unheld() == 0


def test_an_address_taken_by_another_instance_proves_that_its_owner_has_ended(world):
    seat = world.seats[-1]
    world.servers["s1"].is_up = False
    world.servers["s1"].is_listed = False
    owners = world.owners_seen_by(seat)
    seat.granter.step(owners, world.now_ms, {"s1": "of another service"})
    world.advance(300)
    assert world.unheld() == 0


class GranterMachine(RuleBasedStateMachine):
    """Servers and granters under faults in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World(SERVERS, seed=7)

    names = st.sampled_from([f"s{number}" for number in range(SERVERS)])

    @rule(steps=st.integers(1, 60))
    def time_passes(self, steps):
        self.world.advance(steps * 100.0)

    @rule(name=names)
    def server_crashes(self, name):
        self.world.servers[name].is_up = False

    @rule(name=names)
    def server_restarts(self, name):
        self.world.restart(name)

    @rule(name=names, is_listed=st.booleans())
    def entry_lapses_or_returns(self, name, is_listed):
        self.world.servers[name].is_listed = is_listed

    @rule(name=names)
    def link_to_a_server_is_cut_or_heals(self, name):
        self.world.seats[-1].unreached ^= {name}

    @rule()
    def granter_loses_the_store_and_is_replaced(self):
        self.world.seats[-1].reaches_store = False
        self.world.take_over()

    @rule()
    def granter_is_replaced(self):
        self.world.take_over()

    @rule()
    def former_granters_say_that_they_have_ended(self):
        self.world.hear_that_former_granters_ended()

    @rule(reaches=st.booleans())
    def store_goes_away_or_returns(self, reaches):
        self.world.seats[-1].reaches_store = reaches

    @rule(lost=st.sampled_from([0.0, 0.4]), late=st.sampled_from([0.0, 0.4]))
    def answers_get_lost_or_grants_late(self, lost, late):
        self.world.lost_answers = lost
        self.world.late_share = late

    @invariant()
    def one_holder(self):
        self.world.check()


TestGranterMachine = GranterMachine.TestCase
TestGranterMachine.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None
)


def run_troubled_world(seed: int) -> None:
    """Runs a fixed series of troubles that each safety rule has to survive."""
    world = World(SERVERS, seed)
    world.advance(1500)
    world.late_share = 0.3
    world.lost_answers = 0.2
    for number in range(12):
        name = f"s{number % SERVERS}"
        if number % 3 == 0:
            world.seats[-1].reaches_store = False
            world.take_over()
            world.seats[-1].unreached.add(name)
        if number % 3 == 1:
            world.servers[name].is_listed = False
        world.advance(3000)
        world.servers[name].is_listed = True
        for seat in world.seats:
            seat.unreached.discard(name)
        world.advance(700)


@pytest.mark.parametrize("seed", range(4))
def test_troubled_worlds_have_one_holder(seed):
    run_troubled_world(seed)


def test_machine_finds_a_release_that_does_not_shut_out_late_grants(monkeypatch):
    def ignores_unanswered(self, now_ms):
        return not self.is_acknowledged

    monkeypatch.setattr(LeasedRange, "needs_fencing", ignores_unanswered)
    with pytest.raises(AssertionError):
        for seed in range(30):
            run_troubled_world(seed)


def test_machine_finds_leases_that_are_not_waited_for(monkeypatch):
    monkeypatch.setattr(granter_module, "CLOCK_DRIFT_RATIO", 0.0)
    monkeypatch.setattr(granter_module, "LEASE_SLACK_MS", 0.0)
    with pytest.raises(AssertionError):
        for seed in range(30):
            run_troubled_world(seed)


def lose_store_as_keys_move(world):
    """Lets a hot range be cut and moved, and the granter lose the store meanwhile."""
    world.distribution = LoadDistribution(
        {key: 5.0 for key in range(0, 9000, 50)}, 0.1, 900.0
    )
    while not world.seats[-1].releases:
        world.advance(50)
    world.seats[-1].reaches_store = False
    world.advance(1000)


def test_keys_that_move_have_an_owner_while_the_store_is_away(world):
    """Load pattern: a hot range is cut and moved just as the store falls silent."""
    lose_store_as_keys_move(world)
    assert world.unheld() == 0


def test_a_successor_takes_over_a_move_without_a_gap(world):
    """The former granter has moved keys that its record still shows under way."""
    lose_store_as_keys_move(world)
    world.take_over()
    world.hear_that_former_granters_ended()
    for _ in range(60):
        world.advance(100)
        assert world.unheld() == 0


def run_moves_that_are_taken_over(seed: int) -> None:
    """Replaces granters while keys move, some of whose orders arrive late."""
    world = World(SERVERS, seed)
    world.advance(1500)
    world.late_share = 0.3
    world.lost_answers = 0.2
    for number in range(8):
        hot = range(number * 8000, number * 8000 + 6000, 50)
        world.distribution = LoadDistribution({key: 5.0 for key in hot}, 0.1, 900.0)
        world.advance(300)
        world.seats[-1].reaches_store = False
        world.advance(300)
        world.take_over()
        world.advance(2500)


@pytest.mark.parametrize("seed", range(4))
def test_moves_that_are_taken_over_have_one_holder(seed):
    run_moves_that_are_taken_over(seed)


def test_machine_finds_a_move_whose_next_owner_is_forgotten(monkeypatch):
    def begin(self, owned, address, inherited_lease_end_ms):
        begins(self, owned._replace(next_owner=""), address, inherited_lease_end_ms)

    begins = LeasedRange.__init__
    monkeypatch.setattr(LeasedRange, "__init__", begin)
    with pytest.raises(AssertionError):
        for seed in range(30):
            run_moves_that_are_taken_over(seed)


def test_machine_finds_a_successor_that_does_not_wait_for_late_orders(monkeypatch):
    monkeypatch.setattr(LeasedRange, "can_release", lambda self, now_ms: True)
    with pytest.raises(AssertionError):
        for seed in range(30):
            run_moves_that_are_taken_over(seed)


def test_an_owner_that_cannot_be_reached_for_a_moment_keeps_its_keys(world):
    """Load pattern: connections are reset while load is uneven."""
    world.resting = {"s1"}
    world.distribution = LoadDistribution(
        {key: 5.0 for key in range(0, 9000, 50)}, 0.1, 900.0
    )
    held = world.held_by("s1")
    world.advance(3000)
    assert world.held_by("s1") == held
    assert world.unheld() == 0
