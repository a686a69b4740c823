"""Record types of the platform's log and their registry."""

from __future__ import annotations

from typing import Any, Callable, NamedTuple, TypeVar

R = TypeVar("R", bound=type)
RECORD_TYPES: dict[str, type] = {}


def record(kind: str) -> Callable[[R], R]:
    """Returns a decorator that registers a record type under its wire name."""

    def register(cls: R) -> R:
        cls.kind = kind
        RECORD_TYPES[kind] = cls
        return cls

    return register


@record("publish")
class Publish(NamedTuple):
    """An operator publishes a new operator file.

    Attributes:
        publish_id: Identifies this publication, so that the operator can find it in
            the log after the answer to the append was lost.
        base_revision: Revision that the file was derived from; 0 for the first file.
        file: The whole operator file.
    """

    publish_id: str
    base_revision: int
    file: dict[str, Any]


@record("join")
class Join(NamedTuple):
    """A daemon process joins the roster.

    Attributes:
        zone: Availability zone of the daemon.
        peer_address: `host:port` of its peer socket.
        replaces: Incarnation of the same daemon that the roster had when this one
            joined; "" for none.
    """

    zone: str
    peer_address: str
    replaces: str


@record("leave")
class Leave(NamedTuple):
    """A daemon leaves the roster: it has shut down, or its VM is gone.

    Attributes:
        daemon: Name of the daemon that leaves.
        incarnation: Incarnation of that daemon.
    """

    daemon: str
    incarnation: str


@record("claim")
class Claim(NamedTuple):
    """A daemon claims the next term of a granter group and becomes its granter.

    Attributes:
        group: Granter group.
        term: Claimed term; the current term plus 1.
        heir: The only other daemon that may claim the next term before the granter
            resigns; "" for none.
        authority_ms: How long the granter may act after one confirmation.
        lease_ms: Longest lease that the granter gives to a server.
        predecessors_gone: Whether the writer asserts that the platform has removed
            the VMs of the current granter and of its heir.
    """

    group: str
    term: int
    heir: str
    authority_ms: int
    lease_ms: int
    predecessors_gone: bool = False


@record("resign")
class Resign(NamedTuple):
    """A granter resigns; it stopped acting before it wrote this record.

    Attributes:
        group: Granter group.
        term: Term that the granter resigns.
    """

    group: str
    term: int


class Placement(NamedTuple):
    """Assigns one slice to a server.

    Attributes:
        start: First hash of the slice.
        server: VM identifier of the new owner; "" for none.
    """

    start: int
    server: str


@record("assign")
class Assign(NamedTuple):
    """A granter assigns slices of its group to servers.

    Attributes:
        group: Granter group.
        term: Term of the granter.
        seq: Sequence number, increasing within the term; the low 32 bits of the fence.
        placements: Slices and their new owners.
    """

    group: str
    term: int
    seq: int
    placements: tuple[Placement, ...]


@record("split")
class Split(NamedTuple):
    """A granter splits a slice; the parts keep its owner, fence and group.

    Attributes:
        group: Granter group.
        term: Term of the granter.
        seq: Sequence number, increasing within the term.
        start: First hash of the slice to split.
        new_starts: First hashes of the new slices, ascending.
    """

    group: str
    term: int
    seq: int
    start: int
    new_starts: tuple[int, ...]


@record("merge")
class Merge(NamedTuple):
    """A granter merges a slice into the one before it.

    Both slices must have the same owner and group.

    Attributes:
        group: Granter group.
        term: Term of the granter.
        seq: Sequence number, increasing within the term.
        start: First hash of the slice that is removed.
    """

    group: str
    term: int
    seq: int
    start: int


@record("checkpoint")
class Checkpoint(NamedTuple):
    """State after folding every record before an offset.

    Attributes:
        end_offset: Offset of the first record that the state does not contain.
        state: The result of `State.dump`.
    """

    end_offset: int
    state: dict[str, Any]


Record = Publish | Join | Leave | Claim | Resign | Assign | Split | Merge | Checkpoint


class Envelope(NamedTuple):
    """A record and its writer.

    Attributes:
        writer: Name of the daemon, or "operator".
        incarnation: Identifies the process of the writer.
        seq: Sequence number, increasing within the incarnation.
        body: The record.
    """

    writer: str
    incarnation: str
    seq: int
    body: Record
