"""Slots of an instance, with a bounded queue, deadlines and cancellation."""

from __future__ import annotations

import threading
from collections import OrderedDict
from enum import Enum
from typing import Callable

from .serving import now_ms

MAX_REMEMBERED_REQUESTS = 100_000


class Admission(Enum):
    """Decision on a request that asked for a slot; the value goes to the caller."""

    STARTED = "started"
    FULL = "full"
    OVERLOADED = "overloaded"
    EXPIRED = "expired"
    CANCELLED = "cancelled"


class Slots:
    """Admits requests to slots in the order of their arrival.

    Args:
        slots: Maximum number of requests that run at the same time.
        queue_limit: Maximum number of requests that wait for a slot.
        try_accept: Decides from the in-flight count whether to accept one more
            request; accepts all by default.
    """

    def __init__(
        self,
        slots: int,
        queue_limit: int,
        try_accept: Callable[[int], bool] | None = None,
    ) -> None:
        self.slots = slots
        self._try_accept = try_accept or (lambda in_flight: True)
        self.queue_limit = queue_limit
        self._changed = threading.Condition()
        self._running = 0
        self._waiting: OrderedDict[object, None] = OrderedDict()
        self._started_requests: OrderedDict[str, None] = OrderedDict()
        self._cancelled_requests: OrderedDict[str, None] = OrderedDict()

    @property
    def in_flight(self) -> int:
        """Number of requests that run or wait."""
        return self._running + len(self._waiting)

    def acquire(self, request_id: str, deadline_ms: float) -> Admission:
        """Waits for a slot until a deadline on CLOCK_MONOTONIC."""
        ticket = object()
        with self._changed:
            if not self._try_accept(self.in_flight):
                return Admission.OVERLOADED
            if self._running >= self.slots and len(self._waiting) >= self.queue_limit:
                return Admission.FULL
            self._waiting[ticket] = None
            self._changed.wait_for(
                lambda: self._is_next(ticket) or request_id in self._cancelled_requests,
                max(deadline_ms - now_ms(), 0) / 1000,
            )
            is_next = self._is_next(ticket)
            del self._waiting[ticket]
            admission = self._decide(request_id, deadline_ms, is_next)
            if admission is Admission.STARTED:
                self._running += 1
                _add_bounded(self._started_requests, request_id)
            self._changed.notify_all()
            return admission

    def _is_next(self, ticket: object) -> bool:
        return self._running < self.slots and next(iter(self._waiting)) is ticket

    def _decide(self, request_id: str, deadline_ms: float, is_next: bool) -> Admission:
        if request_id in self._cancelled_requests:
            return Admission.CANCELLED
        if not is_next or now_ms() >= deadline_ms:
            return Admission.EXPIRED
        return Admission.STARTED

    def leave(self) -> None:
        """Releases the slot of a started request."""
        with self._changed:
            self._running -= 1
            self._changed.notify_all()

    def cancel(self, request_id: str) -> bool:
        """Cancels a request that has not started, even if it has yet to arrive.

        Returns:
            Whether the request will never run.
        """
        with self._changed:
            if request_id in self._started_requests:
                return False
            _add_bounded(self._cancelled_requests, request_id)
            self._changed.notify_all()
            return True


def _add_bounded(requests: OrderedDict[str, None], request_id: str) -> None:
    if not request_id:
        return
    requests[request_id] = None
    while len(requests) > MAX_REMEMBERED_REQUESTS:
        requests.popitem(last=False)
