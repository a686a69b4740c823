"""Messages of the actor that grants key ranges, and what it works with."""

from __future__ import annotations

from typing import NamedTuple, Protocol, Sequence

from result import Result

from ..core.gateway.lease_calls import CallResult, GrantCall, ReleaseCall
from ..core.gateway.ranges import OwnedRange
from ..errors.code import Fault
from ..peer.messages import GatewayLoad


class LeaseClient(Protocol):
    """Sends grants and releases to instances."""

    def grant(self, call: GrantCall) -> CallResult:
        """Grants a range or renews its lease."""

    def release(self, call: ReleaseCall) -> CallResult:
        """Takes a range back."""


class CandidacyUpdate(NamedTuple):
    """Whether this daemon is to take the role."""

    is_candidate: bool


class RoleOfferReceived(NamedTuple):
    """The granter asks this daemon to take its role.

    Attributes:
        term: Term of the granter.
        at_ms: When it was asked.
    """

    term: int
    at_ms: float


class SharedRecordsRead(NamedTuple):
    """The shared records were read.

    Attributes:
        position: Up to where.
        started_ms: When the read began.
    """

    position: int
    started_ms: float


class FormerTermEnded(NamedTuple):
    """A former granter has said that it grants no more.

    Attributes:
        daemon: Its name.
        term: Term of this granter.
        at_ms: When it said so.
    """

    daemon: str
    term: int
    at_ms: float


class LeaseCallCompleted(NamedTuple):
    """A grant or release has ended."""

    service: str
    call: GrantCall | ReleaseCall
    result: CallResult


class WriteCompleted(NamedTuple):
    """A write to the shared records has ended."""

    result: Result[int, Fault]


class LoadReceived(NamedTuple):
    """A daemon has told its load."""

    report: GatewayLoad


class SupersedingTerm:
    """The highest term whose granter has asked this daemon to stop.

    It is set from the thread of the links and read before each call, so that a stop
    holds before it is confirmed.
    """

    def __init__(self) -> None:
        self.term = 0


class PendingWrite:
    """A write under way, until it is known to have landed or not."""

    def __init__(
        self, key: str, value: bytes, service: str, ranges: Sequence[OwnedRange] = ()
    ) -> None:
        self.ranges = ranges
        self.key = key
        self.value = value
        self.service = service
        self.expected_position = -1
        self.is_sent = False
        self.retry_at_ms = 0.0
