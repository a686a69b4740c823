"""Tests that a record which is missing is not taken for one that never was.

A store that came back from an older copy may have lost the records of all terms, of
all owners and of the era. Each test names what a daemon must not conclude from that.
"""

from __future__ import annotations

import pytest

from skylarktrail.core.gateway.owner_records import FIRST_READ_MS
from skylarktrail.core.gateway.positions import make_position
from skylarktrail.core.gateway.role_vacancy import SUCCESSOR_GRACE_MS
from skylarktrail.core.gateway.shared_state import (
    ERA_KEY,
    GRANTER_KEY,
    decode_granter,
)
from skylarktrail.core.gateway.terms import TERMS_PER_ERA

from .lease_world import LeaseWorld
from .lease_world_daemon import DaemonSettings
from .test_granter_role import (
    FORMER_LEASES_MS,
    OWNERS,
    SERVICE,
    Daemon,
    era_record,
    granter_record,
    owners_record,
)
from .test_lease_world import isolate_granter

EMPTY_LOG = 0  # Offset of the end of a log without records.
RESTART_MS = 300.0
WATCH_MS = 25_000.0  # Longer than the authority of a former granter and two leases.


@pytest.fixture
def make_daemon():
    """Returns a function that makes a daemon which has read a log."""

    def make(position, *records, first_start_ms=None):
        daemon = Daemon(first_start_ms)
        daemon.read(position, *records, is_snapshot=True)
        return daemon

    return make


def claim(daemon):
    """Lets a daemon become granter; returns its term."""
    daemon.role.handle_candidacy(True, daemon.now_ms)
    term = decode_granter(daemon.writes[0].value).term
    assert daemon.land() == GRANTER_KEY
    return term


def may_grant_keys(daemon):
    """Returns whether the granter relies on the owners that it knows."""
    return daemon.role.find_granter(SERVICE, daemon.now_ms) is not None


@pytest.mark.parametrize("era", (1, 2, 7))
def test_terms_do_not_begin_again_in_a_later_era_without_records(make_daemon, era):
    """Guards against tokens below those that instances had before the copy."""
    daemon = make_daemon(make_position(era, EMPTY_LOG))
    term = claim(daemon)
    assert era * TERMS_PER_ERA <= term < (era + 1) * TERMS_PER_ERA


def test_terms_of_an_era_exceed_those_of_the_first_era_zero(make_daemon):
    """Guards against an era of 0 that is taken for no era."""
    first = claim(make_daemon(make_position(0, EMPTY_LOG)))
    assert claim(make_daemon(make_position(1, EMPTY_LOG))) > first + 1000


@pytest.mark.parametrize("era", (1, 2))
def test_no_owner_on_record_does_not_mean_that_no_instance_holds_keys(make_daemon, era):
    """Guards against two holders after a copy from before the first records."""
    daemon = make_daemon(make_position(era, EMPTY_LOG))
    claim(daemon)
    daemon.now_ms += FORMER_LEASES_MS - 1
    assert not may_grant_keys(daemon)
    daemon.now_ms += 2
    assert may_grant_keys(daemon)


def test_owners_without_a_record_of_the_era_may_be_old_ones(make_daemon):
    """Guards against grants by a copy that has owners and no era yet."""
    records = [granter_record("d2", "p2", 4), owners_record(OWNERS)]
    daemon = make_daemon(make_position(2, 5), *records)
    claim(daemon)
    assert not may_grant_keys(daemon)
    daemon.now_ms += FORMER_LEASES_MS + 1
    assert may_grant_keys(daemon)


def test_owners_of_the_first_era_zero_are_not_trusted_in_the_next(make_daemon):
    """Guards against two holders where the store's first era is 0."""
    records = [granter_record("d2", "p2", 4), owners_record(OWNERS)]
    daemon = make_daemon(make_position(1, 5), *records)
    claim(daemon)
    assert not may_grant_keys(daemon)


def test_the_era_is_not_recorded_before_former_leases_have_ended(make_daemon):
    """Guards against a record of the era that vouches for owners nobody knows."""
    daemon = make_daemon(make_position(2, EMPTY_LOG))
    claim(daemon)
    daemon.role.step(daemon.now_ms)
    assert not daemon.writes
    daemon.now_ms += FORMER_LEASES_MS + 1
    daemon.role.step(daemon.now_ms)
    assert daemon.land() == ERA_KEY


def test_a_granter_that_waits_goes_on_waiting_as_the_store_comes_back_again(
    make_daemon,
):
    """Guards against a second return that makes unknown owners known ones."""
    daemon = make_daemon(make_position(2, EMPTY_LOG))
    claim(daemon)
    daemon.now_ms += 1000
    daemon.read(make_position(3, EMPTY_LOG), is_snapshot=True)
    assert daemon.land() == GRANTER_KEY
    daemon.role.step(daemon.now_ms)
    assert not daemon.writes
    assert not may_grant_keys(daemon)
    daemon.now_ms += FORMER_LEASES_MS + 1
    assert may_grant_keys(daemon)


def test_a_claim_for_an_earlier_era_begins_no_term(make_daemon):
    """Guards against one term of two processes.

    A claim under way as the store returns may fit the end of the older log. Another
    process may have had its term, by a record that is lost.
    """
    daemon = make_daemon(make_position(1, EMPTY_LOG))
    daemon.role.handle_candidacy(True, daemon.now_ms)
    late = daemon.writes.pop()
    daemon.role.handle_write_failed(late, False, daemon.now_ms)
    daemon.read(make_position(2, 1), (late.key, late.value), is_snapshot=True)
    assert not daemon.role.is_granter


def test_a_new_site_grants_at_once(make_daemon):
    daemon = make_daemon(make_position(1, EMPTY_LOG), first_start_ms=Daemon.STARTED_MS)
    claim(daemon)
    assert may_grant_keys(daemon)
    daemon.role.step(daemon.now_ms)
    assert daemon.land() == ERA_KEY


def test_a_new_site_has_no_former_granters(make_daemon):
    """Else its first owners could not be released for the authority of one."""
    daemon = make_daemon(make_position(1, EMPTY_LOG), first_start_ms=Daemon.STARTED_MS)
    claim(daemon)
    assert daemon.role.former_authority_end_ms() <= daemon.now_ms


def test_owners_of_a_new_site_are_trusted_by_its_next_granter(make_daemon):
    """Its first granter may end before it has recorded the era."""
    daemon = make_daemon(make_position(1, EMPTY_LOG), first_start_ms=Daemon.STARTED_MS)
    records = [granter_record("d2", "p2", TERMS_PER_ERA), owners_record(OWNERS)]
    daemon.read(make_position(1, 2), *records)
    daemon.now_ms += SUCCESSOR_GRACE_MS + 1
    claim(daemon)
    assert may_grant_keys(daemon)


def test_a_store_that_returns_during_the_first_start_is_not_that_of_a_new_site(
    make_daemon,
):
    """Guards against a first start that outlives the era that it has seen."""
    daemon = make_daemon(make_position(1, EMPTY_LOG), first_start_ms=Daemon.STARTED_MS)
    daemon.read(make_position(2, EMPTY_LOG), is_snapshot=True)
    daemon.now_ms += 5000
    claim(daemon)
    assert not may_grant_keys(daemon)


def test_a_late_first_read_does_not_show_a_new_site(make_daemon):
    """Other daemons may have granted keys, and the store have lost it, before."""
    started_ms = Daemon.STARTED_MS - FIRST_READ_MS - 1
    daemon = make_daemon(make_position(1, EMPTY_LOG), first_start_ms=started_ms)
    claim(daemon)
    assert not may_grant_keys(daemon)


def test_a_recorded_era_is_trusted(make_daemon):
    records = [granter_record("d2", "p2", 4), era_record(2)]
    daemon = make_daemon(make_position(2, 5), *records)
    claim(daemon)
    assert may_grant_keys(daemon)


def test_owners_are_granted_before_the_era_is_recorded(make_daemon):
    """Guards against a record of the era that owners of an older copy rest on."""
    daemon = make_daemon(make_position(2, 5), owners_record(OWNERS))
    claim(daemon)
    daemon.now_ms += FORMER_LEASES_MS + 1
    daemon.read(make_position(2, 6))
    assert not daemon.writes
    assert daemon.step_service()
    daemon.role.step(daemon.now_ms)
    assert daemon.land() == ERA_KEY


@pytest.mark.parametrize("first_era", (0, 1))
@pytest.mark.parametrize("seed", range(4))
def test_daemons_that_start_on_a_copy_from_before_them_make_no_second_owner(
    seed, first_era
):
    """Guards against tokens and holders that begin again as the site did.

    All daemons are killed as the store comes back without any of their records. Some
    keys have moved before, so that their tokens are later ones.
    """
    world = LeaseWorld(seed, first_era=first_era)
    world.wait_for_granter()
    world.advance(1000)
    world.drain("s1")
    world.advance(1500)
    names = sorted(world.daemons)
    for name in names:
        world.kill_daemon(name)
    world.restore_store(len(world.store.records))
    for name in names:
        world.schedule(
            RESTART_MS, lambda name=name: world.start_daemon(name, DaemonSettings())
        )
    world.advance(WATCH_MS)
    assert not world.unheld_ranges(), world.trace()


@pytest.mark.parametrize("seed", range(4))
def test_a_granter_without_the_store_has_no_second_one_on_an_empty_copy(seed):
    """Guards against grants beside those of a granter whose record is lost.

    It is cut off the store and the other daemons, and goes on renewing for a while.
    """
    world = LeaseWorld(seed)
    world.wait_for_granter()
    world.advance(1000)
    world.drain("s1")
    world.advance(1500)
    granter = isolate_granter(world)
    for name in sorted(set(world.daemons) - {granter}):
        world.restart_daemon(name, RESTART_MS)
    world.restore_store(len(world.store.records))
    world.advance(WATCH_MS)
    assert not world.unheld_ranges(), world.trace()
