"""Simulated daemons with a granter of quotas, and links with delays."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter

from skylarktrail.core.gateway.customers import Customer
from skylarktrail.core.gateway.quota_admission import QuotaAdmission, QuotaTicket
from skylarktrail.core.gateway.quotas import QuotaLedger

WINDOW_MS = 5000.0
REPORT_INTERVAL_MS = 500.0
STATES_INTERVAL_MS = 1000.0
REPLY_TIMEOUT_MS = 200.0


def allowed_in_window(customer):
    """Returns the users' bound for the requests in one window."""
    quota = customer.rate_per_s * WINDOW_MS / 1000 + customer.burst
    return quota * 1.1 + 20


def max_count_in_window(times_ms):
    times_ms = sorted(times_ms)
    first = largest = 0
    for last, time_ms in enumerate(times_ms):
        while times_ms[first] <= time_ms - WINDOW_MS:
            first += 1
        largest = max(largest, last - first + 1)
    return largest


class QuotaSite:
    """Daemons that report to a granter of their own process.

    Args:
        daemon_count: Number of daemons.
        customers: Customers in the configuration.
        delays_ms: Shortest and longest time that a message takes.
        seed: Seed of the arrivals and delays.

    Attributes:
        is_granter_lost: Whether messages to and from the granter are lost.
        cut: Numbers of the daemons that do not reach the granter.
        admitted_ms: Times of the admitted requests by customer.
        refusals: Refused tickets.
        waits_ms: How long requests waited that were not decided at once.
        reports: Number of reports by daemon.
    """

    def __init__(self, daemon_count, customers, delays_ms=(2.0, 30.0), seed=1):
        self.random = random.Random(seed)
        self.delays_ms = delays_ms
        self.now_ms = 0.0
        self.customers = {item.name: item for item in customers}
        self.ledger = QuotaLedger()
        self.ledger.set_customers(customers, 0.0)
        self.gates = [QuotaAdmission() for _ in range(daemon_count)]
        self.is_granter_lost = False
        self.cut: set[int] = set()
        self.admitted_ms: dict[str, list[float]] = {n: [] for n in self.customers}
        self.refusals: list[tuple[float, QuotaTicket]] = []
        self.waits_ms: list[float] = []
        self.reports: Counter[int] = Counter()
        self._report_numbers: dict[int, int] = {}
        self._events: list = []
        self._counter = itertools.count()
        for number, gate in enumerate(self.gates):
            gate.daemon_count = daemon_count
            phase_ms = self.random.uniform(0.0, REPORT_INTERVAL_MS)
            self.schedule(phase_ms, lambda n=number: self._tick(n))
        self.schedule(STATES_INTERVAL_MS, self._repeat_states)

    def schedule(self, delay_ms, action):
        event = (self.now_ms + delay_ms, next(self._counter), action)
        heapq.heappush(self._events, event)

    def run(self, until_ms):
        """Runs all events until a time."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        self.now_ms = until_ms

    def send_load(self, name, per_s, until_ms, daemons=None):
        """Schedules requests of a customer as a Poisson process."""
        daemons = daemons or range(len(self.gates))
        delay_ms = self.random.expovariate(per_s) * 1000
        while self.now_ms + delay_ms < until_ms:
            number = self.random.choice(daemons)
            self.schedule(delay_ms, lambda n=number: self.submit(n, name))
            delay_ms += self.random.expovariate(per_s) * 1000

    def submit(self, number, name):
        """Submits a request to a daemon; returns its ticket."""
        ticket = QuotaTicket(self.customers[name])
        submitted_ms = self.now_ms
        gate = self.gates[number]

        def record():
            if submitted_ms != self.now_ms:
                self.waits_ms.append(self.now_ms - submitted_ms)
            if ticket.refusal is None:
                self.admitted_ms[name].append(self.now_ms)
            else:
                self.refusals.append((self.now_ms, ticket))

        ticket.on_decided = record
        gate.submit(ticket, self.now_ms)
        if not ticket.decision:
            self.schedule(REPLY_TIMEOUT_MS, lambda: gate.time_out(ticket, self.now_ms))
        self._report_if_due(number)
        return ticket

    def set_customers(self, *customers):
        """Applies a configuration at all daemons."""
        self.customers = {item.name: item for item in customers}
        self.ledger.set_customers(customers, self.now_ms)
        for gate in self.gates:
            gate.set_customers(customers)

    def replace_granter(self):
        """Starts a new granter in place of the lost one."""
        self.ledger = QuotaLedger()
        self.ledger.set_customers(self.customers.values(), self.now_ms)
        self.is_granter_lost = False

    def max_count(self, name):
        """Returns the largest number of admitted requests in a window."""
        return max_count_in_window(self.admitted_ms[name])

    def _deliver(self, number, action):
        if not self.is_granter_lost and number not in self.cut:
            self.schedule(self.random.uniform(*self.delays_ms), action)

    def _tick(self, number):
        self._report(number)
        self.schedule(REPORT_INTERVAL_MS, lambda: self._tick(number))

    def _report_if_due(self, number):
        if self.gates[number].is_report_due():
            self._report(number)

    def _report(self, number):
        usages = self.gates[number].pop_report(self.now_ms)
        if usages is None:
            return
        self.reports[number] += 1
        sent = self._report_numbers[number] = next(self._counter)
        self._deliver(number, lambda: self._handle_report(number, sent, usages))
        self.schedule(REPLY_TIMEOUT_MS, lambda: self._time_out(number, sent))

    def _handle_report(self, number, sent, usages):
        if self.is_granter_lost:
            return
        grants = self.ledger.record(usages, self.now_ms)
        self._update_metered()
        metered = self.ledger.metered()
        self._deliver(number, lambda: self._handle_reply(number, sent, grants, metered))

    def _handle_reply(self, number, sent, grants, metered):
        if self._report_numbers.get(number) == sent:
            del self._report_numbers[number]
            self.gates[number].record_reply(grants, metered, self.now_ms)
            self._report_if_due(number)

    def _time_out(self, number, sent):
        if self._report_numbers.get(number) == sent:
            del self._report_numbers[number]
            self.gates[number].record_failure(True, self.now_ms)

    def _update_metered(self):
        if any(item.is_metered for item in self.ledger.update_metered(self.now_ms)):
            self._broadcast_states()

    def _repeat_states(self):
        self._update_metered()
        self._broadcast_states()
        self.schedule(STATES_INTERVAL_MS, self._repeat_states)

    def _broadcast_states(self):
        metered = self.ledger.metered()
        for number, gate in enumerate(self.gates):
            self._deliver(
                number, lambda n=number, g=gate: self._set_metered(n, g, metered)
            )

    def _set_metered(self, number, gate, metered):
        gate.set_metered(metered, self.now_ms)
        self._report_if_due(number)


def make_customer(name="c1", rate_per_s=161.0, burst=161.0):
    """Returns a customer with a quota."""
    return Customer(name, None, rate_per_s, burst)
