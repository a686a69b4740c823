"""Routes callers' requests to instances and retries those that may be retried."""

from __future__ import annotations

import threading
from typing import Callable, Protocol

from result import Result

from ..core.gateway.caller_retries import CallerRetryDetector
from ..core.gateway.harmful_requests import InstanceEnd
from ..core.gateway.model import InstanceEntry, Route
from ..core.gateway.ticket import Ticket
from ..daemon import fields
from ..daemon.problem import Problem
from ..daemon.response import Response
from ..daemon.routes import CallerRequest
from ..errors import caller as caller_codes
from ..errors import upstream as codes
from ..errors.code import Code, Fault
from .clock import now_ms
from .connection_pool import ConnectionPool
from .disconnect_monitor import DisconnectMonitor
from .event_log import EventLog
from .exchange import (
    CallerMetadata,
    Connection,
    OutgoingRequest,
    RawResponse,
    ResponseMetadata,
)
from .forwarding import ForwardedState, Forwarder, decode_state
from .job import Attempt, Job
from .metrics import GatewayMetrics
from .outgoing import make_outgoing_request
from .rate_limiter import RateLimiter
from .reach_monitor import ReachMonitor
from .request_guard import RequestGuard
from .site_state import SiteState

QUEUE_POLL_MS = 20.0  # Longest time between two scheduling decisions for a request.
# Part of the remaining time after which an attempt at an idempotent request times out.
ATTEMPT_TIMEOUT_RATIO = 0.5
MAX_SENDS = 6  # Attempts per request, including those that the instance refused.
NOT_CONFIGURED_RETRY_MS = 200.0  # A starting daemon reads its configuration soon.
CLOSED_RETRY_MS = 20.0  # Another daemon accepts the retry at once.
MISDIRECTED_STATUS = 421
# These mean "not run", which an instance has to confirm by a header field.
NOT_RUN_STATUSES = frozenset((408, MISDIRECTED_STATUS, 429, 503))
Reply = Response | Problem


class HeaderCodec(Protocol):
    """Codec of the platform's header fields.

    Attributes:
        REQUEST_ID: Name of the header field with the request id.
        REPLACED_FIELDS: Names, in lower case, of fields that the daemon sets itself.
    """

    REQUEST_ID: str
    REPLACED_FIELDS: frozenset[str]

    def decode_caller(self, headers: dict[str, str]) -> CallerMetadata:
        """Decodes the metadata of a caller's request."""

    def encode_for_instance(
        self, entry: InstanceEntry, remaining_ms: float
    ) -> fields.Fields:
        """Returns the header fields that the daemon adds to a request.

        Args:
            entry: Instance that the request is sent to.
            remaining_ms: Time until the caller gives up.
        """

    def decode_response(self, headers: dict[str, str]) -> ResponseMetadata:
        """Decodes the metadata of an instance's response."""


class GatewayRouter:
    """Handles callers' requests; all methods are thread-safe.

    Args:
        site: State of the site.
        header_codec: Codec of the platform's header fields.
        connections: Pool of connections to instances.
        forwarder: Forwards requests to other daemons.
        reach_monitor: Decides whether this daemon reaches the instances.
        rate_limiter: Keeps the requests to an instance within the rate that it names.
        request_guard: Blocks requests that end the instances that run them.
        disconnect_monitor: Aborts requests whose callers disconnect.
        log: Receives a line for each request.
        metrics: Counts replies, refusals and attempts.

    Attributes:
        is_draining: Whether the daemon shuts down.
        is_closed: Whether new requests are refused, shortly before the daemon ends.
    """

    def __init__(
        self,
        site: SiteState,
        header_codec: HeaderCodec,
        connections: ConnectionPool,
        forwarder: Forwarder,
        reach_monitor: ReachMonitor,
        rate_limiter: RateLimiter,
        request_guard: RequestGuard,
        disconnect_monitor: DisconnectMonitor,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._site = site
        self._header_codec = header_codec
        self._connections = connections
        self._forwarder = forwarder
        self._reach_monitor = reach_monitor
        self._rate_limiter = rate_limiter
        self._request_guard = request_guard
        self._disconnect_monitor = disconnect_monitor
        self._log = log
        self._metrics = metrics
        self._caller_retries = CallerRetryDetector()
        self._lock = threading.Lock()
        self._open_count = 0
        self.is_draining = False
        self.is_closed = False

    @property
    def open_requests(self) -> int:
        """Returns the number of requests in flight."""
        return self._open_count

    def handle(self, request: CallerRequest) -> Reply:
        """Returns the instance's complete response or a refusal."""
        return self._handle(request, None)

    def handle_forwarded(self, request: CallerRequest) -> Reply:
        """Handles a request that another daemon forwards; it is not forwarded again.

        A refusal names the request, so that the other daemon can tell it from one of
        an earlier request on the same connection.
        """
        state = decode_state(request.headers.get(fields.FORWARDED.lower(), ""))
        if state is None:
            problem = Problem(caller_codes.REQUEST_MALFORMED, fields.NOT_RUN)
            return self._name_request(request, problem)
        reply = self._handle(request, state)
        if isinstance(reply, Problem):
            return self._name_request(request, reply)
        return reply

    def _name_request(self, request: CallerRequest, problem: Problem) -> Problem:
        name = self._header_codec.REQUEST_ID
        request_id = request.headers.get(name.lower())
        if request_id is None:
            return problem
        return problem._replace(added_headers=((name, request_id),))

    def _handle(self, request: CallerRequest, state: ForwardedState | None) -> Reply:
        with self._lock:
            self._open_count += 1
        try:
            return self._route(request, state)
        finally:
            with self._lock:
                self._open_count -= 1

    def _route(self, request: CallerRequest, state: ForwardedState | None) -> Reply:
        metadata = self._header_codec.decode_caller(request.headers)
        if self.is_closed:
            problem = _make_refusal(caller_codes.DRAINING, CLOSED_RETRY_MS)
            return self._record_unrouted(request, metadata, problem)
        if not self._is_configured(state):
            problem = _make_refusal(
                caller_codes.NOT_CONFIGURED, NOT_CONFIGURED_RETRY_MS
            )
            return self._record_unrouted(request, metadata, problem)
        if state is not None and self._site.is_cut:
            problem = _make_refusal(codes.DAEMON_CUT_OFF, CLOSED_RETRY_MS)
            return self._record_unrouted(request, metadata, problem)
        route = self._site.find_route(request.headers.get("host", ""), request.path)
        if route is None:
            problem = Problem(caller_codes.ROUTE_UNKNOWN, fields.NOT_RUN)
            return self._record_unrouted(request, metadata, problem)
        if state is None:
            job = self._make_job(request, metadata, route)
        else:
            job = self._make_forwarded_job(request, metadata, route, state)
        reply = self._refuse_blocked(job) or self._serve(job)
        self._record_reply(job, reply)
        return reply

    def _refuse_blocked(self, job: Job) -> Problem | None:
        """Returns the refusal of a request that ends the instances that run it."""
        blocked_ms = self._request_guard.blocked_ms(job.fingerprint)
        return _make_refusal(codes.REQUEST_BLOCKED, blocked_ms) if blocked_ms else None

    def _is_configured(self, state: ForwardedState | None) -> bool:
        """Returns whether there is a configuration.

        For a forwarded request it must not be older than that of the other daemon.
        """
        table = self._site.route_table
        oldest_version = state.config_version if state else 0
        return table is not None and table.config.version >= oldest_version

    def _make_job(
        self, request: CallerRequest, metadata: CallerMetadata, route: Route
    ) -> Job:
        service = self._site.choose_service(route)
        job = Job(request, metadata, route, service)
        if self._site.service(service).is_keyed:
            job.key_hash = metadata.key_hash
        requested_ms = metadata.deadline_ms or route.timeout_ms
        job.end_ms = job.start_ms + min(requested_ms, route.timeout_ms)
        spent_ms = self._estimate_spent_ms(route, metadata)
        job.is_return = spent_ms > 0
        job.target_end_ms = job.start_ms + route.target_ms - spent_ms
        self._site.record_first_attempt(service, job.start_ms)
        if job.key_hash is not None:
            self._site.count_key(service, job.key_hash)
        return job

    def _make_forwarded_job(
        self,
        request: CallerRequest,
        metadata: CallerMetadata,
        route: Route,
        state: ForwardedState,
    ) -> Job:
        """Makes a job without counting the request again for budgets and loads."""
        services = [item.service for item in route.weighted_services]
        is_known = state.service in services
        service = state.service if is_known else self._site.choose_service(route)
        job = Job(request, metadata, route, service)
        if self._site.service(service).is_keyed:
            job.key_hash = metadata.key_hash
        job.end_ms = job.start_ms + state.left_ms
        job.target_end_ms = job.start_ms + state.target_left_ms
        job.is_return = state.is_return
        job.is_forwarded = True
        job.earlier_run_count = state.run_count
        return job

    def _estimate_spent_ms(self, route: Route, metadata: CallerMetadata) -> float:
        """Estimates how long the caller has been trying; 0 for a first attempt."""
        if not metadata.deadline_ms:
            return 0.0
        with self._lock:
            return self._caller_retries.observe_deadline(
                route.name, metadata.deadline_ms
            )

    def _serve(self, job: Job) -> Reply:
        avoided: set[str] = set()
        while True:
            ticket = self._wait_for_instance(job, avoided)
            if ticket.instance is None:
                return self._forward(job, ticket) or self._make_final_reply(job, ticket)
            attempt = self._attempt(job, ticket)
            job.attempts.append(attempt)
            self._metrics.count("attempts", job.service, attempt.outcome)
            if attempt.is_final and attempt.response is not None:
                return attempt.response
            job.fallback_response = attempt.response or job.fallback_response
            avoided.add(attempt.instance)
            if not self._may_retry(job, attempt):
                return self._make_final_reply(job, ticket)

    def _forward(self, job: Job, ticket: Ticket) -> Reply | None:
        """Forwards a request for which only another daemon reaches an instance.

        Returns:
            The reply, or None if the request is not forwarded or none can serve it.
        """
        if ticket.refusal_reason != "cut_off" or job.is_forwarded:
            return None
        reply = self._forwarder.forward(job, ticket)
        is_refused = isinstance(reply, Problem)
        return job.fallback_response or reply if is_refused else reply

    def _wait_for_instance(self, job: Job, avoided: set[str]) -> Ticket:
        decided = threading.Event()
        ticket = Ticket(
            job.route,
            job.service,
            job.key_hash,
            job.end_ms,
            job.target_end_ms,
            job.is_return or bool(job.attempts),
            decided.set,
        )
        ticket.avoided_instances = avoided
        self._site.submit(ticket, now_ms())
        self._rate_limiter.request_permits()
        while not ticket.is_decided:
            left_ms = job.end_ms - now_ms()
            decided.wait(max(0.001, min(QUEUE_POLL_MS, left_ms) / 1000))
            if not ticket.is_decided:
                self._site.poll(now_ms())
                self._rate_limiter.request_permits()
            if job.request.is_disconnected():
                self._site.cancel(ticket, now_ms())
                ticket.instance = None
                ticket.refusal_reason = "left"
        return ticket

    def _attempt(self, job: Job, ticket: Ticket) -> Attempt:
        """Sends the request to the instance of the ticket."""
        instance = ticket.instance
        assert instance is not None
        entry = instance.entry
        sent_ms = now_ms()
        try:
            result = self._exchange(
                job, entry, lambda: self._attempt_end_ms(job, sent_ms)
            )
        except Exception:  # Else the request would count as in flight for good.
            self._site.finish(ticket, now_ms())
            raise
        elapsed_ms = now_ms() - sent_ms
        with self._site.lock:
            self._site.finish(ticket, now_ms())
            if result.is_err():
                attempt = self._handle_fault(job, ticket, result.unwrap_err())
            else:
                attempt = self._handle_response(
                    job, ticket, result.unwrap(), elapsed_ms
                )
        return attempt._replace(
            waited_ms=ticket.placed_ms - ticket.submitted_ms,
            took_ms=elapsed_ms,
            occupancy=ticket.occupancy,
        )

    def _attempt_end_ms(self, job: Job, at_ms: float) -> float:
        """Returns when to give up an attempt without a response.

        An attempt ends early only if another instance may serve the request. That is
        not so for keyed requests, as a key has one owner. A draining daemon lets
        running attempts complete.
        """
        attempt_count = job.earlier_run_count + len(job.attempts) + 1
        is_last = attempt_count >= job.route.max_attempts
        must_keep_attempt = job.key_hash is not None or self.is_draining
        if not job.route.is_idempotent or is_last or must_keep_attempt:
            return job.end_ms
        return at_ms + (job.end_ms - at_ms) * ATTEMPT_TIMEOUT_RATIO

    def _exchange(
        self, job: Job, entry: InstanceEntry, get_end_ms: Callable[[], float]
    ) -> Result[RawResponse, Fault]:
        acquired = self._connections.acquire(
            entry.instance,
            entry.address,
            get_end_ms() - now_ms(),
            job.metadata.request_id,
            not job.route.is_idempotent,
        )
        if acquired.is_err():
            return acquired
        connection = acquired.unwrap()
        with self._disconnect_monitor.watch(job.request.is_disconnected, connection):
            result = connection.exchange(self._make_request(job, entry), get_end_ms)
        self._release_connection(entry.instance, connection, result)
        return result

    def _make_request(self, job: Job, entry: InstanceEntry) -> OutgoingRequest:
        codec = self._header_codec
        added = codec.encode_for_instance(entry, job.end_ms - now_ms())
        return make_outgoing_request(job, entry.address, codec.REPLACED_FIELDS, added)

    def _release_connection(
        self, instance: str, connection: Connection, result: Result[RawResponse, Fault]
    ) -> None:
        if result.is_ok():
            self._reach_monitor.record_response()
            self._connections.release_connection(instance, connection, result.unwrap())
        else:
            connection.close(is_reset=True)

    def _handle_fault(self, job: Job, ticket: Ticket, fault: Fault) -> Attempt:
        instance = ticket.instance
        assert instance is not None
        name = instance.entry.instance
        if fault.code is codes.INSTANCE_UNREACHED:
            instance.suspend(now_ms())
            self._connections.close_idle(name)
            return Attempt(name, fault.code.name, False, was_sent=False)
        if fault.code is not codes.ATTEMPT_CUT:
            instance.record_failure()
        if fault.code is codes.INSTANCE_SILENT:
            self._connections.close_idle(name)
        if fault.code is codes.INSTANCE_BROKEN:
            self._request_guard.record_end(
                InstanceEnd(job.fingerprint, name, instance.entry.start_ms)
            )
        return Attempt(name, fault.code.name)

    def _handle_response(
        self, job: Job, ticket: Ticket, raw_response: RawResponse, elapsed_ms: float
    ) -> Attempt:
        instance = ticket.instance
        assert instance is not None
        headers = raw_response.field_map()
        metadata = self._header_codec.decode_response(headers)
        name = instance.entry.instance
        if metadata.load is not None:
            instance.record_load_report(metadata.load, now_ms())
        if metadata.cold_ms is not None:
            instance.update_cold_time(metadata.cold_ms, now_ms())
        if metadata.is_signed or metadata.rate_limit_per_s is not None:
            self._rate_limiter.observe(instance, metadata.rate_limit_per_s)
        if raw_response.status == MISDIRECTED_STATUS:
            return self._handle_misdirected(job, ticket, metadata)
        is_success = 200 <= raw_response.status < 300
        if metadata.is_not_run and not is_success:
            instance.record_failure()
            return Attempt(name, "NOT_RUN", False)
        is_unmodified = metadata.is_signed and "content-encoding" not in headers
        is_contradictory = metadata.is_not_run  # A success that says "not run".
        is_unconfirmed = raw_response.status in NOT_RUN_STATUSES
        if not is_unmodified or is_contradictory or is_unconfirmed:
            instance.record_failure()
            return Attempt(name, codes.INSTANCE_GARBLED.name)
        response = Response(raw_response.status, raw_response.fields, raw_response.body)
        if raw_response.status >= 500:
            instance.record_failure()
            return Attempt(name, "FAILED", True, response, not job.route.is_idempotent)
        self._site.scheduler.record_response(ticket, elapsed_ms)
        self._request_guard.record_answer(job.fingerprint)
        if job.key_hash is not None:
            self._site.record_held_key(job.service, job.key_hash)
        return Attempt(name, "ANSWERED", True, response, True)

    def _handle_misdirected(
        self, job: Job, ticket: Ticket, metadata: ResponseMetadata
    ) -> Attempt:
        instance = ticket.instance
        assert instance is not None
        name = instance.entry.instance
        is_other_instance = bool(metadata.instance) and metadata.instance != name
        if is_other_instance or job.key_hash is None:
            instance.suspend(now_ms())
            return Attempt(name, "OTHER_INSTANCE", False)
        self._site.record_unheld_key(job.service, job.key_hash, name, now_ms())
        return Attempt(name, "UNHELD", False)

    def _may_retry(self, job: Job, attempt: Attempt) -> bool:
        if attempt.outcome == codes.ATTEMPT_CUT.name or job.request.is_disconnected():
            return False
        if attempt.may_have_run:
            is_last = job.run_count >= job.route.max_attempts
            if not job.route.is_idempotent or is_last:
                return False
        if len(job.attempts) >= MAX_SENDS or now_ms() >= job.end_ms:
            return False
        if self._request_guard.blocked_ms(job.fingerprint):
            return False
        if job.key_hash is not None and not attempt.was_sent:
            return False
        return not attempt.was_sent or self._site.try_acquire_retry(
            job.service, now_ms()
        )

    def _make_final_reply(self, job: Job, ticket: Ticket) -> Reply:
        """Returns the reply to a request that is not attempted again."""
        if job.fallback_response is not None:
            return job.fallback_response
        if job.may_have_run:
            is_late = now_ms() >= job.end_ms
            code = caller_codes.ANSWER_LATE if is_late else codes.OUTCOME_UNKNOWN
            return Problem(code, fields.UNKNOWN)
        job.refused = ticket
        wait_ms = self._site.scheduler.retry_after_ms(ticket, now_ms())
        return _make_refusal(_refusal_code(job, ticket), wait_ms)

    def _record_unrouted(
        self, request: CallerRequest, metadata: CallerMetadata, problem: Problem
    ) -> Problem:
        self._metrics.count_refusal("", problem.code)
        self._log.write(
            "request_refused",
            request=metadata.request_id,
            code=problem.code.name,
            host=request.headers.get("host", ""),
            path=request.path,
            **self._site.versions(now_ms())._asdict(),
        )
        return problem

    def _record_reply(self, job: Job, reply: Reply) -> None:
        """Counts a reply and logs the data from which it can be explained."""
        elapsed_ms = now_ms() - job.start_ms
        is_problem = isinstance(reply, Problem)
        status = reply.code.status if is_problem else reply.status
        self._metrics.observe(job.route.name, status, elapsed_ms)
        if is_problem:
            self._metrics.count_refusal(job.service, reply.code)
        self._log.write(
            "request_refused" if is_problem else "request_answered",
            request=job.metadata.request_id,
            route=job.route.name,
            service=job.service,
            key_hash=job.key_hash,
            status=status,
            code=reply.code.name if is_problem else "",
            retry_after_ms=round(reply.retry_after_ms or 0) if is_problem else 0,
            took_ms=round(elapsed_ms, 1),
            time_ms=round(job.end_ms - job.start_ms),
            is_return=job.is_return,
            is_forwarded=job.is_forwarded,
            fingerprint=job.fingerprint if _is_suspect(job, reply) else "",
            **job.refusal_log_fields(),
            attempts=[item.log_fields() for item in job.attempts],
            **self._site.versions(now_ms())._asdict(),
        )


class ForwardedHandler:
    """Handles the requests that other daemons forward.

    Args:
        router: Serves the requests.
    """

    def __init__(self, router: GatewayRouter) -> None:
        self._router = router

    def handle(self, request: CallerRequest) -> Reply:
        """Returns the instance's complete response or a refusal."""
        return self._router.handle_forwarded(request)


def _is_suspect(job: Job, reply: Reply) -> bool:
    """Returns whether instances may have ended while they ran the request."""
    if isinstance(reply, Problem) and reply.code is codes.REQUEST_BLOCKED:
        return True
    return any(item.outcome == codes.INSTANCE_BROKEN.name for item in job.attempts)


def _refusal_code(job: Job, ticket: Ticket) -> Code:
    if ticket.refusal_reason == "rate_limited":
        return codes.INSTANCE_LIMITED
    if ticket.refusal_reason == "cut_off":
        return codes.DAEMON_CUT_OFF
    if ticket.refusal_reason in ("overload", "shed", "timeout", "left"):
        return codes.WAIT_TOO_LONG
    if job.attempts and not job.attempts[-1].was_sent:
        return codes.UPSTREAM_UNREACHABLE
    if job.attempts:
        return codes.UPSTREAM_REFUSED
    return codes.SERVER_WITHDRAWN if job.key_hash is not None else codes.CAPACITY_NONE


def _make_refusal(code: Code, wait_ms: float) -> Problem:
    return Problem(
        code, fields.NOT_RUN, retry_after_ms=wait_ms, has_fractional_retry_after=True
    )
