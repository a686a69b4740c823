"""Messages between gateways about instances that leave."""

from __future__ import annotations

from typing import NamedTuple

from ..core.gateway.checks import is_count, is_identifier
from ..core.gateway.leaving import LeavingNotice
from .messages import message


@message("gateway_leaving")
class GatewayLeavingInstances(NamedTuple):
    """Instances that have said in their answers that they leave.

    Attributes:
        notices: The notices, in any order.
    """

    notices: tuple[LeavingNotice, ...]

    @property
    def has_usable_values(self) -> bool:
        """Whether all values are within their ranges."""
        return all(
            is_identifier(notice.instance) and is_count(notice.start_ms)
            for notice in self.notices
        )
