"""Tests of the rules on key owners in a world where each call may be late or lost."""

from __future__ import annotations

import pytest

from skylarktrail.core.gateway.key_load import LoadDistribution
from skylarktrail.core.gateway.ranges import OwnedRange

from .lease_world import (
    HANG,
    OK,
    PRESENT_CLIENT,
    REFUSE,
    RESET,
    SILENT,
    LeaseWorld,
)
from .lease_world_daemon import TIMINGS, DaemonSettings

RECOVERY_TARGET_MS = 5000.0  # Maximum time until the keys of a lost owner are served.
WATCH_MS = 6000.0  # Longer than a lease.
MOVE_MS = 500.0  # A move leaves its range without an owner for less.
# Time until keys are held again after any faults: a granter is elected and heard of,
# the authority of the former one and the leases that it gave end.
SUCCESSION_MS = 4000.0 + TIMINGS.authority_ms + 1.03 * TIMINGS.lease_ms + 2000.0
LISTED_START_MS = 1000  # Start of the instances that a world begins with.


def alternate_owners(range_count, instance_count):
    """Returns ranges of equal size, owned by the instances in turn."""
    size = (1 << 16) // range_count
    return tuple(
        OwnedRange(
            number * size,
            (number + 1) * size - 1,
            f"s{number % instance_count}",
            LISTED_START_MS,
        )
        for number in range(range_count)
    )


def load_on(first, last):
    """Returns a distribution with most of the load on a range of hashes."""
    step = max(1, (last - first) // 180)
    return LoadDistribution({key: 5.0 for key in range(first, last, step)}, 0.1, 900.0)


def first_hash_of(world, name):
    """Returns the first hash that an instance holds."""
    return min(lease.first for lease in world.instances[name].leases)


def elect(world, name, limit_ms=15_000.0):
    """Lets the store serve no other daemon until one has become granter."""
    states = world.store_faults.states
    others = [other for other in world.daemons if other != name]
    before = {other: states.get(other, OK) for other in others}
    states.update({other: SILENT for other in others})
    daemon = world.daemons[name]
    term = max(item.term for item in world.daemons.values())
    is_granter = world.advance_until(
        lambda: daemon.is_granter and daemon.term > term, limit_ms
    )
    states.update(before)
    assert is_granter, world.trace()
    return daemon


def let_read(world, name):
    """Lets a daemon read the records from the store, as after a lost broadcast."""
    world.daemons[name].trigger_read()
    world.advance(500)


def isolate_granter(world):
    """Cuts the granter off the store and the other daemons; returns its name."""
    granter = world.find_granter()
    world.log(f"{granter.name} is cut off the store and the other daemons")
    world.store_faults.states[granter.name] = SILENT
    world.cut_peers.add(granter.name)
    return granter.name


def hide(world, name, reaching=()):
    """Lets an instance go unlisted and out of reach of all but some daemons."""
    world.unlist(name)
    address = world.instances[name].address
    for daemon in world.daemons:
        if daemon not in reaching:
            world.set_link(daemon, address, HANG)


@pytest.fixture
def world():
    world = LeaseWorld(1)
    world.wait_for_granter()
    world.advance(2000)
    return world


def test_all_keys_stay_held_without_faults(world):
    for _ in range(200):
        world.advance(100)
        assert not world.unheld_ranges()


def test_keys_of_a_crashed_owner_are_held_again_within_the_target(world):
    world.crash("s1")
    world.advance(RECOVERY_TARGET_MS)
    assert not world.unheld_ranges(), world.trace()


def test_keys_of_a_restarted_owner_are_held_again_within_the_target(world):
    world.restart("s1", entry_delay_ms=500)
    world.advance(RECOVERY_TARGET_MS)
    assert not world.unheld_ranges(), world.trace()


def test_all_keys_stay_held_when_the_granter_is_killed(world):
    world.kill_daemon(world.find_granter().name)
    for _ in range(100):
        world.advance(100)
        assert not world.unheld_ranges(), world.trace()


@pytest.mark.parametrize("seed", (10, 18, 36, 39))
def test_a_granter_killed_after_it_recorded_owners_is_replaced_in_time(seed):
    """The others heard of the last record from the granter and have not read it."""
    world = LeaseWorld(seed)
    world.wait_for_granter()
    world.advance(2000)
    world.kill_daemon(world.find_granter().name)
    for _ in range(100):
        world.advance(100)
        assert not world.unheld_ranges(), world.trace()


def test_all_keys_stay_held_when_the_granter_loses_the_store(world):
    former = world.find_granter()
    world.store_faults.states[former.name] = REFUSE
    for _ in range(100):
        world.advance(100)
        assert not world.unheld_ranges(), world.trace()
    assert world.find_granter().name != former.name


def test_all_keys_stay_held_when_the_granter_is_cut_off(world):
    former = world.find_granter()
    world.set_links_of(former.name, HANG)
    for _ in range(100):
        world.advance(100)
        assert not world.unheld_ranges(), world.trace()
    assert world.find_granter().name != former.name


def test_keys_are_held_again_after_the_granter_was_frozen(world):
    former = world.find_granter()
    world.freeze_daemon(former.name, 12_000)
    world.advance(SUCCESSION_MS)
    assert not world.unheld_ranges(), world.trace()
    assert world.find_granter().name != former.name


def test_a_late_grant_of_the_present_granter_is_fenced_off(world):
    """Moves go on while an owner carries grants out late."""
    world.late_delay_ms = (2000.0, 3900.0)
    world.instances["s1"].late_ratio = 0.3
    low = first_hash_of(world, "s1")
    world.distribution = load_on(low, low + 16_000)
    world.advance(20_000)


def test_a1_an_owner_restarts_and_gets_renewals_before_its_entry_is_read():
    world = LeaseWorld(1)
    granter = world.wait_for_granter()
    world.advance(2000)
    world.restart("s1", entry_delay_ms=1500)
    assert world.advance_until(lambda: world.held_by("s1") > 0, 1400)
    world.advance_until(lambda: "s1" in world.store.entries, 1400)
    world.set_link(granter.name, "a1", RESET)
    world.advance(WATCH_MS)


def test_a2_a_link_holds_back_a_grant_that_was_given_up():
    for seed in range(12):
        world = LeaseWorld(seed, client=PRESENT_CLIENT)
        granter = world.wait_for_granter()
        world.advance(2000)
        world.set_link(granter.name, "a1", HANG)
        world.advance(8000)
        world.set_link(granter.name, "a1", OK)
        world.advance(WATCH_MS)


def test_a3_a_late_grant_of_a_former_granter_meets_an_inherited_move():
    for seed in range(10):
        world = LeaseWorld(seed)
        granter = world.wait_for_granter()
        world.advance(2500)
        world.late_delay_ms = (3300.0, 3900.0)
        world.instances["s1"].late_ratio = 1.0
        low = first_hash_of(world, "s1")
        world.advance(500)
        world.distribution = load_on(low, low + 16_000)
        is_recorded = world.advance_until(
            lambda: any(item.next_owner for item in world.recorded_owners()), 2000
        )
        assert is_recorded
        world.advance(200)
        world.set_links_of(granter.name, HANG)
        world.advance(2 * WATCH_MS)


def lose_a_term(world):
    """Brings the store back from a copy older than the granter's record."""
    first = world.wait_for_granter().name
    second = next(name for name in world.daemons if name != first)
    world.advance(1000)
    world.restart_daemon(first)
    world.advance(500)
    end = len(world.store.records)
    elect(world, second)
    world.advance(3000)
    world.restore_store(len(world.store.records) - end)


def test_b_keys_are_held_again_after_the_store_came_back_without_a_term():
    world = LeaseWorld(1)
    lose_a_term(world)
    world.advance(SUCCESSION_MS)
    assert not world.unheld_ranges(), world.trace()


def test_b_a_term_that_the_store_lost_is_not_claimed_again():
    world = LeaseWorld(1)
    lose_a_term(world)
    for name, daemon in list(world.daemons.items()):
        if daemon.term == 0:
            world.restart_daemon(name)
        else:
            world.store_faults.states[name] = SILENT
    world.advance(SUCCESSION_MS)


def test_d1_refused_connections_of_a_cut_daemon_end_no_lease():
    world = LeaseWorld(1)
    granter = world.wait_for_granter()
    world.advance(2000)
    world.set_link(granter.name, "a1", REFUSE)
    world.unlist("s1")
    world.advance(WATCH_MS)


def test_d2_a_granter_lists_an_older_incarnation_than_the_records_name():
    world = LeaseWorld(1)
    first = world.wait_for_granter().name
    second = next(name for name in world.daemons if name != first)
    world.advance(1000)
    world.listing_held_until_ms[second] = world.now_ms + 12_000
    world.restart("s1")
    world.advance(3000)
    assert world.held_by("s1")
    world.set_link(second, "a1", RESET)
    isolate_granter(world)
    elect(world, second)
    world.advance(WATCH_MS)


def test_d3_the_first_granter_is_killed_and_becomes_granter_again():
    world = LeaseWorld(1)
    name = world.wait_for_granter().name
    world.advance(5000)
    world.restart_daemon(name)
    world.advance(10)
    hide(world, "s1")
    elect(world, name)
    world.advance(WATCH_MS)


def test_d4_lease_calls_wait_in_a_queue_past_the_authority_of_their_granter():
    world = LeaseWorld(1, instances=2, owners=alternate_owners(48, 2))
    first = world.wait_for_granter(20_000).name
    second = next(name for name in world.daemons if name != first)
    world.advance(2000)
    isolate_granter(world)
    cut_ms = world.now_ms
    hide(world, "s1", reaching=[first])
    world.set_link(first, "a0", HANG)
    world.instances["s1"].is_silent = True
    elect(world, second)
    world.advance(cut_ms + 10_800 - world.now_ms)
    world.instances["s1"].is_silent = False
    world.advance(WATCH_MS)


def test_d5_a_second_answer_is_taken_for_the_answer_to_a_release():
    world = LeaseWorld(1, client=PRESENT_CLIENT)
    world.wait_for_granter()
    world.advance(2000)
    world.instances["s1"].has_second_answers = True
    world.instances["s1"].work_ms = 2000.0
    world.advance(2000)
    first = first_hash_of(world, "s1")
    world.distribution = load_on(first, first + 16_000)
    world.advance(WATCH_MS)


def test_d6_two_changes_of_the_granter_come_with_one_read():
    world = LeaseWorld(1)
    first = world.wait_for_granter().name
    second, third = [name for name in world.daemons if name != first]
    let_read(world, third)
    world.store_faults.states[third] = SILENT
    world.cut_peers.add(third)
    world.restart_daemon(first)
    elect(world, second)
    world.advance(1500)
    isolate_granter(world)
    hide(world, "s1", reaching=[second])
    for address in ("a0", "a2", "a3"):
        world.set_link(second, address, HANG)
    elect(world, first)
    world.cut_peers.discard(third)
    world.store_faults.states[third] = OK
    world.advance(200)
    world.restart_daemon(first)
    elect(world, third)
    world.advance(2 * WATCH_MS)


def test_d7_a_member_record_is_older_than_the_process_of_the_granter():
    world = LeaseWorld(1)
    first = world.wait_for_granter().name
    second = next(name for name in world.daemons if name != first)
    let_read(world, second)
    world.store_faults.lost_keys = (f"member/{first}",)
    world.restart_daemon(first)
    elect(world, first)
    world.advance(3000)
    isolate_granter(world)
    hide(world, "s1", reaching=[first])
    for address in ("a0", "a2", "a3"):
        world.set_link(first, address, HANG)
    elect(world, second)
    world.advance(2 * WATCH_MS)


def test_e_an_owner_that_answers_nothing_loses_its_keys_within_the_target():
    world = LeaseWorld(1)
    world.wait_for_granter()
    world.advance(2000)
    world.instances["s1"].is_silent = True
    world.unlist("s1")
    world.advance(RECOVERY_TARGET_MS + TIMINGS.lease_ms)
    assert not world.unheld_ranges(), world.trace()


def test_f1_a_process_is_replaced_while_its_grant_is_under_way():
    for seed in range(20):
        world = LeaseWorld(seed)
        first = world.wait_for_granter().name
        second = next(name for name in world.daemons if name != first)
        let_read(world, second)
        isolate_granter(world)
        hide(world, "s1", reaching=[first])
        for address in ("a0", "a2", "a3"):
            world.set_link(first, address, HANG)
        elect(world, second)
        world.slow_link_ratio = 1.0
        world.slow_delay_ms = (850.0, 950.0)
        world.advance(1200 + 50 * seed)
        world.restart_daemon(first)
        world.store_faults.states[first] = OK
        world.slow_link_ratio = 0.0
        world.advance(WATCH_MS)


def test_f2_bytes_of_a_killed_process_arrive_later():
    for seed in range(8):
        client = PRESENT_CLIENT._replace(drops_given_up_calls=True)
        world = LeaseWorld(seed, client=client)
        first = world.wait_for_granter().name
        second = next(name for name in world.daemons if name != first)
        world.advance(2000)
        world.set_link(first, "a1", HANG)
        world.advance_until(lambda: world.is_holding_bytes(), 1500)
        world.unlist("s1")
        world.restart_daemon(first)
        elect(world, second)
        world.advance(WATCH_MS)
        world.set_link(first, "a1", OK)
        world.advance(WATCH_MS)


def test_f3_waiting_calls_of_an_earlier_term_of_the_same_daemon():
    world = LeaseWorld(1, instances=2, owners=alternate_owners(96, 2))
    first = world.wait_for_granter(20_000).name
    second = next(name for name in world.daemons if name != first)
    world.advance(2000)
    world.instances["s1"].is_silent = True
    hide(world, "s1", reaching=[first])
    world.set_link(first, "a0", HANG)
    isolate_granter(world)
    elect(world, second)
    world.store_faults.states[first] = OK
    world.cut_peers.discard(first)
    elect(world, first)
    world.set_link(first, "a0", OK)
    world.advance(2200)
    world.instances["s1"].is_silent = False
    world.advance(WATCH_MS)


@pytest.mark.parametrize("ranges_per_instance", [1, 24])
def test_f4_keys_of_an_owner_whose_machine_is_lost_are_held_again_within_the_target(
    ranges_per_instance,
):
    """Connections to the owner hang, and each call to it takes its whole timeout."""
    owners = alternate_owners(4 * ranges_per_instance, 4)
    world = LeaseWorld(1, owners=owners)
    world.wait_for_granter(20_000)
    world.advance(2000)
    world.instances["s1"].is_up = False
    hide(world, "s1")
    world.advance(RECOVERY_TARGET_MS)
    assert not world.unheld_ranges(), world.trace()


def test_f5_a_listed_owner_that_answers_nothing_loses_its_keys():
    world = LeaseWorld(1)
    world.wait_for_granter()
    world.advance(2000)
    world.instances["s1"].is_silent = True
    world.advance(SUCCESSION_MS)
    assert not world.unheld_ranges(), world.trace()


def lose_granter(world):
    """Cuts the granter off everything; returns its name and its successor's."""
    first = world.find_granter().name
    second = next(name for name in world.daemons if name != first)
    isolate_granter(world)
    world.set_links_of(first, HANG)
    elect(world, second)
    return first, second


@pytest.mark.parametrize("restart_count", (1, 3))
def test_g1_a_former_granter_renews_to_an_owner_that_has_restarted(restart_count):
    """The owner has forgotten the fences of the successor, which took a range."""
    for seed in range(6):
        world = LeaseWorld(seed)
        world.wait_for_granter()
        world.advance(2000)
        low = first_hash_of(world, "s1")
        held = world.held_by("s1")
        first, _ = lose_granter(world)
        world.distribution = load_on(low, low + 16_000)
        world.advance_until(lambda: world.held_by("s1") < held, 2000)
        for _ in range(restart_count):
            world.restart("s1", entry_delay_ms=300 * seed)
            world.advance(100)
            world.set_link(first, "a1", OK)
            world.advance(600)
        world.advance(2 * WATCH_MS)
        assert not world.unheld_ranges(), world.trace()


def test_g2_keys_of_an_owner_that_restarts_after_the_granter_was_lost_are_held(world):
    lose_granter(world)
    world.advance(500)
    world.restart("s1", entry_delay_ms=500)
    world.advance(RECOVERY_TARGET_MS)
    for _ in range(100):
        is_held = world.advance_until(lambda: not world.unheld_ranges(), MOVE_MS)
        assert is_held, world.trace()
        world.advance(100)


def test_g3_a_draining_owner_is_released_while_a_former_granter_may_send_calls(world):
    lose_granter(world)
    world.advance(500)
    world.drain("s1")
    world.advance(2000)
    assert world.held_by("s1") == 0, world.trace()
    assert not world.unheld_ranges()


def test_g4_an_unlisted_owner_that_has_restarted_is_fenced_before_its_release():
    """Its last process had acknowledged the successor's fence, this one has not."""
    for seed in range(6):
        world = LeaseWorld(seed)
        world.wait_for_granter()
        world.advance(2000)
        first, _ = lose_granter(world)
        world.advance(300)
        world.restart("s1", entry_delay_ms=60_000)
        world.unlist("s1")
        world.advance_until(lambda: not world.held_by("s1"), 2500)
        world.advance(50 * seed)
        world.set_link(first, "a1", OK)
        world.advance(2 * WATCH_MS)


def test_h1_an_older_process_is_listed_at_the_address_of_an_unlisted_owner():
    """Its entry has not expired yet; the owner goes on, behind a cut."""
    for seed in range(6):
        world = LeaseWorld(seed)
        world.wait_for_granter()
        world.advance(2000)
        world.replace("s1", "s1x")
        world.advance_until(lambda: world.held_by("s1x") > 0, 2000)
        world.unlist("s1x")
        world.advance(2 * WATCH_MS)


@pytest.mark.parametrize("reason", ("load", "drain"))
def test_h2_a_second_answer_is_taken_for_that_of_a_renewal_carried_out_late(reason):
    """The renewal takes effect when the range has another owner."""
    for seed in range(20):
        world = LeaseWorld(seed)
        world.wait_for_granter()
        world.advance(2000)
        owner = world.instances["s1"]
        owner.has_second_answers = True
        world.late_delay_ms = (200.0, 2000.0)
        world.advance(1000 + 100 * seed)
        owner.late_ratio = 1.0
        if reason == "drain":
            world.drain("s1")
        else:
            low = first_hash_of(world, "s1")
            world.distribution = load_on(low, low + 16_000)
        world.advance_until(lambda: world.held_by("s1") == 0, 3000)
        owner.late_ratio = 0.0
        world.advance(WATCH_MS)


@pytest.mark.parametrize(
    "timings",
    (
        TIMINGS._replace(authority_ms=2 * TIMINGS.authority_ms),
        TIMINGS._replace(outage_lease_ms=10_000.0),
    ),
)
def test_h4_a_former_granter_has_longer_leases_than_its_successor(timings):
    """Their settings differ, against docs/settings.md."""
    for seed in (0, 2, 3):
        world = LeaseWorld(seed)
        first = world.wait_for_granter().name
        second = next(name for name in world.daemons if name != first)
        world.advance(1000)
        world.kill_daemon(second)
        world.start_daemon(second, DaemonSettings(timings=timings))
        world.advance(1000)
        world.kill_daemon(first)
        elect(world, second)
        world.advance(2500)
        world.start_daemon(first, DaemonSettings())
        world.advance(11_000)
        let_read(world, first)
        isolate_granter(world)
        hide(world, "s1", reaching=[second])
        for address in ("a0", "a2", "a3"):
            world.set_link(second, address, HANG)
        elect(world, first)
        world.advance(5 * WATCH_MS)
