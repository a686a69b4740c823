"""Decides whether an instance can accept one more request now.

Instances hang when their queue is full. The requests that a daemon sends stay within
the slots and a short queue, by load reports and by a limit on its own requests. A less
urgent request that can wait leaves slots free for others.
"""

from __future__ import annotations

from .instance import Instance
from .scheduler_view import SchedulerState
from .slot_reserve import SlotReserve
from .ticket import Ticket

QUEUE_LENGTH_RATIO = 1.0  # Queue length at an instance, relative to its slots.
QUEUE_PRIORITY_RATIO = 1.0  # Each priority step below the highest shortens the queue.
# Requests that all daemons together may send to an instance, whatever it reports.
SITE_IN_FLIGHT_COUNT = 24.0


class InstanceRoom:
    """Decides which instances have room for a request.

    Args:
        state: State of the daemon and the site.
        reserve: Slots kept free for urgent requests.
    """

    def __init__(self, state: SchedulerState, reserve: SlotReserve) -> None:
        self._state = state
        self._reserve = reserve

    def with_room(
        self, ticket: Ticket, instances: list[Instance], now_ms: float
    ) -> list[Instance]:
        """Returns the instances that can accept a ticket now."""
        own_limit = self._own_limit()
        idle = [i for i in instances if i.in_flight < own_limit]
        if not self._reserve.is_deferrable(ticket, now_ms):
            return [i for i in idle if self._has_room(ticket, i, now_ms)]
        count_free = self._reserve.free_slots(ticket, now_ms)
        return [
            i for i in idle if i.occupancy(now_ms) + 1 <= i.entry.slots - count_free(i)
        ]

    def _own_limit(self) -> float:
        """Returns how many requests this daemon may have in flight at an instance."""
        daemon_count = self._state.view.sending_daemon_count
        return max(1.0, SITE_IN_FLIGHT_COUNT / daemon_count)

    def _has_room(self, ticket: Ticket, instance: Instance, now_ms: float) -> bool:
        """Returns whether an instance can accept a ticket that leaves no slots free.

        Requests of lower priority may only use a part of the queue. Those that are
        late use none of it, but all slots. So do those to whose service more urgent
        requests arrive, as a queue of long requests would hold these up; for owners of
        keys, admission by priority keeps the queue short.
        """
        slots = max(1, instance.entry.slots)
        is_keyed = ticket.key_hash is not None
        if (
            ticket.is_late
            or not is_keyed
            and self._reserve.has_more_urgent(ticket, now_ms)
        ):
            return instance.occupancy(now_ms) + 1 <= slots
        priority = max(0, ticket.priority)
        queue = QUEUE_LENGTH_RATIO / (1 + QUEUE_PRIORITY_RATIO * priority)
        return instance.occupancy(now_ms) < slots * (1 + queue)
