"""Decides which instances may get requests: drains, cold rates, permits, lost links.

An instance that leaves, or whose zone is taken out, gets no new requests; as the owner
of keys it serves them while they move. It leaves if its entry says that it drains, or
if it has said in an answer that it leaves, whatever its entry says. A cold instance
gets requests at its cold rate. One that names a rate, or that is the cold owner of some
keys, needs a permit for each.
"""

from __future__ import annotations

import math
from typing import Iterable

from .budget import TokenBucket
from .cold import cold_rate_per_s
from .instance import Instance
from .scheduler_view import SchedulerState
from .ticket import Ticket

COLD_BURST_COUNT = 1.0  # Burst of requests to a cold instance.
LEAVING_OWNER_GRACE_MS = 700.0  # An owner that leaves serves its keys as they move.
ZONE_OUT_OWNER_GRACE_MS = 2500.0  # So does an owner in a zone that is taken out.


class InstanceAccess:
    """Decides which instances this daemon may send requests to.

    Args:
        state: State of the daemon and the site.
    """

    def __init__(self, state: SchedulerState) -> None:
        self._state = state

    def usable_instances(self, ticket: Ticket, now_ms: float) -> Iterable[Instance]:
        """Returns the instances on which the ticket may be placed."""
        candidates = self._state.find_candidates(ticket)
        is_keyed = ticket.key_hash is not None
        usable = [i for i in candidates if self._accepts_requests(i, is_keyed, now_ms)]
        if ticket.key_hash is None and ticket.avoided_instances:
            others = [
                i for i in usable if i.entry.instance not in ticket.avoided_instances
            ]
            return others or usable
        return usable

    def permit_rate_per_s(self, instance: Instance, now_ms: float) -> float | None:
        """Returns the rate, over all daemons, at which permits for it are issued.

        Returns:
            Requests per second; None if requests to it need no permit. A cold instance
            of a stateless service needs none, as a few daemons share its rate.
        """
        rates = []
        if instance.rate_limit.is_limited:
            rates.append(instance.rate_limit.per_s)
        service = self._state.services.get(instance.entry.service)
        if service and service.is_keyed and instance.is_cold(now_ms):
            rates.append(service.cold_requests_per_s)
        return min(rates, default=None)

    def needs_permit(self, instance: Instance, now_ms: float) -> bool:
        """Returns whether a request to it needs a permit that this daemon lacks."""
        is_limited = self.permit_rate_per_s(instance, now_ms) is not None
        return is_limited and not instance.permits.has_permit(now_ms)

    def record_placement(self, instance: Instance, now_ms: float) -> None:
        """Uses the permit or the part of the cold rate that a request needs."""
        if self.permit_rate_per_s(instance, now_ms) is not None:
            instance.permits.use_permit()
        if self._uses_cold_bucket(instance, now_ms):
            self._cold_bucket(instance, now_ms).try_acquire(now_ms)

    def is_out_of_service(
        self, instance: Instance, is_keyed: bool, now_ms: float
    ) -> bool:
        """Returns whether it gets no new requests, as it leaves or its zone is out."""
        zone_out_ms = self._state.view.zones_out.get(instance.entry.zone, math.inf)
        if not is_keyed:
            return instance.is_leaving or zone_out_ms <= now_ms
        owner_end_ms = instance.leaving_since_ms + LEAVING_OWNER_GRACE_MS
        return now_ms >= min(owner_end_ms, zone_out_ms + ZONE_OUT_OWNER_GRACE_MS)

    def _accepts_requests(
        self, instance: Instance, is_keyed: bool, now_ms: float
    ) -> bool:
        if self.is_out_of_service(instance, is_keyed, now_ms):
            return False
        if self._state.view.is_cut:
            if not self._state.view.has_idle_connection(instance.entry.instance):
                return False
        elif instance.is_suspended(now_ms):
            return False
        if self._uses_cold_bucket(instance, now_ms):
            return self._cold_bucket(instance, now_ms).has_token(now_ms)
        return True

    def _uses_cold_bucket(self, instance: Instance, now_ms: float) -> bool:
        """Returns whether a share of its cold rate limits this daemon's requests."""
        service = self._state.services.get(instance.entry.service)
        is_keyed = service is not None and service.is_keyed
        return instance.is_cold(now_ms) and not is_keyed

    def _cold_bucket(self, instance: Instance, now_ms: float) -> TokenBucket:
        service = self._state.services.get(instance.entry.service)
        cold_requests_per_s = service.cold_requests_per_s if service else 1.0
        rate_per_s = cold_rate_per_s(
            self._state.view.daemons,
            self._state.view.own_daemon,
            instance.entry.instance,
            cold_requests_per_s,
        )
        if instance.cold_bucket is None:
            instance.cold_bucket = TokenBucket(rate_per_s, COLD_BURST_COUNT, now_ms)
        instance.cold_bucket.rate_per_s = rate_per_s
        instance.cold_bucket.burst = COLD_BURST_COUNT if rate_per_s else 0.0
        return instance.cold_bucket
