"""Rate limits that instances name, and the permits of this daemon for them."""

from __future__ import annotations

import math

from ..core.gateway.permits import (
    MAX_DENIAL_MS,
    IssuedPermits,
    PermitRequest,
    RateLimit,
)
from .site_state import SiteState


class SitePermits:
    """Rate limits and permits as part of the state of the site.

    All methods acquire the lock of the site.

    Args:
        site: State of the site.
    """

    def __init__(self, site: SiteState) -> None:
        self._site = site

    def pop_permit_requests(self, now_ms: float) -> list[PermitRequest]:
        """Returns the requests for permits that are due, and records them as sent."""
        with self._site.lock:
            return self._site.scheduler.pop_permit_requests(now_ms)

    def record_permits(
        self, instance: str, reply: IssuedPermits, now_ms: float
    ) -> None:
        """Records the permits for an instance that the granter issued."""
        with self._site.lock:
            found = self._site.fleet.find(instance)
            if found is not None:
                found.permits.record_reply(reply, now_ms)
                self._site.decide_waiting(now_ms)

    def take_own_permits(self, request: PermitRequest, now_ms: float) -> None:
        """Uses this daemon's share of a limited rate, without the granter."""
        with self._site.lock:
            found = self._site.fleet.find(request.instance)
            if found is None:
                return
            daemons = len(self._site.scheduler.view.daemons)
            found.permits.take_own_share(request.per_s, daemons, now_ms)
            self._site.decide_waiting(now_ms)

    def issue_permits(self, request: PermitRequest, now_ms: float) -> IssuedPermits:
        """Issues permits as granter."""
        with self._site.lock:
            found = self._site.fleet.find(request.instance)
            if found is None:
                return IssuedPermits(0, MAX_DENIAL_MS)
            known_per_s = self._site.scheduler.permit_rate_per_s(found, now_ms)
            per_s = request.per_s if known_per_s is None else known_per_s
            per_s = min(per_s, request.per_s)
            return found.permit_issuer.issue(per_s, request.count, now_ms)

    def record_rate_limit(self, limit: RateLimit, now_ms: float) -> bool:
        """Records a rate limit unless it is outdated; returns whether it changed."""
        with self._site.lock:
            found = self._site.fleet.find(limit.instance)
            is_changed = found is not None and found.record_rate_limit(limit)
            if is_changed:
                self._site.decide_waiting(now_ms)
            return is_changed

    def find_rate_limit(self, instance: str) -> RateLimit | None:
        """Returns the latest known rate limit of an instance, if it is listed."""
        with self._site.lock:
            found = self._site.fleet.find(instance)
            return found.rate_limit if found else None

    def rate_limits(self) -> list[RateLimit]:
        """Returns the latest known limits of all instances that ever named one."""
        with self._site.lock:
            limits = [i.rate_limit for i in self._site.fleet.instances.values()]
        return [limit for limit in limits if limit.observed_ms > -math.inf]
