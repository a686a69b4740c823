"""Routes callers' requests to the server or upstream that handles them."""

from __future__ import annotations

import threading

from ..core.hashing import hash_key
from ..core.idempotency.keys import digest_of
from ..core.owner_directory import Owner, OwnerDirectory
from ..core.traffic.messages import RequestInfo
from ..errors import caller as caller_codes
from ..errors import ownership as ownership_codes
from ..errors.code import Code, Fault
from . import fields
from .clock import now_ms
from .dispatch import (
    Dispatcher,
    DispatchResult,
    OutboundRequest,
    jittered_retry_after_ms,
)
from .home_client import HomeClient
from .key_minting import is_key_minting_path, mint_key
from .loads import LoadMeters
from .metric_names import OTHER_LABEL
from .metrics import Metrics
from .problem import Problem
from .response import Response
from .routes import CallerRequest, ResolvedRequest, RouteTable

MAX_OWNER_ATTEMPTS = 4
OWNER_WAIT_MS = 250
MAX_OWNER_WAITERS = 8
TRANSIENT_CODES = frozenset((caller_codes.DRAINING, caller_codes.NOT_CONFIGURED))
EARLIER_ATTEMPT_DETAIL = (
    "This attempt did not run; an earlier one with the key may have. "
    "Repeat with the same key; it is safe."
)


class Router:
    """Handles callers' requests.

    The publisher replaces the route table as a whole, so that the callers' threads
    can read it without a lock.

    Args:
        directory: Returns the owners of keys.
        dispatcher: Sends requests to instances.
        homes: Runs requests with an idempotency key.
        metrics: Counts finished requests.
        loads: Measures the load of slices.

    Attributes:
        is_draining: Whether new requests are refused.
    """

    def __init__(
        self,
        directory: OwnerDirectory,
        dispatcher: Dispatcher,
        homes: HomeClient,
        metrics: Metrics,
        loads: LoadMeters,
    ) -> None:
        self._dispatcher = dispatcher
        self._homes = homes
        self._metrics = metrics
        self._loads = loads
        self._routes = RouteTable({})
        self._directory = directory
        self._owner_changed = threading.Condition()
        self._owner_waiters = threading.Semaphore(MAX_OWNER_WAITERS)
        self._in_flight = 0
        self._in_flight_lock = threading.Lock()
        self.is_draining = False

    @property
    def in_flight(self) -> int:
        """Number of requests that have no response yet."""
        return self._in_flight

    def set_routes(self, routes: RouteTable) -> None:
        """Replaces the routes by those of another operator file."""
        self._routes = routes

    def notify_owners_changed(self) -> None:
        """Wakes the requests that wait for another owner."""
        with self._owner_changed:
            self._owner_changed.notify_all()

    def handle(self, request: CallerRequest) -> Response | Problem:
        """Returns the complete response, or a refusal with the request's outcome."""
        if is_key_minting_path(request.path):
            return mint_key(request.method)
        with self._in_flight_lock:
            self._in_flight += 1
        try:
            reply = self._handle(request)
        finally:
            with self._in_flight_lock:
                self._in_flight -= 1
        if isinstance(reply, Problem):
            self._count_refusal(request, reply)
        return reply

    def _count_refusal(self, request: CallerRequest, refusal: Problem) -> None:
        route = self._routes.match(request.path)
        self._metrics.count_refusal(
            route.service if route else OTHER_LABEL, refusal.code
        )

    def _handle(self, request: CallerRequest) -> Response | Problem:
        if self.is_draining:
            return self._refuse(request, Fault(caller_codes.DRAINING))
        resolution = self._routes.resolve(request)
        if resolution.is_err():
            return self._refuse(request, resolution.err_value)
        resolved = resolution.ok_value
        reply = self._run(request, resolved)
        self._metrics.observe_request(
            resolved.tenant,
            resolved.route.service,
            reply.outcome if isinstance(reply, Problem) else "answered",
            now_ms() - request.received_ms,
        )
        return reply

    def _refuse(self, request: CallerRequest, fault: Fault) -> Problem:
        """Returns the refusal of a request that was sent nowhere.

        If the request has an idempotency key and is not idempotent, its outcome is
        unknown: an earlier attempt with the key may have run through another daemon
        or under another operator file.
        """
        retry_ms = jittered_retry_after_ms() if fault.code in TRANSIENT_CODES else None
        problem = Problem(fault.code, fields.NOT_RUN, fault.detail, retry_ms)
        if fault.code is caller_codes.METHOD_REFUSED:
            allowed = self._routes.allowed_methods(request.path)
            problem = problem._replace(allowed_methods=allowed)
        if not request.has_idempotency_key() or self._routes.is_idempotent(request):
            return problem
        detail = f"{fault.detail or fault.code.remedy} {EARLIER_ATTEMPT_DETAIL}"
        return problem._replace(
            outcome=fields.UNKNOWN,
            detail=detail,
            retry_after_ms=jittered_retry_after_ms(),
            attempt=fields.NOT_RUN,
        )

    def _run(
        self, request: CallerRequest, resolved: ResolvedRequest
    ) -> Response | Problem:
        key = request.field(fields.IDEMPOTENCY_KEY)
        if resolved.is_idempotent or key is None:
            return self._dispatch(request, resolved, ()).reply
        return self._homes.run_once(
            key,
            _request_digest(request, resolved),
            resolved.deadline_ms,
            lambda extra_headers: self._dispatch(request, resolved, extra_headers),
        )

    def _dispatch(
        self,
        request: CallerRequest,
        resolved: ResolvedRequest,
        extra_headers: fields.Fields,
    ) -> DispatchResult:
        headers = fields.filter_request_fields(list(request.headers.items()))
        headers.extend(extra_headers)
        if resolved.route.is_keyed:
            return self._dispatch_keyed(request, resolved, headers)
        return self._dispatcher.dispatch(
            _make_outbound_request(request, resolved, headers, None)
        )

    def _dispatch_keyed(
        self, request: CallerRequest, resolved: ResolvedRequest, headers: fields.Fields
    ) -> DispatchResult:
        service, key_hash = resolved.route.service, hash_key(resolved.key)
        owner = self._directory.owner(service, key_hash)
        keyed = _replace_key_field(headers, resolved.key)
        for _ in range(MAX_OWNER_ATTEMPTS):
            if owner is None:
                return _make_unsent_result(
                    _not_run_problem(
                        ownership_codes.OWNER_NONE, jittered_retry_after_ms()
                    )
                )
            self._loads.record_request(service, owner.start, key_hash)
            fence = (fields.FENCE, str(owner.fence))
            outbound = _make_outbound_request(
                request, resolved, [*keyed, fence], owner.server
            )
            dispatch_result = self._dispatcher.dispatch(outbound)
            if not dispatch_result.is_misdirected or dispatch_result.may_have_run:
                return dispatch_result
            newer_owner = self._wait_for_newer_owner(resolved, key_hash, owner)
            if newer_owner == owner:
                return dispatch_result
            owner = newer_owner
        return dispatch_result

    def _wait_for_newer_owner(
        self, resolved: ResolvedRequest, key_hash: int, owner: Owner
    ) -> Owner | None:
        """Returns the current owner, after a short wait if it has not changed."""
        service = resolved.route.service
        until_ms = min(now_ms() + OWNER_WAIT_MS, resolved.deadline_ms)
        if not self._owner_waiters.acquire(blocking=False):
            return self._directory.owner(service, key_hash)
        try:
            with self._owner_changed:
                self._owner_changed.wait_for(
                    lambda: self._directory.owner(service, key_hash) != owner,
                    max(until_ms - now_ms(), 0) / 1000,
                )
            return self._directory.owner(service, key_hash)
        finally:
            self._owner_waiters.release()


def _not_run_problem(code: Code, retry_after_ms: float) -> Problem:
    return Problem(code, fields.NOT_RUN, retry_after_ms=retry_after_ms)


def _replace_key_field(headers: fields.Fields, key: str) -> fields.Fields:
    others = [field for field in headers if field[0].lower() != fields.KEY.lower()]
    return [*others, (fields.KEY, key)]


def _make_unsent_result(problem: Problem) -> DispatchResult:
    return DispatchResult(problem, None, False, "")


def _make_outbound_request(
    request: CallerRequest,
    resolved: ResolvedRequest,
    headers: fields.Fields,
    pinned_instance: str | None,
) -> OutboundRequest:
    info = RequestInfo(
        resolved.route.service,
        resolved.tenant,
        resolved.is_idempotent,
        resolved.deadline_ms,
        pinned_instance,
    )
    query = f"?{request.query}" if request.query else ""
    return OutboundRequest(
        info, request.method, request.path + query, headers, request.body
    )


def _request_digest(request: CallerRequest, resolved: ResolvedRequest) -> bytes:
    """Returns a digest of all parts that must be equal in a retry of the request."""
    texts = (resolved.tenant, resolved.key, request.method, request.path, request.query)
    return digest_of(*(text.encode() for text in texts), request.body)
