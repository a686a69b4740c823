"""Tests that a range is not given away while its former owner may hold it."""

from __future__ import annotations

import pytest

from skylarktrail.core.gateway.granter import Granter
from skylarktrail.core.gateway.key_load import LoadDistribution
from skylarktrail.core.gateway.lease_calls import (
    CallResult,
    GrantCall,
    KeyedInstance,
    RecordOwners,
)
from skylarktrail.core.gateway.ranges import OwnedRange, OwnerTable

from .simulation import EVEN_LOAD, STEP_MS, TIMINGS, Simulation

SERVER_COUNT = 3
LISTING_INTERVAL_MS = 700.0
RECOVERY_TARGET_MS = 5000.0  # Maximum time until the keys of a lost server are served.
WATCH_MS = 6000.0  # Longer than a lease.


@pytest.fixture
def simulation():
    simulation = Simulation(SERVER_COUNT, seed=1)
    simulation.listing_interval_ms = LISTING_INTERVAL_MS
    simulation.advance(1000)
    assert simulation.count_unheld() == 0
    return simulation


def wait_for_renewal(simulation, name):
    """Advances until the present process of a server holds a lease."""
    for _ in range(40):
        simulation.advance(50)
        if simulation.count_held_by(name):
            return
    raise AssertionError(f"{name} got no grant")


def test_a_restarted_owner_that_got_renewals_is_released_first(simulation):
    """Renewals reach the new process before its entry is read."""
    for _ in range(20):
        simulation.restart("s1")
        simulation.pinned = {"s1"}
        simulation.advance(WATCH_MS)
        simulation.pinned = set()
        simulation.advance(WATCH_MS)


def test_keys_of_a_restarted_owner_are_served_within_the_target(simulation):
    simulation.restart("s1")
    simulation.advance(RECOVERY_TARGET_MS)
    assert simulation.count_unheld() == 0


def test_an_older_listing_does_not_end_the_lease_of_a_newer_incarnation(simulation):
    """The granter's successor lists the owner's former incarnation for a while."""
    stale = dict(simulation.instances_seen_by(simulation.daemons[-1]))
    simulation.restart("s1")
    wait_for_renewal(simulation, "s1")
    simulation.advance(WATCH_MS)
    held = simulation.count_held_by("s1")
    assert held
    simulation.replace_granter()
    successor = simulation.daemons[-1]
    stale["s1"] = stale["s1"]._replace(can_receive_keys=False)
    successor.listing = stale
    successor.listing_due_ms = simulation.now_ms + LISTING_INTERVAL_MS
    simulation.advance(WATCH_MS)


def test_refused_connections_do_not_end_the_lease_of_an_unlisted_owner(simulation):
    """The granter's own links refuse while the owner is cut off from the store."""
    simulation.daemons[-1].refusing = {"s1"}
    simulation.servers["s1"].is_listed = False
    simulation.advance(WATCH_MS)


def test_keys_of_an_owner_that_refuses_connections_are_served_within_the_target(
    simulation,
):
    simulation.servers["s1"].is_up = False
    simulation.servers["s1"].is_listed = False
    simulation.daemons[-1].refusing = {"s1"}
    simulation.advance(RECOVERY_TARGET_MS)
    assert simulation.count_unheld() == 0


def test_an_owner_that_answers_nothing_loses_its_keys_within_the_target(simulation):
    """It accepts connections, so that each call to it may have reached it."""
    simulation.servers["s1"].is_listed = False
    simulation.servers["s1"].is_silent = True
    simulation.advance(RECOVERY_TARGET_MS + LISTING_INTERVAL_MS)
    assert simulation.count_unheld() == 0


def test_a_late_grant_of_a_former_granter_does_not_outlast_an_inherited_move(
    simulation,
):
    """A grant of the former granter is carried out after the former owner's release."""
    simulation.recorded_owners = OwnerTable(
        [OwnedRange(0, 32767, "s0", 1), OwnedRange(32768, 65535, "s1", 1, "s2", 1)]
    )
    simulation.pinned = {"s1"}
    for server in simulation.servers.values():
        server.leases.clear()
    late_call = GrantCall(
        0, "s1", "s1", 32768, 65535, 1 << 24 | 9, TIMINGS.lease_ms, ""
    )
    arrived_ms = simulation.now_ms
    simulation.late.append(
        (arrived_ms + 2500, arrived_ms, simulation.servers["s1"], 1, late_call)
    )
    simulation.replace_granter()
    simulation.kill_former_granters()
    simulation.advance(WATCH_MS)
    assert simulation.count_unheld() == 0


@pytest.mark.parametrize("seed", range(4))
def test_a_former_granter_sends_no_grants_to_a_restarted_owner(seed):
    """The owner has forgotten the successor's fences together with the moved keys."""
    simulation = Simulation(SERVER_COUNT, seed)
    simulation.advance(1000)
    simulation.daemons[-1].can_reach_store = False
    simulation.replace_granter()
    first = next(i.first for i in simulation.recorded_owners.ranges if i.owner == "s1")
    hot = range(first, first + 9000, 50)
    simulation.distribution = LoadDistribution({key: 5.0 for key in hot}, 0.1, 900.0)
    while not simulation.daemons[-1].release_count:
        simulation.advance(STEP_MS)
    simulation.advance(500)
    simulation.restart("s1")
    simulation.advance(WATCH_MS)


def test_the_result_of_a_call_of_an_earlier_term_answers_no_call_of_a_later_one():
    """A daemon is granter twice, and a call of its first term ends in the second."""
    recorded = OwnerTable([OwnedRange(0, 65535, "s1", 1)])
    owners = {"s1": KeyedInstance("s1", "s1", 1, True)}
    earlier = Granter(TIMINGS, 1, recorded, 0.0)
    later = Granter(TIMINGS, 3, recorded, 0.0)
    earlier_ids = {call.call_id for call in earlier.step(owners, 100.0)}
    later_ids = {call.call_id for call in later.step(owners, 100.0)}
    assert earlier_ids and later_ids
    assert not earlier_ids & later_ids


def test_a_call_to_an_ended_owner_is_not_credited_to_the_next_one():
    """The call is answered after the range went to another instance."""
    recorded = OwnerTable([OwnedRange(0, 65535, "s1", 1, "s2", 1)])
    owners = {name: KeyedInstance(name, name, 1, True) for name in ("s1", "s2")}
    granter = Granter(TIMINGS, 2, recorded, 0.0)
    granter.observe_open_grants(())
    release = granter.step(owners, 100.0)[0]
    owners.pop("s1")
    grants = granter.step(owners, 7000.0)  # The call is given up, the leases end.
    assert [call.instance for call in grants if isinstance(call, GrantCall)] == ["s2"]
    granter.handle_result(CallResult(release.call_id, "done", "late"), 7100.0)
    assert [grant.instance for grant in granter.open_grants(7100.0)] == ["s2"]


def test_an_owner_whose_answer_never_ends_loses_its_keys():
    """Each byte of the answer comes in time, so the call stays open."""
    recorded = OwnerTable([OwnedRange(0, 65535, "s1", 1)])
    owners = {name: KeyedInstance(name, name, 1, True) for name in ("s1", "s2")}
    granter = Granter(TIMINGS, 2, recorded, 0.0)
    granter.step(owners, 0.0)
    owners.pop("s1")
    granted = set()
    for now_ms in range(100, 20_000, 100):
        granter.rebalance(EVEN_LOAD, False)
        for action in granter.step(owners, float(now_ms)):
            if isinstance(action, RecordOwners):
                granter.handle_recorded(True)
            elif isinstance(action, GrantCall):
                granted.add(action.instance)
    assert "s2" in granted


def test_the_state_of_an_earlier_owner_is_not_handed_over():
    """The last owner's lease expires, so it hands nothing over."""
    recorded = OwnerTable([OwnedRange(0, 65535, "s1", 1, "s2", 1)])
    owners = {name: KeyedInstance(name, name, 1, True) for name in ("s1", "s2")}
    granter = Granter(TIMINGS, 2, recorded, 0.0)
    granter.observe_open_grants(())
    release = granter.step(owners, 100.0)[0]
    granter.handle_result(CallResult(release.call_id, "done", "state of s1"), 100.0)
    actions = granter.step(owners, 200.0)
    first = next(call for call in actions if isinstance(call, GrantCall))
    granter.handle_recorded(True)
    assert first.handover == "state of s1"
    granter.handle_result(CallResult(first.call_id, "done"), 200.0)
    owners.pop("s2")
    handovers = set()
    for now_ms in range(300, 9000, 100):
        granter.rebalance(EVEN_LOAD, False)
        for action in granter.step(owners, float(now_ms)):
            if isinstance(action, RecordOwners):
                granter.handle_recorded(True)
            elif isinstance(action, GrantCall) and action.instance == "s1":
                handovers.add(action.handover)
    assert handovers == {""}


def test_an_unanswered_fence_does_not_end_the_wait_for_a_longer_grant():
    """A renewal and the fences after it have no answer; it may be carried out last."""
    recorded = OwnerTable([OwnedRange(0, 65535, "s1", 1)])
    owners = {name: KeyedInstance(name, name, 1, True) for name in ("s1", "s2")}
    granter = Granter(TIMINGS, 2, recorded, -WATCH_MS)
    first = granter.step(owners, 0.0)[0]
    granter.handle_result(CallResult(first.call_id, "done"), 0.0)
    renewal = granter.step(owners, TIMINGS.renew_ms)[0]
    answered_ms = TIMINGS.renew_ms + 500.0
    granter.handle_result(CallResult(renewal.call_id, "silent"), answered_ms)
    owners.pop("s1")
    waiting = []
    for now_ms in range(int(answered_ms), int(answered_ms + TIMINGS.lease_ms), 100):
        for call_id, due_ms in list(waiting):
            if now_ms >= due_ms:
                waiting.remove((call_id, due_ms))
                granter.handle_result(CallResult(call_id, "silent"), float(now_ms))
        for action in granter.step(owners, float(now_ms)):
            assert isinstance(action, GrantCall), f"{action} after {now_ms} ms"
            waiting.append((action.call_id, now_ms + 500.0))


def test_a_grant_that_is_given_up_may_arrive_later():
    """It counts from its arrival, up to a second after it was sent."""
    recorded = OwnerTable([OwnedRange(0, 65535, "s1", 1)])
    owners = {name: KeyedInstance(name, name, 1, True) for name in ("s1", "s2")}
    granter = Granter(TIMINGS, 2, recorded, -WATCH_MS)
    first = granter.step(owners, 0.0)[0]
    granter.handle_result(CallResult(first.call_id, "silent"), 500.0)
    owners.pop("s1")
    end_ms = 1000.0 + 1.02 * TIMINGS.lease_ms
    for now_ms in range(500, int(end_ms), 50):
        for action in granter.step(owners, float(now_ms)):
            granter.handle_result(CallResult(action.call_id, "unsent"), float(now_ms))
        assert not granter.pop_lost_ranges(), now_ms
