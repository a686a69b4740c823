"""Exchanges the rate limits of instances, and permits, with the other daemons."""

from __future__ import annotations

from concurrent.futures import Future

from ..core.gateway.instance import Instance
from ..core.gateway.permits import IssuedPermits, PermitRequest, RateLimit
from ..peer.hub import Responder
from ..peer.limit_messages import (
    GatewayPermitRequest,
    GatewayPermits,
    GatewayRateLimits,
    RateLimitReport,
)
from .clock import now_ms
from .event_log import EventLog
from .messenger import Messenger
from .site_permits import SitePermits
from .site_state import SiteState

# The granter usually replies within a few milliseconds. A caller's request waits that
# long, unless the granter was lost.
PERMIT_TIMEOUT_MS = 200
# The granter repeats all limits, for daemons that missed one or have just started.
REPEAT_INTERVAL_MS = 1000.0
# A smaller change of a limit is not reported at once; it goes with the next request.
REPORTED_CHANGE_RATIO = 0.1


class RateLimiter:
    """Keeps this daemon's requests within the rates that instances name.

    All methods are thread-safe.

    Args:
        site: State of the site.
        messenger: Sends messages to the other daemons and dispatches those received.
        log: Receives a line when an instance names another rate.
    """

    def __init__(self, site: SiteState, messenger: Messenger, log: EventLog) -> None:
        self._permits = SitePermits(site)
        self._messenger = messenger
        self._log = log
        messenger.add_handler(GatewayRateLimits, self._handle_limits)
        messenger.add_handler(GatewayPermitRequest, self._handle_permit_request)

    def observe(self, instance: Instance, per_s: float | None) -> None:
        """Records the rate that an instance names in a response, or that it names none.

        Args:
            instance: The instance.
            per_s: Requests per second that it accepts from all daemons together.
        """
        known = instance.rate_limit
        if per_s is None and not known.is_limited:
            return
        limit = known._replace(
            is_limited=per_s is not None, per_s=per_s or 0.0, observed_ms=now_ms()
        )
        if self._permits.record_rate_limit(limit, now_ms()):
            self._log_limit(limit, "")
            if _is_reported_at_once(known, limit):
                self._report([limit])

    def request_permits(self) -> None:
        """Asks for the permits that requests wait for."""
        for request in self._permits.pop_permit_requests(now_ms()):
            if self._messenger.is_granter():
                reply = self._permits.issue_permits(request, now_ms())
                self._permits.record_permits(request.instance, reply, now_ms())
            elif not self._messenger.is_granter_alive():
                self._permits.take_own_permits(request, now_ms())
            else:
                self._request_from_granter(request)

    def run_once(self) -> float:
        """Repeats all limits as granter; returns the pause in milliseconds."""
        if self._messenger.is_granter():
            limits = self._permits.rate_limits()
            if limits:
                self._messenger.broadcast(_make_message(limits))
        return REPEAT_INTERVAL_MS

    def _request_from_granter(self, request: PermitRequest) -> None:
        limit = self._permits.find_rate_limit(request.instance)
        if limit is None:
            return
        message = GatewayPermitRequest(
            _make_report(limit), request.per_s, request.count
        )

        def handle_reply(future: Future) -> None:
            outcome = future.result()
            if outcome.is_err() or not isinstance(outcome.unwrap(), GatewayPermits):
                self._permits.take_own_permits(request, now_ms())
                return
            reply = outcome.unwrap()
            self._record_limit(reply.limit, "granter")
            permits = IssuedPermits(reply.count, reply.wait_ms)
            self._permits.record_permits(request.instance, permits, now_ms())
            self.request_permits()

        future = self._messenger.request_granter(message, PERMIT_TIMEOUT_MS)
        future.add_done_callback(handle_reply)

    def _handle_permit_request(
        self, daemon: str, message: GatewayPermitRequest, reply: Responder
    ) -> None:
        if not self._messenger.is_granter():
            return
        if self._record_limit(message.limit, daemon):
            self._broadcast_limit(message.limit.instance)
        instance = message.limit.instance
        request = PermitRequest(instance, message.per_s, message.count)
        issued = self._permits.issue_permits(request, now_ms())
        limit = self._permits.find_rate_limit(instance) or _read_report(message.limit)
        reply(GatewayPermits(_make_report(limit), issued.count, issued.wait_ms))

    def _handle_limits(
        self, daemon: str, message: GatewayRateLimits, _: Responder
    ) -> None:
        changed = [r for r in message.limits if self._record_limit(r, daemon)]
        if self._messenger.is_granter():
            for report in changed:
                self._broadcast_limit(report.instance)

    def _record_limit(self, report: RateLimitReport, told_by: str) -> bool:
        limit = _read_report(report)
        is_changed = self._permits.record_rate_limit(limit, now_ms())
        if is_changed:
            self._log_limit(limit, told_by)
        return is_changed

    def _report(self, limits: list[RateLimit]) -> None:
        """Sends limits to the granter, which broadcasts them; without one to all."""
        message = _make_message(limits)
        if self._messenger.is_granter() or not self._messenger.is_granter_alive():
            self._messenger.broadcast(message)
        else:
            self._messenger.send_to_granter(message)

    def _broadcast_limit(self, instance: str) -> None:
        limit = self._permits.find_rate_limit(instance)
        if limit is not None:
            self._messenger.broadcast(_make_message([limit]))

    def _log_limit(self, limit: RateLimit, told_by: str) -> None:
        self._log.state(
            "instance_rate_limit",
            instance=limit.instance,
            per_s=limit.per_s if limit.is_limited else None,
            told_by=told_by,
        )


def _is_reported_at_once(before: RateLimit, after: RateLimit) -> bool:
    if before.is_limited != after.is_limited:
        return True
    change = abs(after.per_s - before.per_s)
    return change > REPORTED_CHANGE_RATIO * before.per_s


def _make_message(limits: list[RateLimit]) -> GatewayRateLimits:
    return GatewayRateLimits(tuple(_make_report(limit) for limit in limits))


def _make_report(limit: RateLimit) -> RateLimitReport:
    age_ms = now_ms() - limit.observed_ms
    return RateLimitReport(
        limit.instance, limit.start_ms, limit.is_limited, limit.per_s, age_ms
    )


def _read_report(report: RateLimitReport) -> RateLimit:
    observed_ms = now_ms() - max(0.0, report.age_ms)
    return RateLimit(
        report.instance, report.start_ms, report.is_limited, report.per_s, observed_ms
    )
