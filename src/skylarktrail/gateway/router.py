"""Routes callers' requests to instances and retries those that may be retried."""

from __future__ import annotations

import threading
from typing import Callable

from result import Result

from ..core.gateway.key_check import check_key
from ..core.gateway.model import InstanceEntry
from ..core.gateway.ticket import Ticket
from ..daemon import fields
from ..daemon.problem import Problem
from ..daemon.routes import CallerRequest
from ..errors import caller as caller_codes
from ..errors import upstream as codes
from ..errors.code import Fault
from .attempt_judge import AttemptJudge
from .clock import now_ms
from .config_confirmer import ConfigConfirmer
from .connection_pool import ConnectionPool
from .disconnect_monitor import DisconnectMonitor
from .event_log import EventLog
from .exchange import Connection, OutgoingRequest, RawResponse
from .forwarding import ForwardedState, Forwarder, decode_state
from .header_codec import HeaderCodec
from .job import Attempt, Job
from .job_maker import JobMaker
from .leaving_notifier import LeavingNotifier
from .metrics import GatewayMetrics
from .outgoing import make_outgoing_request
from .quota_enforcer import QuotaEnforcer
from .rate_limiter import RateLimiter
from .reach_monitor import ReachMonitor
from .refusals import make_key_refusal, make_refusal, refusal_code
from .reply_recorder import Reply, ReplyRecorder
from .request_guard import RequestGuard
from .site_state import SiteState

QUEUE_POLL_MS = 20.0  # Longest time between two scheduling decisions for a request.
# Part of the remaining time after which an attempt at an idempotent request times out.
ATTEMPT_TIMEOUT_RATIO = 0.5
MAX_SENDS = 6  # Attempts per request, including those that the instance refused.
NOT_CONFIGURED_RETRY_MS = 200.0  # A starting daemon reads its configuration soon.
CLOSED_RETRY_MS = 20.0  # Another daemon accepts the retry at once.


class GatewayRouter:
    """Handles callers' requests; all methods are thread-safe.

    Args:
        site: State of the site.
        header_codec: Codec of the platform's header fields.
        connections: Pool of connections to instances.
        forwarder: Forwards requests to other daemons.
        reach_monitor: Decides whether this daemon reaches the instances.
        rate_limiter: Keeps the requests to an instance within the rate that it names.
        quota_enforcer: Keeps the requests of customers within their quotas.
        request_guard: Blocks requests that end the instances that run them.
        leaving_notifier: Records the instances that say that they leave.
        disconnect_monitor: Aborts requests whose callers disconnect.
        log: Receives a line for each request.
        metrics: Counts replies, refusals and attempts.
        confirmer: Knows whether the configuration is the newest; None if it always is.

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
        quota_enforcer: QuotaEnforcer,
        request_guard: RequestGuard,
        leaving_notifier: LeavingNotifier,
        disconnect_monitor: DisconnectMonitor,
        log: EventLog,
        metrics: GatewayMetrics,
        confirmer: ConfigConfirmer | None = None,
    ) -> None:
        self._site = site
        self._header_codec = header_codec
        self._connections = connections
        self._forwarder = forwarder
        self._reach_monitor = reach_monitor
        self._rate_limiter = rate_limiter
        self._quota_enforcer = quota_enforcer
        self._request_guard = request_guard
        self._disconnect_monitor = disconnect_monitor
        self._metrics = metrics
        self._confirmer = confirmer
        self._job_maker = JobMaker(site)
        self._judge = AttemptJudge(
            site,
            header_codec,
            connections,
            rate_limiter,
            request_guard,
            leaving_notifier,
        )
        self._recorder = ReplyRecorder(site, log, metrics)
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
        named = (name, request_id)
        return problem._replace(added_headers=(*problem.added_headers, named))

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
            problem = make_refusal(caller_codes.DRAINING, CLOSED_RETRY_MS)
            return self._recorder.record_unrouted(request, metadata, problem)
        if not self._is_configured(state):
            problem = make_refusal(caller_codes.NOT_CONFIGURED, NOT_CONFIGURED_RETRY_MS)
            return self._recorder.record_unrouted(request, metadata, problem)
        if state is not None and self._site.is_cut:
            problem = make_refusal(codes.DAEMON_CUT_OFF, CLOSED_RETRY_MS)
            return self._recorder.record_unrouted(request, metadata, problem)
        # Asked first, so that the configuration is at least as new as it says.
        freshness = self._confirmer.freshness() if self._confirmer else ()
        table = self._site.route_table
        route = table.find(request.headers.get("host", ""), request.path)
        if route is None:
            problem = Problem(caller_codes.ROUTE_UNKNOWN, fields.NOT_RUN)
            return self._recorder.record_unrouted(request, metadata, problem)
        key_decision = check_key(
            table.config.customers, route.is_public, metadata.api_key, *freshness
        )
        if key_decision.refusal_reason:
            problem = make_key_refusal(key_decision)
            return self._recorder.record_unrouted(
                request, metadata, problem, route, key_decision, self._config_age_ms()
            )
        if state is None:
            job = self._job_maker.make(request, metadata, route)
        else:
            job = self._job_maker.make_forwarded(request, metadata, route, state)
        job.customer = key_decision.customer
        job.is_key_checked = key_decision.is_checked
        reply = self._serve_within_quota(job)
        self._recorder.record(job, reply)
        return reply

    def _serve_within_quota(self, job: Job) -> Reply:
        """Serves a request unless it is over the quota of its customer.

        The daemon that forwards a request has counted it. One over the quota adds
        nothing to retry budgets and loads.
        """
        if job.is_forwarded:
            return self._refuse_blocked(job) or self._serve(job)
        refusal = self._quota_enforcer.acquire(job.customer, job.end_ms)
        if refusal is not None:
            job.quota_refusal = refusal
            return make_refusal(caller_codes.QUOTA_EXCEEDED, refusal.wait_ms)
        self._job_maker.count(job)
        reply = self._refuse_blocked(job) or self._serve(job)
        if isinstance(reply, Problem) and reply.outcome == fields.NOT_RUN:
            self._quota_enforcer.give_back(job.customer)
        return reply

    def _config_age_ms(self) -> float:
        return self._confirmer.age_ms() if self._confirmer else 0.0

    def _refuse_blocked(self, job: Job) -> Problem | None:
        """Returns the refusal of a request that ends the instances that run it."""
        blocked_ms = self._request_guard.blocked_ms(job.fingerprint)
        return make_refusal(codes.REQUEST_BLOCKED, blocked_ms) if blocked_ms else None

    def _is_configured(self, state: ForwardedState | None) -> bool:
        """Returns whether there is a configuration.

        For a forwarded request it must not be older than that of the other daemon.
        """
        table = self._site.route_table
        oldest_version = state.config_version if state else 0
        return table is not None and table.config.version >= oldest_version

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
            job.priority,
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
            attempt = self._judge.judge(job, ticket, result, elapsed_ms)
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
        left_ms = job.end_ms - now_ms()
        customer = job.customer.name if job.customer else ""
        added = codec.encode_for_instance(entry, left_ms, customer)
        return make_outgoing_request(job, entry.address, codec, added)

    def _release_connection(
        self, instance: str, connection: Connection, result: Result[RawResponse, Fault]
    ) -> None:
        if result.is_ok():
            self._reach_monitor.record_response()
            self._connections.release_connection(instance, connection, result.unwrap())
        else:
            connection.close(is_reset=True)

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
        code = refusal_code(job, ticket)
        if code is caller_codes.DRAINING:
            return make_refusal(code, CLOSED_RETRY_MS)
        wait_ms = self._site.scheduler.retry_after_ms(ticket, now_ms())
        return make_refusal(code, wait_ms)


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
