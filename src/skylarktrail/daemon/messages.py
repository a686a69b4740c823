"""Messages between the actors of one daemon."""

from __future__ import annotations

from typing import Any, Callable, NamedTuple

from ..core.ownership.messages import Grant, GrantAnswer
from ..core.records import Envelope
from ..peer.messages import Message
from ..providers.interface import Vm


class Poll(NamedTuple):
    """Asks an actor to do its next round."""


class ReadFrom(NamedTuple):
    """Sets the offset of the next read of the log."""

    offset: int


class ReadSucceeded(NamedTuple):
    """Records were read.

    Attributes:
        started_ms: Monotonic time before the read began.
        from_offset: Offset that was asked for.
        start: First offset that the log keeps.
        end: Offset that the next record will get.
        records: Offsets and decoded records.
    """

    started_ms: float
    from_offset: int
    start: int
    end: int
    records: list[tuple[int, Envelope | None]]


class ReadFailed(NamedTuple):
    """A read of the log gave no answer."""


class Append(NamedTuple):
    """Asks the writer to append an encoded record until it is folded."""

    seq: int
    data: bytes


class Folded(NamedTuple):
    """The record of a sequence number has been read back."""

    seq: int


class VmsRead(NamedTuple):
    """The VM list was read."""

    vms: list[Vm]


class GrantWanted(NamedTuple):
    """Asks to send a grant.

    Attributes:
        server: VM of the server.
        address: `host:port` of the server.
        grant: What it is granted.
        sent_ms: Echoed in `GrantSettled`.
    """

    server: str
    address: str
    grant: Grant
    sent_ms: float


class GrantSettled(NamedTuple):
    """A grant was answered, or not.

    Attributes:
        server: VM of the server.
        group: Granter group.
        sent_ms: As in `GrantWanted`.
        answer: The answer, or None when there was none.
    """

    server: str
    group: str
    sent_ms: float
    answer: GrantAnswer | None


class PeerReceived(NamedTuple):
    """A peer's message arrived.

    Attributes:
        daemon: The peer.
        message: What it sent.
        reply: Answers it.
    """

    daemon: str
    message: Message
    reply: Callable[[Message], bool]


class PeerAlive(NamedTuple):
    """Something, perhaps only a heartbeat, came from a peer."""

    daemon: str


class PeerWanted(NamedTuple):
    """Asks to send a message to a peer."""

    daemon: str
    message: Message


class PromiseWanted(NamedTuple):
    """Asks to ask an heir for a promise."""

    heir: str
    group: str
    term: int
    ask_id: int


class PromiseSettled(NamedTuple):
    """An heir gave its promise."""

    heir: str
    group: str
    term: int
    ask_id: int


class AgesWanted(NamedTuple):
    """Asks the peers which instances are in cold start."""


class SnapshotWanted(NamedTuple):
    """Asks the peers for a snapshot of the state."""


class SnapshotReceived(NamedTuple):
    """A peer's snapshot of the state, in plain form."""

    state: dict[str, Any]


class RosterChanged(NamedTuple):
    """The peers and their addresses changed."""

    addresses: dict[str, str]


class DrainWanted(NamedTuple):
    """Asks the controller to hand over its roles."""


class StatusWanted(NamedTuple):
    """Asks the controller for the status of what it holds."""


class ExplainWanted(NamedTuple):
    """Asks the controller where a key goes."""

    service: str
    key: str
