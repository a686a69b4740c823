"""Records shared by all daemons: members, the granter and the owners of keys."""

from __future__ import annotations

from typing import Iterable, NamedTuple

import cbor2

from .forward_targets import ForwardTarget
from .ranges import OwnedRange, OwnerTable

GRANTER_KEY = "granter"
MEMBER_PREFIX = "member/"
OWNERS_PREFIX = "owners/"
FORWARD_PREFIX = "forward/"
ERA_KEY = "era"


class GranterRecord(NamedTuple):
    """The daemon that grants key ranges.

    Attributes:
        daemon: Name of the daemon.
        process: Identifier of its process, generated at each start.
        term: Increases with each change of granter.
    """

    daemon: str
    process: str
    term: int


class Member(NamedTuple):
    """A daemon of the site.

    Attributes:
        process: Identifier of its process.
        peer_address: `host:port` for connections of other daemons; empty if it
            accepts none.
    """

    process: str
    peer_address: str


NO_GRANTER = GranterRecord("", "", 0)


def encode_granter(record: GranterRecord) -> bytes:
    """Encodes the record of the granter."""
    return cbor2.dumps(list(record))


def decode_granter(value: bytes) -> GranterRecord:
    """Decodes the record of the granter."""
    return GranterRecord(*cbor2.loads(value))


def encode_owners(ranges: Iterable[OwnedRange]) -> bytes:
    """Encodes the owners of the key hashes of a service."""
    return cbor2.dumps([list(item) for item in ranges])


def encode_member(member: Member) -> bytes:
    """Encodes the membership record of a daemon."""
    return cbor2.dumps(list(member))


def encode_forward_target(target: ForwardTarget) -> bytes:
    """Encodes where a daemon accepts forwarded requests."""
    return cbor2.dumps(list(target))


def encode_era(era: int) -> bytes:
    """Encodes the era of the store in which all owners were recorded last."""
    return cbor2.dumps(era)


class SharedState:
    """State that results from all shared records.

    Attributes:
        granter: The present granter.
        members: Daemons by name.
        forward_targets: Where daemons accept forwarded requests, by name.
        owners: Owners of the key hashes by service.
        era: Era of the store in which all owners were recorded last; 0 if unknown.
    """

    def __init__(self) -> None:
        self.era = 0
        self.granter = NO_GRANTER
        self.members: dict[str, Member] = {}
        self.forward_targets: dict[str, ForwardTarget] = {}
        self.owners: dict[str, OwnerTable] = {}

    def apply(self, records: Iterable[tuple[str, bytes]], is_snapshot: bool) -> None:
        """Applies records in order.

        Args:
            records: Keys and values; an empty value deletes the key.
            is_snapshot: Whether the records are complete, so that members without a
                record are removed.
        """
        records = list(records)
        if is_snapshot:
            names = {key for key, _ in records}
            self.era = 0
            self.members = {
                k: v for k, v in self.members.items() if MEMBER_PREFIX + k in names
            }
            self.forward_targets = {
                k: v
                for k, v in self.forward_targets.items()
                if FORWARD_PREFIX + k in names
            }
        for key, value in records:
            self._apply_one(key, value)

    def _apply_one(self, key: str, value: bytes) -> None:
        if key == GRANTER_KEY and value:
            self.granter = decode_granter(value)
        elif key == ERA_KEY and value:
            self.era = cbor2.loads(value)
        elif key.startswith(MEMBER_PREFIX):
            name = key.removeprefix(MEMBER_PREFIX)
            if value:
                self.members[name] = Member(*cbor2.loads(value))
            else:
                self.members.pop(name, None)
        elif key.startswith(FORWARD_PREFIX):
            name = key.removeprefix(FORWARD_PREFIX)
            if value:
                self.forward_targets[name] = ForwardTarget(*cbor2.loads(value))
            else:
                self.forward_targets.pop(name, None)
        elif key.startswith(OWNERS_PREFIX) and value:
            ranges = [OwnedRange(*item) for item in cbor2.loads(value)]
            self.owners[key.removeprefix(OWNERS_PREFIX)] = OwnerTable(ranges)
