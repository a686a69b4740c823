"""Judges what the response or the fault of an attempt means for its request."""

from __future__ import annotations

from result import Result

from ..core.gateway.harmful_requests import InstanceEnd
from ..core.gateway.ticket import Ticket
from ..daemon.response import Response
from ..errors import upstream as codes
from ..errors.code import Fault
from .clock import now_ms
from .connection_pool import ConnectionPool
from .exchange import RawResponse, ResponseMetadata
from .header_codec import HeaderCodec
from .job import Attempt, Job
from .leaving_notifier import LeavingNotifier
from .rate_limiter import RateLimiter
from .request_guard import RequestGuard
from .site_state import SiteState

MISDIRECTED_STATUS = 421
# These mean "not run", which an instance has to confirm by a header field.
NOT_RUN_STATUSES = frozenset((408, MISDIRECTED_STATUS, 429, 503))


class AttemptJudge:
    """Judges attempts and records what they show of their instances.

    Args:
        site: State of the site.
        header_codec: Codec of the platform's header fields.
        connections: Pool of connections to instances.
        rate_limiter: Keeps the requests to an instance within the rate that it names.
        request_guard: Blocks requests that end the instances that run them.
        leaving_notifier: Records the instances that say that they leave.
    """

    def __init__(
        self,
        site: SiteState,
        header_codec: HeaderCodec,
        connections: ConnectionPool,
        rate_limiter: RateLimiter,
        request_guard: RequestGuard,
        leaving_notifier: LeavingNotifier,
    ) -> None:
        self._site = site
        self._header_codec = header_codec
        self._connections = connections
        self._rate_limiter = rate_limiter
        self._request_guard = request_guard
        self._leaving_notifier = leaving_notifier

    def judge(
        self,
        job: Job,
        ticket: Ticket,
        result: Result[RawResponse, Fault],
        elapsed_ms: float,
    ) -> Attempt:
        """Returns the attempt of a ticket; the caller holds the lock of the site.

        Args:
            job: The request.
            ticket: The ticket, with the instance that it was sent to.
            result: Response or fault of the exchange.
            elapsed_ms: How long the exchange took.
        """
        if result.is_err():
            return self._handle_fault(job, ticket, result.unwrap_err())
        return self._handle_response(job, ticket, result.unwrap(), elapsed_ms)

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
        if metadata.is_leaving and _is_from(name, metadata):
            self._leaving_notifier.observe(instance)
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


def _is_from(instance: str, metadata: ResponseMetadata) -> bool:
    """Returns whether a response is the word of an instance.

    Bytes that are no answer of its service have no signature and do not name it.
    """
    is_signed = metadata.is_signed and not metadata.instance
    return is_signed or metadata.instance == instance
