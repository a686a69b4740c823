"""A request to be placed on an instance."""

from __future__ import annotations

from typing import Callable

from .instance import Instance
from .model import Route


class Ticket:
    """A request to be placed on an instance.

    Attributes:
        route: Its route.
        service: Service that the split of the route has chosen.
        key_hash: Hash of its key; None if the service is not keyed.
        end_ms: Deadline of the request.
        target_end_ms: Time until which a response meets the latency target.
        is_return: Whether its caller retries after a refusal.
        avoided_instances: Instances of failed attempts.
        instance: Instance on which it was placed.
        refusal_reason: Why it was refused; empty if it was not.
        backlog_ms: Expected wait when it was refused.
        admitted_part: Fraction of the requests for its key that is admitted.
        placed_ms: When it was placed.
        occupancy: Estimated requests at the instance when it was placed.
        on_decided: Called when a waiting ticket is placed or refused.
        priority: Priority of the request; 0 is the highest.
        submitted_ms: When it was submitted.
        permit_instance: Instance for which it waits for a permit; empty if it does not.
        is_late: Whether its response cannot meet the latency target any more.
        own_in_flight: Requests of this daemon at the instance when it was placed.
        is_probe: Whether it was placed as a probe, as estimates are outdated.
    """

    def __init__(
        self,
        route: Route,
        service: str,
        key_hash: int | None,
        end_ms: float,
        target_end_ms: float,
        is_return: bool,
        on_decided: Callable[[], None],
        priority: int | None = None,
    ) -> None:
        self.route = route
        self.service = service
        self.key_hash = key_hash
        self.end_ms = end_ms
        self.target_end_ms = target_end_ms
        self.is_return = is_return
        self.avoided_instances: set[str] = set()
        self.instance: Instance | None = None
        self.refusal_reason = ""
        self.backlog_ms = 0.0
        self.admitted_part = 1.0
        self.placed_ms = 0.0
        self.occupancy = 0.0
        self.on_decided = on_decided
        self.priority = route.priority if priority is None else priority
        self.submitted_ms = 0.0
        self.permit_instance = ""
        self.is_late = False
        self.own_in_flight = 0
        self.is_probe = False

    @property
    def is_decided(self) -> bool:
        """Returns whether the ticket was placed or refused."""
        return self.instance is not None or bool(self.refusal_reason)

    def sort_key(self) -> tuple[int, bool, float]:
        """Returns the key that orders waiting tickets."""
        return self.priority, self.is_late, self.end_ms
