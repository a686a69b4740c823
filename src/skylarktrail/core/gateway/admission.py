"""Decides which requests for an overloaded owner or service are admitted.

The granter tells which fraction of the requests for an owner of keys, or for a service
without keys, the daemons admit (see `shedding`); in the latter case, this applies only
beside more urgent requests. Drawn by lot, an urgent request would be refused as often
as any other, and one of long work as often as several short ones. Here the fraction
applies to the work that all requests to the service need. It is given to the kinds of
requests in order:

1. By priority, the most urgent first.
2. By what a response can still bring: those that can meet their target before those
   that cannot, such as most callers that return after a refusal.
3. By work, the shortest first.

So lower kinds are refused completely before a higher one loses a request. Only one kind
is admitted in part, by lot. The mix of kinds is what this daemon has seen of late; one
that has seen a single kind admits the plain fraction of it.
"""

from __future__ import annotations

import math

from .demand import DemandMeter, KindOfRequest
from .expected_times import ExpectedTimes
from .ticket import Ticket


def find_kind(ticket: Ticket, work_ms: float) -> KindOfRequest:
    """Returns the kind of a request, whose work time is taken to a power of two."""
    work_class = round(math.log2(max(1.0, work_ms)))
    return KindOfRequest(ticket.priority, ticket.is_late, work_class)


class PriorityAdmission:
    """Converts the admitted fraction of an owner into fractions by kind of request.

    Args:
        times: Expected work times.
        meter: Recent demand of the services.
    """

    def __init__(self, times: ExpectedTimes, meter: DemandMeter) -> None:
        self._times = times
        self._meter = meter

    def record_arrival(self, ticket: Ticket, now_ms: float) -> None:
        """Records a request as part of the demand of its service."""
        work_ms = self._times.work_ms(ticket)
        demand = self._meter.service(ticket.service, now_ms)
        demand.record(find_kind(ticket, work_ms), work_ms, now_ms)

    def admitted_part(self, ticket: Ticket, owner_part: float, now_ms: float) -> float:
        """Returns the admitted fraction of the requests like one that has arrived.

        Args:
            ticket: The request, which is part of the demand already.
            owner_part: Admitted fraction of all requests for its owner or service.
            now_ms: The current time.
        """
        if owner_part >= 1:
            return 1.0
        kind = find_kind(ticket, self._times.work_ms(ticket))
        demands = self._meter.service(ticket.service, now_ms).by_kind(now_ms)
        before_ms = sum(d.work_ms for other, d in demands.items() if other < kind)
        left_ms = owner_part * sum(d.work_ms for d in demands.values()) - before_ms
        return min(1.0, max(0.0, left_ms / demands[kind].work_ms))
