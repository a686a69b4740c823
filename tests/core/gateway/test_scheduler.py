"""Tests of the scheduler under simulated load."""

from __future__ import annotations

import heapq
import random
from collections import Counter

import pytest

from skylarktrail.core.gateway.fleet import Fleet
from skylarktrail.core.gateway.model import LoadReport, ServiceSpec
from skylarktrail.core.gateway.scheduler import Scheduler, SchedulerView
from skylarktrail.core.gateway.ticket import Ticket

OWN_DAEMON = "d1"
DAEMONS = frozenset(f"d{number}" for number in range(8))


class SchedulerSimulation:
    """Simulates one daemon, instances with slots and queues, and requests."""

    def __init__(
        self, make_entry, make_route, speeds, owners=None, daemons=(OWN_DAEMON,)
    ):
        self.now_ms = 0.0
        self.random = random.Random(3)
        self.fleet = Fleet()
        entries = [
            make_entry(name, address=f"10.0.0.{number}:80")
            for number, name in enumerate(speeds)
        ]
        self.fleet.merge(entries, 0.0)
        self.speeds = speeds
        self.owners = owners or {}
        self.is_moving = False
        self.idle: set[str] = set()
        self.opened_count = 0
        view = SchedulerView(
            lambda _, key_hash: self.owners.get(key_hash, ""),
            lambda *_: self.is_moving,
            lambda name: name in self.idle,
            {},
            frozenset(daemons),
            OWN_DAEMON,
            "east",
        )
        self.scheduler = Scheduler(self.fleet, view, self.random.random)
        self.scheduler.services = {"stock": ServiceSpec("stock", 100, 3000.0, 11.0)}
        self.make_route = make_route
        self.events: list = []
        self.outcomes: Counter = Counter()
        self.latencies: list[float] = []
        self.queued: dict[str, list] = {name: [] for name in speeds}
        self.busy: Counter = Counter()
        self.arrivals: Counter = Counter()
        self.max_in_flight = 0

    def schedule(self, time_ms, action):
        heapq.heappush(self.events, (time_ms, self.random.random(), action))

    def request(self, work_ms, key_hash=None, is_return=False, name="", **changes):
        """Submits a request now and returns its ticket."""
        route = self.make_route(**changes)
        sent_ms = self.now_ms

        def on_decided():
            self._handle_decision(ticket, sent_ms, work_ms, name)

        ticket = Ticket(
            route,
            "stock",
            key_hash,
            sent_ms + route.timeout_ms,
            sent_ms + route.target_ms,
            is_return,
            on_decided,
        )
        self.scheduler.submit(ticket, self.now_ms)
        if ticket.is_decided:
            on_decided()
        return ticket

    def _handle_decision(self, ticket, sent_ms, work_ms, name):
        if ticket.refusal_reason:
            waited_ms = self.now_ms - sent_ms
            self.outcomes[name + ("refused" if waited_ms < 40 else "held")] += 1
            return
        server = ticket.instance.entry.instance
        self.arrivals[server] += 1
        self.opened_count += server not in self.idle
        self.idle.add(server)
        item = (ticket, sent_ms, work_ms * self.speeds[server], name)
        self.queued[server].append(item)
        self.max_in_flight = max(
            self.max_in_flight, len(self.queued[server]) + self.busy[server]
        )
        self._start(server)

    def _start(self, server):
        while self.queued[server] and self.busy[server] < 3:
            item = self.queued[server].pop(0)
            self.busy[server] += 1
            self.schedule(
                self.now_ms + item[2], lambda item=item: self._finish(server, item)
            )

    def _finish(self, server, item):
        ticket, sent_ms, _, name = item
        self.busy[server] -= 1
        self._start(server)
        self.scheduler.release(ticket)
        report = LoadReport(self.busy[server], len(self.queued[server]), 3)
        ticket.instance.record_load_report(report, self.now_ms)
        self.scheduler.record_response(ticket, self.now_ms - ticket.placed_ms)
        latency_ms = self.now_ms - sent_ms
        self.latencies.append(latency_ms)
        in_time = latency_ms <= ticket.route.target_ms
        self.outcomes[name + ("in_time" if in_time else "late")] += 1
        self.scheduler.poll(self.now_ms)

    def run(self, until_ms):
        """Runs the events until a time and polls the scheduler every 20 ms."""
        next_poll_ms = self.now_ms
        while self.now_ms < until_ms:
            event_ms = self.events[0][0] if self.events else until_ms
            if next_poll_ms <= event_ms:
                self.now_ms = next_poll_ms
                self.scheduler.poll(self.now_ms)
                next_poll_ms += 20
                continue
            self.now_ms, _, action = heapq.heappop(self.events)
            action()

    def send_requests(self, per_s, duration_ms, **request):
        """Schedules requests at random times with a mean rate."""
        time_ms = self.now_ms
        while True:
            time_ms += self.random.expovariate(per_s / 1000)
            if time_ms >= self.now_ms + duration_ms:
                return
            work_ms = self.random.expovariate(1 / 90) + 10
            self.schedule(time_ms, lambda w=work_ms: self.request(w, **request))


@pytest.fixture
def make_simulation(make_entry, make_route):
    def make(speeds, **options):
        return SchedulerSimulation(make_entry, make_route, speeds, **options)

    return make


def test_a_hot_owner_serves_its_capacity_in_time_and_refuses_the_rest_at_once(
    make_simulation,
):
    """One key range gets twice the requests that its owner can serve."""
    simulation = make_simulation({"i-1": 1.0}, owners={7: "i-1"})
    simulation.send_requests(60, 10_000, key_hash=7)
    simulation.run(12_000)
    done = simulation.outcomes["in_time"] + simulation.outcomes["late"]
    assert simulation.outcomes["in_time"] > 0.7 * done
    assert done > 0.8 * 30 * 10
    assert simulation.outcomes["refused"] > 0.9 * (
        simulation.outcomes["refused"] + simulation.outcomes["held"]
    )


def test_a_hot_owner_does_not_delay_other_keys(make_simulation):
    """One key range is overloaded while the load of another one is low."""
    simulation = make_simulation({"i-1": 1.0, "i-2": 1.0}, owners={7: "i-1", 8: "i-2"})
    simulation.send_requests(60, 8_000, key_hash=7, name="hot ")
    simulation.send_requests(8, 8_000, key_hash=8, name="calm ")
    simulation.run(10_000)
    assert simulation.outcomes["calm in_time"] > 0.9 * sum(
        count for name, count in simulation.outcomes.items() if name.startswith("calm ")
    )


def test_urgent_requests_go_first_when_slots_are_scarce(make_simulation):
    """Requests of two priorities together need more than all slots."""
    simulation = make_simulation({"i-1": 1.0, "i-2": 1.0})
    simulation.send_requests(25, 8_000, name="urgent ", priority=0)
    simulation.send_requests(60, 8_000, name="other ", priority=2)
    simulation.run(10_000)
    urgent = simulation.outcomes["urgent in_time"] / sum(
        c for n, c in simulation.outcomes.items() if n.startswith("urgent ")
    )
    other = simulation.outcomes["other in_time"] / sum(
        c for n, c in simulation.outcomes.items() if n.startswith("other ")
    )
    assert urgent > other + 0.1
    assert urgent > 0.75


def test_the_queue_of_an_instance_stays_short(make_simulation):
    """Instances that hang when full get three times the load of their slots."""
    simulation = make_simulation({"i-1": 1.0, "i-2": 1.0})
    simulation.send_requests(180, 5_000)
    simulation.run(8_000)
    assert simulation.max_in_flight <= 12


def test_slow_instances_get_fewer_requests(make_simulation):
    """Two of five instances take five times as long for each request."""
    speeds = {"i-1": 1.0, "i-2": 1.0, "i-3": 1.0, "i-4": 5.0, "i-5": 5.0}
    simulation = make_simulation(speeds)
    simulation.send_requests(45, 20_000)
    simulation.run(22_000)
    slow = simulation.arrivals["i-4"] + simulation.arrivals["i-5"]
    assert slow < 0.12 * sum(simulation.arrivals.values())
    assert simulation.outcomes["in_time"] > 0.85 * sum(simulation.outcomes.values())


def test_a_request_without_an_owner_is_refused_at_once(make_simulation):
    simulation = make_simulation({"i-1": 1.0})
    ticket = simulation.request(50, key_hash=9)
    assert ticket.refusal_reason == "no_instance"


def test_requests_wait_for_a_moving_range(make_simulation):
    simulation = make_simulation({"i-1": 1.0})
    simulation.is_moving = True
    ticket = simulation.request(50, key_hash=9)
    assert not ticket.is_decided
    simulation.owners[9] = "i-1"
    simulation.scheduler.poll(100.0)
    assert ticket.instance.entry.instance == "i-1"


def test_a_cold_instance_gets_only_its_rate(make_simulation, make_entry):
    """All instances have just started."""
    simulation = make_simulation({"i-1": 1.0}, daemons=(OWN_DAEMON,))
    simulation.fleet.merge([make_entry("i-1", cold_ms=3000.0, sequence=2)], 0.0)
    simulation.send_requests(60, 1_000)
    simulation.run(1_000)
    assert 5 <= simulation.arrivals["i-1"] <= 12


def test_no_requests_go_to_a_zone_that_is_out_or_to_a_draining_instance(
    make_simulation, make_entry
):
    simulation = make_simulation({"i-1": 1.0, "i-2": 1.0})
    simulation.fleet.merge(
        [
            make_entry("i-1", is_draining=True, sequence=2),
            make_entry("i-2", zone="west", sequence=2),
        ],
        0.0,
    )
    simulation.scheduler.view = simulation.scheduler.view._replace(
        zones_out={"west": 0.0}
    )
    assert simulation.request(50).refusal_reason == "no_instance"


def test_a_cut_off_daemon_uses_open_connections_only(make_simulation):
    simulation = make_simulation({"i-1": 1.0, "i-2": 1.0}, owners={7: "i-1", 8: "i-2"})
    simulation.scheduler.view = simulation.scheduler.view._replace(is_cut=True)
    simulation.idle.add("i-2")
    simulation.fleet.find("i-2").suspend(0.0)
    assert simulation.request(50, key_hash=7).refusal_reason == "cut_off"
    assert simulation.request(50, key_hash=8).instance.entry.instance == "i-2"
    assert simulation.request(50).instance.entry.instance == "i-2"


def test_a_cut_off_daemon_refuses_requests_that_nobody_can_serve_as_usual(
    make_simulation, make_entry
):
    simulation = make_simulation({"i-1": 1.0})
    simulation.scheduler.view = simulation.scheduler.view._replace(is_cut=True)
    assert simulation.request(50, key_hash=9).refusal_reason == "no_instance"
    simulation.fleet.merge([make_entry("i-1", is_draining=True, sequence=2)], 0.0)
    assert simulation.request(50).refusal_reason == "no_instance"


def test_a_draining_owner_serves_its_keys_while_they_move(make_simulation, make_entry):
    simulation = make_simulation({"i-1": 1.0}, owners={7: "i-1"})
    simulation.fleet.merge([make_entry("i-1", is_draining=True, sequence=2)], 0.0)
    assert simulation.request(50, key_hash=7).instance is not None
    simulation.now_ms = 700.0
    assert simulation.request(50, key_hash=7).refusal_reason == "no_instance"


def test_a_retry_of_a_refused_caller_is_served_late_rather_than_refused(
    make_simulation,
):
    simulation = make_simulation({"i-1": 1.0}, owners={7: "i-1"})
    for _ in range(12):
        simulation.request(90, key_hash=7)
    first = simulation.request(90, key_hash=7)
    returning = simulation.request(90, key_hash=7, is_return=True)
    assert first.refusal_reason == "overload"
    assert not returning.refusal_reason


def test_few_connections_are_opened_to_many_idle_instances(make_simulation):
    """There are many instances, each with few requests from this daemon."""
    simulation = make_simulation({f"i-{number}": 1.0 for number in range(20)})
    simulation.send_requests(10, 10_000)
    simulation.run(12_000)
    assert simulation.opened_count < 0.2 * sum(simulation.arrivals.values())
