"""What the granter of key ranges knows, asks for and is told."""

from __future__ import annotations

from typing import NamedTuple

from .ranges import OwnedRange


class LeaseTimings(NamedTuple):
    """Durations of leases.

    Attributes:
        lease_ms: Length of a lease.
        renew_ms: Time between renewals.
        authority_ms: How long a granter that cannot reach the store goes on.
    """

    lease_ms: float = 4000.0
    renew_ms: float = 1000.0
    authority_ms: float = 8000.0


class KeyedInstance(NamedTuple):
    """What the granter knows of an instance.

    Attributes:
        instance: Its identifier.
        address: `host:port`.
        start_ms: Start of its life.
        can_receive_keys: Whether it may get keys.
        capacity: Its speed relative to the others.
        can_keep_keys: Whether it may keep those that it has.
    """

    instance: str
    address: str
    start_ms: int
    can_receive_keys: bool
    capacity: float = 1.0
    can_keep_keys: bool = True


class GrantCall(NamedTuple):
    """A grant or renewal to send."""

    call_id: int
    instance: str
    address: str
    first: int
    last: int
    fence: int
    lease_ms: float
    handover: str


class ReleaseCall(NamedTuple):
    """A release to send."""

    call_id: int
    instance: str
    address: str
    first: int
    last: int
    fence: int


class RecordOwners(NamedTuple):
    """Owners to record before they are granted."""

    ranges: tuple[OwnedRange, ...]


GranterAction = GrantCall | ReleaseCall | RecordOwners


class CallResult(NamedTuple):
    """How a grant or release ended.

    Attributes:
        call_id: Number of the call.
        outcome: `done`; `fenced`; `refused`, where nobody listens or another process
            does; `unsent`, where no connection came about; `silent`, where it may
            take effect.
        handover: State handed over by the releasing instance.
    """

    call_id: int
    outcome: str
    handover: str = ""
