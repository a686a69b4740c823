"""Records shared by all daemons: members, the granter and the owners of keys."""

from __future__ import annotations

import io
from typing import Any, Callable, Iterable, NamedTuple

import cbor2

from .checks import is_count, is_name
from .forward_targets import ForwardTarget
from .model import HASH_COUNT
from .ranges import OwnedRange, OwnerTable
from .terms import first_term_of

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


class OwnersRecord(NamedTuple):
    """The owners of the key hashes of a service.

    Attributes:
        table: The owners.
        term: Term of the granter that wrote the record; 0 if the record names none, as
            daemons of earlier releases write it.
    """

    table: OwnerTable
    term: int


NO_GRANTER = GranterRecord("", "", 0)


def encode_granter(record: GranterRecord) -> bytes:
    """Encodes the record of the granter."""
    return cbor2.dumps(list(record))


def decode_granter(value: bytes) -> GranterRecord:
    """Decodes the record of the granter."""
    return GranterRecord(*cbor2.loads(value))


def encode_owners(ranges: Iterable[OwnedRange], term: int = 0) -> bytes:
    """Encodes the owners of the key hashes of a service.

    Args:
        ranges: The owners.
        term: Term of the granter that records them; 0 for none. It is an item of its
            own after the owners, as daemons of earlier releases read only the first.
    """
    owners = cbor2.dumps([list(item) for item in ranges])
    return owners + cbor2.dumps(term) if term else owners


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


def read_owners(value: bytes) -> OwnersRecord | None:
    """Reads the owners of a service; returns None if they are malformed.

    Ranges that overlap are, as a hash has one owner.
    """
    items, term = _read_list_and_term(value)
    if items is None or not all(map(_is_range, items)) or not is_count(term):
        return None
    ranges = sorted(OwnedRange(*item) for item in items)
    if any(a.last >= b.first for a, b in zip(ranges, ranges[1:])):
        return None
    return OwnersRecord(OwnerTable(ranges), term)


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


def _read_list_and_term(value: bytes) -> tuple[list[Any] | None, Any]:
    """Reads a list and the term after it; the term is 0 if there is none."""
    stream = io.BytesIO(value)
    decoder = cbor2.CBORDecoder(stream, max_depth=MAX_DEPTH)
    try:
        items = decoder.decode()
        term = decoder.decode() if stream.tell() < len(value) else 0
    except Exception:  # The tag decoders of cbor2 raise many types.
        return None, 0
    return (items if isinstance(items, list) else None), term


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

    A record that names a term of an earlier era than the store's was copied, or was
    executed late: it may have replaced a record of this era. The owners that it names
    are not on record in this era, and a claim does not replace a granter of this era.

    Attributes:
        granter: The present granter.
        members: Daemons by name.
        forward_targets: Where daemons accept forwarded requests, by name.
        owners: Owners of the key hashes by service.
        era: Era of the store in which all owners were recorded last; 0 if there is no
            record of it, `UNKNOWN_ERA` if that is malformed.
        last_term: Highest term that any record has named.
        uncertain_keys: Keys of members, targets and owners whose record is malformed,
            of owners that are known but have no record, and of owners and the granter
            whose record is of an earlier era.
        is_granter_missed: Whether the present term may be later than that of the
            granter, as its record is malformed and earlier ones were not read.
    """

    def __init__(self) -> None:
        self.era = 0
        self.granter = NO_GRANTER
        self.members: dict[str, Member] = {}
        self.forward_targets: dict[str, ForwardTarget] = {}
        self.owners: dict[str, OwnerTable] = {}
        self.last_term = 0
        self.uncertain_keys: set[str] = set()
        self.is_granter_missed = False

    def apply(
        self, records: Iterable[tuple[str, bytes]], is_snapshot: bool, era: int = 0
    ) -> None:
        """Applies records in order.

        Args:
            records: Keys and values; an empty value deletes the key.
            is_snapshot: Whether the records are complete, so that members without a
                record are removed.
            era: Era of the store that the records were read from; 0 if it names none.
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
            self.uncertain_keys |= known - names
        for key, value in records:
            self._apply_one(key, value, is_snapshot, first_term_of(era))

    @property
    def is_granter_replaced(self) -> bool:
        """Whether a claim of an earlier era has replaced the present granter's."""
        return GRANTER_KEY in self.uncertain_keys

    def are_owners_uncertain(self, service: str) -> bool:
        """Returns whether the known owners of a service may not be on record."""
        return OWNERS_PREFIX + service in self.uncertain_keys

    def has_uncertain_owners(self) -> bool:
        """Returns whether the known owners of any service may not be on record."""
        return any(key.startswith(OWNERS_PREFIX) for key in self.uncertain_keys)

    def recorded_owners(self, service: str) -> OwnerTable:
        """Returns the owners that are on record, as far as that is known."""
        if self.are_owners_uncertain(service):
            return OwnerTable()
        return self.owners.get(service, OwnerTable())

    def record_owners(self, service: str, owners: OwnerTable) -> None:
        """Records the owners of a service, as the last record has them."""
        self.owners[service] = owners
        self.uncertain_keys.discard(OWNERS_PREFIX + service)

    def _apply_one(
        self, key: str, value: bytes, is_snapshot: bool, first_term: int
    ) -> None:
        self.uncertain_keys.discard(key)
        if key == GRANTER_KEY and value:
            self._apply_granter(read_granter(value), is_snapshot, first_term)
        elif key == ERA_KEY and value:
            self.era = _read_era(value)
        elif key.startswith(MEMBER_PREFIX):
            self._apply_names(key, MEMBER_PREFIX, value, self.members, Member)
        elif key.startswith(FORWARD_PREFIX):
            targets = self.forward_targets
            self._apply_names(key, FORWARD_PREFIX, value, targets, ForwardTarget)
        elif key.startswith(OWNERS_PREFIX) and value:
            self._apply_owners(key, read_owners(value), first_term)

    def _apply_owners(
        self, key: str, record: OwnersRecord | None, first_term: int
    ) -> None:
        if record is None:
            self.uncertain_keys.add(key)
            return
        self.last_term = max(self.last_term, record.term)
        service = key.removeprefix(OWNERS_PREFIX)
        if not record.term or record.term >= first_term:
            self.owners[service] = record.table
            return
        self.uncertain_keys.add(key)
        self.owners.setdefault(service, record.table)  # Requests need some owner.

    def _apply_granter(
        self, record: GranterRecord | None, is_snapshot: bool, first_term: int
    ) -> None:
        if record is not None and record.term < first_term <= self.granter.term:
            self.uncertain_keys.add(GRANTER_KEY)
            return
        if record is not None:
            self.granter = record
            self.last_term = max(self.last_term, record.term)
            self.is_granter_missed = False
            return
        self.is_granter_missed = self.is_granter_missed or is_snapshot
        if self.granter.daemon:
            self.granter = GranterRecord("", "", self.granter.term + 1)
            self.last_term = max(self.last_term, self.granter.term)

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
            self.uncertain_keys.add(key)
        else:
            known.pop(name, None)
