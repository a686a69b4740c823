"""Messages to the granter actor, and the protocols and state that it uses."""

from __future__ import annotations

from typing import NamedTuple, Protocol, Sequence

from result import Result

from ..core.gateway.lease_calls import CallResult, GrantCall, ReleaseCall
from ..core.gateway.ranges import OwnedRange
from ..errors.code import Fault
from ..peer.gateway_messages import GatewayLoad, GatewayOpenGrants
from ..peer.hub import Responder


class LeaseClient(Protocol):
    """Sends grants and releases to instances."""

    def grant(self, call: GrantCall) -> CallResult:
        """Grants a range or renews its lease."""

    def release(self, call: ReleaseCall) -> CallResult:
        """Asks an instance to give up a range."""


class CandidacyUpdate(NamedTuple):
    """Outcome of a renewal of this daemon's candidacy.

    Attributes:
        is_candidate: Whether the store chose this daemon as the next granter.
    """

    is_candidate: bool


class RoleOfferReceived(NamedTuple):
    """The granter has offered its role to this daemon.

    Attributes:
        term: Term of the granter.
        at_ms: When the offer was received.
    """

    term: int
    at_ms: float


class SharedRecordsRead(NamedTuple):
    """A read of the shared records has been applied.

    Attributes:
        position: Position in the log that the read reached.
        started_ms: When the read began.
    """

    position: int
    started_ms: float


class FormerTermEnded(NamedTuple):
    """A former granter has confirmed that it sends no more grants.

    Attributes:
        daemon: Name of the former granter.
        term: Term of this daemon, the new granter.
        at_ms: When the confirmation was received.
    """

    daemon: str
    term: int
    at_ms: float


class OpenGrantsRequested(NamedTuple):
    """A new granter asks for the open grants of this process.

    Attributes:
        reply: Sends the reply.
    """

    reply: Responder


class OpenGrantsReceived(NamedTuple):
    """A former granter has reported its open grants.

    Attributes:
        term: Term of this daemon, the new granter.
        reply: The report.
    """

    term: int
    reply: GatewayOpenGrants


class LeaseCallCompleted(NamedTuple):
    """A grant or release has completed.

    Attributes:
        service: Service of the range.
        call: The call that was sent.
        result: Its outcome.
    """

    service: str
    call: GrantCall | ReleaseCall
    result: CallResult


class PendingWrite:
    """A write to the shared records whose outcome is not known yet.

    Args:
        key: Key of the record.
        value: Value of the record.
        service: Service whose owners are written; empty for the granter's record.
        ranges: The owners that the value encodes.

    Attributes:
        expected_position: The write applies only if the log ends at this position.
        is_sent: Whether the write was sent at least once.
        retry_at_ms: When to send it again; 0 while a call is in flight.
    """

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


class WriteCompleted(NamedTuple):
    """A call that writes a shared record has completed.

    Attributes:
        write: The write that was sent.
        result: Position after the record, or the fault of the store call.
    """

    write: PendingWrite
    result: Result[int, Fault]


class LoadReceived(NamedTuple):
    """A load report of a daemon has been received.

    Attributes:
        report: The report.
    """

    report: GatewayLoad


class SupersedingTerm:
    """Highest term whose granter asked this daemon to stop granting.

    The thread of the peer links sets it, and each lease call reads it before it is
    sent. Grants of lower terms thus stop before the daemon confirms that they have.
    """

    def __init__(self) -> None:
        self.term = 0
