"""Estimates how long requests run, and how long they wait for a slot.

The estimates follow the responses that this daemon receives: the mean work time of each
route, the speed of each instance, and its occupancy. Noisy neighbours slow an instance
down for a moment. Load reports and the ages of requests in flight are part of its
expected response time, so that the next request goes elsewhere.

An estimate that is too high refuses all requests, and then no response corrects it. So
once it is outdated, a request is placed as a probe if the initial estimate allows it.
The response of a probe weighs more than others.
"""

from __future__ import annotations

import math

from .instance import Instance
from .ticket import Ticket

# An instance counts as stuck when a request takes this many times the expected time.
STUCK_REQUEST_RATIO = 3.0
WORK_SMOOTHING_RATIO = 0.03  # Weight of one response in the mean work time of a route.
PRIOR_RESPONSE_COUNT = 2  # Weight, in responses, of the work time before the first.
PROBE_WEIGHT_RATIO = 0.5  # Weight of the response of a probe.
# A service that refuses all requests is tried once within this time, by each daemon and
# instance. Slowdowns by noisy neighbours are over by then.
ESTIMATE_TTL_MS = 1000.0
INITIAL_WORK_RATIO = 0.3  # Work time before the first response, relative to the target.
LONG_WORK_DECAY_RATIO = 0.99  # Of the longest recent work time, with each response.


class ExpectedTimes:
    """Learns work times from responses and estimates response times."""

    def __init__(self) -> None:
        self._work_ms: dict[tuple[str, str], float] = {}
        self._long_work_ms: dict[tuple[str, str], float] = {}
        self._response_counts: dict[tuple[str, str], int] = {}
        self._response_ms: dict[tuple[str, str], float] = {}

    def record_response(self, ticket: Ticket, elapsed_ms: float) -> None:
        """Updates the work times of the route and the instance by a response."""
        instance = ticket.instance
        if instance is None:
            return
        slots = max(1, instance.entry.slots)
        work_ms = elapsed_ms / (1 + self._queued_count(ticket, instance) / slots)
        mean_ms = self.work_ms(ticket)
        key = (ticket.service, ticket.route.name)
        decayed_ms = self._long_work_ms.get(key, 0.0) * LONG_WORK_DECAY_RATIO
        self._long_work_ms[key] = max(work_ms, decayed_ms)
        if not instance.is_cold(ticket.placed_ms):
            mean_ms += self._next_weight(ticket, work_ms) * (work_ms - mean_ms)
            self._work_ms[key] = mean_ms
        self._response_ms[key] = ticket.placed_ms + elapsed_ms
        instance.sampled_ms = self._response_ms[key]
        min_weight = PROBE_WEIGHT_RATIO if ticket.is_probe else 0.0
        instance.record_success(work_ms / max(1.0, mean_ms), min_weight)

    def _queued_count(self, ticket: Ticket, instance: Instance) -> float:
        """Returns how many requests beyond the slots were there before a response.

        The estimate from the time of placement may count requests of other daemons that
        have ended, and miss others. The queue that the instance reports in its response
        bounds it; only the requests of this daemon are certain.
        """
        slots = max(1, instance.entry.slots)
        estimated_count = max(0.0, ticket.occupancy + 1 - slots)
        reported_count = instance.reported_waiting(ticket.placed_ms)
        if reported_count is None:
            return estimated_count
        own_count = max(0, ticket.own_in_flight + 1 - slots)
        mean_count = (estimated_count + reported_count) / 2
        return max(own_count, min(reported_count, mean_count))

    def _next_weight(self, ticket: Ticket, work_ms: float) -> float:
        """Returns the weight of a response in the mean work time of its route.

        The first responses weigh more, and so does a probe that was faster than usual:
        the mean may have refused all requests.
        """
        key = (ticket.service, ticket.route.name)
        count = self._response_counts.get(key, 0) + 1
        self._response_counts[key] = count
        if ticket.is_probe and work_ms < self.work_ms(ticket):
            return PROBE_WEIGHT_RATIO
        return max(WORK_SMOOTHING_RATIO, 1 / (count + PRIOR_RESPONSE_COUNT))

    def probe_response_ms(
        self, ticket: Ticket, instance: Instance, now_ms: float
    ) -> float:
        """Estimates the response time without the outdated parts of the estimate.

        Returns:
            The time; infinite if no part is outdated or the instance may be busy.
        """
        has_free_slot = instance.occupancy(now_ms) + 1 <= instance.entry.slots
        if instance.in_flight or not has_free_slot:
            return math.inf
        key = (ticket.service, ticket.route.name)
        oldest_ms = now_ms - ESTIMATE_TTL_MS
        if instance.sampled_ms > oldest_ms:
            return math.inf
        work_ms = self.work_ms(ticket)
        if self._response_ms.get(key, now_ms) <= oldest_ms:
            work_ms = min(work_ms, ticket.route.target_ms * INITIAL_WORK_RATIO)
        return work_ms * min(1.0, instance.expected_work_ratio(now_ms))

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
