"""Messages between gateways about the quotas of customers."""

from __future__ import annotations

from typing import NamedTuple

from ..core.gateway.checks import MAX_EXACT_NUMBER
from ..core.gateway.quotas import QuotaGrant, QuotaUsage
from .messages import message
from .value_checks import is_amount, is_permit_count


def _is_usage(usage: QuotaUsage) -> bool:
    return all(map(is_amount, (usage.used, usage.returned, usage.wanted)))


def _is_grant(grant: QuotaGrant) -> bool:
    is_time = 0 <= grant.wait_ms <= MAX_EXACT_NUMBER
    return is_time and is_permit_count(grant.granted)


@message("gateway_quota_report")
class GatewayQuotaReport(NamedTuple):
    """A daemon reports the usage of customers, and asks the granter for credit.

    Attributes:
        usages: Customers with news since the last report.
    """

    usages: tuple[QuotaUsage, ...]

    @property
    def has_usable_values(self) -> bool:
        """Whether all values are within their ranges."""
        return all(map(_is_usage, self.usages))


@message("gateway_quota_reply")
class GatewayQuotaReply(NamedTuple):
    """Reply to a `GatewayQuotaReport`.

    Attributes:
        grants: Reply about each customer of the report.
        metered: Names of other customers that are metered.
    """

    grants: tuple[QuotaGrant, ...]
    metered: tuple[str, ...]

    @property
    def has_usable_values(self) -> bool:
        """Whether all values are within their ranges."""
        return all(map(_is_grant, self.grants))


@message("gateway_quota_states")
class GatewayQuotaStates(NamedTuple):
    """Metered customers, broadcast by the granter; no other customer is metered.

    Attributes:
        metered: Their names.
    """

    metered: tuple[str, ...]
