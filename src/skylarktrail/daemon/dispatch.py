"""Attempts of one request: choose, send, hedge, try again, give up."""

from __future__ import annotations

import itertools
import random
import secrets
import threading
from typing import Any, NamedTuple, Sequence

from ..core.traffic import Traffic
from ..core.traffic.messages import (
    Attempt,
    Instance,
    InstanceAge,
    LoadReport,
    Outcome,
    Refusal,
    RequestInfo,
    RosterEntry,
    TrafficStatus,
    Wait,
)
from ..core.traffic.ticket import Ticket
from ..errors import caller as caller_codes
from ..errors import upstream as upstream_codes
from ..providers.interface import ReportClient
from . import fields
from .clock import now_ms
from .exchange import MAY_HAVE_RUN, Exchanged, Outgoing, exchange
from .hedging import HedgeTimers, Race
from .metrics import Metrics
from .pools import AbortHandle, Pools, make_pool
from .problem import Problem
from .response import Response

ANSWER_BYTES = 16 << 20
CANCEL_TIMEOUT_MS = 200
PREFIX_BYTES = 8
FIRST, RETRY, HEDGE = "first", "retry", "hedge"
RETRY_AFTER_MS = 500
RETRY_AFTER_SPREAD_MS = 1000
REFUSED = frozenset((Outcome.NOT_RUN, Outcome.WRONG_OWNER))


def spread_retry_ms() -> float:
    """Returns when to come back, spread so that callers do not return at once."""
    return RETRY_AFTER_MS + random.random() * RETRY_AFTER_SPREAD_MS


class Outbound(NamedTuple):
    """A request as every attempt sends it.

    Attributes:
        info: What the traffic policy knows of it.
        method: HTTP method.
        target: Path and query.
        headers: Header fields without those of a single attempt.
        body: Whole body.
    """

    info: RequestInfo
    method: str
    target: str
    headers: fields.Fields
    body: bytes


class Dispatched(NamedTuple):
    """How a request ended.

    Attributes:
        reply: What the caller gets.
        outcome: How the last attempt ended; None when none was sent.
        may_have_run: Whether some attempt without an answer may have run.
        is_misdirected: Whether the server said that it does not own the key.
    """

    reply: Response | Problem
    outcome: Outcome | None
    may_have_run: bool
    is_misdirected: bool = False


class Dispatcher:
    """Carries requests to instances as the traffic policy decides.

    Args:
        me: This daemon.
        connections: Idle connections kept for each instance.
        reports: Client that cancels attempts.
        metrics: Counts attempts.
    """

    def __init__(
        self,
        me: RosterEntry,
        connections: int,
        reports: ReportClient,
        metrics: Metrics,
    ) -> None:
        self._traffic = Traffic(me, random.random)
        self._lock = threading.Lock()
        self._has_instances = False
        self._has_ages = False
        self._waiters: dict[Ticket, threading.Event] = {}
        self._pools = Pools(connections)
        self._timers = HedgeTimers()
        self._request_prefix = secrets.token_hex(PREFIX_BYTES)
        self._request_numbers = itertools.count(1)
        self._reports = reports
        self._metrics = metrics

    def configure(
        self,
        file: dict[str, Any],
        instances: Sequence[Instance],
        roster: Sequence[RosterEntry],
    ) -> None:
        """Takes a new file, VM list or roster."""
        with self._lock:
            self._traffic.configure(now_ms(), file, instances, roster)
            self._has_instances = self._has_instances or bool(instances)
        self._pools.keep_only({instance.address for instance in instances})

    def learn_rosters(self, rosters: Sequence[Sequence[RosterEntry]]) -> None:
        """Takes every roster of a batch of records, in order."""
        with self._lock:
            self._traffic.learn_rosters(now_ms(), rosters)

    def restart_rosters(self, roster: Sequence[RosterEntry]) -> None:
        """Takes a roster when some before it were not seen."""
        with self._lock:
            self._traffic.restart_rosters(now_ms(), roster)

    @property
    def wants_ages(self) -> bool:
        """Whether the ages of the instances are only assumed."""
        return self._has_instances and not self._has_ages

    def ages(self) -> list[InstanceAge] | None:
        """Returns the ages of the instances; None while they are assumed."""
        if not self._has_ages:
            return None
        with self._lock:
            return self._traffic.ages(now_ms())

    def take_ages(self, ages: Sequence[InstanceAge]) -> None:
        """Takes the ages that a peer knows; unnamed instances are new."""
        with self._lock:
            if not self._has_ages:
                self._has_ages = True
                self._traffic.take_ages(now_ms(), ages)

    def has_capacity(self) -> bool:
        """Tells whether each stateless service may get a request."""
        with self._lock:
            return self._has_ages and self._traffic.has_capacity(now_ms())

    def report(self, report: LoadReport) -> None:
        """Takes a load report."""
        with self._lock:
            self._traffic.report(now_ms(), report)

    def health(self, instance: str, ready: bool, draining: bool) -> None:
        """Takes what an instance says of its health."""
        with self._lock:
            self._traffic.health(now_ms(), instance, ready, draining)

    def status(self) -> TrafficStatus:
        """Returns the state of the traffic policy."""
        with self._lock:
            return self._traffic.status()

    def stop(self) -> None:
        """Ends the timers."""
        self._timers.stop()

    def dispatch(self, outbound: Outbound) -> Dispatched:
        """Runs a request to its end."""
        with self._lock:
            ticket = self._traffic.admit(now_ms(), outbound.info)
        if isinstance(ticket, Refusal):
            return Dispatched(_refused(ticket, False), None, False)
        try:
            return self._attempts(outbound, ticket)
        finally:
            with self._lock:
                self._waiters.pop(ticket, None)
                woken = self._traffic.close(now_ms(), ticket)
            self._wake(woken or ())

    def _attempts(self, outbound: Outbound, ticket: Ticket) -> Dispatched:
        may_have_run = False
        outcome = None
        kind = FIRST
        while True:
            attempt = self._start(ticket)
            if isinstance(attempt, Refusal):
                reply = _refused(attempt, may_have_run)
                return Dispatched(reply, outcome, may_have_run)
            exchanged = self._try(outbound, ticket, attempt, kind)
            kind = RETRY
            outcome = exchanged.outcome
            if outcome is Outcome.ANSWERED:
                return Dispatched(exchanged.answer, outcome, may_have_run)
            may_have_run = may_have_run or outcome in MAY_HAVE_RUN
            is_misdirected = outcome is Outcome.WRONG_OWNER
            if is_misdirected or not self._may_retry(ticket, outcome):
                reply = _given_up(exchanged, may_have_run)
                return Dispatched(reply, outcome, may_have_run, is_misdirected)

    def _may_retry(self, ticket: Ticket, outcome: Outcome) -> bool:
        with self._lock:
            return self._traffic.retry(now_ms(), ticket, outcome)

    def _start(self, ticket: Ticket) -> Attempt | Refusal:
        while True:
            with self._lock:
                decision = self._traffic.start(now_ms(), ticket)
                if not isinstance(decision, Wait):
                    return decision
                waiter = self._waiters.setdefault(ticket, threading.Event())
                waiter.clear()
            waiter.wait(max(decision.until_ms - now_ms(), 0) / 1000)

    def _wake(self, tickets: Sequence[Ticket]) -> None:
        for ticket in tickets:
            waiter = self._waiters.get(ticket)
            if waiter is not None:
                waiter.set()

    def _try(
        self, outbound: Outbound, ticket: Ticket, attempt: Attempt, kind: str
    ) -> Exchanged:
        abort_handle = AbortHandle()
        with self._lock:
            delay_ms = self._traffic.hedge_delay_ms(now_ms(), ticket)
        if delay_ms is None:
            return self._send(outbound, ticket, attempt, abort_handle, kind)
        race = Race(abort_handle)
        timer = self._timers.schedule(
            now_ms() + delay_ms, lambda: self._hedge(outbound, ticket, race)
        )
        first = self._send(outbound, ticket, attempt, abort_handle, kind)
        timer.cancel()
        return race.settle(first, outbound.info.deadline_ms)

    def _hedge(self, outbound: Outbound, ticket: Ticket, race: Race) -> None:
        abort_handle = AbortHandle()
        if not race.enter_hedge(abort_handle):
            return
        with self._lock:
            attempt = self._traffic.hedge(now_ms(), ticket)
        if attempt is None:
            race.end_hedge(Exchanged(Outcome.NOT_RUN, None), False)
            return
        hedged = self._send(outbound, ticket, attempt, abort_handle, HEDGE)
        race.end_hedge(hedged, hedged.outcome is Outcome.ANSWERED)

    def _send(
        self,
        outbound: Outbound,
        ticket: Ticket,
        attempt: Attempt,
        abort_handle: AbortHandle,
        kind: str,
    ) -> Exchanged:
        started_ms = now_ms()
        deadline_ms = min(started_ms + attempt.timeout_ms, outbound.info.deadline_ms)
        request_id = f"{self._request_prefix}-{next(self._request_numbers)}"
        outgoing = _outgoing(outbound, request_id, deadline_ms - started_ms)
        exchanged = self._exchange(
            outbound, attempt, outgoing, deadline_ms, abort_handle
        )
        latency_ms = now_ms() - started_ms
        with self._lock:
            woken = self._traffic.finish(
                now_ms(), ticket, attempt, exchanged.outcome, latency_ms
            )
        self._wake(woken)
        service = outbound.info.service
        self._metrics.count_try(service, kind, exchanged.outcome.value)
        if exchanged.outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED):
            self._cancel(attempt.instance, outgoing.request_id)
        return exchanged

    def _exchange(
        self,
        outbound: Outbound,
        attempt: Attempt,
        outgoing: Outgoing,
        deadline_ms: float,
        abort_handle: AbortHandle,
    ) -> Exchanged:
        """Sends on a pooled connection, or on a new one.

        A request that must not run twice takes a new connection: to open it proves
        the path, where an idle connection may have gone silent.
        """
        address = attempt.instance.address
        if attempt.fresh_connection:
            self._pools.renew(address)
        if outbound.info.is_idempotent and attempt.keep_connection:
            return exchange(
                self._pools.get(address), outgoing, deadline_ms, abort_handle
            )
        with make_pool(address, 1) as pool:
            return exchange(pool, outgoing, deadline_ms, abort_handle)

    def _cancel(self, instance: Instance, request_id: str) -> None:
        self._timers.submit(
            lambda: self._reports.cancel(
                instance.address, request_id, CANCEL_TIMEOUT_MS
            )
        )


def _outgoing(outbound: Outbound, request_id: str, left_ms: float) -> Outgoing:
    headers = [
        *outbound.headers,
        (fields.REQUEST_ID, request_id),
        (fields.DEADLINE, str(max(1, int(left_ms)))),
    ]
    return Outgoing(
        outbound.method,
        outbound.target,
        headers,
        outbound.body,
        request_id,
        ANSWER_BYTES,
    )


def _refused(refusal: Refusal, may_have_run: bool) -> Problem:
    if may_have_run:
        return Problem(upstream_codes.OUTCOME_UNKNOWN, fields.UNKNOWN)
    return Problem(refusal.code, fields.NOT_RUN, retry_after_ms=refusal.retry_after_ms)


def _given_up(exchanged: Exchanged, may_have_run: bool) -> Problem:
    if not may_have_run:
        is_refused = exchanged.outcome in REFUSED
        code = (
            upstream_codes.UPSTREAM_REFUSED
            if is_refused
            else upstream_codes.UPSTREAM_UNREACHABLE
        )
        return Problem(
            code, fields.NOT_RUN, exchanged.detail, retry_after_ms=spread_retry_ms()
        )
    if exchanged.outcome is Outcome.TIMED_OUT:
        return Problem(caller_codes.ANSWER_LATE, fields.UNKNOWN, exchanged.detail)
    return Problem(upstream_codes.OUTCOME_UNKNOWN, fields.UNKNOWN, exchanged.detail)
