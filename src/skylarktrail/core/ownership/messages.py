"""Events that the ownership core takes and commands that it returns."""

from __future__ import annotations

from typing import Mapping, NamedTuple

from ...errors.code import Code
from ..records import Record


class GrantedSlice(NamedTuple):
    """A range of hashes as a server holds it.

    Attributes:
        start: First hash.
        end: Hash after the last one.
        fence: Fence that requests must carry.
    """

    start: int
    end: int
    fence: int


class Grant(NamedTuple):
    """What a granter sends to a server.

    Attributes:
        group: Granter group.
        term: Term of the granter.
        boot_id: Boot of the server that the grant is for; "" only raises the term.
        expires_at_ms: End of the lease on the server's clock.
        version: Rises with each change of the set within the term.
        slices: The whole set of the group at this server; None for "as held".
    """

    group: str
    term: int
    boot_id: str
    expires_at_ms: int
    version: int
    slices: tuple[GrantedSlice, ...] | None


class GrantAnswer(NamedTuple):
    """What a server replies to a grant.

    Attributes:
        accepted: Whether the grant took effect.
        reason: "" or "term", "boot", "version".
        boot_id: Boot of the server.
        clock_ms: Its monotonic clock.
        term: Highest term that it has accepted for the group.
        version: Version of the set that it holds; 0 after its lease lapsed.
        held: The set under a lease in force; None when it was not asked for.
    """

    accepted: bool
    reason: str
    boot_id: str
    clock_ms: int
    term: int
    version: int
    held: tuple[GrantedSlice, ...] | None


class FencedPlacement(NamedTuple):
    """An owner that the log does not name yet.

    Attributes:
        start: First hash of the slice.
        server: Its owner.
        fence: Fence of the assignment.
    """

    start: int
    server: str
    fence: int


class ServerVm(NamedTuple):
    """A server in the platform's VM list.

    Attributes:
        service: Service that it runs.
        zone: Its availability zone.
        address: `host:port` where it takes requests.
        leaving: Whether the platform is about to remove it.
    """

    service: str
    zone: str
    address: str
    leaving: bool


class SliceLoad(NamedTuple):
    """Load of one slice as one daemon saw it.

    Attributes:
        start: First hash of the slice.
        requests_per_s: Requests a second.
        hot_hashes: Busiest key hashes inside it with their requests a second.
    """

    start: int
    requests_per_s: float
    hot_hashes: tuple[tuple[int, float], ...] = ()


class Tick(NamedTuple):
    """Time has passed."""


class LogRead(NamedTuple):
    """The log was read to its end and folded into the state.

    Attributes:
        started_ms: Time before the read began.
    """

    started_ms: float


class Settled(NamedTuple):
    """The fate of an append, as read back from the log.

    Attributes:
        token: Token of the append.
        code: Verdict of the first copy of the record.
    """

    token: int
    code: Code


class PeerHeard(NamedTuple):
    """A message came from a daemon."""

    daemon: str


class VmsListed(NamedTuple):
    """The platform's VM list was read.

    Attributes:
        daemons: Names of the daemons that it lists.
        servers: Servers by VM identifier.
    """

    daemons: frozenset[str]
    servers: Mapping[str, ServerVm]


class GrantAnswered(NamedTuple):
    """A server replied to a grant.

    Attributes:
        server: VM identifier of the server.
        group: Granter group.
        answer: Its reply.
        sent_ms: `sent_ms` of the command that it answers.
    """

    server: str
    group: str
    answer: GrantAnswer
    sent_ms: float


class GrantFailed(NamedTuple):
    """No reply to a grant came.

    Attributes:
        server: VM identifier of the server.
        group: Granter group.
        sent_ms: `sent_ms` of the command that failed.
    """

    server: str
    group: str
    sent_ms: float


class PromiseAsked(NamedTuple):
    """A granter asks this daemon, its heir, not to claim for a while."""

    daemon: str
    group: str
    term: int
    ask_id: int


class PromiseGiven(NamedTuple):
    """The heir promised not to claim."""

    daemon: str
    group: str
    term: int
    ask_id: int


class LoadsReported(NamedTuple):
    """A daemon reported the load of slices of a keyed service.

    Attributes:
        daemon: The daemon.
        service: Keyed service.
        loads: Its busiest slices.
    """

    daemon: str
    service: str
    loads: tuple[SliceLoad, ...]


class Drain(NamedTuple):
    """The daemon is shutting down and gives its groups away."""


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
    """Append a record; repeat it until it is read back, then send `Settled`.

    The records of one daemon are appended in the order of the commands, each
    after the one before it was read back.

    Attributes:
        token: Names this append in `Settled`.
        body: The record.
    """

    token: int
    body: Record


class SendGrant(NamedTuple):
    """Send a grant to a server; answered by `GrantAnswered` or `GrantFailed`.

    Attributes:
        server: VM identifier of the server.
        grant: The grant.
        sent_ms: To be echoed in the answer.
    """

    server: str
    grant: Grant
    sent_ms: float


class AskPromise(NamedTuple):
    """Ask the heir for a promise."""

    heir: str
    group: str
    term: int
    ask_id: int


class GivePromise(NamedTuple):
    """Send a promise to the granter."""

    daemon: str
    group: str
    term: int
    ask_id: int


class BroadcastPlacements(NamedTuple):
    """Tell all daemons of provisional owners.

    Attributes:
        group: Granter group.
        term: Term of the granter.
        placements: Provisional owners.
    """

    group: str
    term: int
    placements: tuple[FencedPlacement, ...]


class ReadLog(NamedTuple):
    """Read the log now: a server has seen a higher term of the group."""

    group: str


Command = Append | SendGrant | AskPromise | GivePromise | BroadcastPlacements | ReadLog
