"""Tests of slots that are kept free for urgent requests, without a network."""

from __future__ import annotations

import random

import pytest

from skylarktrail.core.gateway.adaptive_pacer import ADJUST_INTERVAL_MS, AdaptivePacer
from skylarktrail.core.gateway.fleet import Fleet
from skylarktrail.core.gateway.model import ServiceSpec
from skylarktrail.core.gateway.scheduler import Scheduler, SchedulerView
from skylarktrail.core.gateway.slot_reserve import URGENT_TTL_MS
from skylarktrail.core.gateway.ticket import Ticket

SLOTS = 3
NO_WAIT_MS = 0.0
# Work times follow from targets before the first response: a third of those of others.
URGENT_TARGET_MS = 300.0


@pytest.fixture
def make_scheduler(make_entry):
    """Returns a function that makes the scheduler of a site with a single daemon."""

    def make(instances, is_keyed=False):
        fleet = Fleet()
        names = [f"i-{number}" for number in range(instances)]
        fleet.merge([make_entry(name, slots=SLOTS) for name in names], 0.0)
        view = SchedulerView(
            lambda *_: "i-0",
            lambda *_: False,
            lambda _: True,
            {},
            frozenset({"d0"}),
            "d0",
            "east",
        )
        scheduler = Scheduler(fleet, view, random.Random(1).random)
        scheduler.services = {"stock": ServiceSpec("stock", is_keyed=is_keyed)}
        return scheduler

    return make


@pytest.fixture
def submit(make_route):
    """Returns a function that submits a request and returns its ticket."""

    def submit_one(scheduler, priority, now_ms=0.0, target_ms=900.0, key_hash=None):
        route = make_route(name=f"r-{priority}", priority=priority, target_ms=target_ms)
        end_ms = now_ms + 3000.0
        target_end_ms = now_ms + target_ms
        ticket = Ticket(
            route, "stock", key_hash, end_ms, target_end_ms, False, lambda: None
        )
        scheduler.submit(ticket, now_ms)
        return ticket

    return submit_one


def count_placed(scheduler, submit, count, **request):
    """Returns how many of some simultaneous requests of priority 2 are placed."""
    tickets = [submit(scheduler, 2, **request) for _ in range(count)]
    return sum(ticket.instance is not None for ticket in tickets)


def test_the_last_slot_waits_for_urgent_requests(make_scheduler, submit):
    """Guards against bursts of less urgent requests that fill all slots."""
    scheduler = make_scheduler(1)
    scheduler.release(submit(scheduler, 0, target_ms=URGENT_TARGET_MS))
    assert count_placed(scheduler, submit, 10) == SLOTS - 1
    assert submit(scheduler, 0).instance is not None


def test_nothing_is_kept_free_where_one_kind_uses_a_service(make_scheduler, submit):
    """Guards against capacity that is lost without anyone to use it."""
    scheduler = make_scheduler(1)
    assert count_placed(scheduler, submit, 10) >= SLOTS


def test_requests_of_similar_work_leave_nothing_free(make_scheduler, submit):
    """Guards against slots kept free where a slot is free again soon anyway."""
    scheduler = make_scheduler(1)
    scheduler.release(submit(scheduler, 0))
    assert count_placed(scheduler, submit, 10) >= SLOTS


def test_urgent_requests_leave_nothing_free_for_less_urgent_ones(
    make_scheduler, submit
):
    scheduler = make_scheduler(1)
    scheduler.release(submit(scheduler, 3))
    assert count_placed(scheduler, submit, 10) >= SLOTS


def test_a_low_urgent_demand_costs_one_slot_of_a_large_service(make_scheduler, submit):
    """Guards against a slot of each instance for few urgent requests."""
    scheduler = make_scheduler(20)
    scheduler.release(submit(scheduler, 0, target_ms=100.0))
    assert count_placed(scheduler, submit, 100) == 20 * SLOTS - 1


def test_the_reserve_ends_when_urgent_requests_stop(make_scheduler, submit):
    scheduler = make_scheduler(1)
    scheduler.release(submit(scheduler, 0, target_ms=URGENT_TARGET_MS))
    now_ms = URGENT_TTL_MS + 1
    assert count_placed(scheduler, submit, 10, now_ms=now_ms) >= SLOTS


def test_a_request_whose_target_leaves_no_time_takes_any_slot(make_scheduler, submit):
    """Guards against requests that would miss their target for others to come."""
    scheduler = make_scheduler(1)
    scheduler.release(submit(scheduler, 0, target_ms=URGENT_TARGET_MS))
    tickets = [submit(scheduler, 2) for _ in range(SLOTS)]
    assert tickets[-1].instance is None
    scheduler.poll(300.0)
    assert tickets[-1].instance is not None


def test_a_request_that_can_wait_takes_no_place_in_the_queue_of_an_owner(
    make_scheduler, submit
):
    scheduler = make_scheduler(8, is_keyed=True)
    scheduler.release(submit(scheduler, 0, key_hash=7, target_ms=100.0))
    assert count_placed(scheduler, submit, 10, key_hash=7) == SLOTS


def test_full_instances_lower_the_share_and_free_ones_end_the_limit():
    """Guards against a limit that stays when the reason for it has gone."""
    pacer = AdaptivePacer()
    pacer.adjust(10, 4, 2.0, 0.0)
    assert not pacer.is_limited
    pacer.adjust(3, 4, 2.0, ADJUST_INTERVAL_MS)
    waits_ms = []
    for number in range(2, 6):
        pacer.adjust(3, 4, 2.0, number * ADJUST_INTERVAL_MS)
        waits_ms.append(pacer.wait_ms(5000.0, number * ADJUST_INTERVAL_MS))
    assert waits_ms[-1] > waits_ms[0] > NO_WAIT_MS
    for number in range(6, 40):
        pacer.adjust(10, 4, 2.0, number * ADJUST_INTERVAL_MS)
    assert pacer.wait_ms(5000.0, 40 * ADJUST_INTERVAL_MS) == NO_WAIT_MS


def test_the_share_stays_while_the_number_of_free_instances_is_about_right():
    """Guards against a share that rises and falls with each broadcast."""
    pacer = AdaptivePacer()
    pacer.adjust(3, 4, 2.0, 0.0)
    pacer.adjust(4, 4, 2.0, ADJUST_INTERVAL_MS)
    wait_ms = pacer.wait_ms(5000.0, ADJUST_INTERVAL_MS)
    pacer.adjust(5, 4, 2.0, ADJUST_INTERVAL_MS)
    assert pacer.wait_ms(5000.0, ADJUST_INTERVAL_MS) == wait_ms


def test_broadcasts_count_for_a_time_when_the_granter_is_lost(make_scheduler, submit):
    """Guards against a limit that outlasts what the last granter said."""
    scheduler = make_scheduler(4)
    for instance in scheduler.fleet.instances.values():
        instance.record_in_flight_total(SLOTS, 0.0)
    scheduler.release(submit(scheduler, 0, target_ms=URGENT_TARGET_MS))
    assert count_placed(scheduler, submit, 2, now_ms=1.0) == 0
    for step in range(1, 24):
        last = submit(scheduler, 2, now_ms=step * ADJUST_INTERVAL_MS)
        scheduler.poll(step * ADJUST_INTERVAL_MS)
        scheduler.release(last)
        scheduler.cancel(last)
    assert last.instance is not None
