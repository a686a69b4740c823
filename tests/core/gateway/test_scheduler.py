"""Tests that replay loads at their worst against the scheduler, in simulated time."""

from __future__ import annotations

import heapq
import random
from collections import Counter

import pytest

from skylarktrail.core.gateway.fleet import Fleet
from skylarktrail.core.gateway.model import LoadReport, ServiceSpec
from skylarktrail.core.gateway.scheduler import Scheduler, SchedulerView, Ticket

ME = "d1"
DAEMONS = frozenset(f"d{number}" for number in range(8))


class Load:
    """One daemon, instances with slots and queues, and requests in simulated time."""

    def __init__(self, make_entry, make_route, speeds, owners=None, daemons=(ME,)):
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
        self.moving = False
        self.idle: set[str] = set()
        self.opened = 0
        view = SchedulerView(
            lambda _, key_hash: self.owners.get(key_hash, ""),
            lambda *_: self.moving,
            lambda name: name in self.idle,
            {},
            frozenset(daemons),
            ME,
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
        self.deepest = 0

    def at(self, time_ms, action):
        """Does something at a time."""
        heapq.heappush(self.events, (time_ms, self.random.random(), action))

    def request(self, work_ms, key_hash=None, is_return=False, name="", **changes):
        """Sends a request now."""
        route = self.make_route(**changes)
        sent_ms = self.now_ms

        def decided():
            self._decided(ticket, sent_ms, work_ms, name)

        ticket = Ticket(
            route,
            "stock",
            key_hash,
            sent_ms + route.timeout_ms,
            sent_ms + route.target_ms,
            is_return,
            decided,
        )
        self.scheduler.submit(ticket, self.now_ms)
        if ticket.is_decided:
            decided()
        return ticket

    def _decided(self, ticket, sent_ms, work_ms, name):
        if ticket.refusal_reason:
            held_ms = self.now_ms - sent_ms
            self.outcomes[name + ("refused" if held_ms < 40 else "held")] += 1
            return
        server = ticket.instance.entry.instance
        self.arrivals[server] += 1
        self.opened += server not in self.idle
        self.idle.add(server)
        item = (ticket, sent_ms, work_ms * self.speeds[server], name)
        self.queued[server].append(item)
        self.deepest = max(self.deepest, len(self.queued[server]) + self.busy[server])
        self._start(server)

    def _start(self, server):
        while self.queued[server] and self.busy[server] < 3:
            item = self.queued[server].pop(0)
            self.busy[server] += 1
            self.at(self.now_ms + item[2], lambda item=item: self._end(server, item))

    def _end(self, server, item):
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
        """Plays events; waiting requests look again each 20 ms."""
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

    def stream(self, per_s, duration_ms, **request):
        """Sends requests at random times with a mean rate."""
        time_ms = self.now_ms
        while True:
            time_ms += self.random.expovariate(per_s / 1000)
            if time_ms >= self.now_ms + duration_ms:
                return
            work_ms = self.random.expovariate(1 / 90) + 10
            self.at(time_ms, lambda w=work_ms: self.request(w, **request))


@pytest.fixture
def make_load(make_entry, make_route):
    def make(speeds, **given):
        return Load(make_entry, make_route, speeds, **given)

    return make


def test_a_hot_owner_answers_what_it_can_in_time_and_the_rest_is_refused_at_once(
    make_load,
):
    """Load pattern: one key range gets twice what its owner can do."""
    load = make_load({"i-1": 1.0}, owners={7: "i-1"})
    load.stream(60, 10_000, key_hash=7)
    load.run(12_000)
    done = load.outcomes["in_time"] + load.outcomes["late"]
    assert load.outcomes["in_time"] > 0.7 * done
    assert done > 0.8 * 30 * 10
    assert load.outcomes["refused"] > 0.9 * (
        load.outcomes["refused"] + load.outcomes["held"]
    )


def test_a_hot_owner_does_not_hold_up_other_keys(make_load):
    """Load pattern: one key range is overrun while others are calm."""
    load = make_load({"i-1": 1.0, "i-2": 1.0}, owners={7: "i-1", 8: "i-2"})
    load.stream(60, 8_000, key_hash=7, name="hot ")
    load.stream(8, 8_000, key_hash=8, name="calm ")
    load.run(10_000)
    assert load.outcomes["calm in_time"] > 0.9 * sum(
        count for name, count in load.outcomes.items() if name.startswith("calm ")
    )


def test_urgent_requests_go_first_when_slots_are_short(make_load):
    """Load pattern: two kinds of request together need more than all slots."""
    load = make_load({"i-1": 1.0, "i-2": 1.0})
    load.stream(25, 8_000, name="urgent ", priority=0)
    load.stream(60, 8_000, name="other ", priority=2)
    load.run(10_000)
    urgent = load.outcomes["urgent in_time"] / sum(
        c for n, c in load.outcomes.items() if n.startswith("urgent ")
    )
    other = load.outcomes["other in_time"] / sum(
        c for n, c in load.outcomes.items() if n.startswith("other ")
    )
    assert urgent > other + 0.1
    assert urgent > 0.75


def test_an_instance_that_hangs_when_full_is_never_filled(make_load):
    """Load pattern: three times what all slots can do, for seconds."""
    load = make_load({"i-1": 1.0, "i-2": 1.0})
    load.stream(180, 5_000)
    load.run(8_000)
    assert load.deepest <= 12


def test_slow_instances_get_less(make_load):
    """Load pattern: two of five instances work five times as long."""
    speeds = {"i-1": 1.0, "i-2": 1.0, "i-3": 1.0, "i-4": 5.0, "i-5": 5.0}
    load = make_load(speeds)
    load.stream(45, 20_000)
    load.run(22_000)
    slow = load.arrivals["i-4"] + load.arrivals["i-5"]
    assert slow < 0.12 * sum(load.arrivals.values())
    assert load.outcomes["in_time"] > 0.85 * sum(load.outcomes.values())


def test_a_request_without_an_owner_is_refused_at_once(make_load):
    load = make_load({"i-1": 1.0})
    ticket = load.request(50, key_hash=9)
    assert ticket.refusal_reason == "no_instance"


def test_requests_wait_for_a_range_that_moves(make_load):
    load = make_load({"i-1": 1.0})
    load.moving = True
    ticket = load.request(50, key_hash=9)
    assert not ticket.is_decided
    load.owners[9] = "i-1"
    load.scheduler.poll(100.0)
    assert ticket.instance.entry.instance == "i-1"


def test_a_cold_instance_gets_its_share_only(make_load, make_entry):
    """Load pattern: all instances have just started."""
    load = make_load({"i-1": 1.0}, daemons=(ME,))
    load.fleet.merge([make_entry("i-1", cold_ms=3000.0, sequence=2)], 0.0)
    load.stream(60, 1_000)
    load.run(1_000)
    assert 5 <= load.arrivals["i-1"] <= 12


def test_no_work_goes_to_a_zone_that_is_out_or_to_a_leaving_instance(
    make_load, make_entry
):
    load = make_load({"i-1": 1.0, "i-2": 1.0})
    load.fleet.merge(
        [
            make_entry("i-1", is_draining=True, sequence=2),
            make_entry("i-2", zone="west", sequence=2),
        ],
        0.0,
    )
    load.scheduler.view = load.scheduler.view._replace(zones_out={"west": 0.0})
    assert load.request(50).refusal_reason == "no_instance"


def test_a_leaving_owner_serves_its_keys_while_they_move(make_load, make_entry):
    load = make_load({"i-1": 1.0}, owners={7: "i-1"})
    load.fleet.merge([make_entry("i-1", is_draining=True, sequence=2)], 0.0)
    assert load.request(50, key_hash=7).instance is not None
    load.now_ms = 700.0
    assert load.request(50, key_hash=7).refusal_reason == "no_instance"


def test_a_refused_caller_that_returns_is_served_late_rather_than_refused_again(
    make_load,
):
    load = make_load({"i-1": 1.0}, owners={7: "i-1"})
    for _ in range(12):
        load.request(90, key_hash=7)
    first = load.request(90, key_hash=7)
    returning = load.request(90, key_hash=7, is_return=True)
    assert first.refusal_reason == "overload"
    assert not returning.refusal_reason


def test_few_connections_are_opened_to_many_calm_instances(make_load):
    """Load pattern: many calm instances, each with little work from this daemon."""
    load = make_load({f"i-{number}": 1.0 for number in range(20)})
    load.stream(10, 10_000)
    load.run(12_000)
    assert load.opened < 0.2 * sum(load.arrivals.values())
