"""Messages between the actors of one daemon."""

from __future__ import annotations

from typing import Any, Callable, NamedTuple

from ..core.ownership.messages import Grant, GrantAnswer
from ..core.records import Envelope
from ..peer.messages import Message
from ..providers.interface import Vm


class Poll(NamedTuple):
    """Asks an actor to run its next iteration."""


class SetReadOffset(NamedTuple):
    """Sets the offset of the next read of the log."""

    offset: int


class LogReadSucceeded(NamedTuple):
    """A read of the log succeeded.

    Attributes:
        started_ms: Monotonic time before the read started.
        from_offset: Offset that was requested.
        start: First offset that the log retains.
        end: Offset that the next record will get.
        records: Offsets and decoded records; None for a record that is malformed.
    """

    started_ms: float
    from_offset: int
    start: int
    end: int
    records: list[tuple[int, Envelope | None]]


class LogReadFailed(NamedTuple):
    """A read of the log failed."""


class AppendRecord(NamedTuple):
    """Asks the log writer to append an encoded record.

    Attributes:
        seq: Sequence number of the record.
        data: Encoded record.
    """

    seq: int
    data: bytes


class RecordFolded(NamedTuple):
    """The record with a sequence number has been read back from the log."""

    seq: int


class VmListRead(NamedTuple):
    """The VM list was read."""

    vms: list[Vm]


class GrantRequested(NamedTuple):
    """Asks the grant sender to send a grant.

    Attributes:
        server: Name of the server's VM.
        address: `host:port` of the server.
        grant: The grant.
        sent_ms: Echoed in `GrantCompleted`.
    """

    server: str
    address: str
    grant: Grant
    sent_ms: float


class GrantCompleted(NamedTuple):
    """A server answered a grant, or the grant failed.

    Attributes:
        server: Name of the server's VM.
        group: Granter group.
        sent_ms: As in `GrantRequested`.
        answer: The answer; None if there was none.
    """

    server: str
    group: str
    sent_ms: float
    answer: GrantAnswer | None


class PeerMessageReceived(NamedTuple):
    """A peer sent a message.

    Attributes:
        daemon: Name of the peer.
        message: The message.
        reply: Sends a reply to the message.
    """

    daemon: str
    message: Message
    reply: Callable[[Message], bool]


class PeerAlive(NamedTuple):
    """A peer sent a message or a heartbeat."""

    daemon: str


class PeerSendRequested(NamedTuple):
    """Asks the peering actor to send a message to a peer."""

    daemon: str
    message: Message


class PromiseRequested(NamedTuple):
    """Asks the peering actor to request a promise from an heir.

    Attributes:
        heir: Daemon that is the heir.
        group: Granter group.
        term: Term of the granter.
        ask_id: Identifies the request; echoed in `PromiseReceived`.
    """

    heir: str
    group: str
    term: int
    ask_id: int


class PromiseReceived(NamedTuple):
    """An heir gave its promise; the fields are as in `PromiseRequested`."""

    heir: str
    group: str
    term: int
    ask_id: int


class InstanceAgesRequested(NamedTuple):
    """Asks the peering actor to request the ages of the instances from peers."""


class SnapshotRequested(NamedTuple):
    """Asks the peering actor to request a snapshot of the state from peers."""


class SnapshotReceived(NamedTuple):
    """A peer sent a snapshot of the state, as plain data."""

    state: dict[str, Any]


class SetPeerAddresses(NamedTuple):
    """Sets the addresses of the peers, after each read of the VM list.

    Attributes:
        addresses: `host:port` by daemon.
    """

    addresses: dict[str, str]


class DrainRequested(NamedTuple):
    """Asks the controller to hand over its roles."""


class StatusRequested(NamedTuple):
    """Asks the controller for its status."""


class KeyExplanationRequested(NamedTuple):
    """Asks the controller which server owns a key."""

    service: str
    key: str
