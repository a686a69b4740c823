"""Replicated state of the site: a pure fold over the records of the platform's log.

Every daemon applies the same records in the same order and reaches the same state.
"""

from __future__ import annotations

from typing import Any, Callable, NamedTuple, TypeVar

from ..errors import log as codes
from ..errors.code import Code
from .records import (
    Assign,
    Checkpoint,
    Claim,
    Envelope,
    Join,
    Leave,
    Merge,
    Publish,
    Resign,
    Split,
)
from .slices import SliceTable, make_fence

FileCheck = Callable[[dict[str, Any]], bool]
Handler = Callable[["State", int, Envelope], Code]
H = TypeVar("H", bound=Handler)
_HANDLERS: dict[type, Handler] = {}


class Member(NamedTuple):
    """A daemon in the roster.

    Attributes:
        incarnation: Identifies its process.
        zone: Its availability zone.
        peer_address: `host:port` of its peer socket.
        last_seq: Highest sequence number among its folded records.
    """

    incarnation: str
    zone: str
    peer_address: str
    last_seq: int


class GranterTerm(NamedTuple):
    """The term of a granter group and its granter.

    Attributes:
        term: Number of the term; each accepted claim increments it.
        granter: Daemon that claimed the term.
        incarnation: Identifies the granter's process.
        heir: The only other daemon that may claim the next term before the granter
            resigns; "" for none.
        authority_ms: How long the granter may act after one confirmation.
        lease_ms: Longest lease that the granter gives to a server.
        seq: Highest sequence number of an assignment, split or merge in the term.
        resigned: Whether the granter has resigned.
        offset: Offset of the claim.
        longest_authority_ms: Longest `authority_ms` of this and all earlier terms.
        longest_lease_ms: Longest `lease_ms` of this and all earlier terms.
    """

    term: int
    granter: str
    incarnation: str
    heir: str
    authority_ms: int
    lease_ms: int
    seq: int
    resigned: bool
    offset: int
    longest_authority_ms: int
    longest_lease_ms: int


def handles(cls: type) -> Callable[[H], H]:
    """Returns a decorator that registers the function for one record type."""

    def register(handler: H) -> H:
        _HANDLERS[cls] = handler
        return handler

    return register


class State:
    """State that results from the records of the log up to an offset.

    Attributes:
        next_offset: Offset of the first record that is not folded yet.
        revision: Offset of the operator file in force; 0 for none.
        file: The operator file in force.
        members: Members of the roster by daemon name.
        departed: The `MAX_DEPARTED` members that left most recently, by daemon name.
            A late copy of one of their records is still recognized as a repeat.
        terms: Terms by granter group.
        tables: Slice tables by keyed service.
        shapes: Number of slices and of granter groups by keyed service, also of
            services that were removed.
    """

    def __init__(self, check_file: FileCheck) -> None:
        self._check_file = check_file
        self.next_offset = 1
        self.revision = 0
        self.file: dict[str, Any] = {}
        self.members: dict[str, Member] = {}
        self.departed: dict[str, Member] = {}
        self.granter_terms: dict[str, GranterTerm] = {}
        self.tables: dict[str, SliceTable] = {}
        self.shapes: dict[str, tuple[int, int]] = {}

    def apply(self, offset: int, envelope: Envelope | None) -> Code:
        """Folds the record at an offset into the state.

        Args:
            offset: Offset of the record; higher than that of the record before.
            envelope: The record; None when it could not be decoded.

        Returns:
            `RECORD_ACCEPTED`, or why the record has no effect. Every reader of the
            log gets the same result.
        """
        self.next_offset = offset + 1
        if envelope is None:
            return codes.RECORD_MALFORMED
        return _HANDLERS[type(envelope.body)](self, offset, envelope)

    def groups(self) -> list[str]:
        """Returns the names of the granter groups of the file in force."""
        names = [
            f"{service['name']}/{index}"
            for service in self.file.get("services", [])
            if service["kind"] == "keyed"
            for index in range(service["granter_groups"])
        ]
        homes = self.file.get("idempotency", {}).get("homes", 0)
        return names + [f"{HOME_PREFIX}{index}" for index in range(homes)]

    def slice_count(self, service: str) -> int:
        """Returns the number of slices of a keyed service in the file in force."""
        return _keyed_shapes(self.file)[service][0]

    def dump(self) -> dict[str, Any]:
        """Returns the state as plain dictionaries and lists."""
        return {
            "next_offset": self.next_offset,
            "revision": self.revision,
            "file": self.file,
            "members": {name: list(m) for name, m in self.members.items()},
            "departed": {name: list(m) for name, m in self.departed.items()},
            "tenures": {name: list(t) for name, t in self.granter_terms.items()},
            "tables": {name: t.dump() for name, t in self.tables.items()},
            "shapes": {name: list(shape) for name, shape in self.shapes.items()},
        }

    def can_load(self, plain: dict[str, Any]) -> bool:
        """Returns whether a checkpoint of any writer has the form of `dump`."""
        scratch = State(self._check_file)
        try:
            scratch.load(plain)
            return scratch.dump() == plain
        except Exception:  # A malformed checkpoint may raise anything.
            return False

    def load(self, plain: dict[str, Any]) -> None:
        """Replaces the state by the result of `dump`."""
        self.next_offset = plain["next_offset"]
        self.revision = plain["revision"]
        self.file = plain["file"]
        self.members = {name: Member(*m) for name, m in plain["members"].items()}
        self.departed = {name: Member(*m) for name, m in plain["departed"].items()}
        self.granter_terms = {
            name: GranterTerm(*t) for name, t in plain["tenures"].items()
        }
        self.tables = {name: SliceTable.load(t) for name, t in plain["tables"].items()}
        self.shapes = {name: tuple(shape) for name, shape in plain["shapes"].items()}

    def check_writer(self, envelope: Envelope) -> Code | None:
        """Checks the writer of a record and records its sequence number.

        Returns:
            Why the record is skipped; None when its writer is valid.
        """
        member = self.members.get(envelope.writer)
        if member is None or member.incarnation != envelope.incarnation:
            return codes.WRITER_UNKNOWN
        if envelope.seq <= member.last_seq:
            return codes.RECORD_REPEATED
        self.members[envelope.writer] = member._replace(last_seq=envelope.seq)
        return None

    def check_granter(self, envelope: Envelope, group: str, term: int) -> Code | None:
        """Checks that the writer of a record is the granter in force.

        Returns:
            Why the record is skipped; None when its writer is the granter.
        """
        fault = self.check_writer(envelope)
        if fault is not None:
            return fault
        granter_term = self.granter_terms.get(group)
        holder = (envelope.writer, envelope.incarnation)
        if granter_term is None or granter_term.term != term or granter_term.resigned:
            return codes.TERM_STALE
        if (granter_term.granter, granter_term.incarnation) != holder:
            return codes.TERM_STALE
        return None


HOME_PREFIX = "home/"
MAX_DEPARTED = 1000


def service_of(group: str) -> str:
    """Returns the name of the keyed service of a granter group."""
    return group.rpartition("/")[0]


@handles(Publish)
def _apply_publish(state: State, offset: int, envelope: Envelope) -> Code:
    publish: Publish = envelope.body
    if publish.base_revision != state.revision:
        return codes.REVISION_CONFLICT
    if not state._check_file(publish.file) or _changes_fixed_settings(
        state, publish.file
    ):
        return codes.FILE_INVALID
    state.revision = offset
    state.file = publish.file
    _sync_tables(state)
    return codes.RECORD_ACCEPTED


def _keyed_shapes(file: dict[str, Any]) -> dict[str, tuple[int, int]]:
    """Returns the numbers of slices and granter groups by keyed service."""
    return {
        service["name"]: (service["slices"], service["granter_groups"])
        for service in file.get("services", [])
        if service["kind"] == "keyed"
    }


def _changes_fixed_settings(state: State, file: dict[str, Any]) -> bool:
    """Tells whether a file changes settings that are fixed once in force.

    The numbers of slices and groups of a service are fixed even after the service is
    removed from the file, because its servers may still hold leases. The number of
    homes and the clock skew of idempotency keys are fixed too: with another number of
    homes a key would be sent to a home that has no record of it.
    """
    homes = state.file.get("idempotency")
    if homes is not None and _fixed_settings(
        file.get("idempotency")
    ) != _fixed_settings(homes):
        return True
    shapes = state.shapes
    return any(
        shapes.get(name, shape) != shape for name, shape in _keyed_shapes(file).items()
    )


def _fixed_settings(idempotency: dict[str, Any] | None) -> tuple[Any, Any] | None:
    """Returns the number of homes and the clock skew of idempotency keys."""
    if idempotency is None:
        return None
    return idempotency.get("homes"), idempotency.get("skew_ms")


def _sync_tables(state: State) -> None:
    """Adds and removes slice tables according to the file in force."""
    shapes = _keyed_shapes(state.file)
    state.shapes |= shapes
    for name in set(state.tables) - set(shapes):
        del state.tables[name]
    for name in sorted(set(shapes) - set(state.tables)):
        state.tables[name] = SliceTable.build_even(name, *shapes[name])


@handles(Join)
def _apply_join(state: State, offset: int, envelope: Envelope) -> Code:
    join: Join = envelope.body
    member = state.members.get(envelope.writer)
    current = member.incarnation if member else ""
    if current == envelope.incarnation:
        return codes.RECORD_REPEATED
    if current != join.replaces:
        return codes.JOIN_STALE
    departed = state.departed.get(envelope.writer)
    if departed and departed.incarnation == envelope.incarnation:
        if envelope.seq <= departed.last_seq:
            return codes.RECORD_REPEATED
    state.departed.pop(envelope.writer, None)
    state.members[envelope.writer] = Member(
        envelope.incarnation, join.zone, join.peer_address, envelope.seq
    )
    return codes.RECORD_ACCEPTED


@handles(Leave)
def _apply_leave(state: State, offset: int, envelope: Envelope) -> Code:
    leave: Leave = envelope.body
    fault = state.check_writer(envelope)
    if fault is not None:
        return fault
    member = state.members.get(leave.daemon)
    if member is None or member.incarnation != leave.incarnation:
        return codes.RECORD_REPEATED
    del state.members[leave.daemon]
    state.departed[leave.daemon] = member
    while len(state.departed) > MAX_DEPARTED:
        del state.departed[next(iter(state.departed))]
    return codes.RECORD_ACCEPTED


@handles(Claim)
def _apply_claim(state: State, offset: int, envelope: Envelope) -> Code:
    claim: Claim = envelope.body
    fault = state.check_writer(envelope)
    if fault is not None:
        return fault
    granter_term = state.granter_terms.get(claim.group)
    term = granter_term.term if granter_term else 0
    if claim.term != term + 1:
        return codes.TERM_STALE
    if granter_term and not _is_entitled(granter_term, envelope.writer, claim):
        return codes.CLAIM_NOT_ENTITLED
    state.granter_terms[claim.group] = GranterTerm(
        claim.term,
        envelope.writer,
        envelope.incarnation,
        claim.heir,
        claim.authority_ms,
        claim.lease_ms,
        0,
        False,
        offset,
        max(
            claim.authority_ms, granter_term.longest_authority_ms if granter_term else 0
        ),
        max(claim.lease_ms, granter_term.longest_lease_ms if granter_term else 0),
    )
    return codes.RECORD_ACCEPTED


def _is_entitled(granter_term: GranterTerm, writer: str, claim: Claim) -> bool:
    """Tells whether a daemon may claim the term after a known one."""
    if granter_term.resigned or claim.predecessors_gone:
        return True
    return writer in (granter_term.granter, granter_term.heir)


@handles(Resign)
def _apply_resign(state: State, offset: int, envelope: Envelope) -> Code:
    resign: Resign = envelope.body
    fault = state.check_granter(envelope, resign.group, resign.term)
    if fault is not None:
        return fault
    granter_term = state.granter_terms[resign.group]
    state.granter_terms[resign.group] = granter_term._replace(resigned=True)
    return codes.RECORD_ACCEPTED


def _advance_seq(state: State, group: str, seq: int) -> bool:
    """Records the sequence number of a granter's record.

    Returns:
        Whether the number is higher than all before in the term.
    """
    granter_term = state.granter_terms[group]
    if seq <= granter_term.seq:
        return False
    state.granter_terms[group] = granter_term._replace(seq=seq)
    return True


@handles(Assign)
def _apply_assign(state: State, offset: int, envelope: Envelope) -> Code:
    assign: Assign = envelope.body
    fault = state.check_granter(envelope, assign.group, assign.term)
    if fault is not None:
        return fault
    table = state.tables.get(service_of(assign.group))
    if table is None or not _has_slices(table, assign):
        return codes.SLICE_UNKNOWN
    if not _advance_seq(state, assign.group, assign.seq):
        return codes.SEQUENCE_STALE
    fence = make_fence(assign.term, assign.seq)
    for placement in assign.placements:
        table.set_owner(placement.start, placement.server, fence)
    return codes.RECORD_ACCEPTED


def _has_slices(table: SliceTable, assign: Assign) -> bool:
    """Tells whether every assigned slice exists and belongs to the group."""
    slices = (table.get(placement.start) for placement in assign.placements)
    return all(found and found.group == assign.group for found in slices)


@handles(Split)
def _apply_split(state: State, offset: int, envelope: Envelope) -> Code:
    split: Split = envelope.body
    fault = state.check_granter(envelope, split.group, split.term)
    if fault is not None:
        return fault
    table = state.tables.get(service_of(split.group))
    found = table.get(split.start) if table else None
    if found is None or found.group != split.group:
        return codes.SLICE_UNKNOWN
    bounds = (found.start, *split.new_starts, found.end)
    if not split.new_starts or any(a >= b for a, b in zip(bounds, bounds[1:])):
        return codes.SLICE_UNKNOWN
    if not _advance_seq(state, split.group, split.seq):
        return codes.SEQUENCE_STALE
    table.split(split.start, split.new_starts)
    return codes.RECORD_ACCEPTED


@handles(Merge)
def _apply_merge(state: State, offset: int, envelope: Envelope) -> Code:
    merge: Merge = envelope.body
    fault = state.check_granter(envelope, merge.group, merge.term)
    if fault is not None:
        return fault
    table = state.tables.get(service_of(merge.group))
    found = table.get(merge.start) if table else None
    if found is None or found.start == 0 or found.group != merge.group:
        return codes.SLICE_UNKNOWN
    before = table.find(found.start - 1)
    if (before.group, before.server) != (found.group, found.server):
        return codes.SLICE_UNKNOWN
    if not _advance_seq(state, merge.group, merge.seq):
        return codes.SEQUENCE_STALE
    table.merge(merge.start)
    return codes.RECORD_ACCEPTED


@handles(Checkpoint)
def _apply_checkpoint(state: State, offset: int, envelope: Envelope) -> Code:
    """Compares a checkpoint with the state of this reader.

    A reader that starts from the checkpoint has loaded it before folding.
    """
    checkpoint: Checkpoint = envelope.body
    if checkpoint.end_offset == offset:
        plain = state.dump() | {"next_offset": offset}
        if plain != checkpoint.state:
            return codes.CHECKPOINT_MISMATCH
    return codes.RECORD_ACCEPTED
