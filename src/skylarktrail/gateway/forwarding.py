"""Forwards requests to another daemon if this one is cut off from the instances.

A request is forwarded once: the other daemon serves it or refuses it. What an instance
may have run is not sent again unless it is idempotent. The connection to the other
daemon is closed when the caller leaves, which ends the request there too.
"""

from __future__ import annotations

import json
import random
import threading
from typing import Any, Mapping, NamedTuple

from result import Result

from ..core.gateway.checks import MAX_EXACT_NUMBER
from ..core.gateway.forward_targets import ForwardTargets, TargetProcess
from ..core.gateway.ticket import Ticket
from ..daemon import fields
from ..daemon.problem import Problem
from ..daemon.response import Response
from ..errors import caller as caller_codes
from ..errors import upstream as codes
from ..errors.code import CODES, Fault
from ..receive_budget import ReceiveBudget
from .clock import now_ms
from .connection_pool import ConnectionPool
from .disconnect_monitor import DisconnectMonitor
from .exchange import OutgoingRequest, RawResponse
from .header_codec import HeaderCodec
from .job import Attempt, Job
from .metrics import GatewayMetrics
from .outgoing import make_outgoing_request
from .reach_monitor import ReachMonitor
from .site_state import SiteState

MAX_FORWARDS = 2  # Daemons that are asked for one request.
# The other daemon gives up this much earlier, so that its reply arrives in time.
REPLY_MARGIN_MS = 10.0
# The other daemon refused for a reason of its own, so a further one may serve.
OTHER_DAEMON_CODES = frozenset(
    (
        codes.DAEMON_CUT_OFF,
        caller_codes.DRAINING,
        caller_codes.NOT_CONFIGURED,
        caller_codes.CONFIG_UNCONFIRMED,
    )
)
# Fields of another daemon's refusal that go to the caller, in lower case.
KEPT_FIELDS = frozenset(("www-authenticate",))
Reply = Response | Problem


class ForwardedState(NamedTuple):
    """What the daemon that forwards a request knows about it.

    Attributes:
        config_version: Version of its configuration.
        service: Service that it chose for the request.
        left_ms: Time until the request must have a reply.
        target_left_ms: Time until which a response meets the latency target.
        is_return: Whether the caller retries a request that was refused.
        run_count: Attempts that an instance may have run.
    """

    config_version: int
    service: str
    left_ms: float
    target_left_ms: float
    is_return: bool
    run_count: int


def encode_state(state: ForwardedState) -> str:
    """Encodes a state as the value of a header field."""
    return json.dumps(list(state))


def decode_state(text: str) -> ForwardedState | None:
    """Decodes the value of a header field; returns None if it is malformed."""
    try:
        version, service, left_ms, target_left_ms, is_return, runs = json.loads(text)
        state = ForwardedState(
            int(version),
            str(service),
            float(left_ms),
            float(target_left_ms),
            bool(is_return),
            int(runs),
        )
        times_ms = (state.left_ms, state.target_left_ms)
        return state if all(abs(x) <= MAX_EXACT_NUMBER for x in times_ms) else None
    except (TypeError, ValueError, OverflowError, RecursionError):
        return None


class Forwarder:
    """Sends requests to other daemons; all methods are thread-safe.

    Args:
        site: State of the site.
        reach_monitor: Knows which daemons are cut off.
        disconnect_monitor: Aborts requests whose callers disconnect.
        header_codec: Codec of the platform's header fields.
        metrics: Counts the forwarded requests and their bytes.
        budget: Memory of all responses that are being received; None for one of its
            own.
    """

    def __init__(
        self,
        site: SiteState,
        reach_monitor: ReachMonitor,
        disconnect_monitor: DisconnectMonitor,
        header_codec: HeaderCodec,
        metrics: GatewayMetrics,
        budget: ReceiveBudget | None = None,
    ) -> None:
        self._site = site
        self._reach_monitor = reach_monitor
        self._disconnect_monitor = disconnect_monitor
        self._header_codec = header_codec
        self._metrics = metrics
        # Refusals of daemons of older builds do not name the request.
        id_field = header_codec.REQUEST_ID.lower()
        self._connections = ConnectionPool(id_field, False, budget)
        self._targets = ForwardTargets(site.zone, random.random)
        self._lock = threading.Lock()

    def forward(self, job: Job, ticket: Ticket) -> Reply | None:
        """Returns the reply of another daemon; None if none could serve the request.

        Args:
            job: The request; gets an attempt for each daemon that was asked.
            ticket: The ticket that this daemon could not place.
        """
        asked: set[str] = set()
        while len(asked) < MAX_FORWARDS and now_ms() < job.end_ms:
            name = self._begin(asked)
            if name is None:
                return None
            asked.add(name)
            try:
                reply = self._send(name, job, ticket)
            finally:
                self._end(name)
            if reply is not None:
                return reply
            if not self._may_ask_another(job):
                return None
        return None

    def _begin(self, asked: set[str]) -> str | None:
        excluded = asked | self._reach_monitor.cut_daemons()
        targets = self._site.forward_targets()
        with self._lock:
            name = self._targets.choose(targets, excluded, now_ms())
            if name is not None:
                self._targets.begin(name)
            return name

    def _end(self, name: str) -> None:
        with self._lock:
            self._targets.end(name)

    def _send(self, name: str, job: Job, ticket: Ticket) -> Reply | None:
        """Sends the request to one daemon; returns None if another may be asked."""
        target = self._site.forward_targets().get(name)
        if target is None:
            return None
        started_ms = now_ms()
        result = self._exchange(name, target, job, ticket)
        took_ms = now_ms() - started_ms
        if result.is_err():
            return self._handle_fault(name, target, job, result.unwrap_err(), took_ms)
        raw_response = result.unwrap()
        with self._lock:
            self._targets.record_success(name)
        self._count_bytes(target, job, raw_response)
        headers = raw_response.field_map()
        if fields.OUTCOME.lower() in headers:
            return self._handle_refusal(
                name, target, job, raw_response, headers, took_ms
            )
        job.attempts.append(Attempt(name, "FORWARDED", took_ms=took_ms))
        self._count(target, "answered")
        return Response(raw_response.status, raw_response.fields, raw_response.body)

    def _exchange(
        self, name: str, target: TargetProcess, job: Job, ticket: Ticket
    ) -> Result[RawResponse, Fault]:
        acquired = self._connections.acquire(
            name,
            target.address,
            job.end_ms - now_ms(),
            job.metadata.request_id,
            not job.route.is_idempotent,
        )
        if acquired.is_err():
            return acquired
        connection = acquired.unwrap()
        request = self._make_request(target, job, ticket)
        with self._disconnect_monitor.watch(job.request.is_disconnected, connection):
            result = connection.exchange(request, lambda: job.end_ms)
        if result.is_ok():
            self._connections.release_connection(name, connection, result.unwrap())
        else:
            connection.close(is_reset=True)
        return result

    def _make_request(
        self, target: TargetProcess, job: Job, ticket: Ticket
    ) -> OutgoingRequest:
        state = ForwardedState(
            self._site.versions(now_ms()).config,
            job.service,
            job.end_ms - now_ms() - REPLY_MARGIN_MS,
            job.target_end_ms - now_ms(),
            ticket.is_return,
            job.run_count,
        )
        added = [(fields.FORWARDED, encode_state(state))]
        if job.is_key_checked:
            added += self._header_codec.encode_for_daemon(job.metadata.api_key)
        return make_outgoing_request(job, target.address, self._header_codec, added)

    def _handle_fault(
        self, name: str, target: TargetProcess, job: Job, fault: Fault, took_ms: float
    ) -> Reply | None:
        was_sent = fault.code is not codes.INSTANCE_UNREACHED
        outcome = f"FORWARD_{fault.code.name}"
        job.attempts.append(
            Attempt(
                name, outcome, may_have_run=was_sent, was_sent=was_sent, took_ms=took_ms
            )
        )
        if fault.code is not codes.ATTEMPT_CUT:
            with self._lock:
                self._targets.record_failure(name, target, now_ms())
        self._metrics.count("forwards", "", fault.code.name)
        return None

    def _handle_refusal(
        self,
        name: str,
        target: TargetProcess,
        job: Job,
        raw_response: RawResponse,
        headers: Mapping[str, str],
        took_ms: float,
    ) -> Problem | None:
        problem = _read_problem(raw_response, headers)
        is_not_run = problem.outcome == fields.NOT_RUN
        outcome = f"FORWARD_{problem.code.name}"
        job.attempts.append(
            Attempt(name, outcome, may_have_run=not is_not_run, took_ms=took_ms)
        )
        self._metrics.count("forwards", "", problem.code.name)
        if is_not_run and problem.code in OTHER_DAEMON_CODES:
            if problem.code is codes.DAEMON_CUT_OFF:
                self._reach_monitor.record_peer(name, True)
            with self._lock:
                self._targets.record_failure(name, target, now_ms())
            return None
        if is_not_run and job.may_have_run:
            return problem._replace(
                code=codes.OUTCOME_UNKNOWN, outcome=fields.UNKNOWN, retry_after_ms=None
            )
        return problem

    def _may_ask_another(self, job: Job) -> bool:
        if job.request.is_disconnected():
            return False
        if not job.attempts[-1].may_have_run:
            return True
        is_allowed = job.route.is_idempotent and job.run_count < job.route.max_attempts
        return is_allowed and self._site.try_acquire_retry(job.service, now_ms())

    def _count(self, target: TargetProcess, outcome: str) -> None:
        self._metrics.count("forwards", self._zone_label(target), outcome)

    def _count_bytes(
        self, target: TargetProcess, job: Job, raw_response: RawResponse
    ) -> None:
        byte_count = len(job.request.body) + len(raw_response.body)
        label = self._zone_label(target)
        self._metrics.count("forwarded_bytes", label, amount=byte_count)

    def _zone_label(self, target: TargetProcess) -> str:
        return "same" if target.zone == self._site.zone else "other"


def _read_problem(raw_response: RawResponse, headers: Mapping[str, str]) -> Problem:
    """Reads the refusal of another daemon, whose outcome is in a header field."""
    document = _parse_object(raw_response.body)
    number = document.get("code")
    code = CODES.get(number if type(number) is int else 0, codes.OUTCOME_UNKNOWN)
    outcome = headers[fields.OUTCOME.lower()]
    retry_after_ms = document.get("retry_after_ms")
    return Problem(
        code,
        fields.NOT_RUN if outcome == fields.NOT_RUN else fields.UNKNOWN,
        retry_after_ms=retry_after_ms if _is_number(retry_after_ms) else None,
        has_fractional_retry_after=True,
        added_headers=tuple(item for item in headers.items() if item[0] in KEPT_FIELDS),
    )


def _parse_object(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return {}
    return document if isinstance(document, dict) else {}


def _is_number(value: Any) -> bool:
    """Returns whether a value of a problem is a usable number."""
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    return is_number and 0 <= value <= MAX_EXACT_NUMBER
