"""Makes jobs of the requests of callers and of other daemons."""

from __future__ import annotations

import threading

from ..core.gateway.caller_retries import CallerRetryDetector
from ..core.gateway.model import Route
from ..daemon.routes import CallerRequest
from .exchange import CallerMetadata
from .forwarding import ForwardedState
from .job import Job
from .site_state import SiteState


class JobMaker:
    """Makes jobs; all methods are thread-safe.

    Args:
        site: State of the site.
    """

    def __init__(self, site: SiteState) -> None:
        self._site = site
        self._caller_retries = CallerRetryDetector()
        self._lock = threading.Lock()

    def make(
        self, request: CallerRequest, metadata: CallerMetadata, route: Route
    ) -> Job:
        """Makes the job of a caller's request; see also `count`."""
        service = self._site.choose_service(route)
        job = Job(request, metadata, route, service)
        if self._site.service(service).is_keyed:
            job.key_hash = metadata.key_hash
        requested_ms = metadata.deadline_ms or route.timeout_ms
        job.end_ms = job.start_ms + min(requested_ms, route.timeout_ms)
        spent_ms = self._estimate_spent_ms(route, metadata)
        job.is_return = spent_ms > 0
        job.target_end_ms = job.start_ms + route.target_ms - spent_ms
        return job

    def count(self, job: Job) -> None:
        """Counts a caller's request for budgets and loads, unless over its quota."""
        self._site.record_first_attempt(job.service, job.start_ms)
        if job.key_hash is not None:
            self._site.count_key(job.service, job.key_hash)

    def make_forwarded(
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
