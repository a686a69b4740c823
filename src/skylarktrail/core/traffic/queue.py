"""Weighted fair queue of tickets, bounded for each tenant."""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush
from typing import Generic, Mapping, Protocol, TypeVar

from .messages import RequestInfo

DEFAULT_WEIGHT = 1.0
OTHER_TENANTS = ""


class QueueItem(Protocol):
    """Interface of the tickets in a queue.

    Attributes:
        request: The request; its tenant decides which queue it joins.
        is_queued: Whether the ticket waits.
    """

    request: RequestInfo
    is_queued: bool


TicketType = TypeVar("TicketType", bound=QueueItem)


class _TenantQueue(Generic[TicketType]):
    """Tickets of one tenant, oldest first.

    Attributes:
        weight: Share of the service, relative to other tenants.
        tickets: The tickets; removed ones stay until they reach the front.
        waiting: Number of tickets that were not removed.
        start_tag: Virtual time at which the next ticket is due.
    """

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.tickets: deque[TicketType] = deque()
        self.waiting = 0
        self.start_tag = 0.0


class FairQueue(Generic[TicketType]):
    """Start-time fair queueing over tenants.

    Tenants without a configured weight share one queue.

    Args:
        limit: Largest number of waiting tickets of all tenants.
        weights: Weight of each configured tenant.
    """

    def __init__(self, limit: int, weights: Mapping[str, float]) -> None:
        self._limit = limit
        self._tenants = {name: _TenantQueue(w) for name, w in weights.items()}
        self._tenants.setdefault(OTHER_TENANTS, _TenantQueue(DEFAULT_WEIGHT))
        self._schedule_heap: list[tuple[float, int, _TenantQueue]] = []
        self._schedule_count = 0
        self._virtual_time = 0.0
        self._active_weight = 0.0
        self._active_tenant_count = 0
        self._waiting = 0

    def __len__(self) -> int:
        return self._waiting

    def reconfigure(self, limit: int, weights: Mapping[str, float]) -> None:
        """Applies a new limit and new weights; waiting tickets stay in the queue."""
        replacement = FairQueue(limit, weights)
        for tenant in self._tenants.values():
            for ticket in tenant.tickets:
                if ticket.is_queued:
                    replacement.push(ticket)
        self.__dict__ = replacement.__dict__

    def _queue_of_tenant(self, name: str) -> _TenantQueue:
        return self._tenants.get(name) or self._tenants[OTHER_TENANTS]

    def has_room(self, tenant_name: str) -> bool:
        """Returns whether the queue accepts one more ticket of a tenant.

        A tenant may have as many waiting tickets as there are free places, times its
        weight over the mean weight of the waiting tenants. So a single tenant fills
        at most half of the queue, and another tenant still finds a free place.
        """
        tenant = self._queue_of_tenant(tenant_name)
        free = self._limit - self._waiting
        if free <= 0:
            return False
        if not tenant.waiting:
            return True
        mean_weight = self._active_weight / self._active_tenant_count
        return tenant.waiting < free * tenant.weight / mean_weight

    def tickets_ahead(self, tenant_name: str) -> float:
        """Returns how many tickets are served before a new one, as an estimate."""
        tenant = self._queue_of_tenant(tenant_name)
        active_weight = self._active_weight
        if not tenant.waiting:
            active_weight += tenant.weight
        fair_count = tenant.waiting * active_weight / tenant.weight
        return min(fair_count, float(self._waiting))

    def push(self, ticket: TicketType) -> None:
        """Appends a ticket to the queue of its tenant."""
        tenant = self._queue_of_tenant(ticket.request.tenant)
        if not tenant.waiting:
            self._active_weight += tenant.weight
            self._active_tenant_count += 1
        if not tenant.tickets:
            tenant.start_tag = max(tenant.start_tag, self._virtual_time)
            self._schedule(tenant)
        tenant.tickets.append(ticket)
        tenant.waiting += 1
        self._waiting += 1
        ticket.is_queued = True

    def _schedule(self, tenant: _TenantQueue) -> None:
        self._schedule_count += 1
        heappush(self._schedule_heap, (tenant.start_tag, self._schedule_count, tenant))

    def remove(self, ticket: TicketType) -> None:
        """Removes a waiting ticket."""
        ticket.is_queued = False
        tenant = self._queue_of_tenant(ticket.request.tenant)
        tenant.waiting -= 1
        self._waiting -= 1
        if not tenant.waiting:
            self._active_weight -= tenant.weight
            self._active_tenant_count -= 1

    def peek(self) -> TicketType | None:
        """Returns the ticket that is due next without removing it; None if empty."""
        while self._schedule_heap:
            tenant = self._schedule_heap[0][2]
            while tenant.tickets and not tenant.tickets[0].is_queued:
                tenant.tickets.popleft()
            if tenant.tickets:
                return tenant.tickets[0]
            heappop(self._schedule_heap)
        return None

    def pop(self) -> TicketType | None:
        """Removes and returns the ticket that is due next; None if empty."""
        ticket = self.peek()
        if ticket is None:
            return None
        tag, _, tenant = heappop(self._schedule_heap)
        self._virtual_time = max(self._virtual_time, tag)
        tenant.tickets.popleft()
        self.remove(ticket)
        tenant.start_tag = tag + 1 / tenant.weight
        if tenant.tickets:
            self._schedule(tenant)
        return ticket
