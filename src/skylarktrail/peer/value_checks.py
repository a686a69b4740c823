"""Checks of the values in messages between gateways."""

from __future__ import annotations

from ..core.gateway.model import HASH_COUNT
from ..core.gateway.positions import OFFSET_BITS

MAX_AMOUNT = 1 << 31  # Requests in one report.
MAX_PERMITS = 1 << 16  # Permits in one message; a reply is kept permit by permit.


def is_amount(value: int) -> bool:
    """Returns whether a value is a number of requests in one report."""
    return 0 <= value <= MAX_AMOUNT


def is_hash(value: int) -> bool:
    """Returns whether a value is the hash of a key."""
    return 0 <= value < HASH_COUNT


def is_range(first: int, last: int) -> bool:
    """Returns whether two values are the edges of a range of key hashes."""
    return 0 <= first <= last < HASH_COUNT


def is_offset(value: int) -> bool:
    """Returns whether a value is an offset; negative ones mean that none is known."""
    return -(1 << OFFSET_BITS) < value < 1 << OFFSET_BITS


def is_permit_count(value: int) -> bool:
    """Returns whether a value is a number of permits in one message."""
    return 0 <= value <= MAX_PERMITS
