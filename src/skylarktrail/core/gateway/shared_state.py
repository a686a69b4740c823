"""Records shared by all daemons: members, the granter and the owners of keys."""

from __future__ import annotations

from typing import Any, Callable, Iterable, NamedTuple

import cbor2

from .checks import is_count, is_name
from .forward_targets import ForwardTarget
from .model import HASH_COUNT
from .ranges import OwnedRange, OwnerTable

GRANTER_KEY = "granter"
MEMBER_PREFIX = "member/"
OWNERS_PREFIX = "owners/"
FORWARD_PREFIX = "forward/"
ERA_KEY = "era"
UNKNOWN_ERA = -1  # Earlier than all eras, so that the owners may not be the last ones.
MAX_DEPTH = 8
RANGE_FIELD_COUNTS = (4, 5, 6)  # Daemons of earlier releases wrote no next owner.


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


def read_granter(value: bytes) -> GranterRecord | None:
    """Reads the record of the granter; returns None if it is malformed."""
    fields = _read_list(value, 3)
    if fields is None or not all(map(is_name, fields[:2])) or not is_count(fields[2]):
        return None
    return GranterRecord(*fields)


def read_owners(value: bytes) -> OwnerTable | None:
    """Reads the owners of a service; returns None if they are malformed.

    Ranges that overlap are, as a hash has one owner.
    """
    items = _read_list(value)
    if items is None or not all(map(_is_range, items)):
        return None
    ranges = sorted(OwnedRange(*item) for item in items)
    if any(a.last >= b.first for a, b in zip(ranges, ranges[1:])):
        return None
    return OwnerTable(ranges)


def _read_names(value: bytes) -> list[str] | None:
    """Reads a record of two names; returns None if it is malformed."""
    fields = _read_list(value, 2)
    return fields if fields is not None and all(map(is_name, fields)) else None


def _read_era(value: bytes) -> int:
    era = _read_value(value)
    return era if is_count(era) else UNKNOWN_ERA


def _read_list(value: bytes, length: int | None = None) -> list[Any] | None:
    fields = _read_value(value)
    if not isinstance(fields, list) or length not in (None, len(fields)):
        return None
    return fields


def _read_value(value: bytes) -> Any:
    try:
        return cbor2.loads(value, max_depth=MAX_DEPTH)
    except Exception:  # The tag decoders of cbor2 raise many types.
        return None


def _is_range(item: Any) -> bool:
    if not isinstance(item, list) or len(item) not in RANGE_FIELD_COUNTS:
        return False
    first, last, owner, start_ms, next_owner, next_start_ms = (
        item + ["", 0][len(item) - 4 :]
    )
    is_part = is_count(first) and is_count(last) and first <= last < HASH_COUNT
    are_names = is_name(owner) and is_name(next_owner)
    return is_part and are_names and is_count(start_ms) and is_count(next_start_ms)


class SharedState:
    """State that results from all shared records.

    A record may be malformed, as other programs may write to the log, too. What the
    record before it said still holds, except that a malformed record of the granter
    counts as that of an unknown granter in the next term, and a malformed era as
    unknown. So nothing is granted on the strength of what it may have replaced.

    Attributes:
        granter: The present granter.
        members: Daemons by name.
        forward_targets: Where daemons accept forwarded requests, by name.
        owners: Owners of the key hashes by service.
        era: Era of the store in which all owners were recorded last; 0 if there is no
            record of it, `UNKNOWN_ERA` if that is malformed.
        malformed_keys: Keys of members, targets and owners whose record is malformed,
            and of owners that are known but have no record.
        is_granter_missed: Whether the present term may be later than that of the
            granter, as its record is malformed and earlier ones were not read.
    """

    def __init__(self) -> None:
        self.era = 0
        self.granter = NO_GRANTER
        self.members: dict[str, Member] = {}
        self.forward_targets: dict[str, ForwardTarget] = {}
        self.owners: dict[str, OwnerTable] = {}
        self.malformed_keys: set[str] = set()
        self.is_granter_missed = False

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
            # A store that is back from an older copy may have lost them.
            known = {OWNERS_PREFIX + service for service in self.owners}
            self.malformed_keys |= known - names
        for key, value in records:
            self._apply_one(key, value, is_snapshot)

    def are_owners_malformed(self, service: str) -> bool:
        """Returns whether the record of a service's owners is malformed or lost."""
        return OWNERS_PREFIX + service in self.malformed_keys

    def has_uncertain_owners(self) -> bool:
        """Returns whether the known owners of any service may not be on record."""
        return any(key.startswith(OWNERS_PREFIX) for key in self.malformed_keys)

    def recorded_owners(self, service: str) -> OwnerTable:
        """Returns the owners that are on record, as far as that is known."""
        if self.are_owners_malformed(service):
            return OwnerTable()
        return self.owners.get(service, OwnerTable())

    def record_owners(self, service: str, owners: OwnerTable) -> None:
        """Records the owners of a service, as the last record has them."""
        self.owners[service] = owners
        self.malformed_keys.discard(OWNERS_PREFIX + service)

    def _apply_one(self, key: str, value: bytes, is_snapshot: bool) -> None:
        self.malformed_keys.discard(key)
        if key == GRANTER_KEY and value:
            self._apply_granter(read_granter(value), is_snapshot)
        elif key == ERA_KEY and value:
            self.era = _read_era(value)
        elif key.startswith(MEMBER_PREFIX):
            self._apply_names(key, MEMBER_PREFIX, value, self.members, Member)
        elif key.startswith(FORWARD_PREFIX):
            targets = self.forward_targets
            self._apply_names(key, FORWARD_PREFIX, value, targets, ForwardTarget)
        elif key.startswith(OWNERS_PREFIX) and value:
            owners = read_owners(value)
            if owners is None:
                self.malformed_keys.add(key)
            else:
                self.owners[key.removeprefix(OWNERS_PREFIX)] = owners

    def _apply_granter(self, record: GranterRecord | None, is_snapshot: bool) -> None:
        if record is not None:
            self.granter = record
            self.is_granter_missed = False
            return
        self.is_granter_missed = self.is_granter_missed or is_snapshot
        if self.granter.daemon:
            self.granter = GranterRecord("", "", self.granter.term + 1)

    def _apply_names(
        self,
        key: str,
        prefix: str,
        value: bytes,
        known: dict[str, Any],
        make: Callable[..., Any],
    ) -> None:
        name = key.removeprefix(prefix)
        fields = _read_names(value) if value else None
        if fields is not None:
            known[name] = make(*fields)
        elif value:
            self.malformed_keys.add(key)
        else:
            known.pop(name, None)
