"""Tests of writes that are executed after the store has come back from a copy.

A conditional write names an offset. After the return the log may end there once more,
and a write of the era before is executed as if it were a new one.
"""

from __future__ import annotations

from typing import Callable, NamedTuple

import pytest

from skylarktrail.core.gateway.positions import make_position, offset_of
from skylarktrail.core.gateway.shared_state import (
    ERA_KEY,
    GRANTER_KEY,
    OWNERS_PREFIX,
    SharedState,
    encode_owners,
    read_owners,
)
from skylarktrail.core.gateway.terms import first_term_of

from .lease_world import LeaseWorld
from .test_granter_role import (
    MOVED_OWNERS,
    OWNERS,
    SERVICE,
    Daemon,
    era_record,
    granter_record,
)
from .test_lease_world import SUCCESSION_MS

AWAY_MS = 1000.0
MOVE_MS = 1500.0  # Longer than the records of a move take.
WATCH_MS = 18_000.0  # Longer than the authority of a former granter and a lease.
HOLD_LIMIT_MS = 10_000.0
MAX_RESTARTS = 8  # Each daemon that restarts appends one record.
LOST_COUNTS = range(9)
KILL_DELAYS_MS = (0.0, 300.0, 3000.0)


ERA = 2
TERM = first_term_of(ERA)
EARLIER_TERM = TERM - 1


class WriteKind(NamedTuple):
    """A kind of conditional write.

    Attributes:
        is_meant: Returns whether a key and a value are of this kind.
        provoke: Lets a daemon send such a write.
    """

    is_meant: Callable[[str, bytes], bool]
    provoke: Callable[[LeaseWorld], None]


def has_moves(value):
    record = read_owners(value)
    assert record is not None
    return any(item.next_owner for item in record.table.ranges)


def drain_owner(world):
    """Lets the instance with most keys leave, so that they move."""
    world.drain(max(sorted(world.instances), key=world.held_by))


def kill_granter(world):
    granter = world.find_granter()
    if granter is not None:
        world.restart_daemon(granter.name, 500.0)


def return_to_copy(world):
    """Lets the store come back without a loss; the granter records the era."""
    world.restore_store(0)


KINDS = {
    "owners": WriteKind(
        lambda key, value: key.startswith(OWNERS_PREFIX) and not has_moves(value),
        drain_owner,
    ),
    "owners-move": WriteKind(
        lambda key, value: key.startswith(OWNERS_PREFIX) and has_moves(value),
        drain_owner,
    ),
    "claim": WriteKind(lambda key, _: key == GRANTER_KEY, kill_granter),
    "era": WriteKind(lambda key, _: key == ERA_KEY, return_to_copy),
}


@pytest.fixture
def world():
    world = LeaseWorld(7, instances=5)
    world.wait_for_granter()
    world.advance(1000)
    world.drain("s1")  # Records that the copy can lack.
    world.advance(MOVE_MS)
    return world


def hold_write(world, kind):
    """Lets the store go away while a write of a kind is on its way."""
    world.hold_next_write(kind.is_meant)
    kind.provoke(world)
    is_held = world.advance_until(lambda: world.store.held_write, HOLD_LIMIT_MS)
    assert is_held, world.trace()
    world.advance(AWAY_MS)


def return_store(world, lost_count):
    """Lets the store come back from a copy, beside planned work.

    The copy ends so many records before the place that the write is meant for.
    """
    world.store_faults.states.clear()
    end = offset_of(world.store.held_write.position) - lost_count
    world.restore_store(len(world.store.records) - end)
    drain_owner(world)
    world.advance_until(lambda: is_executed(world), MOVE_MS)


def is_executed(world):
    return world.store.held_write is None


def execute_write(world):
    """Adds records until the log ends where the write is meant for."""
    names = sorted(set(world.daemons) - {world.wait_for_granter(60_000.0).name})
    for count in range(MAX_RESTARTS):
        if is_executed(world):
            return
        world.restart_daemon(names[count % len(names)])
        world.advance_until(lambda: is_executed(world), 1000)
    assert is_executed(world), world.trace()


@pytest.mark.parametrize("kill_delay_ms", KILL_DELAYS_MS)
@pytest.mark.parametrize("lost_count", LOST_COUNTS)
@pytest.mark.parametrize("kind", KINDS.values(), ids=KINDS)
def test_a_write_of_an_earlier_era_makes_no_second_owner(
    world, kind, lost_count, kill_delay_ms
):
    """Guards against owners of before a copy that the next granter trusts.

    The log ends at the offset of the write after each number of new records: before,
    between and after those of the granter, with a granter that lives or is killed.
    """
    hold_write(world, kind)
    return_store(world, lost_count)
    execute_write(world)
    world.advance(kill_delay_ms)
    kill_granter(world)
    world.advance(WATCH_MS)
    world.wait_for_granter(SUCCESSION_MS)


def owners_of_term(ranges, term):
    return (OWNERS_PREFIX + SERVICE, encode_owners(ranges, term))


@pytest.fixture
def make_successor():
    """Returns a function that makes a daemon which becomes granter after records."""

    def make(*records):
        daemon = Daemon()
        snapshot = [granter_record("d2", "p2", TERM), era_record(ERA), *records]
        daemon.shared.apply(snapshot, True, ERA)
        daemon.role.handle_read(make_position(ERA, 9), daemon.now_ms, daemon.now_ms)
        daemon.role.handle_candidacy(True, daemon.now_ms)
        daemon.land()
        assert daemon.role.is_granter
        return daemon

    return make


def may_grant_keys(daemon):
    return daemon.role.find_granter(SERVICE, daemon.now_ms) is not None


def test_owners_of_an_earlier_era_are_not_trusted_by_the_next_granter(make_successor):
    """Guards against a successor that has read nothing but the late write."""
    assert may_grant_keys(make_successor(owners_of_term(OWNERS, TERM)))
    assert not may_grant_keys(make_successor(owners_of_term(OWNERS, EARLIER_TERM)))


def test_owners_without_a_term_are_trusted(make_successor):
    """Daemons of earlier builds record owners without one."""
    assert may_grant_keys(make_successor(owners_of_term(OWNERS, 0)))


def test_known_owners_stay_known_behind_owners_of_an_earlier_era():
    """Guards against requests that go to a former owner."""
    state = SharedState()
    state.apply([owners_of_term(OWNERS, TERM)], True, ERA)
    state.apply([owners_of_term(MOVED_OWNERS, EARLIER_TERM)], False, ERA)
    assert state.owners[SERVICE].ranges == list(OWNERS)
    assert state.are_owners_uncertain(SERVICE)


def test_requests_use_owners_of_an_earlier_era_if_no_others_are_known():
    """Guards against a daemon without owners until the granter records them again."""
    state = SharedState()
    state.apply([owners_of_term(OWNERS, EARLIER_TERM)], True, ERA)
    assert state.owners[SERVICE].ranges == list(OWNERS)


def test_a_granter_records_its_owners_again_behind_those_of_an_earlier_era(
    make_successor,
):
    """Guards against a late write that stays the newest record."""
    daemon = make_successor(owners_of_term(OWNERS, TERM))
    daemon.step_service()
    daemon.shared.apply([owners_of_term(MOVED_OWNERS, EARLIER_TERM)], False, ERA)
    daemon.role.handle_read(make_position(ERA, 11), daemon.now_ms, daemon.now_ms)
    daemon.now_ms += 1000
    daemon.step_service()
    assert daemon.writes[0].value == encode_owners(OWNERS, daemon.role.term)


def test_owners_that_wait_for_a_claim_name_the_term_of_the_claim(make_successor):
    """Guards against owners of a new era that look like those of a late write."""
    daemon = make_successor(owners_of_term(OWNERS, TERM))
    daemon.step_service()
    daemon.read(make_position(ERA + 1, 3), is_snapshot=True)
    assert daemon.writes[0].key == GRANTER_KEY
    daemon.role.record_owners(SERVICE, MOVED_OWNERS, daemon.now_ms)
    daemon.land()
    daemon.role.step(daemon.now_ms)
    term = daemon.role.term
    assert term >= first_term_of(ERA + 1)
    assert daemon.writes[0].value == encode_owners(MOVED_OWNERS, term)


def test_a_claim_of_an_earlier_era_ends_no_term(make_successor):
    """Guards against a granter that gives way to a claim which is void."""
    daemon = make_successor(owners_of_term(OWNERS, TERM))
    term = daemon.role.term
    late = granter_record("d3", "p3", EARLIER_TERM)
    daemon.shared.apply([late], False, ERA)
    daemon.role.handle_read(make_position(ERA, 11), daemon.now_ms, daemon.now_ms)
    assert daemon.land() == GRANTER_KEY
    assert (daemon.role.is_granter, daemon.role.term) == (True, term + 1)


def test_a_term_behind_a_claim_of_an_earlier_era_is_used_once():
    """Guards against the term of a granter whose claim nobody can read any more."""
    daemon = Daemon()
    records = [granter_record("d3", "p3", EARLIER_TERM), era_record(ERA)]
    records.append(owners_of_term(OWNERS, TERM + 4))
    daemon.shared.apply(records, True, ERA)
    daemon.role.handle_read(make_position(ERA, 9), daemon.now_ms, daemon.now_ms)
    daemon.role.handle_candidacy(True, daemon.now_ms)
    daemon.land()
    assert daemon.role.term > TERM + 4


@pytest.mark.parametrize("pause_ms", (100.0, 1200.0))
@pytest.mark.parametrize("lost_count", range(1, 9))
@pytest.mark.parametrize("kind", KINDS.values(), ids=KINDS)
def test_a_write_of_two_eras_ago_makes_no_second_owner(
    world, kind, lost_count, pause_ms
):
    """Guards against a second return while the granter repeats its records."""
    hold_write(world, kind)
    end = offset_of(world.store.held_write.position) - lost_count
    world.store_faults.states.clear()
    for _ in range(2):
        world.restore_store(len(world.store.records) - end)
        world.advance(pause_ms)
    drain_owner(world)
    execute_write(world)
    kill_granter(world)
    world.advance(WATCH_MS)
    world.wait_for_granter(SUCCESSION_MS)
