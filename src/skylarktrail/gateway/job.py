"""State of a caller's request and of the attempts to serve it."""

from __future__ import annotations

from functools import cached_property
from typing import NamedTuple

from ..core.gateway.customers import Customer
from ..core.gateway.fingerprints import make_fingerprint
from ..core.gateway.model import Route
from ..core.gateway.quota_admission import Refusal
from ..core.gateway.ticket import Ticket
from ..daemon.response import Response
from ..daemon.routes import CallerRequest
from .clock import now_ms
from .exchange import CallerMetadata


class Attempt(NamedTuple):
    """Result of one attempt to serve a request.

    Attributes:
        instance: Instance that the request was sent to.
        outcome: Name of the result.
        may_have_run: Whether the instance may have run the request.
        response: The response, if it may be forwarded to the caller.
        is_final: Whether the response is forwarded without another attempt.
        was_sent: Whether the request was sent to the instance.
        waited_ms: Time in the queue before an instance was chosen.
        took_ms: Time from sending the request to the end of the attempt.
        occupancy: Estimated number of requests at the instance when it was chosen.
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
        """Returns the fields of the attempt in the request log."""
        return {
            "instance": self.instance,
            "outcome": self.outcome,
            "waited_ms": round(self.waited_ms, 1),
            "took_ms": round(self.took_ms, 1),
            "occupancy": round(self.occupancy, 1),
        }


class Job:
    """A caller's request while it is being served.

    Attributes:
        request: The request as received.
        metadata: Metadata from its header fields.
        route: Route of the request.
        service: Service of the route that was chosen for the request.
        key_hash: Hash of the key; None if the service is not keyed.
        start_ms: When the request was received.
        end_ms: When the caller must have a reply.
        target_end_ms: Until when a response meets the latency target.
        is_return: Whether the caller retries a request that was refused.
        attempts: Attempts so far, in order.
        fallback_response: Response to forward if no later attempt brings a better one.
        refused: Ticket of the refusal; None unless the request was refused.
        is_forwarded: Whether another daemon forwarded the request.
        earlier_run_count: Attempts of that daemon that an instance may have run.
        customer: Customer that sent the request; None if it is not known.
        is_key_checked: Whether the configuration has customers, so that the daemon
            sets the header fields with the API key and the customer itself.
        quota_refusal: Refusal for the quota; None unless it was refused for that.
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
        self.is_forwarded = False
        self.earlier_run_count = 0
        self.customer: Customer | None = None
        self.is_key_checked = False
        self.quota_refusal: Refusal | None = None

    @cached_property
    def fingerprint(self) -> str:
        """Returns the fingerprint, the same for each attempt of the caller."""
        request = self.request
        target = request.path + ("?" + request.query if request.query else "")
        return make_fingerprint(request.method, target, request.headers, request.body)

    def refusal_log_fields(self) -> dict[str, object]:
        """Returns the fields of the refusal in the request log."""
        refused = self.refused
        reason = self.quota_refusal.reason if self.quota_refusal else ""
        return {
            "why": refused.refusal_reason if refused else reason,
            "backlog_ms": round(refused.backlog_ms, 1) if refused else 0.0,
            "admitted_part": round(refused.admitted_part, 2) if refused else 1.0,
        }

    @property
    def priority(self) -> int:
        """Returns the priority of the customer or else of the route."""
        own = self.customer.priority if self.customer else None
        return self.route.priority if own is None else own

    @property
    def may_have_run(self) -> bool:
        """Returns whether an instance may have run the request in any attempt."""
        return self.run_count > 0

    @property
    def run_count(self) -> int:
        """Returns the number of attempts that an instance may have run."""
        own_count = sum(1 for item in self.attempts if item.may_have_run)
        return self.earlier_run_count + own_count
