"""Messages to the granter actor, and the client of lease calls that it uses."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from result import Result

from ..core.gateway.lease_calls import CallResult, GrantCall, ReleaseCall
from ..core.gateway.pending_write import PendingWrite
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


class SharedRecordsReceived(NamedTuple):
    """Shared records that the granter sent have been applied.

    Attributes:
        position: Position in the log that they reach.
    """

    position: int


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
