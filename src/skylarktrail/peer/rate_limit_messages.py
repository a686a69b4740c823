"""Messages between gateways about rate limits of instances and permits."""

from __future__ import annotations

from typing import NamedTuple

from .messages import message


class RateLimitReport(NamedTuple):
    """Rate limit that one incarnation of an instance named.

    Attributes:
        instance: Identifier of the instance.
        start_ms: Wall-clock time of the start of its incarnation.
        is_limited: Whether it named a rate.
        per_s: Requests per second that it accepts from all daemons together; 0 if it
            named no rate.
        age_ms: Time since its answer was received.
    """

    instance: str
    start_ms: int
    is_limited: bool
    per_s: float
    age_ms: float


@message("gateway_rate_limits")
class GatewayRateLimits(NamedTuple):
    """Rate limits that the sender knows.

    Attributes:
        limits: The limits, in any order.
    """

    limits: tuple[RateLimitReport, ...]


@message("gateway_permit_ask")
class GatewayPermitRequest(NamedTuple):
    """A daemon asks the granter for permits, each for one request to an instance.

    Attributes:
        limit: Rate limit of the instance as known to the sender.
        per_s: Requests per second that the instance accepts; lower than its limit while
            it is cold.
        count: Number of permits.
    """

    limit: RateLimitReport
    per_s: float
    count: int


@message("gateway_permits")
class GatewayPermits(NamedTuple):
    """Reply to a `GatewayPermitRequest`.

    Attributes:
        limit: Rate limit of the instance as known to the granter.
        count: Number of permits issued.
        wait_ms: Time until the next permit can be issued; 0 if all were issued.
    """

    limit: RateLimitReport
    count: int
    wait_ms: float
