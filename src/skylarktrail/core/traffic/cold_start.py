"""Capacity of an instance during its cold start."""

from __future__ import annotations

from .policy import Policy


def cold_capacity(policy: Policy, slots: int, age_ms: float) -> int | None:
    """Returns how many requests an instance can run, from all daemons together.

    The capacity rises in even steps from `cold_limit` to the slots during
    `cold_start_ms`.

    Args:
        policy: Policy of the service.
        slots: Requests that the instance runs concurrently.
        age_ms: Time since the instance started or returned.

    Returns:
        The capacity, or None after the cold start.
    """
    if age_ms >= policy["cold_start_ms"]:
        return None
    first = min(policy["cold_limit"], slots)
    share = max(age_ms, 0.0) / policy["cold_start_ms"]
    return first + int((slots - first) * share)


def next_capacity_change_ms(policy: Policy, slots: int, age_ms: float) -> float:
    """Returns the age at which the result of `cold_capacity` changes next."""
    total_ms = policy["cold_start_ms"]
    first = min(policy["cold_limit"], slots)
    capacity = cold_capacity(policy, slots, age_ms)
    if capacity is None or capacity >= slots or slots == first:
        return total_ms
    return total_ms * (capacity + 1 - first) / (slots - first)
