"""A caller's request on its way, and how its tries ended."""

from __future__ import annotations

from typing import NamedTuple

from ..core.gateway.model import Route
from ..core.gateway.scheduler import Ticket
from ..daemon.response import Response
from ..daemon.routes import CallerRequest
from .clock import now_ms
from .exchange import CallerMetadata


class Attempt(NamedTuple):
    """How one try ended.

    Attributes:
        instance: Where it was sent.
        outcome: Name of the result.
        may_have_run: Whether the request may have run there.
        answer: The answer, if it may be passed on.
        is_final: Whether the answer is the best that can be had.
        is_arrival: Whether the instance was sent the request.
        waited_ms: Time until it was placed.
        took_ms: Time from sending to its end.
        occupancy: Requests believed to be at the instance when it was placed.
    """

    instance: str
    outcome: str
    may_have_run: bool = True
    response: Response | None = None
    is_final: bool = False
    was_sent: bool = True
    waited_ms: float = 0.0
    took_ms: float = 0.0
    occupancy: float = 0.0

    def log_fields(self) -> dict[str, object]:
        """Returns what the log says of the try."""
        return {
            "instance": self.instance,
            "outcome": self.outcome,
            "waited_ms": round(self.waited_ms, 1),
            "took_ms": round(self.took_ms, 1),
            "occupancy": round(self.occupancy, 1),
        }


class Job:
    """One caller's request on its way.

    Attributes:
        request: What the caller sent.
        marks: What it said beside method, path and body.
        route: Its route.
        service: The service of the route's split that it goes to.
        key_hash: Hash of its key; None where the service is not keyed.
        start_ms: When it came.
        end_ms: When it must have its final answer.
        target_end_ms: When an answer is in time.
        is_return: Whether its caller was refused before.
        attempts: Its tries, in order.
        spare: An answer that may be passed on if no better one comes.
        refused: The ticket with which it was refused, if it was.
    """

    def __init__(
        self,
        request: CallerRequest,
        metadata: CallerMetadata,
        route: Route,
        service: str,
    ) -> None:
        self.request = request
        self.metadata = metadata
        self.route = route
        self.service = service
        self.key_hash: int | None = None
        self.start_ms = now_ms()
        self.end_ms = self.start_ms
        self.target_end_ms = self.start_ms
        self.is_return = False
        self.attempts: list[Attempt] = []
        self.fallback_response: Response | None = None
        self.refused: Ticket | None = None

    def refusal_log_fields(self) -> dict[str, object]:
        """Returns what the log says of a refusal."""
        refused = self.refused
        return {
            "why": refused.refusal_reason if refused else "",
            "backlog_ms": round(refused.backlog_ms, 1) if refused else 0.0,
            "admitted_part": round(refused.admitted_part, 2) if refused else 1.0,
        }

    @property
    def may_have_run(self) -> bool:
        """Tells whether any try may have run."""
        return any(item.may_have_run for item in self.attempts)
