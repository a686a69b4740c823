"""Deals the little load that a cold instance bears to a few daemons."""

from __future__ import annotations

import xxhash

DAEMONS_PER_INSTANCE_COUNT = (
    4  # Daemons that may use one cold instance; more would add bursts.
)
USED_RATIO = 0.9  # Part of the declared rate that is handed out.


def rank_daemons(daemons: frozenset[str], instance: str) -> list[str]:
    """Orders daemons for one instance by rendezvous hashing."""
    return sorted(
        daemons, key=lambda name: xxhash.xxh64_intdigest(f"{name}/{instance}".encode())
    )


def cold_rate_per_s(
    daemons: frozenset[str], own_daemon: str, instance: str, cold_requests_per_s: float
) -> float:
    """Returns how many requests a second this daemon may send to a cold instance.

    All daemons compute the same ranks from the recorded members, so the parts add up
    to less than the declared rate without a message.
    """
    chosen = rank_daemons(daemons, instance)[:DAEMONS_PER_INSTANCE_COUNT]
    if own_daemon not in chosen:
        return 0.0
    return cold_requests_per_s * USED_RATIO / len(chosen)


def equal_cold_rate_per_s(daemons: frozenset[str], cold_requests_per_s: float) -> float:
    """Returns this daemon's part where each daemon has to reach the instance."""
    return cold_requests_per_s * USED_RATIO / max(1, len(daemons))
