"""Counts and logs the replies to requests."""

from __future__ import annotations

from ..core.gateway.key_check import KeyDecision
from ..core.gateway.model import Route
from ..daemon.problem import Problem
from ..daemon.response import Response
from ..daemon.routes import CallerRequest
from ..errors import upstream as codes
from .clock import now_ms
from .event_log import EventLog
from .exchange import CallerMetadata
from .job import Job
from .metrics import GatewayMetrics
from .site_state import SiteState

Reply = Response | Problem


class ReplyRecorder:
    """Records replies.

    Args:
        site: State of the site, whose versions are logged.
        log: Receives a line for each request.
        metrics: Counts replies and refusals.
    """

    def __init__(self, site: SiteState, log: EventLog, metrics: GatewayMetrics) -> None:
        self._site = site
        self._log = log
        self._metrics = metrics

    def record_unrouted(
        self,
        request: CallerRequest,
        metadata: CallerMetadata,
        problem: Problem,
        route: Route | None = None,
        key_decision: KeyDecision = KeyDecision(False),
        config_age_ms: float = 0.0,
    ) -> Problem:
        """Counts and logs the refusal of a request without a job; returns it.

        Args:
            request: The request.
            metadata: Metadata from its header fields.
            problem: The refusal.
            route: Its route, if it has one.
            key_decision: Result of the check of its API key.
            config_age_ms: Time since the configuration was confirmed as the newest.
        """
        self._metrics.count_refusal("", problem.code)
        self._log.write(
            "request_refused",
            request=metadata.request_id,
            code=problem.code.name,
            host=request.headers.get("host", ""),
            path=request.path,
            route=route.name if route else "",
            customer=key_decision.customer.name if key_decision.customer else "",
            why=key_decision.refusal_reason,
            config_age_ms=round(config_age_ms),
            **self._site.versions(now_ms())._asdict(),
        )
        return problem

    def record(self, job: Job, reply: Reply) -> None:
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
            customer=job.customer.name if job.customer else "",
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


def _is_suspect(job: Job, reply: Reply) -> bool:
    """Returns whether instances may have ended while they ran the request."""
    if isinstance(reply, Problem) and reply.code is codes.REQUEST_BLOCKED:
        return True
    return any(item.outcome == codes.INSTANCE_BROKEN.name for item in job.attempts)
