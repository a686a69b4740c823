"""Messages between the actors of one daemon."""

from __future__ import annotations

from typing import Any, Callable, NamedTuple

from ..core.ownership.messages import Grant, GrantAnswer
from ..core.records import Envelope
from ..peer.messages import Message
from ..providers.interface import Vm


class Poll(NamedTuple):
    """Asks an actor to do its next round."""


class SetReadOffset(NamedTuple):
    """Sets the offset of the next read of the log."""

    offset: int


class LogReadSucceeded(NamedTuple):
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


class LogReadFailed(NamedTuple):
    """A read of the log gave no answer."""


class AppendRecord(NamedTuple):
    """Asks the writer to append an encoded record until it is folded."""

    seq: int
    data: bytes


class RecordFolded(NamedTuple):
    """The record of a sequence number has been read back."""

    seq: int


class VmListRead(NamedTuple):
    """The VM list was read."""

    vms: list[Vm]


class GrantRequested(NamedTuple):
    """Asks to send a grant.

    Attributes:
        server: VM of the server.
        address: `host:port` of the server.
        grant: What it is granted.
        sent_ms: Echoed in `GrantCompleted`.
    """

    server: str
    address: str
    grant: Grant
    sent_ms: float


class GrantCompleted(NamedTuple):
    """A grant was answered, or not.

    Attributes:
        server: VM of the server.
        group: Granter group.
        sent_ms: As in `GrantRequested`.
        answer: The answer, or None when there was none.
    """

    server: str
    group: str
    sent_ms: float
    answer: GrantAnswer | None


class PeerMessageReceived(NamedTuple):
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


class PeerSendRequested(NamedTuple):
    """Asks to send a message to a peer."""

    daemon: str
    message: Message


class PromiseRequested(NamedTuple):
    """Asks to ask an heir for a promise."""

    heir: str
    group: str
    term: int
    ask_id: int


class PromiseReceived(NamedTuple):
    """An heir gave its promise."""

    heir: str
    group: str
    term: int
    ask_id: int


class InstanceAgesRequested(NamedTuple):
    """Asks the peers which instances are in cold start."""


class SnapshotRequested(NamedTuple):
    """Asks the peers for a snapshot of the state."""


class SnapshotReceived(NamedTuple):
    """A peer's snapshot of the state, in plain form."""

    state: dict[str, Any]


class RosterChanged(NamedTuple):
    """The peers and their addresses changed."""

    addresses: dict[str, str]


class DrainRequested(NamedTuple):
    """Asks the controller to hand over its roles."""


class StatusRequested(NamedTuple):
    """Asks the controller for the status of what it holds."""


class KeyExplanationRequested(NamedTuple):
    """Asks the controller where a key goes."""

    service: str
    key: str
