"""Tests of what the scheduler expects after slow, rare or first responses."""

from __future__ import annotations

import random

import pytest

from skylarktrail.core.gateway.fleet import Fleet
from skylarktrail.core.gateway.model import LoadReport, ServiceSpec
from skylarktrail.core.gateway.scheduler import Scheduler, SchedulerView
from skylarktrail.core.gateway.ticket import Ticket

SLOTS = 3
USUAL_WORK_MS = 80.0
TARGET_MS, DEADLINE_MS = 300.0, 1200.0
STEP_MS = 100.0


@pytest.fixture
def scheduler(make_entry):
    """Returns a scheduler whose only instance owns all keys."""
    fleet = Fleet()
    fleet.merge([make_entry(slots=SLOTS)], 0.0)
    view = SchedulerView(
        lambda *_: "i-1",
        lambda *_: False,
        lambda _: True,
        {},
        frozenset({"d0"}),
        "d0",
        "east",
    )
    scheduler = Scheduler(fleet, view, random.Random(1).random)
    scheduler.services = {"stock": ServiceSpec("stock", is_keyed=True)}
    return scheduler


@pytest.fixture
def submit(scheduler, make_route):
    """Returns a function that submits a first attempt and returns its ticket."""

    def submit_at(now_ms, deadline_ms=DEADLINE_MS):
        ticket = Ticket(
            make_route(target_ms=TARGET_MS, timeout_ms=DEADLINE_MS),
            "stock",
            7,
            now_ms + deadline_ms,
            now_ms + TARGET_MS,
            False,
            lambda: None,
        )
        scheduler.submit(ticket, now_ms)
        return ticket

    return submit_at


@pytest.fixture
def serve(scheduler, submit):
    """Returns a function that submits a request each 100 ms and runs those placed.

    It returns the reasons for refusal, empty for requests that were not refused.
    """

    def serve_steps(from_ms, steps, work_ms, deadline_ms=DEADLINE_MS):
        tickets, running, started = [], [], set()
        for step in range(steps):
            now_ms = from_ms + step * STEP_MS
            for ticket in [t for t in running if t.placed_ms + work_ms <= now_ms]:
                running.remove(ticket)
                scheduler.release(ticket)
                ticket.instance.record_load_report(LoadReport(0, 0, SLOTS), now_ms)
                scheduler.record_response(ticket, work_ms)
            scheduler.poll(now_ms)
            tickets.append(submit(now_ms, deadline_ms))
            running += [t for t in tickets[-30:] if t.instance and t not in started]
            started.update(running)
        for ticket in running:
            scheduler.release(ticket)
        return [ticket.refusal_reason for ticket in tickets]

    return serve_steps


def test_an_instance_that_was_slow_is_tried_again_while_all_are_refused(serve):
    """Guards against refusing all requests for good by the last responses before."""
    assert set(serve(0.0, 100, USUAL_WORK_MS)) == {""}
    assert serve(10_000.0, 40, 8 * USUAL_WORK_MS)[-1] == "overload"
    refusals = serve(15_000.0, 200, USUAL_WORK_MS)
    assert "" in refusals[:20]
    assert set(refusals[60:]) == {""}


def test_a_route_whose_work_was_long_is_tried_again(serve):
    """Guards against a mean work time above what all callers leave."""
    serve(0.0, 400, 0.9 * DEADLINE_MS)
    refusals = serve(60_000.0, 200, USUAL_WORK_MS, 2 * TARGET_MS)
    assert set(refusals[100:]) == {""}


def test_an_instance_that_stays_slow_gets_few_trials(serve):
    """Guards against trials that waste the time of callers who could go elsewhere."""
    serve(0.0, 100, USUAL_WORK_MS)
    serve(10_000.0, 40, 8 * USUAL_WORK_MS)
    refusals = serve(15_000.0, 200, 8 * USUAL_WORK_MS)
    assert refusals.count("") < 0.15 * len(refusals)


def test_the_first_responses_tell_the_work_although_a_queue_was_assumed(
    scheduler, submit
):
    """Guards against dividing a response time by a queue that was not there.

    After a SIGTERM, requests of 2.4 s of work were held until the end and aborted.
    """
    work_ms = 2400.0
    instance = scheduler.fleet.find("i-1")
    instance.record_in_flight_total(SLOTS + 1, 0.0)
    first = submit(0.0, 10 * DEADLINE_MS)
    assert first.instance is instance
    scheduler.release(first)
    instance.record_load_report(LoadReport(0, 0, SLOTS), work_ms)
    scheduler.record_response(first, work_ms)
    scheduler.view = scheduler.view._replace(stop_ms=12_000.0)
    late = submit(9600.0, 10 * DEADLINE_MS)
    assert late.refusal_reason == "draining"


def test_requests_of_this_daemon_that_queued_do_not_count_as_work(scheduler, submit):
    """Guards against an overload at the start that looks like long work."""
    tickets = [submit(0.0, 10 * DEADLINE_MS) for _ in range(2 * SLOTS)]
    placed = [ticket for ticket in tickets if ticket.instance is not None]
    assert len(placed) > SLOTS
    for number, ticket in enumerate(placed):
        elapsed_ms = USUAL_WORK_MS * (1 + number // SLOTS)
        scheduler.release(ticket)
        ticket.instance.record_load_report(LoadReport(0, 0, SLOTS), elapsed_ms)
        scheduler.record_response(ticket, elapsed_ms)
    probe = submit(5000.0)
    assert scheduler.fleet.find("i-1").expected_work_ratio(5000.0) < 1.5
    assert probe.instance is not None
