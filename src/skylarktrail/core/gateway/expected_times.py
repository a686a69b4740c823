"""Estimates how long requests run, and how long they wait for a slot.

The estimates follow the responses that this daemon receives: the mean work time of each
route, the speed of each instance, and its occupancy. Noisy neighbours slow an instance
down for a moment. Load reports and the ages of requests in flight are part of its
expected response time, so that the next request goes elsewhere.
"""

from __future__ import annotations

from .instance import Instance
from .ticket import Ticket

# An instance counts as stuck when a request takes this many times the expected time.
STUCK_REQUEST_RATIO = 3.0
WORK_SMOOTHING_RATIO = 0.03  # Weight of one response in the mean work time of a route.
INITIAL_WORK_RATIO = 0.3  # Work time before the first response, relative to the target.
LONG_WORK_DECAY_RATIO = 0.99  # Of the longest recent work time, with each response.


class ExpectedTimes:
    """Learns work times from responses and estimates response times."""

    def __init__(self) -> None:
        self._work_ms: dict[tuple[str, str], float] = {}
        self._long_work_ms: dict[tuple[str, str], float] = {}

    def record_response(self, ticket: Ticket, elapsed_ms: float) -> None:
        """Updates the work times of the route and the instance by a response."""
        instance = ticket.instance
        if instance is None:
            return
        slots = max(1, instance.entry.slots)
        queued_ratio = 1 + max(0.0, ticket.occupancy + 1 - slots) / slots
        work_ms = elapsed_ms / queued_ratio
        mean_ms = self.work_ms(ticket)
        key = (ticket.service, ticket.route.name)
        decayed_ms = self._long_work_ms.get(key, 0.0) * LONG_WORK_DECAY_RATIO
        self._long_work_ms[key] = max(work_ms, decayed_ms)
        if not instance.is_cold(ticket.placed_ms):
            self._work_ms[key] = mean_ms + WORK_SMOOTHING_RATIO * (work_ms - mean_ms)
        instance.record_success(work_ms / max(1.0, mean_ms))

    def work_ms(self, ticket: Ticket) -> float:
        """Returns the mean work time of the route, without waits for a slot."""
        key = (ticket.service, ticket.route.name)
        return self._work_ms.get(key, ticket.route.target_ms * INITIAL_WORK_RATIO)

    def long_work_ms(self, ticket: Ticket) -> float:
        """Returns the longest work time of late, or the target before a response."""
        key = (ticket.service, ticket.route.name)
        return self._long_work_ms.get(key, ticket.route.target_ms)

    def response_ms(self, ticket: Ticket, instance: Instance, now_ms: float) -> float:
        """Estimates the response time of an instance if it gets the request now."""
        slots = max(1, instance.entry.slots)
        work_ms = self.work_ms(ticket) * instance.expected_work_ratio(now_ms)
        excess_count = max(0.0, instance.occupancy(now_ms) + 1 - slots)
        expected_ms = work_ms * (1 + excess_count / slots)
        oldest_ms = instance.oldest_request_age_ms(now_ms)
        if oldest_ms > STUCK_REQUEST_RATIO * expected_ms:
            return oldest_ms * (1 + excess_count / slots)
        return expected_ms

    def queued_response_ms(
        self, ticket: Ticket, usable: list[Instance], ahead_count: int, now_ms: float
    ) -> float:
        """Estimates the time until the response for a ticket that has to wait."""
        soonest_ms = min(self.response_ms(ticket, i, now_ms) for i in usable)
        slots = sum(max(1, i.entry.slots) for i in usable)
        own = sum(i.in_flight for i in usable)
        others = sum(i.occupancy(now_ms) for i in usable) - own
        shared_ratio = 1 + max(0.0, others) / max(1, own)
        work_ms = self.work_ms(ticket) * min(
            i.expected_work_ratio(now_ms) for i in usable
        )
        return soonest_ms + ahead_count * shared_ratio * work_ms / slots
