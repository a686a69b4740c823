"""Inputs, actions and results of the granter of key ranges."""

from __future__ import annotations

from typing import NamedTuple

from .ranges import OwnedRange

# A grant in flight reaches its instance within this time, or is given up and dropped.
MAX_GRANT_DELIVERY_MS = 1000.0
# It is given up after half of that, and may be on a slow link then.
LATE_ARRIVAL_MS = 500.0


class LeaseTimings(NamedTuple):
    """Durations of leases.

    Attributes:
        lease_ms: Length of a lease.
        renew_ms: Interval between renewals.
        authority_ms: Time for which a granter may act without reaching the store.
        outage_lease_ms: Length of a lease while the granter does not reach the store;
            the longest one that a granter gives.
    """

    lease_ms: float = 3000.0
    renew_ms: float = 900.0
    authority_ms: float = 8000.0
    outage_lease_ms: float = 4000.0


class KeyedInstance(NamedTuple):
    """An instance of a keyed service, as input of the granter.

    Attributes:
        instance: Its identifier.
        address: `host:port`.
        start_ms: Start of its incarnation.
        can_receive_keys: Whether it may get more keys.
        capacity: Its speed, relative to the other instances.
        can_keep_keys: Whether it may keep the keys that it owns.
        is_leaving: Whether it drains, or its zone is out.
    """

    instance: str
    address: str
    start_ms: int
    can_receive_keys: bool
    capacity: float = 1.0
    can_keep_keys: bool = True
    is_leaving: bool = False


class GrantCall(NamedTuple):
    """A grant of a range, or a renewal of its lease, to be sent to an instance.

    Attributes:
        call_id: Number of the call.
        instance: Instance that gets the lease.
        address: `host:port`.
        first: First hash.
        last: Last hash, inclusive.
        fence: Fence of the grant.
        lease_ms: Length of the lease.
        handover: State handed over by the previous owner; empty for none.
        is_renewal: Whether the instance has acknowledged a grant with this fence.
    """

    call_id: int
    instance: str
    address: str
    first: int
    last: int
    fence: int
    lease_ms: float
    handover: str
    is_renewal: bool = False


class ReleaseCall(NamedTuple):
    """A release of a range, to be sent to the instance that holds its lease.

    Attributes:
        call_id: Number of the call.
        instance: Instance that holds the lease.
        address: `host:port`.
        first: First hash.
        last: Last hash, inclusive.
        fence: Fence up to which leases are released.
    """

    call_id: int
    instance: str
    address: str
    first: int
    last: int
    fence: int


class RecordOwners(NamedTuple):
    """Owners to be recorded in the store, before their ranges are granted."""

    ranges: tuple[OwnedRange, ...]


GranterAction = GrantCall | ReleaseCall | RecordOwners


class LostRange(NamedTuple):
    """A range that its owner does not hold any more, for the log.

    Attributes:
        first: First hash.
        last: Last hash, inclusive.
        owner: Identifier of the owner.
        reason: `released`, if the owner confirmed it; `process_ended`, if the owner is
            not listed and its process has ended; `lease_expired`.
        is_call_pending: Whether a call about the range was in flight.
        is_grant_unanswered: Whether a grant without an answer could still take effect.
    """

    first: int
    last: int
    owner: str
    reason: str
    is_call_pending: bool
    is_grant_unanswered: bool


class OpenGrant(NamedTuple):
    """A range for which a grant may still take effect after a release.

    Attributes:
        instance: Instance that the grant was sent to.
        first: First hash.
        last: Last hash, inclusive.
    """

    instance: str
    first: int
    last: int


class CallResult(NamedTuple):
    """Result of a grant or release.

    Attributes:
        call_id: Number of the call.
        outcome: `done`; `fenced`, if the instance has seen a higher fence; `replaced`,
            if a process that is not this instance answered; `refused`, if the
            connection was refused; `unsent`, if no connection was made; `withheld`, if
            the call waited too long for a thread or the granter may not send any more;
            `silent`, if there was no response, so that the call may still take effect.
        handover: State handed over by the releasing instance.
        is_leaving: Whether the instance says that it leaves.
    """

    call_id: int
    outcome: str
    handover: str = ""
    is_leaving: bool = False
