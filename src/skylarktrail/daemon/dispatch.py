"""Runs the attempts of a request: sends, hedges and retries them."""

from __future__ import annotations

import itertools
import math
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
from ..receive_budget import DEFAULT_MEMORY_MB, make_receive_budget
from . import fields
from .clock import now_ms
from .exchange import MAY_HAVE_RUN, ExchangeRequest, ExchangeResult, exchange
from .hedging import HedgeRace, HedgeTimers
from .metrics import Metrics
from .pools import MAX_BODY_BYTES, AbortHandle, ConnectionPools, make_pool
from .problem import Problem
from .response import Response

DRAINING_RETRY_MS = 20.0  # Another daemon accepts the retry at once.
CANCEL_TIMEOUT_MS = 200
REQUEST_ID_PREFIX_BYTES = 8
FIRST, RETRY, HEDGE = "first", "retry", "hedge"
RETRY_AFTER_MS = 500
RETRY_AFTER_JITTER_MS = 1000
REFUSED_OUTCOMES = frozenset((Outcome.NOT_RUN, Outcome.WRONG_OWNER))


def jittered_retry_after_ms() -> float:
    """Returns a retry delay with jitter, so that callers do not retry together."""
    return RETRY_AFTER_MS + random.random() * RETRY_AFTER_JITTER_MS


class OutboundRequest(NamedTuple):
    """A request, as all its attempts send it.

    Attributes:
        info: Description of the request for the traffic policy.
        method: HTTP method.
        target: Path and query.
        headers: Header fields except those that each attempt adds.
        body: Complete body.
    """

    info: RequestInfo
    method: str
    target: str
    headers: fields.Fields
    body: bytes


class DispatchResult(NamedTuple):
    """The result of a request.

    Attributes:
        reply: Response or refusal for the caller.
        outcome: Outcome of the last attempt; None if none was sent.
        may_have_run: Whether an attempt without a response may have run.
        is_misdirected: Whether the server replied that it does not own the key.
    """

    reply: Response | Problem
    outcome: Outcome | None
    may_have_run: bool
    is_misdirected: bool = False


class Dispatcher:
    """Sends requests to the instances that the traffic policy chooses.

    Args:
        own_entry: Roster entry of this daemon.
        connections: Maximum number of idle connections for each instance.
        reports: Client of the backends, used to cancel attempts.
        metrics: Counts attempts.
    """

    def __init__(
        self,
        own_entry: RosterEntry,
        connections: int,
        reports: ReportClient,
        metrics: Metrics,
    ) -> None:
        self._traffic = Traffic(own_entry, random.random)
        self._lock = threading.Lock()
        self._has_instances = False
        self._has_ages = False
        self._waiters: dict[Ticket, threading.Event] = {}
        self._budget = make_receive_budget(DEFAULT_MEMORY_MB)
        self._pools = ConnectionPools(connections, self._budget)
        self._stop_ms = math.inf
        self._timers = HedgeTimers()
        self._request_id_prefix = secrets.token_hex(REQUEST_ID_PREFIX_BYTES)
        self._request_numbers = itertools.count(1)
        self._reports = reports
        self._metrics = metrics

    def configure(
        self,
        file: dict[str, Any],
        instances: Sequence[Instance],
        roster: Sequence[RosterEntry],
    ) -> None:
        """Applies a new operator file, list of instances or roster."""
        with self._lock:
            self._traffic.configure(now_ms(), file, instances, roster)
            self._has_instances = self._has_instances or bool(instances)
        self._pools.retain_only({instance.address for instance in instances})

    def apply_rosters(self, rosters: Sequence[Sequence[RosterEntry]]) -> None:
        """Applies every roster of a batch of records, in order."""
        with self._lock:
            self._traffic.apply_rosters(now_ms(), rosters)

    def reset_roster(self, roster: Sequence[RosterEntry]) -> None:
        """Applies the roster of a checkpoint; those before it may have been missed."""
        with self._lock:
            self._traffic.reset_roster(now_ms(), roster)

    @property
    def needs_instance_ages(self) -> bool:
        """Whether there are instances, but their ages are not known yet."""
        return self._has_instances and not self._has_ages

    def ages(self) -> list[InstanceAge] | None:
        """Returns the ages of the instances; None while they are not known."""
        if not self._has_ages:
            return None
        with self._lock:
            return self._traffic.ages(now_ms())

    def set_instance_ages(self, ages: Sequence[InstanceAge]) -> None:
        """Sets the ages that a peer reported; instances without one are new."""
        with self._lock:
            if not self._has_ages:
                self._has_ages = True
                self._traffic.apply_ages(now_ms(), ages)

    def set_stop(self, stop_ms: float) -> None:
        """Records when the daemon stops and cuts what still runs.

        No attempt begins from now on whose deadline is later.
        """
        with self._lock:
            self._stop_ms = stop_ms
            waiting = list(self._waiters)
        self._wake(waiting)

    def has_capacity(self) -> bool:
        """Returns whether each stateless service can be sent a request."""
        with self._lock:
            return self._has_ages and self._traffic.has_capacity(now_ms())

    def update_load(self, report: LoadReport) -> None:
        """Applies a load report."""
        with self._lock:
            self._traffic.record_load_report(now_ms(), report)

    def update_health(self, instance: str, ready: bool, draining: bool) -> None:
        """Applies the health that an instance reports."""
        with self._lock:
            self._traffic.update_health(now_ms(), instance, ready, draining)

    def status(self) -> TrafficStatus:
        """Returns the status of the traffic policy."""
        with self._lock:
            return self._traffic.status()

    def stop(self) -> None:
        """Stops the timers."""
        self._timers.stop()

    def dispatch(self, outbound: OutboundRequest) -> DispatchResult:
        """Runs the attempts of a request and returns the result."""
        with self._lock:
            ticket = self._traffic.admit(now_ms(), outbound.info)
        if isinstance(ticket, Refusal):
            return DispatchResult(_refusal_problem(ticket, False), None, False)
        try:
            return self._run_attempts(outbound, ticket)
        finally:
            with self._lock:
                self._waiters.pop(ticket, None)
                tickets_to_wake = self._traffic.close(now_ms(), ticket)
            self._wake(tickets_to_wake or ())

    def _run_attempts(
        self, outbound: OutboundRequest, ticket: Ticket
    ) -> DispatchResult:
        may_have_run = False
        outcome = None
        kind = FIRST
        while True:
            attempt = self._start_attempt(ticket, outbound.info.deadline_ms)
            if isinstance(attempt, Refusal):
                reply = _refusal_problem(attempt, may_have_run)
                return DispatchResult(reply, outcome, may_have_run)
            result = self._run_hedged_attempt(outbound, ticket, attempt, kind)
            kind = RETRY
            outcome = result.outcome
            if outcome is Outcome.ANSWERED:
                return DispatchResult(result.complete_response, outcome, may_have_run)
            may_have_run = may_have_run or outcome in MAY_HAVE_RUN
            is_misdirected = outcome is Outcome.WRONG_OWNER
            if is_misdirected or not self._try_acquire_retry(ticket, outcome):
                reply = _failure_problem(result, may_have_run)
                return DispatchResult(reply, outcome, may_have_run, is_misdirected)

    def _try_acquire_retry(self, ticket: Ticket, outcome: Outcome) -> bool:
        with self._lock:
            return self._traffic.try_acquire_retry(now_ms(), ticket, outcome)

    def _start_attempt(self, ticket: Ticket, deadline_ms: float) -> Attempt | Refusal:
        """Waits until an attempt may begin; refuses one that the stop may cut."""
        while True:
            if deadline_ms > self._stop_ms:
                return Refusal(caller_codes.DRAINING, DRAINING_RETRY_MS)
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

    def _run_hedged_attempt(
        self, outbound: OutboundRequest, ticket: Ticket, attempt: Attempt, kind: str
    ) -> ExchangeResult:
        abort_handle = AbortHandle()
        with self._lock:
            delay_ms = self._traffic.hedge_delay_ms(now_ms(), ticket)
        if delay_ms is None:
            return self._send_attempt(outbound, ticket, attempt, abort_handle, kind)
        race = HedgeRace(abort_handle)
        timer = self._timers.schedule(
            now_ms() + delay_ms, lambda: self._run_hedge(outbound, ticket, race)
        )
        first = self._send_attempt(outbound, ticket, attempt, abort_handle, kind)
        timer.cancel()
        return race.resolve(first, outbound.info.deadline_ms)

    def _run_hedge(
        self, outbound: OutboundRequest, ticket: Ticket, race: HedgeRace
    ) -> None:
        abort_handle = AbortHandle()
        if not race.register_hedge(abort_handle):
            return
        with self._lock:
            attempt = self._traffic.try_begin_hedge(now_ms(), ticket)
        if attempt is None:
            race.record_hedge_result(ExchangeResult(Outcome.NOT_RUN, None), False)
            return
        hedge_result = self._send_attempt(
            outbound, ticket, attempt, abort_handle, HEDGE
        )
        race.record_hedge_result(hedge_result, hedge_result.outcome is Outcome.ANSWERED)

    def _send_attempt(
        self,
        outbound: OutboundRequest,
        ticket: Ticket,
        attempt: Attempt,
        abort_handle: AbortHandle,
        kind: str,
    ) -> ExchangeResult:
        started_ms = now_ms()
        deadline_ms = min(started_ms + attempt.timeout_ms, outbound.info.deadline_ms)
        request_id = f"{self._request_id_prefix}-{next(self._request_numbers)}"
        request = _make_exchange_request(outbound, request_id, deadline_ms - started_ms)
        result = self._exchange(outbound, attempt, request, deadline_ms, abort_handle)
        latency_ms = now_ms() - started_ms
        with self._lock:
            tickets_to_wake = self._traffic.finish(
                now_ms(), ticket, attempt, result.outcome, latency_ms
            )
        self._wake(tickets_to_wake)
        service = outbound.info.service
        self._metrics.count_attempt(service, kind, result.outcome.value)
        if result.outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED):
            self._cancel(attempt.instance, request.request_id)
        return result

    def _exchange(
        self,
        outbound: OutboundRequest,
        attempt: Attempt,
        request: ExchangeRequest,
        deadline_ms: float,
        abort_handle: AbortHandle,
    ) -> ExchangeResult:
        """Sends a request on a pooled connection, or on a new one.

        A request that must not run twice gets a new connection. Opening it proves
        that the instance is reachable, while an idle connection may be dead.
        """
        address = attempt.instance.address
        if attempt.requires_fresh_connection:
            self._pools.discard(address)
        if outbound.info.is_idempotent and attempt.may_pool_connection:
            return exchange(
                self._pools.get(address), request, deadline_ms, abort_handle
            )
        with make_pool(address, 1, self._budget) as pool:
            return exchange(pool, request, deadline_ms, abort_handle)

    def _cancel(self, instance: Instance, request_id: str) -> None:
        self._timers.submit(
            lambda: self._reports.cancel(
                instance.address, request_id, CANCEL_TIMEOUT_MS
            )
        )


def _make_exchange_request(
    outbound: OutboundRequest, request_id: str, remaining_ms: float
) -> ExchangeRequest:
    headers = [
        *outbound.headers,
        (fields.REQUEST_ID, request_id),
        (fields.DEADLINE, str(max(1, int(remaining_ms)))),
    ]
    return ExchangeRequest(
        outbound.method,
        outbound.target,
        headers,
        outbound.body,
        request_id,
        MAX_BODY_BYTES,
    )


def _refusal_problem(refusal: Refusal, may_have_run: bool) -> Problem:
    if may_have_run:
        return Problem(upstream_codes.OUTCOME_UNKNOWN, fields.UNKNOWN)
    return Problem(refusal.code, fields.NOT_RUN, retry_after_ms=refusal.retry_after_ms)


def _failure_problem(result: ExchangeResult, may_have_run: bool) -> Problem:
    if not may_have_run:
        is_refused = result.outcome in REFUSED_OUTCOMES
        code = (
            upstream_codes.UPSTREAM_REFUSED
            if is_refused
            else upstream_codes.UPSTREAM_UNREACHABLE
        )
        return Problem(
            code,
            fields.NOT_RUN,
            result.detail,
            retry_after_ms=jittered_retry_after_ms(),
        )
    if result.outcome is Outcome.TIMED_OUT:
        return Problem(caller_codes.ANSWER_LATE, fields.UNKNOWN, result.detail)
    return Problem(upstream_codes.OUTCOME_UNKNOWN, fields.UNKNOWN, result.detail)
