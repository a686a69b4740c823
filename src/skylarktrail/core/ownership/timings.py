"""Identity and timings of the ownership core."""

from __future__ import annotations

from typing import NamedTuple


class Identity(NamedTuple):
    """One daemon process.

    Attributes:
        daemon: Name of the daemon.
        incarnation: Its process.
        zone: Its availability zone.
    """

    daemon: str
    incarnation: str
    zone: str


class Timings(NamedTuple):
    """Durations of the ownership protocol.

    Attributes:
        authority_ms: How long one confirmation lets a granter act.
        lease_ms: Lease given to a server.
        renew_ms: Time between two renewals of a lease.
        retry_ms: Time before a failed grant is sent again.
        suspect_ms: Silence after which an heir claims.
        heir_silence_ms: Silence after which a granter names another heir.
        promise_ms: Age of the last log read after which promises are asked for,
            and the time between two asks.
        log_stale_ms: Age of the last log read after which assignments are granted
            provisionally.
        claim_stagger_ms: Delay of each further rank that claims a vacant group.
        resigned_stagger_ms: The same for a group whose granter resigned.
        roster_ms: How long a new group waits for listed daemons to join.
        give_ms: Time between two groups given away by a daemon with too many.
        gone_ms: How long the platform must have dropped granter and heir.
        drift_ratio: Largest difference of two clocks over a span, as a share.
        balance_ms: Time between two plans of moves for a group.
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
        """Returns a span on the own clock that covers one on any other clock."""
        return span_ms * (1 + self.drift_ratio)
