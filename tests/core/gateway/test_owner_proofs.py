"""Tests of a review: other ways to two owners of the same keys."""

from __future__ import annotations

import pytest

from skylarktrail.core.gateway.granter import Granter
from skylarktrail.core.gateway.lease_calls import (
    CallResult,
    GrantCall,
    KeyedInstance,
    RecordOwners,
    ReleaseCall,
)
from skylarktrail.core.gateway.positions import make_position, offset_of
from skylarktrail.core.gateway.ranges import OwnedRange, OwnerTable

from .lease_world import ENTRY_TTL_MS, EVEN_LOAD, OK, SILENT, LeaseWorld
from .lease_world_daemon import TIMINGS
from .lease_world_store import SNAPSHOT, SharedRead, SimulatedStore
from .test_lease_world import (
    RECOVERY_TARGET_MS,
    WATCH_MS,
    elect,
    first_hash_of,
    isolate_granter,
    load_on,
    lose_granter,
)


@pytest.mark.parametrize("away_ms", (12_000, 30_000))
def test_a_granter_long_out_of_office_claims_a_term_after_a_restore(away_ms):
    """It has not heard of its successor, whose record the store has lost."""
    for seed in range(6):
        world = LeaseWorld(seed)
        world.wait_for_granter()
        world.advance(3000)
        end = len(world.store.records)
        first = isolate_granter(world)
        second = next(name for name in world.daemons if name != first)
        elect(world, second)
        world.advance(away_ms)
        low = first_hash_of(world, "s1")
        held = world.held_by("s1")
        world.distribution = load_on(low, low + 16_000)
        world.advance_until(lambda: world.held_by("s1") < held, 14_000)
        world.distribution = EVEN_LOAD
        world.advance(1500)
        # The copy ends with the term of the first granter.
        world.restore_store(len(world.store.records) - end)
        for name in world.daemons:
            if name != first:
                world.store_faults.states[name] = SILENT
        world.store_faults.states[first] = OK
        world.cut_peers.discard(first)
        world.advance(1500)
        for name in world.daemons:
            world.store_faults.states[name] = OK
        world.advance(2 * WATCH_MS)


def unrouted_count(world):
    """Returns how many hashes have no recorded owner that requests are sent to.

    As in `SiteState._find_owner`, the incarnation on record must be the listed one.
    """
    entries = world.store.entries
    routed = [
        item.last - item.first + 1
        for item in OwnerTable(world.recorded_owners()).ranges
        if item.owner in entries and entries[item.owner].start_ms == item.start_ms
    ]
    return (1 << 16) - sum(routed)


@pytest.mark.parametrize("seed", range(3))
def test_requests_are_sent_to_an_owner_that_restarts_after_the_granter_was_lost(
    seed,
):
    """It holds its keys, but the record names its former incarnation."""
    world = LeaseWorld(seed)
    world.wait_for_granter()
    world.advance(2000)
    lose_granter(world)
    world.advance(500)
    world.restart("s1", entry_delay_ms=500)
    world.advance(500 + RECOVERY_TARGET_MS)
    assert unrouted_count(world) == 0, world.trace()


RECORDED = OwnerTable([OwnedRange(0, 65535, "s1", 1)])


def keyed(name, start_ms=1, can_keep=True, is_leaving=False):
    return KeyedInstance(name, name, start_ms, can_keep, 1.0, can_keep, is_leaving)


def answer(granter, actions, kind, outcome, now_ms):
    """Completes the calls of a kind; returns them."""
    calls = [item for item in actions if isinstance(item, kind)]
    for call in calls:
        granter.handle_result(CallResult(call.call_id, outcome), now_ms)
    return calls


def test_a_release_that_fails_is_fenced_again_before_the_next():
    """The process that knew the fence may have ended while it worked on the keys."""
    granter = Granter(TIMINGS, 2, RECORDED, 9000.0)
    owners = {"s1": keyed("s1"), "s2": keyed("s2")}
    assert answer(granter, granter.step(owners, 100.0), GrantCall, "done", 110.0)
    owners["s1"] = keyed("s1", can_keep=False, is_leaving=True)
    granter.step(owners, 200.0)
    granter.rebalance(EVEN_LOAD, False)
    actions = granter.step(owners, 210.0)
    assert any(isinstance(item, RecordOwners) for item in actions)
    granter.handle_recorded(True)
    assert answer(granter, granter.step(owners, 220.0), GrantCall, "done", 230.0)
    assert answer(granter, granter.step(owners, 240.0), ReleaseCall, "silent", 1900.0)
    actions = granter.step(owners, 2200.0)
    assert not [item for item in actions if isinstance(item, ReleaseCall)], actions


def test_a_draining_owner_restarts_while_it_works_on_a_release():
    for seed in range(12):
        world = LeaseWorld(seed)
        world.wait_for_granter()
        world.advance(2000)
        first, _ = lose_granter(world)
        world.advance(300)
        owner = world.instances["s1"]
        owner.work_ms = 2500.0
        world.drain("s1")
        is_asked = world.advance_until(
            lambda: f"s1 ({owner.start_ms}) releases" in world.trace(), 2000
        )
        assert is_asked, world.trace()
        world.advance(100 + 30 * seed)
        world.restart("s1", entry_delay_ms=60_000)
        world.advance_until(lambda: not world.unheld_ranges(), 5000)
        world.set_link(first, "a1", OK)
        world.advance(2 * WATCH_MS)


def make_moving(granter, owners, now_ms):
    """Renews a range, records its move and returns the time."""
    assert answer(granter, granter.step(owners, now_ms), GrantCall, "done", now_ms + 5)
    now_ms += 1000.0
    renewals = answer(
        granter, granter.step(owners, now_ms), GrantCall, "done", now_ms + 5
    )
    assert renewals and renewals[0].is_renewal
    return now_ms + 10


def test_a_cancelled_move_that_is_on_record_is_reported_as_open():
    """A renewal may still be carried out late; the successor inherits the move."""
    granter = Granter(TIMINGS, 1, RECORDED, -1e9)
    owners = {"s1": keyed("s1"), "s2": keyed("s2")}
    now_ms = make_moving(granter, owners, 100.0)
    owners["s1"] = keyed("s1", can_keep=False, is_leaving=True)
    granter.step(owners, now_ms)
    granter.rebalance(EVEN_LOAD, False)
    actions = granter.step(owners, now_ms + 60)
    recorded = [item for item in actions if isinstance(item, RecordOwners)]
    assert recorded and recorded[0].ranges[0].next_owner == "s2"
    granter.handle_recorded(True)
    assert granter.open_grants(now_ms + 65)
    # s2 is lost; the fencing grant is withheld, so that no call is in flight.
    del owners["s2"]
    owners["s3"] = keyed("s3")
    actions = granter.step(owners, now_ms + 130)
    answer(granter, actions, GrantCall, "withheld", now_ms + 135)
    # The store has still the move to s2 on record.
    assert granter.open_grants(now_ms + 140)


def test_answers_to_renewals_prove_no_end_of_an_owner():
    """They may be answers that were sent again for calls to another instance."""
    granter = Granter(TIMINGS, 1, RECORDED, -1e9)
    owners = {"s1": keyed("s1"), "s2": keyed("s2")}
    now_ms = make_moving(granter, owners, 100.0)
    for _ in range(2):
        now_ms += 1000.0
        calls = answer(
            granter, granter.step(owners, now_ms), GrantCall, "replaced", now_ms
        )
        assert calls and calls[0].is_renewal
    del owners["s1"]
    granter.step(owners, now_ms + 50)
    assert not granter.pop_lost_ranges()


class PartialStore(SimulatedStore):
    """Serves a log in parts, as one that limits the size of an answer."""

    limit = 1 << 30

    def read(self, position):
        read = super().read(position)
        if position == SNAPSHOT or not isinstance(read, SharedRead):
            return read
        records = read.records[: self.limit]
        end = make_position(self.era, offset_of(position) + len(records))
        return SharedRead(records, False, end, len(records) < len(read.records))


def test_a_read_that_ends_before_the_log_confirms_no_term():
    for seed in range(4):
        world = LeaseWorld(seed)
        world.store.__class__ = PartialStore
        world.wait_for_granter()
        world.advance(2000)
        first = isolate_granter(world)
        world.set_links_of(first, "hang")
        for number in range(40):
            world.store.append("note", b"%d" % number, None)
        low = first_hash_of(world, "s1")
        held = world.held_by("s1")
        second = next(name for name in world.daemons if name != first)
        elect(world, second)
        world.distribution = load_on(low, low + 16_000)
        world.store.limit = 1
        world.store_faults.states[first] = OK
        world.advance_until(lambda: world.held_by("s1") < held, 16_000)
        world.advance(2000)
        world.restart("s1", entry_delay_ms=300)
        world.set_links_of(first, OK)
        world.advance(2 * WATCH_MS)


@pytest.mark.parametrize("other_ms", (300, 600, 1200, 2000))
def test_an_owner_restarts_after_another_process_at_its_address(other_ms):
    """The other's entry is later than the owner's, and earlier than its new process.

    That one has the owner's identifier, so that it takes renewals before it is listed.
    """
    for seed in range(6):
        world = LeaseWorld(seed)
        world.wait_for_granter()
        world.advance(2000 + 150 * seed)
        world.replace("s1", "x", 100)
        world.advance(other_ms)
        world.add_instance("s1", "a1")
        world.instances.pop("x")
        world.schedule(ENTRY_TTL_MS, lambda: world.store.remove_entry("x"))
        world.advance(2 * WATCH_MS)


def test_a_term_that_has_ended_begins_again_after_a_restore():
    """Its successor is lost, and so is the successor's record."""
    for seed in range(4):
        world = LeaseWorld(seed)
        world.wait_for_granter()
        world.advance(3000)
        end = len(world.store.records)
        former = world.find_granter()
        ended_term = former.term
        second = next(name for name in world.daemons if name != former.name)
        elect(world, second)
        world.advance(3000)
        assert not former.is_granter
        world.kill_daemon(second)
        world.restore_store(len(world.store.records) - end)
        for _ in range(200):
            world.advance(100)
            granter = world.find_granter()
            assert granter is None or granter.term > ended_term, world.trace()


@pytest.mark.parametrize("is_moving", (False, True))
def test_keys_are_held_after_the_store_has_lost_the_record_of_a_lost_successor(
    is_moving,
):
    for seed in range(4):
        world = LeaseWorld(seed)
        world.wait_for_granter()
        world.advance(3000)
        end = len(world.store.records)
        former = world.find_granter()
        second = next(name for name in world.daemons if name != former.name)
        elect(world, second)
        if is_moving:
            low = first_hash_of(world, "s1")
            world.distribution = load_on(low, low + 16_000)
        world.advance(4000)
        world.distribution = EVEN_LOAD
        world.advance(1000)
        world.kill_daemon(second)
        world.restore_store(len(world.store.records) - end)
        world.advance(60_000)
        assert not world.unheld_ranges(), world.trace()
