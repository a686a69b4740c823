"""Keeps slots free for urgent requests while less urgent ones can wait at the daemon.

A service gets long, unimportant requests and short, urgent ones. In a burst of the long
ones all slots are taken and the queues of the instances are full, so that an urgent
request waits for longer than its caller does, whatever its priority at the daemon.

While requests of a higher priority and of less work arrive, a request therefore waits
at the daemon as long as its target leaves it time. It takes neither a place in the
queue of an instance nor one of the slots that are kept free. There are about as many of
these as the number of urgent requests in progress varies by. They are spread over the
instances of a service, so that a low urgent demand costs few slots, unless each key has
one owner.
"""

from __future__ import annotations

import math
from typing import Callable, NamedTuple

import xxhash

from .adaptive_pacer import AdaptivePacer
from .demand import DemandMeter
from .expected_times import ExpectedTimes
from .instance import Instance
from .instance_access import InstanceAccess
from .scheduler_view import SchedulerState
from .ticket import Ticket

# Slots are kept free for this long after a more urgent request. A daemon gets one only
# from time to time if they are rare at the site.
URGENT_TTL_MS = 30_000.0
# Slots kept free, relative to the standard deviation of the urgent requests in progress
# (the square root of their mean, as they arrive independently).
FREE_DEVIATION_RATIO = 2.0
# Instances of a service that should have a free slot, however low the urgent demand is.
# What daemons know of them is half a second old; by then some of them are full.
MIN_NOT_FULL_RATIO = 0.125
MAX_FREE_RATIO = 0.5  # Of the slots of an instance.
# A request is deferrable while the time left to its target exceeds this many times its
# expected work. The rest allows for work that varies and for the wait for a slot.
DEFERRABLE_WORK_RATIO = 2.5
# Only requests of so much more work than urgent ones leave room for them. A slot that
# others occupy is free again soon, so that room kept free costs more than it brings.
LONG_WORK_RATIO = 2.2


class UrgentArrival(NamedTuple):
    """The latest request of one priority to a service.

    Attributes:
        at_ms: When it arrived.
        work_ms: Its expected work.
    """

    at_ms: float
    work_ms: float


class SlotReserve:
    """Decides which requests leave slots free for more urgent ones, and how many.

    Args:
        state: State of the daemon and the site.
        access: Tells which instances are in service.
        times: Expected work times.
        meter: Recent demand of the services.
    """

    def __init__(
        self,
        state: SchedulerState,
        access: InstanceAccess,
        times: ExpectedTimes,
        meter: DemandMeter,
    ) -> None:
        self._state = state
        self._access = access
        self._times = times
        self._meter = meter
        self._arrivals: dict[str, dict[int, UrgentArrival]] = {}
        self._pacers: dict[tuple[str, int], AdaptivePacer] = {}
        self._ranks: dict[str, tuple[list[Instance], dict[str, int]]] = {}

    def record_arrival(self, ticket: Ticket, now_ms: float) -> None:
        """Records a request that leaves no slots free for less urgent ones."""
        known = self._arrivals.setdefault(ticket.service, {})
        known[ticket.priority] = UrgentArrival(now_ms, self._times.work_ms(ticket))

    def has_more_urgent(self, ticket: Ticket, now_ms: float) -> bool:
        """Returns whether a request would hold up more urgent ones of its service.

        It would if such requests arrived lately and need much less work.
        """
        oldest_ms = now_ms - URGENT_TTL_MS
        urgent_work_ms = self._times.work_ms(ticket) / LONG_WORK_RATIO
        return any(
            arrival.at_ms >= oldest_ms and arrival.work_ms <= urgent_work_ms
            for priority, arrival in self._arrivals.get(ticket.service, {}).items()
            if priority < ticket.priority
        )

    def is_deferrable(self, ticket: Ticket, now_ms: float) -> bool:
        """Returns whether a request can wait and so leaves slots free for others."""
        if not self.has_more_urgent(ticket, now_ms):
            return False
        end_ms = ticket.end_ms if ticket.is_late else ticket.target_end_ms
        work_ms = self._times.work_ms(ticket)
        return now_ms + DEFERRABLE_WORK_RATIO * work_ms < end_ms

    def wait_ms(self, ticket: Ticket, ahead_count: int, now_ms: float) -> float:
        """Returns how long a request waits for its part of this daemon's share.

        Args:
            ticket: The request.
            ahead_count: Requests that wait before it.
            now_ms: The current time.
        """
        if not self.has_more_urgent(ticket, now_ms):
            return 0.0
        ahead_work_ms = ahead_count * self._times.work_ms(ticket)
        return self._get_pacer(ticket, now_ms).wait_ms(ahead_work_ms, now_ms)

    def record_placement(self, ticket: Ticket, now_ms: float) -> None:
        """Records a request that starts, as part of this daemon's share."""
        if self.has_more_urgent(ticket, now_ms):
            work_ms = self._times.work_ms(ticket)
            self._get_pacer(ticket, now_ms).record_start(work_ms)

    def _get_pacer(self, ticket: Ticket, now_ms: float) -> AdaptivePacer:
        pacer = self._pacers.setdefault(
            (ticket.service, ticket.priority), AdaptivePacer()
        )
        if ticket.key_hash is None and pacer.is_adjustment_due(now_ms):
            self._adjust_pacer(pacer, ticket, now_ms)
        return pacer

    def _adjust_pacer(
        self, pacer: AdaptivePacer, ticket: Ticket, now_ms: float
    ) -> None:
        instances = self._find_serving(ticket, now_ms)
        free_count = sum(not i.is_full(now_ms) for i in instances)
        urgent_slots = self._urgent_slots(ticket, now_ms)
        needed_count = self._needed_slots(urgent_slots)
        needed_count += math.ceil(MIN_NOT_FULL_RATIO * len(instances))
        needed_count = min(needed_count, max(1, len(instances) // 2))
        slots = sum(max(1, i.entry.slots) for i in instances)
        left_slots = max(1.0, slots - urgent_slots - needed_count)
        share_slots = left_slots / self._state.view.sending_daemon_count
        pacer.adjust(free_count, needed_count, share_slots, now_ms)

    @staticmethod
    def _needed_slots(urgent_slots: float) -> int:
        return max(1, math.ceil(FREE_DEVIATION_RATIO * math.sqrt(urgent_slots)))

    def free_slots(self, ticket: Ticket, now_ms: float) -> Callable[[Instance], int]:
        """Returns a function for the slots that a deferrable request leaves free."""
        instances = self._state.fleet.find_by_service(ticket.service)
        instance_count = max(1, len(instances))
        urgent_slots = self._urgent_slots(ticket, now_ms)
        if ticket.key_hash is not None:
            each, rest = int(math.sqrt(urgent_slots / instance_count)), 0
        else:
            each, rest = divmod(self._needed_slots(urgent_slots), instance_count)
        ranks = self._get_ranks(ticket.service, instances)

        def count_free(instance: Instance) -> int:
            wanted = each + (ranks.get(instance.entry.instance, rest) < rest)
            return min(wanted, int(instance.entry.slots * MAX_FREE_RATIO))

        return count_free

    def _find_serving(self, ticket: Ticket, now_ms: float) -> list[Instance]:
        """Returns the instances of a service that get requests.

        Those of an evacuated zone are idle, but their slots are free for nobody.
        """
        return [
            instance
            for instance in self._state.fleet.find_by_service(ticket.service)
            if not self._access.is_out_of_service(instance, False, now_ms)
            and not instance.is_suspended(now_ms)
        ]

    def _urgent_slots(self, ticket: Ticket, now_ms: float) -> float:
        """Estimates how many slots more urgent requests occupy at the site."""
        demand = self._meter.service(ticket.service, now_ms)
        urgent = demand.more_urgent(ticket.priority, now_ms)
        return demand.busy_slots(urgent, now_ms) * self._state.view.sending_daemon_count

    def _get_ranks(self, service: str, instances: list[Instance]) -> dict[str, int]:
        """Returns the places of the instances in an order that all daemons agree on."""
        known, ranks = self._ranks.get(service, (None, {}))
        if known is not instances:
            names = [i.entry.instance for i in instances]
            names.sort(key=lambda name: xxhash.xxh64_intdigest(name.encode()))
            ranks = {name: rank for rank, name in enumerate(names)}
            self._ranks[service] = instances, ranks
        return ranks
