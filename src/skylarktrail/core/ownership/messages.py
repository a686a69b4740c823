"""Events that the ownership core handles and commands that it returns."""

from __future__ import annotations

from typing import Mapping, NamedTuple

from ...errors.code import Code
from ..records import Record


class GrantedSlice(NamedTuple):
    """A range of key hashes that is granted to a server.

    Attributes:
        start: First hash of the range.
        end: Hash after the last one of the range.
        fence: Fence that requests for the range must carry.
    """

    start: int
    end: int
    fence: int


class Grant(NamedTuple):
    """A granter's message to a server: a lease on a set of slices.

    Attributes:
        group: Granter group.
        term: Term of the granter.
        boot_id: Identifies the boot of the server that the grant is for. "" makes it
            a fencing grant, which gives no lease: the server only accepts the term
            and returns its clock and its slices.
        expires_at_ms: End of the lease on the server's monotonic clock.
        version: Version of the set of slices, increasing with each change.
        slices: All slices of the group at this server; None renews the lease of the
            set that the server already has.
    """

    group: str
    term: int
    boot_id: str
    expires_at_ms: int
    version: int
    slices: tuple[GrantedSlice, ...] | None


class GrantAnswer(NamedTuple):
    """A server's answer to a grant.

    Attributes:
        accepted: Whether the grant took effect.
        reason: Which part of the grant was refused: "term", "boot" or "version"; ""
            when it was accepted.
        boot_id: Identifies the current boot of the server.
        clock_ms: Monotonic clock of the server.
        term: Highest term that the server has accepted for the group.
        version: Version of the set that the server holds; 0 after its lease expired.
        held: Slices that the server holds under a valid lease; None when the answer
            does not list them.
    """

    accepted: bool
    reason: str
    boot_id: str
    clock_ms: int
    term: int
    version: int
    held: tuple[GrantedSlice, ...] | None


class FencedPlacement(NamedTuple):
    """A provisional owner: the log does not contain its assignment yet.

    Attributes:
        start: First hash of the slice.
        server: VM identifier of the owner.
        fence: Fence of the assignment.
    """

    start: int
    server: str
    fence: int


class ServerVm(NamedTuple):
    """A server in the platform's VM list.

    Attributes:
        service: Service that the server runs.
        zone: Its availability zone.
        address: `host:port` at which it accepts requests.
        leaving: Whether the platform is about to remove it.
    """

    service: str
    zone: str
    address: str
    leaving: bool


class SliceLoad(NamedTuple):
    """Load of one slice as measured by one daemon.

    Attributes:
        start: First hash of the slice.
        requests_per_s: Requests per second.
        hot_hashes: Hashes of the busiest keys of the slice with their requests per
            second.
    """

    start: int
    requests_per_s: float
    hot_hashes: tuple[tuple[int, float], ...] = ()


class Tick(NamedTuple):
    """The periodic timer has fired."""


class LogRead(NamedTuple):
    """The log was read to its end and folded into the state.

    Attributes:
        started_ms: Monotonic time before the read was sent.
    """

    started_ms: float


class Settled(NamedTuple):
    """An appended record was read back from the log.

    Attributes:
        token: Token of the `Append` command.
        code: Result of folding the first copy of the record.
    """

    token: int
    code: Code


class PeerHeard(NamedTuple):
    """A message from a daemon was received."""

    daemon: str


class VmsListed(NamedTuple):
    """The platform's VM list was read.

    Attributes:
        daemons: Names of the listed daemons.
        servers: Listed servers by VM identifier.
    """

    daemons: frozenset[str]
    servers: Mapping[str, ServerVm]


class GrantAnswered(NamedTuple):
    """A server answered a grant.

    Attributes:
        server: VM identifier of the server.
        group: Granter group.
        answer: The answer.
        sent_ms: `sent_ms` of the `SendGrant` command.
    """

    server: str
    group: str
    answer: GrantAnswer
    sent_ms: float


class GrantFailed(NamedTuple):
    """A grant could not be sent, or its answer did not arrive in time.

    Attributes:
        server: VM identifier of the server.
        group: Granter group.
        sent_ms: `sent_ms` of the `SendGrant` command.
    """

    server: str
    group: str
    sent_ms: float


class PromiseAsked(NamedTuple):
    """A granter asks this daemon, its heir, for a promise not to claim.

    Attributes:
        daemon: The granter.
        group: Granter group.
        term: Term of the granter.
        ask_id: To be echoed in the promise.
    """

    daemon: str
    group: str
    term: int
    ask_id: int


class PromiseGiven(NamedTuple):
    """The heir promised not to claim.

    Attributes:
        daemon: The heir.
        group: Granter group.
        term: Term for which the promise was given.
        ask_id: `ask_id` of the `AskPromise` command.
    """

    daemon: str
    group: str
    term: int
    ask_id: int


class LoadsReported(NamedTuple):
    """A daemon reported the load of the slices of a keyed service.

    Attributes:
        daemon: Name of the daemon.
        service: Name of the keyed service.
        loads: Load of the slices that are busiest at this daemon.
    """

    daemon: str
    service: str
    loads: tuple[SliceLoad, ...]


class Drain(NamedTuple):
    """The daemon is shutting down and has to resign its groups."""


Event = (
    Tick
    | LogRead
    | Settled
    | PeerHeard
    | VmsListed
    | GrantAnswered
    | GrantFailed
    | PromiseAsked
    | PromiseGiven
    | LoadsReported
    | Drain
)


class Append(NamedTuple):
    """Append a record to the log; retry until it is read back, then send `Settled`.

    The records of one daemon are appended in the order of the commands, each one
    after the one before it was read back.

    Attributes:
        token: Identifies this append in `Settled`.
        body: The record.
    """

    token: int
    body: Record


class SendGrant(NamedTuple):
    """Send a grant to a server, then send `GrantAnswered` or `GrantFailed`.

    Attributes:
        server: VM identifier of the server.
        grant: The grant.
        sent_ms: Monotonic time of the command; identifies the grant in the event.
    """

    server: str
    grant: Grant
    sent_ms: float


class AskPromise(NamedTuple):
    """Ask the heir for a promise not to claim.

    Attributes:
        heir: Name of the heir.
        group: Granter group.
        term: Term of the granter.
        ask_id: Identifies this request in `PromiseGiven`.
    """

    heir: str
    group: str
    term: int
    ask_id: int


class GivePromise(NamedTuple):
    """Send the promise not to claim to the granter.

    Attributes:
        daemon: Name of the granter.
        group: Granter group.
        term: Term for which the promise is given.
        ask_id: `ask_id` of the `PromiseAsked` event.
    """

    daemon: str
    group: str
    term: int
    ask_id: int


class BroadcastPlacements(NamedTuple):
    """Send provisional owners to all daemons.

    Attributes:
        group: Granter group.
        term: Term of the granter.
        placements: Provisional owners.
    """

    group: str
    term: int
    placements: tuple[FencedPlacement, ...]


class ReadLog(NamedTuple):
    """Read the log now, because a server has accepted a higher term of the group."""

    group: str


Command = Append | SendGrant | AskPromise | GivePromise | BroadcastPlacements | ReadLog
