"""Shares the request rate of a cold stateless instance among a few daemons.

Requests to a cold owner of keys need permits instead, as all daemons send to it.
"""

from __future__ import annotations

import xxhash

# Daemons that may use one cold instance. Each of them may send a burst, so more daemons
# would exceed the rate in short intervals.
DAEMONS_PER_INSTANCE_COUNT = 4
USED_RATIO = 0.9  # Fraction of the declared rate that the daemons use.


def rank_daemons(daemons: frozenset[str], instance: str) -> list[str]:
    """Ranks the daemons for one instance by rendezvous hashing."""
    return sorted(
        daemons, key=lambda name: xxhash.xxh64_intdigest(f"{name}/{instance}".encode())
    )


def cold_rate_per_s(
    daemons: frozenset[str], own_daemon: str, instance: str, cold_requests_per_s: float
) -> float:
    """Returns the rate, per second, at which a daemon may use a cold instance.

    All daemons compute the same ranking from the recorded members, so that their rates
    add up to less than the declared one without any coordination.

    Returns:
        The rate; 0 for a daemon that may not use the instance.
    """
    chosen = rank_daemons(daemons, instance)[:DAEMONS_PER_INSTANCE_COUNT]
    if own_daemon not in chosen:
        return 0.0
    return cold_requests_per_s * USED_RATIO / len(chosen)
