"""State of the ownership core that the status page shows."""

from __future__ import annotations

from typing import NamedTuple


class ServerStatus(NamedTuple):
    """Lease of one server in a granter group.

    Attributes:
        server: VM identifier.
        slices: Number of slices granted to the server.
        releasing: Number of revoked slices that the server has not released yet.
        lease_left_ms: Time until no lease of the server can be valid; negative after
            that.
    """

    server: str
    slices: int
    releasing: int
    lease_left_ms: float


class GroupStatus(NamedTuple):
    """One granter group as this daemon sees it.

    Attributes:
        group: Granter group.
        term: Current term; 0 for none.
        role: Role of this daemon: "granter", "heir" or "none".
        granter: Granter of the current term; "" for none.
        heir: Heir of the current term; "" for none.
        confirmed: Whether this daemon may act as the granter now.
        claiming: Whether a claim of this daemon has not been read back yet.
        waiting: Number of slices that no server may serve yet.
        provisional: Number of slices whose owner is not recorded in the log yet.
        servers: Leases of the servers, when this daemon is the granter.
    """

    group: str
    term: int
    role: str
    granter: str
    heir: str
    confirmed: bool
    claiming: bool
    waiting: int = 0
    provisional: int = 0
    servers: tuple[ServerStatus, ...] = ()


class OwnershipStatus(NamedTuple):
    """The groups in which this daemon has a role.

    Attributes:
        draining: Whether the daemon is shutting down and resigns its groups.
        log_age_ms: Age of the last complete read of the log; None before the first.
        groups: Groups in which this daemon has a role or may claim, sorted by name.
        others: Number of all other groups.
    """

    draining: bool
    log_age_ms: float | None
    groups: tuple[GroupStatus, ...]
    others: int
