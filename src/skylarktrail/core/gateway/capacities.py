"""Reduces the capacity of instances that accept only a limited rate of requests."""

from __future__ import annotations

from typing import Mapping

# Fraction of a named rate that the keys of an owner should bring it, as load varies.
TARGET_RATE_RATIO = 0.7
# Smallest capacity left, relative to the unlimited one. Ranges are cut into pieces by
# the smallest capacity, so tiny ones would cause many pieces.
MIN_CAPACITY_RATIO = 0.2


def limit_capacities(
    capacities: Mapping[str, float],
    rate_limits_per_s: Mapping[str, float],
    total_per_s: float,
) -> dict[str, float]:
    """Reduces capacities so that no fair load exceeds the rate limit of its instance.

    Args:
        capacities: Capacity of each instance, relative to the others.
        rate_limits_per_s: Requests per second that the limited instances accept.
        total_per_s: Requests per second for all keys of the service.

    Returns:
        The capacities; those of instances without a limit are unchanged.
    """
    total = sum(capacities.values())
    if not rate_limits_per_s or not total or total_per_s <= 0:
        return dict(capacities)
    shares = {
        name: _limit_share(
            capacities[name] / total, TARGET_RATE_RATIO * rate_per_s / total_per_s
        )
        for name, rate_per_s in rate_limits_per_s.items()
        if name in capacities
    }
    limited_share = sum(shares.values())
    unlimited = sum(c for name, c in capacities.items() if name not in shares)
    if not unlimited or limited_share >= 1:
        return dict(capacities) | shares
    scale = unlimited / (1 - limited_share)
    return dict(capacities) | {name: share * scale for name, share in shares.items()}


def _limit_share(share: float, limit: float) -> float:
    return min(share, max(limit, MIN_CAPACITY_RATIO * share))
