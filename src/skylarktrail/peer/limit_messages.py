"""Messages between gateways about the rate limits of instances."""

from __future__ import annotations

from typing import NamedTuple

from ..core.gateway.checks import MAX_EXACT_NUMBER
from .messages import message
from .value_checks import is_permit_count


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


def _is_limit(report: RateLimitReport) -> bool:
    """Returns whether a report is usable; a limit that was never seen has no age."""
    return 0 <= report.per_s <= MAX_EXACT_NUMBER and report.age_ms >= 0


@message("gateway_rate_limits")
class GatewayRateLimits(NamedTuple):
    """Rate limits that the sender knows.

    Attributes:
        limits: The limits, in any order.
    """

    limits: tuple[RateLimitReport, ...]

    @property
    def has_usable_values(self) -> bool:
        """Whether all values are within their ranges."""
        return all(map(_is_limit, self.limits))


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

    @property
    def has_usable_values(self) -> bool:
        """Whether all values are within their ranges."""
        is_rate = 0 <= self.per_s <= MAX_EXACT_NUMBER
        return _is_limit(self.limit) and is_rate and is_permit_count(self.count)


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

    @property
    def has_usable_values(self) -> bool:
        """Whether all values are within their ranges."""
        is_time = 0 <= self.wait_ms <= MAX_EXACT_NUMBER
        return _is_limit(self.limit) and is_time and is_permit_count(self.count)
