"""Tests of a stateless service that gets more requests than it can serve, for seconds.

Callers that are refused retry once. Their responses are late, and compete with those to
requests that have just come.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from typing import NamedTuple

import pytest

from skylarktrail.core.gateway.fleet import Fleet
from skylarktrail.core.gateway.in_flight_reports import InFlightReports, find_overloaded
from skylarktrail.core.gateway.model import LoadReport, ServiceSpec
from skylarktrail.core.gateway.scheduler import Scheduler, SchedulerView
from skylarktrail.core.gateway.ticket import Ticket
from skylarktrail.gateway.load_reporter import LOAD_REPORT_INTERVAL_MS
from skylarktrail.gateway.overload_broadcaster import BROADCAST_INTERVAL_MS
from skylarktrail.gateway.router import QUEUE_POLL_MS

LINK_MS = 0.5
CALM_MS = 2000.0
CALM_LOAD_RATIO = 0.6
LATE_WORTH = 0.3  # Of a late response, relative to one in time.


class Site(NamedTuple):
    """Size of a site and of its requests.

    Attributes:
        daemons: Number of daemons.
        instances: Number of instances.
        slots: Requests that one instance executes concurrently.
        work_ms: Mean work time.
        work_spread: Standard deviation of its logarithm.
        target_ms: Latency target.
        deadline_ms: How long callers wait.
        overload_ms: How long the overload lasts.
    """

    daemons: int
    instances: int
    slots: int
    work_ms: float
    work_spread: float
    target_ms: float
    deadline_ms: float
    overload_ms: float

    @property
    def capacity_per_s(self) -> float:
        """Returns the requests per second that all instances can execute."""
        return self.instances * self.slots / self.work_ms * 1000


SHORT_WORK = Site(12, 12, 4, 60.0, 0.5, 200.0, 800.0, 4000.0)
LONG_WORK = Site(17, 12, 3, 190.0, 0.8, 630.0, 1200.0, 12_000.0)


class Daemon:
    """A daemon with a scheduler for one service."""

    def __init__(self, number, site, make_entry, rng):
        self.name = f"d{number}"
        self.fleet = Fleet()
        entries = [
            make_entry(f"i-{n}", slots=site.slots) for n in range(site.instances)
        ]
        self.fleet.merge(entries, 0.0)
        view = SchedulerView(
            lambda *_: "",
            lambda *_: False,
            lambda _: True,
            {},
            frozenset(f"d{n}" for n in range(site.daemons)),
            self.name,
            "east",
        )
        self.scheduler = Scheduler(self.fleet, view, rng.random)
        self.scheduler.services = {"stock": ServiceSpec("stock", is_keyed=False)}


class OverloadReplay:
    """Replays callers, daemons, instances and the granter's broadcasts."""

    def __init__(self, site, make_entry, route, seed):
        self.site = site
        self.route = route
        self.random = random.Random(seed)
        self.daemons = [
            Daemon(number, site, make_entry, self.random)
            for number in range(site.daemons)
        ]
        self.reports = InFlightReports()
        self.now_ms = 0.0
        self.events: list = []
        self.queues: dict[str, list] = {f"i-{n}": [] for n in range(site.instances)}
        self.running: dict[str, set] = {name: set() for name in self.queues}
        self.outcomes: Counter = Counter()

    def schedule(self, time_ms, action, *arguments):
        entry = (time_ms, self.random.random(), action, arguments)
        heapq.heappush(self.events, entry)

    def run(self, until_ms):
        for number, daemon in enumerate(self.daemons):
            first_ms = number * LOAD_REPORT_INTERVAL_MS / len(self.daemons)
            self.schedule(first_ms, self.report, daemon)
            self.schedule(number, self.poll, daemon)
        self.schedule(0.0, self.broadcast)
        while self.events and self.events[0][0] < until_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)

    def send_requests(self, load_ratio, from_ms, until_ms):
        """Schedules first attempts at a rate relative to the capacity."""
        rate_per_ms = load_ratio * self.site.capacity_per_s / 1000
        time_ms = from_ms
        while time_ms < until_ms:
            self.schedule(time_ms, self.arrive, time_ms, False)
            time_ms += self.random.expovariate(rate_per_ms)

    def arrive(self, first_ms, is_return):
        self.outcomes["first" if not is_return else "return"] += 1
        daemon = self.random.choice(self.daemons)
        ticket = Ticket(
            self.route,
            "stock",
            None,
            first_ms + self.site.deadline_ms,
            first_ms + self.site.target_ms,
            is_return,
            lambda: self.handle_decision(daemon, ticket, first_ms),
        )
        daemon.scheduler.submit(ticket, self.now_ms)
        if ticket.is_decided:
            ticket.on_decided()

    def handle_decision(self, daemon, ticket, first_ms):
        if ticket.instance is not None:
            self.schedule(self.now_ms + LINK_MS, self.reach, daemon, ticket, first_ms)
        elif not ticket.is_return:
            wait_ms = daemon.scheduler.retry_after_ms(ticket, self.now_ms)
            self.schedule(self.now_ms + wait_ms, self.arrive, first_ms, True)

    def reach(self, daemon, ticket, first_ms):
        name = ticket.instance.entry.instance
        self.queues[name].append((daemon, ticket, first_ms))
        self.schedule(ticket.end_ms, self.expire, name, daemon, ticket)
        self.serve(name)

    def serve(self, name):
        mean = math.log(self.site.work_ms) - self.site.work_spread**2 / 2
        while self.queues[name] and len(self.running[name]) < self.site.slots:
            item = self.queues[name].pop(0)
            self.running[name].add(item[1])
            work_ms = self.random.lognormvariate(mean, self.site.work_spread)
            self.schedule(self.now_ms + work_ms, self.finish, name, *item)

    def finish(self, name, daemon, ticket, first_ms):
        if ticket not in self.running[name]:
            return
        self.running[name].remove(ticket)
        counts = len(self.running[name]), len(self.queues[name])
        report = LoadReport(*counts, self.site.slots)
        self.schedule(
            self.now_ms + LINK_MS, self.respond, daemon, ticket, first_ms, report
        )
        self.serve(name)

    def respond(self, daemon, ticket, first_ms, report):
        is_in_time = self.now_ms <= first_ms + self.site.target_ms
        self.outcomes["in time" if is_in_time else "late"] += 1
        daemon.scheduler.release(ticket)
        daemon.scheduler.record_response(ticket, self.now_ms - ticket.placed_ms)
        ticket.instance.record_load_report(report, self.now_ms)
        daemon.scheduler.poll(self.now_ms)

    def expire(self, name, daemon, ticket):
        waiting = [item for item in self.queues[name] if item[1] is ticket]
        for item in waiting:
            self.queues[name].remove(item)
        if waiting or ticket in self.running[name]:
            self.running[name].discard(ticket)
            self.outcomes["timed out"] += 1
            daemon.scheduler.release(ticket)
            self.serve(name)

    def poll(self, daemon):
        daemon.scheduler.poll(self.now_ms)
        self.schedule(self.now_ms + QUEUE_POLL_MS, self.poll, daemon)

    def report(self, daemon):
        in_flight = {
            name: instance.in_flight
            for name, instance in daemon.fleet.instances.items()
            if instance.in_flight
        }
        self.reports.record(daemon.name, in_flight, self.now_ms)
        self.schedule(self.now_ms + LOAD_REPORT_INTERVAL_MS, self.report, daemon)

    def broadcast(self):
        slots = {name: self.site.slots for name in self.queues}
        busy = find_overloaded(self.reports.totals(self.now_ms), slots)
        for daemon in self.daemons:
            for name, instance in daemon.fleet.instances.items():
                if name in busy:
                    instance.record_in_flight_total(busy[name], self.now_ms)
                else:
                    instance.record_not_overloaded()
        self.schedule(self.now_ms + BROADCAST_INTERVAL_MS, self.broadcast)

    def worth_ratio(self) -> float:
        """Returns what the callers got, relative to responses in time to all."""
        served = self.outcomes["in time"] + LATE_WORTH * self.outcomes["late"]
        return served / self.outcomes["first"]


@pytest.fixture
def replay(make_entry, make_route):
    """Returns a function that replays an overload at a load relative to capacity."""

    def replay_load(site, load_ratio):
        route = make_route(target_ms=site.target_ms, timeout_ms=site.deadline_ms)
        simulation = OverloadReplay(site, make_entry, route, seed=1)
        simulation.send_requests(CALM_LOAD_RATIO, 0.0, CALM_MS)
        end_ms = CALM_MS + site.overload_ms
        simulation.send_requests(load_ratio, CALM_MS, end_ms)
        simulation.run(end_ms + 2 * site.deadline_ms)
        return simulation

    return replay_load


@pytest.mark.parametrize(
    "load_ratio, min_worth_ratio",
    [(1.1, 0.8), (1.4, 0.6)],
)
def test_late_requests_do_not_make_all_responses_late(
    replay, load_ratio, min_worth_ratio
):
    """The instances can serve 1 / load_ratio of the requests in time."""
    simulation = replay(SHORT_WORK, load_ratio)
    assert simulation.worth_ratio() > min_worth_ratio
    assert simulation.outcomes["in time"] > 2 * simulation.outcomes["late"]


def test_overload_of_long_requests_leaves_half_of_the_capacity_in_time(replay):
    """Load reports are older than the queues that they describe."""
    simulation = replay(LONG_WORK, 1.1)
    assert simulation.outcomes["in time"] > 0.5 * simulation.outcomes["first"]
    assert simulation.worth_ratio() > 0.65


@pytest.mark.parametrize("site", [SHORT_WORK, LONG_WORK])
def test_a_service_below_its_capacity_refuses_hardly_any_requests(replay, site):
    simulation = replay(site, 0.8)
    assert simulation.outcomes["return"] < 0.01 * simulation.outcomes["first"]
    assert simulation.worth_ratio() > 0.9
