"""Replays overloads: callers, daemons, instances and the granter's broadcasts.

Callers that are refused retry once, at any daemon, if the delay that they are told is
at most a third of the time that they have left.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from typing import NamedTuple

from skylarktrail.core.gateway.fleet import Fleet
from skylarktrail.core.gateway.in_flight_reports import InFlightReports, find_overloaded
from skylarktrail.core.gateway.model import LoadReport, Route, ServiceSpec
from skylarktrail.core.gateway.scheduler import Scheduler, SchedulerView
from skylarktrail.core.gateway.service_load import SERVICE_LIMITS
from skylarktrail.core.gateway.shedding import LoadShedder
from skylarktrail.core.gateway.ticket import Ticket
from skylarktrail.gateway.load_reporter import LOAD_REPORT_INTERVAL_MS
from skylarktrail.gateway.overload_broadcaster import BROADCAST_INTERVAL_MS
from skylarktrail.gateway.router import QUEUE_POLL_MS

LINK_MS = 0.5
OBEYED_WAIT_RATIO = 1 / 3  # Of the time that a caller has left.


class Site(NamedTuple):
    """Size of a site with one service.

    Attributes:
        daemons: Number of daemons.
        instances: Number of instances.
        slots: Requests that one instance executes concurrently.
        is_keyed: Whether each key is owned by one instance.
    """

    daemons: int
    instances: int
    slots: int
    is_keyed: bool = False

    def capacity_per_s(self, work_ms: float) -> float:
        """Returns the requests per second that all instances can execute."""
        return self.instances * self.slots / work_ms * 1000


class Kind(NamedTuple):
    """Requests of one route.

    Attributes:
        route: Their route, with priority, latency target and timeout.
        work_ms: Mean work time.
        work_spread: Standard deviation of its logarithm.
        deadline_ms: How long callers wait.
    """

    route: Route
    work_ms: float
    work_spread: float
    deadline_ms: float


class Request:
    """A caller's request; `owner` is the number of the instance that owns its key."""

    def __init__(self, kind: Kind, owner: int | None, first_ms: float) -> None:
        self.kind = kind
        self.owner = owner
        self.first_ms = first_ms

    @property
    def end_ms(self) -> float:
        return self.first_ms + self.kind.deadline_ms


class Daemon:
    """A daemon with a scheduler for one service."""

    def __init__(self, number: int, site: Site, make_entry, rng) -> None:
        self.name = f"d{number}"
        self.fleet = Fleet()
        entries = [
            make_entry(f"i-{n}", slots=site.slots) for n in range(site.instances)
        ]
        self.fleet.merge(entries, 0.0)
        view = SchedulerView(
            lambda _, key_hash: f"i-{key_hash}",
            lambda *_: False,
            lambda _: True,
            {},
            frozenset(f"d{n}" for n in range(site.daemons)),
            self.name,
            "east",
        )
        self.scheduler = Scheduler(self.fleet, view, rng.random)
        self.scheduler.services = {
            "stock": ServiceSpec("stock", is_keyed=site.is_keyed)
        }


class OverloadReplay:
    """Replays one load; `outcomes` counts first attempts by route and outcome."""

    def __init__(self, site: Site, make_entry, seed: int) -> None:
        self.site = site
        self.random = random.Random(seed)
        self.daemons = [
            Daemon(number, site, make_entry, self.random)
            for number in range(site.daemons)
        ]
        self.reports = InFlightReports()
        self.shedder = LoadShedder()
        self.service_shedder = LoadShedder(SERVICE_LIMITS)
        self.is_shedding_service = not site.is_keyed
        self.now_ms = 0.0
        self.counted_from_ms = 0.0
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

    def send_requests(self, kind, per_s, from_ms, until_ms, owners=None):
        """Schedules requests at random times, to random ones of the owners if keyed."""
        numbers = owners or range(self.site.instances)
        time_ms = from_ms
        while time_ms < until_ms:
            owner = self.random.choice(numbers) if self.site.is_keyed else None
            self.schedule(time_ms, self.arrive, Request(kind, owner, time_ms), False)
            time_ms += self.random.expovariate(per_s / 1000)

    def count(self, outcome, request):
        if request.first_ms >= self.counted_from_ms:
            self.outcomes[request.kind.route.name, outcome] += 1

    def part(self, route, *outcomes):
        """Returns the fraction of the first attempts of a route with these outcomes."""
        first_count = max(1, self.outcomes[route.name, "first"])
        return sum(self.outcomes[route.name, name] for name in outcomes) / first_count

    def arrive(self, request, is_return):
        self.count("return" if is_return else "first", request)
        daemon = self.random.choice(self.daemons)
        route = request.kind.route
        ticket = Ticket(
            route,
            "stock",
            request.owner,
            min(request.end_ms, self.now_ms + route.timeout_ms),
            request.first_ms + route.target_ms,
            is_return,
            lambda: self.handle_decision(daemon, ticket, request),
        )
        daemon.scheduler.submit(ticket, self.now_ms)
        if ticket.is_decided:
            ticket.on_decided()

    def handle_decision(self, daemon, ticket, request):
        if ticket.instance is not None:
            self.schedule(self.now_ms + LINK_MS, self.reach, daemon, ticket, request)
            return
        wait_ms = daemon.scheduler.retry_after_ms(ticket, self.now_ms)
        left_ms = request.end_ms - self.now_ms
        if ticket.is_return or wait_ms > left_ms * OBEYED_WAIT_RATIO:
            self.count("refused", request)
            return
        self.schedule(self.now_ms + wait_ms, self.arrive, request, True)

    def reach(self, daemon, ticket, request):
        name = ticket.instance.entry.instance
        self.queues[name].append((daemon, ticket, request))
        self.schedule(ticket.end_ms, self.expire, name, daemon, ticket, request)
        self.serve(name)

    def serve(self, name):
        while self.queues[name] and len(self.running[name]) < self.site.slots:
            item = self.queues[name].pop(0)
            self.running[name].add(item[1])
            kind = item[2].kind
            mean = math.log(kind.work_ms) - kind.work_spread**2 / 2
            work_ms = self.random.lognormvariate(mean, kind.work_spread)
            self.schedule(self.now_ms + work_ms, self.finish, name, *item)

    def finish(self, name, daemon, ticket, request):
        if ticket not in self.running[name]:
            return
        self.running[name].remove(ticket)
        counts = len(self.running[name]), len(self.queues[name])
        report = LoadReport(*counts, self.site.slots)
        self.schedule(
            self.now_ms + LINK_MS, self.respond, daemon, ticket, request, report
        )
        self.serve(name)

    def respond(self, daemon, ticket, request, report):
        is_in_time = self.now_ms <= ticket.target_end_ms
        self.count("in time" if is_in_time else "late", request)
        daemon.scheduler.release(ticket)
        ticket.instance.record_load_report(report, self.now_ms)
        daemon.scheduler.record_response(ticket, self.now_ms - ticket.placed_ms)
        daemon.scheduler.poll(self.now_ms)

    def expire(self, name, daemon, ticket, request):
        waiting = [item for item in self.queues[name] if item[1] is ticket]
        for item in waiting:
            self.queues[name].remove(item)
        if waiting or ticket in self.running[name]:
            self.running[name].discard(ticket)
            self.count("timed out", request)
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
        totals = self.reports.totals(self.now_ms)
        parts = self.shedder.update(totals, slots)
        listed = set(find_overloaded(totals, slots)) | set(parts)
        service_parts = {}
        if self.is_shedding_service:
            total = sum(totals.values())
            service_parts = self.service_shedder.update(
                {"stock": total}, {"stock": sum(slots.values())}
            )
        for daemon in self.daemons:
            daemon.scheduler.service_shedding.record(service_parts, self.now_ms)
            for name, instance in daemon.fleet.instances.items():
                if name in listed:
                    instance.record_in_flight_total(totals[name], self.now_ms)
                    instance.record_admitted_part(parts.get(name, 1.0), self.now_ms)
                else:
                    instance.record_not_overloaded()
        self.schedule(self.now_ms + BROADCAST_INTERVAL_MS, self.broadcast)
