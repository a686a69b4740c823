"""Tests that all daemons together keep within the rate that an instance names."""

from __future__ import annotations

import heapq
import itertools
import math
import random

import pytest

from skylarktrail.core.gateway.fleet import Fleet
from skylarktrail.core.gateway.instance import Instance
from skylarktrail.core.gateway.model import ServiceSpec
from skylarktrail.core.gateway.permits import (
    MAX_DENIAL_MS,
    MIN_RATE_PER_S,
    USED_RATIO,
    IssuedPermits,
    PermitGate,
    PermitIssuer,
    RateLimit,
)
from skylarktrail.core.gateway.scheduler import Scheduler, SchedulerView
from skylarktrail.core.gateway.ticket import Ticket

WINDOW_MS = 4000.0
LINK_DELAY_MS = 3.0
REQUEST_TIMEOUT_MS = 200.0
RUN_MS = 20_000.0


COLD_PER_S = 5.2
# The platform's bound for a cold instance: one and a half times its rate and 8 more.
ALLOWED_COLD_IN_A_SECOND = 1.5 * COLD_PER_S + 8


def make_limit(per_s=3.0, observed_ms=0.0, **changes):
    limit = RateLimit("i-1", 1000, True, per_s, observed_ms)
    return limit._replace(**changes)


def allowed_in_window(per_s):
    """Returns the platform's bound for the requests in one window."""
    return 1.5 * per_s * WINDOW_MS / 1000 + 5


def max_count_in_window(times_ms, window_ms=WINDOW_MS):
    times_ms = sorted(times_ms)
    first = 0
    largest = 0
    for last, time_ms in enumerate(times_ms):
        while times_ms[first] <= time_ms - window_ms:
            first += 1
        largest = max(largest, last - first + 1)
    return largest


class SimulatedSite:
    """Daemons with a granter, one limited instance, and links with a delay.

    Args:
        make_entry: Builds the entry of an instance.
        make_route: Builds a route.
        daemon_count: Number of daemons.
        per_s: Rate that the instance names; None if it names none.
        weights: Relative load of each daemon; equal by default.
        cold_ms: Time for which the instance is cold.
    """

    def __init__(
        self, make_entry, make_route, daemon_count, per_s, weights=None, cold_ms=0.0
    ):
        self.random = random.Random(5)
        self.now_ms = 0.0
        self.make_route = make_route
        self.names = [f"d{number}" for number in range(daemon_count)]
        self.weights = weights or [1.0] * daemon_count
        self.issuer = PermitIssuer()
        self.cut_daemons: set[str] = set()
        self.schedulers = {}
        for name in self.names:
            fleet = Fleet()
            fleet.merge([make_entry("i-1", slots=1000, cold_ms=cold_ms)], 0.0)
            if per_s is not None:
                fleet.find("i-1").record_rate_limit(make_limit(per_s))
            view = SchedulerView(
                lambda *_: "i-1",
                lambda *_: False,
                lambda _: True,
                {},
                frozenset(self.names),
                name,
                "east",
            )
            scheduler = Scheduler(fleet, view, self.random.random)
            spec = ServiceSpec("stock", 100, 3000.0, COLD_PER_S, is_keyed=True)
            scheduler.services = {"stock": spec}
            self.schedulers[name] = scheduler
        self.arrivals_ms = []
        self.refused = []
        self.waits_ms = []
        self._events = []
        self._counter = itertools.count()

    def schedule(self, delay_ms, action):
        at_ms = self.now_ms + delay_ms
        heapq.heappush(self._events, (at_ms, next(self._counter), action))

    def submit(self, name):
        route = self.make_route()
        sent_ms = self.now_ms
        ticket = Ticket(
            route,
            "stock",
            7,
            sent_ms + route.timeout_ms,
            sent_ms + route.target_ms,
            False,
            lambda: self._on_decided(name, ticket),
        )
        self.schedulers[name].submit(ticket, self.now_ms)
        if ticket.is_decided:
            self._on_decided(name, ticket)
        self._request_permits(name)

    def _on_decided(self, name, ticket):
        self.waits_ms.append(self.now_ms - ticket.submitted_ms)
        if ticket.refusal_reason:
            self.refused.append(ticket)
            return
        self.arrivals_ms.append(self.now_ms)
        self.schedule(50.0, lambda: self.schedulers[name].release(ticket))

    def _request_permits(self, name):
        for request in self.schedulers[name].pop_permit_requests(self.now_ms):
            if name in self.cut_daemons:
                self.schedule(REQUEST_TIMEOUT_MS, lambda: self._time_out(name))
            else:
                self.schedule(LINK_DELAY_MS, lambda r=request: self._issue(name, r))

    def _issue(self, name, request):
        reply = self.issuer.issue(request.per_s, request.count, self.now_ms)
        self.schedule(LINK_DELAY_MS, lambda: self._receive(name, reply))

    def _receive(self, name, reply):
        gate = self.schedulers[name].fleet.find("i-1").permits
        gate.record_reply(reply, self.now_ms)
        self.schedulers[name].poll(self.now_ms)
        self._request_permits(name)

    def _time_out(self, name):
        instance = self.schedulers[name].fleet.find("i-1")
        instance.permits.take_own_share(
            instance.rate_limit.per_s, len(self.names), self.now_ms
        )
        self.schedulers[name].poll(self.now_ms)

    def send_requests(self, per_s, start_ms=0.0, end_ms=RUN_MS):
        time_ms = start_ms
        while time_ms < end_ms:
            time_ms += self.random.expovariate(per_s / 1000)
            name = self.random.choices(self.names, self.weights)[0]
            self.schedule(time_ms - self.now_ms, lambda n=name: self.submit(n))

    def run(self, until_ms=RUN_MS):
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        self.now_ms = until_ms


@pytest.fixture
def make_site(make_entry, make_route):
    def make(daemon_count, per_s, weights=None, cold_ms=0.0):
        return SimulatedSite(
            make_entry, make_route, daemon_count, per_s, weights, cold_ms
        )

    return make


@pytest.mark.parametrize("daemon_count", [1, 8, 72])
@pytest.mark.parametrize("per_s", [0.3, 1.2, 3.3, 30.0])
@pytest.mark.parametrize("load_ratio", [0.5, 4.0, 20.0])
def test_daemons_together_keep_within_the_rate_and_use_it(
    make_site, daemon_count, per_s, load_ratio
):
    site = make_site(daemon_count, per_s)
    site.send_requests(per_s * load_ratio)
    site.run()
    assert max_count_in_window(site.arrivals_ms) <= allowed_in_window(per_s)
    if load_ratio > 1:
        assert len(site.arrivals_ms) >= 0.7 * per_s * RUN_MS / 1000 - 1


@pytest.mark.parametrize("daemon_count", [8, 72])
def test_idle_daemons_save_up_no_permits_for_a_burst(make_site, daemon_count):
    """No daemon sends anything for ten seconds, then all do at once."""
    site = make_site(daemon_count, 1.2)
    site.send_requests(200.0, 10_000.0)
    site.run()
    assert max_count_in_window(site.arrivals_ms) <= allowed_in_window(1.2)


@pytest.mark.parametrize("daemon_count", [1, 8, 72])
def test_a_cold_owner_gets_no_burst_from_many_daemons(make_site, daemon_count):
    """The owner of a hot key is cold, and each daemon has requests for the key."""
    site = make_site(daemon_count, None, cold_ms=3000.0)
    site.send_requests(150.0, end_ms=3000.0)
    site.run(2900.0)
    most = max_count_in_window(site.arrivals_ms, 1000.0)
    assert most <= ALLOWED_COLD_IN_A_SECOND
    assert len(site.arrivals_ms) >= 0.6 * COLD_PER_S * 2.9


def test_one_daemon_with_all_the_load_gets_the_whole_rate(make_site):
    site = make_site(8, 3.3, [1.0] + [0.0] * 7)
    site.send_requests(30.0)
    site.run()
    assert len(site.arrivals_ms) >= 0.7 * 3.3 * RUN_MS / 1000


@pytest.mark.parametrize("daemon_count", [8, 72])
@pytest.mark.parametrize("cut_ratio", [0.5, 1.0])
def test_daemons_cut_from_the_granter_stay_within_the_rate(
    make_site, daemon_count, cut_ratio
):
    site = make_site(daemon_count, 3.3)
    site.cut_daemons = set(site.names[: int(daemon_count * cut_ratio)])
    site.send_requests(60.0)
    site.run()
    assert max_count_in_window(site.arrivals_ms) <= allowed_in_window(3.3)


def test_daemons_without_a_granter_still_send_some_requests(make_site):
    site = make_site(8, 3.3)
    site.cut_daemons = set(site.names)
    site.send_requests(60.0)
    site.run()
    assert len(site.arrivals_ms) >= 0.2 * 3.3 * RUN_MS / 1000


def test_a_new_granter_issues_no_saved_up_permits(make_site):
    """The granter is replaced each second."""
    site = make_site(8, 3.3)
    site.send_requests(60.0)
    for second in range(1, 20):
        site.schedule(second * 1000.0, lambda: setattr(site, "issuer", PermitIssuer()))
    site.run()
    assert max_count_in_window(site.arrivals_ms) <= allowed_in_window(3.3)


def test_requests_above_the_rate_are_refused_at_once(make_site):
    site = make_site(8, 3.3)
    site.send_requests(60.0)
    site.run()
    assert {ticket.refusal_reason for ticket in site.refused} == {"rate_limited"}
    # One round trip, after the one that was under way when the request came.
    assert max(site.waits_ms) <= 4 * LINK_DELAY_MS + 1


def test_refused_callers_are_told_when_the_next_permit_comes(make_site):
    site = make_site(1, 5.0)
    for _ in range(3):
        site.schedule(1000.0, lambda: site.submit("d0"))
    site.run(1010.0)
    ticket = site.refused[-1]
    assert 150.0 < ticket.backlog_ms <= 1000 / (5.0 * USED_RATIO) + 1
    wait_ms = site.schedulers["d0"].retry_after_ms(ticket, site.now_ms)
    assert ticket.backlog_ms * 0.9 <= wait_ms


def test_a_limit_that_ended_limits_nothing(make_site):
    site = make_site(8, 1.2)
    for scheduler in site.schedulers.values():
        ended = make_limit(is_limited=False, per_s=0.0, observed_ms=10.0)
        assert scheduler.fleet.find("i-1").record_rate_limit(ended)
    site.send_requests(50.0)
    site.run()
    assert not site.refused


def test_a_higher_rate_holds_for_permits_that_come_later():
    issuer = PermitIssuer()
    times_ms = []
    for now_ms in range(0, 8000, 10):
        per_s = 2.0 if now_ms < 4000 else 20.0
        times_ms += [now_ms] * issuer.issue(per_s, 1, now_ms).count
    early = [time_ms for time_ms in times_ms if time_ms < 4000]
    assert 6 <= len(early) <= 8
    assert 60 <= len(times_ms) - len(early) <= 85


def test_an_instance_that_accepts_nothing_is_probed():
    issuer = PermitIssuer()
    count = sum(issuer.issue(0.0, 1, at).count for at in range(0, 30000, 50))
    assert 1 <= count <= 30 * MIN_RATE_PER_S


def test_outdated_limits_and_those_of_another_incarnation_are_ignored(make_entry):
    instance = Instance(make_entry("i-1"), 0.0)
    assert instance.record_rate_limit(make_limit(3.0, 100.0))
    assert not instance.record_rate_limit(make_limit(9.0, 50.0))
    assert not instance.record_rate_limit(make_limit(9.0, 200.0, start_ms=999))
    assert instance.rate_limit.per_s == 3.0


def test_a_new_incarnation_names_no_limit_yet(make_entry):
    fleet = Fleet()
    fleet.merge([make_entry("i-1")], 0.0)
    fleet.find("i-1").record_rate_limit(make_limit())
    fleet.merge([make_entry("i-1", start_ms=2000)], 0.0)
    assert not fleet.find("i-1").rate_limit.is_limited


def test_unused_permits_expire():
    gate = PermitGate()
    gate.record_reply(IssuedPermits(1, 0.0), 0.0)
    assert gate.has_permit(100.0)
    assert not gate.has_permit(1000.0)


def test_a_denied_daemon_asks_again_within_a_second():
    gate = PermitGate()
    gate.record_request()
    gate.record_reply(IssuedPermits(0, math.inf), 0.0)
    assert not gate.may_request(MAX_DENIAL_MS - 1)
    assert gate.may_request(MAX_DENIAL_MS)


def test_other_instances_take_the_requests_of_a_limited_one(make_entry, make_route):
    """The service is stateless, and one of three instances names a rate."""
    fleet = Fleet()
    names = ("i-1", "i-2", "i-3")
    fleet.merge([make_entry(name, address=f"{name}:80") for name in names], 0.0)
    fleet.find("i-1").record_rate_limit(make_limit(2.0))
    view = SchedulerView(
        lambda *_: "",
        lambda *_: False,
        lambda _: True,
        {},
        frozenset({"d1"}),
        "d1",
        "east",
    )
    scheduler = Scheduler(fleet, view, random.Random(1).random)
    issuer = PermitIssuer()
    limited_count = 0
    for number in range(600):
        now_ms = number * 20.0
        route = make_route()
        ticket = Ticket(
            route, "stock", None, now_ms + 1200, now_ms + 300, False, lambda: None
        )
        scheduler.submit(ticket, now_ms)
        assert ticket.instance is not None
        limited_count += ticket.instance.entry.instance == "i-1"
        scheduler.release(ticket)
        for request in scheduler.pop_permit_requests(now_ms):
            reply = issuer.issue(request.per_s, request.count, now_ms)
            fleet.find("i-1").permits.record_reply(reply, now_ms)
    assert 4 <= limited_count <= 2.0 * 12 + 2
