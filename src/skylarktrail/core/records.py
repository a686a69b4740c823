"""Typed records of the platform's log and their registry."""

from __future__ import annotations

from typing import Any, Callable, NamedTuple, TypeVar

R = TypeVar("R", bound=type)
RECORD_TYPES: dict[str, type] = {}


def record(kind: str) -> Callable[[R], R]:
    """Registers a record type under its name on the wire."""

    def register(cls: R) -> R:
        cls.kind = kind
        RECORD_TYPES[kind] = cls
        return cls

    return register


@record("publish")
class Publish(NamedTuple):
    """An operator's file.

    Attributes:
        publish_id: Identifies this publication when its answer is lost.
        base_revision: Revision that the file was derived from; 0 for the first.
        file: The whole operator file.
    """

    publish_id: str
    base_revision: int
    file: dict[str, Any]


@record("join")
class Join(NamedTuple):
    """A daemon process enters the roster.

    Attributes:
        zone: Availability zone of the daemon.
        peer_address: `host:port` of its peer socket.
        replaces: Incarnation of the same daemon that this one saw, or "".
    """

    zone: str
    peer_address: str
    replaces: str


@record("leave")
class Leave(NamedTuple):
    """A daemon leaves the roster, by itself or after its VM is gone.

    Attributes:
        daemon: The daemon that leaves.
        incarnation: Its incarnation.
    """

    daemon: str
    incarnation: str


@record("claim")
class Claim(NamedTuple):
    """A daemon claims a granter group for a new term.

    Attributes:
        group: Granter group.
        term: The term claimed; one above the term in force.
        heir: Daemon that alone may claim the next term early; "" for none.
        authority_ms: How long one confirmation lets the granter act.
        lease_ms: Longest lease that the granter gives.
        predecessors_gone: The writer attests that the platform has dropped the
            VMs of the granter and the heir in force.
    """

    group: str
    term: int
    heir: str
    authority_ms: int
    lease_ms: int
    predecessors_gone: bool = False


@record("resign")
class Resign(NamedTuple):
    """The granter has stopped acting in its term.

    Attributes:
        group: Granter group.
        term: The term given up.
    """

    group: str
    term: int


class Placement(NamedTuple):
    """One slice and its owner.

    Attributes:
        start: First hash of the slice.
        server: Server that owns it; "" for none.
    """

    start: int
    server: str


@record("assign")
class Assign(NamedTuple):
    """New owners for slices of one group.

    Attributes:
        group: Granter group.
        term: Term of the granter.
        seq: Rises within the term; the low half of the fence.
        placements: Slices and their owners.
    """

    group: str
    term: int
    seq: int
    placements: tuple[Placement, ...]


@record("split")
class Split(NamedTuple):
    """Divides one slice; the parts keep owner, fence and group.

    Attributes:
        group: Granter group.
        term: Term of the granter.
        seq: Rises within the term.
        start: First hash of the slice to divide.
        cuts: First hashes of the new slices, ascending.
    """

    group: str
    term: int
    seq: int
    start: int
    cuts: tuple[int, ...]


@record("merge")
class Merge(NamedTuple):
    """Joins a slice to the one before it, when both have one owner and group.

    Attributes:
        group: Granter group.
        term: Term of the granter.
        seq: Rises within the term.
        start: First hash of the slice that disappears.
    """

    group: str
    term: int
    seq: int
    start: int


@record("checkpoint")
class Checkpoint(NamedTuple):
    """The state folded from every record below an offset.

    Attributes:
        end_offset: Offset of the first record that is not contained.
        state: The state in plain form.
    """

    end_offset: int
    state: dict[str, Any]


Record = Publish | Join | Leave | Claim | Resign | Assign | Split | Merge | Checkpoint


class Envelope(NamedTuple):
    """A record with its writer.

    Attributes:
        writer: Daemon or operator.
        incarnation: Process of the writer.
        seq: Rises within the incarnation.
        body: The record.
    """

    writer: str
    incarnation: str
    seq: int
    body: Record
