"""One admitted request and its attempts."""

from __future__ import annotations

from .concurrency_limiter import ConcurrencyLimiter
from .instance import InstanceState
from .messages import Attempt, RequestInfo
from .service import Service


class Ticket:
    """An admitted request; valid until the daemon calls `Traffic.close`.

    Attributes:
        request: The request.
        service: Service of the request.
        limiter: Queue and concurrency limit that apply to the request.
        tried_ids: Identifiers of the instances that were tried.
        in_flight: Instances of the attempts in flight, by attempt id.
        granted_attempt: Attempt that was assigned while the ticket waited.
        is_started: Whether the first attempt was made.
        is_queued: Whether the ticket waits in the queue.
        queued_at_ms: Time at which the ticket joined the queue.
        is_closed: Whether the daemon has closed the ticket.
    """

    __slots__ = (
        "request",
        "service",
        "limiter",
        "tried_ids",
        "in_flight",
        "granted_attempt",
        "is_started",
        "is_queued",
        "queued_at_ms",
        "is_closed",
    )

    def __init__(
        self, request: RequestInfo, service: Service, limiter: ConcurrencyLimiter
    ) -> None:
        self.request = request
        self.service = service
        self.limiter = limiter
        self.tried_ids: set[str] = set()
        self.in_flight: dict[int, InstanceState] = {}
        self.granted_attempt: Attempt | None = None
        self.is_started = False
        self.is_queued = False
        self.queued_at_ms = 0.0
        self.is_closed = False
