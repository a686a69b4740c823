"""Messages between gateways that confirm the configuration as the newest."""

from __future__ import annotations

from typing import NamedTuple

from ..core.gateway.checks import MAX_EXACT_NUMBER
from .messages import message

MAX_POSITION_BITS = 63  # CBOR has larger numbers, which nothing else can hold.


@message("gateway_config_ask")
class GatewayConfigAsk(NamedTuple):
    """A daemon asks whether its configuration is the newest.

    The reply is a `GatewayConfigConfirmed`.
    """


@message("gateway_config_confirmed")
class GatewayConfigConfirmed(NamedTuple):
    """Tells what the end of the operators' log was at a moment.

    Attributes:
        position: Position of the end, with the era as in `core.gateway.positions`.
        age_ms: Time since the moment.
    """

    position: int
    age_ms: float

    @property
    def has_usable_values(self) -> bool:
        """Whether all values are within their ranges."""
        is_age = 0 <= self.age_ms <= MAX_EXACT_NUMBER
        return is_age and 0 <= self.position < 1 << MAX_POSITION_BITS
