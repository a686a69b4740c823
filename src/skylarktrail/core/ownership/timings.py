"""Identity and timings of the ownership core."""

from __future__ import annotations

from typing import NamedTuple


class Identity(NamedTuple):
    """One daemon process.

    Attributes:
        daemon: Name of the daemon.
        incarnation: Identifies its process.
        zone: Its availability zone.
    """

    daemon: str
    incarnation: str
    zone: str


class Timings(NamedTuple):
    """Durations of the ownership protocol.

    Attributes:
        authority_ms: How long a granter may act after one confirmation.
        lease_ms: Duration of the lease given to a server.
        renew_ms: Interval at which a lease is renewed.
        retry_ms: Delay before a failed grant is retried.
        suspect_ms: Silence of a granter after which its heir claims the group.
        heir_silence_ms: Silence of an heir after which the granter names another one.
        promise_ms: Age of the last log read after which a granter asks its heir for
            promises, and the interval at which it asks.
        log_stale_ms: Age of the last log read after which the log counts as stale and
            slices are granted before their assignment is read back.
        claim_stagger_ms: Delay between the claims of daemons of successive ranks for
            a group that never had a granter, or whose granter and heir are gone.
        resigned_stagger_ms: The same delay for a group whose granter resigned.
        roster_ms: How long the first claim of a group waits for listed daemons to
            join.
        give_ms: Minimum interval at which a daemon with too many groups resigns one.
        gone_ms: How long the VMs of granter and heir must be missing from the
            platform's list before other daemons claim their group.
        drift_ratio: Largest relative difference between the rates of two clocks.
        balance_ms: Interval at which the moves of a group's slices are planned.
    """

    authority_ms: int = 1000
    lease_ms: int = 2000
    renew_ms: int = 300
    retry_ms: int = 100
    suspect_ms: int = 800
    heir_silence_ms: int = 3000
    promise_ms: int = 400
    log_stale_ms: int = 1000
    claim_stagger_ms: int = 2000
    resigned_stagger_ms: int = 500
    roster_ms: int = 2000
    give_ms: int = 20_000
    gone_ms: int = 2000
    drift_ratio: float = 0.025
    balance_ms: int = 10000

    def add_drift_margin(self, span_ms: float) -> float:
        """Returns a span on the local clock that outlasts one on any other clock."""
        return span_ms * (1 + self.drift_ratio)
