"""Store of the site's shared state, on the platform's store."""

from __future__ import annotations

from typing import NamedTuple, Sequence

from result import Err, Ok, Result

from ..core.gateway.model import SiteConfig
from ..core.gateway.positions import era_of, make_position, offset_of
from ..errors import platform as codes
from ..errors.code import Fault
from ..gateway.site_store import Listing, OperatorUpdate, SharedUpdate
from .configuration import read_configuration
from .entries import decode_entry
from .store_client import (
    KeyedRecord,
    NewestRecords,
    StoreClient,
    decode_keyed_record,
    encode_keyed_record,
)

OPERATORS = "keyed.op"
INSTANCES = "keyed.servers"
SHARED = "keyed.skylarktrail"
CANDIDATES = "skylarktrail.granter"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
GRANTER_PARTITION = 0


class KeyedRead(NamedTuple):
    """Result of a read of a keyed log.

    Attributes:
        records: Records in order; for a snapshot, the newest of each key.
        is_snapshot: Whether keys that are not named do not exist.
        position: Position of the next read.
        has_more: Whether the log went on behind the position.
    """

    records: list[KeyedRecord]
    is_snapshot: bool
    position: int
    has_more: bool = False


class PlatformStore:
    """Implements `SiteStore` on the platform's store; for use by one thread.

    Args:
        address: `host:port` of the store.
    """

    def __init__(self, address: str) -> None:
        self._client = StoreClient(address)
        self._generation = 0

    def read_instances(self) -> Result[Listing, Fault]:
        """Reads the entries of all instances."""
        newest = self._client.read_newest(INSTANCES)
        return newest.map(lambda item: _to_listing(item, self._client.era))

    def read_operators(
        self, position: int | None, wait_ms: int
    ) -> Result[OperatorUpdate, Fault]:
        """Reads the operators' records, waiting up to `wait_ms` for new ones."""
        read = self._read_keyed(OPERATORS, position, wait_ms)
        if read.is_err():
            return Err(read.unwrap_err())
        return _to_operator_update(read.unwrap())

    def decode_operators(
        self, records: Sequence[tuple[str, bytes]], position: int
    ) -> Result[OperatorUpdate, Fault]:
        """Decodes operators' records that another daemon read up to a position."""
        keyed = [KeyedRecord(key, value) for key, value in records]
        return _to_operator_update(KeyedRead(keyed, False, position))

    def read_shared(
        self, position: int | None, wait_ms: int
    ) -> Result[SharedUpdate, Fault]:
        """Reads the daemons' records, waiting up to `wait_ms` for new ones."""
        read = self._read_keyed(SHARED, position, wait_ms)
        return read.map(
            lambda keyed: SharedUpdate(
                [(item.key, item.value) for item in keyed.records],
                keyed.is_snapshot,
                keyed.position,
                keyed.has_more,
            )
        )

    def share(self, key: str, value: bytes, position: int | None) -> Result[int, Fault]:
        """Appends a record to the daemons' records.

        Args:
            key: Key of the record.
            value: Value of the record.
            position: If given, the write applies only if the log ends there.

        Returns:
            The position after the record.
        """
        record = encode_keyed_record(KeyedRecord(key, value))
        offset = None if position is None else offset_of(position)
        appended = self._client.append(SHARED, [record], offset)
        era = self._client.era
        if appended.is_ok() and position is not None and era_of(position) != era:
            # The log that the condition was about does not exist any more.
            return Err(Fault(codes.STORE_CONFLICT, key))
        return appended.map(lambda end: make_position(era, end))

    def share_all(self, records: Sequence[tuple[str, bytes]]) -> Result[int, Fault]:
        """Appends records to the daemons' records, all or none.

        Args:
            records: Keys and values.

        Returns:
            The position after the last record.
        """
        encoded = [encode_keyed_record(KeyedRecord(*record)) for record in records]
        appended = self._client.append(SHARED, encoded)
        return appended.map(lambda end: make_position(self._client.era, end))

    def renew_candidacy(self, daemon: str, ttl_ms: int) -> Result[bool, Fault]:
        """Renews a candidacy; returns whether the store has chosen the candidate."""
        joined = self._client.join(
            CANDIDATES, daemon, CANDIDATES, ttl_ms, self._generation
        )
        if joined.is_err():
            return Err(joined.unwrap_err())
        self._generation, partitions = joined.unwrap()
        return Ok(GRANTER_PARTITION in partitions)

    def withdraw_candidacy(self, daemon: str) -> Result[bytes, Fault]:
        """Withdraws a candidacy."""
        return self._client.leave(CANDIDATES, daemon)

    def _read_keyed(
        self, topic: str, position: int | None, wait_ms: int
    ) -> Result[KeyedRead, Fault]:
        if position is None:
            newest = self._client.read_newest(topic)
            return newest.map(lambda item: _to_snapshot(item, self._client.era))
        read = self._client.read(topic, offset_of(position), wait_ms)
        if read.is_err():
            return Err(read.unwrap_err())
        era = self._client.era
        if era_of(position) != era:
            return Err(Fault(codes.STORE_TRIMMED, topic, f"era {era}"))
        batch = read.unwrap()
        records = [decode_keyed_record(item) for item in batch.records]
        reached = make_position(era, batch.next_offset)
        has_more = batch.next_offset < batch.end
        return Ok(KeyedRead(records, False, reached, has_more))


def _to_snapshot(newest: NewestRecords, era: int) -> KeyedRead:
    records = [KeyedRecord(key, value) for key, value in newest.values.items()]
    return KeyedRead(records, True, make_position(era, newest.end))


def _to_listing(newest: NewestRecords, era: int) -> Listing:
    entries = [decode_entry(key, value) for key, value in newest.values.items()]
    listed = [item for item in entries if item is not None]
    return Listing(listed, make_position(era, newest.end))


def _to_operator_update(read: KeyedRead) -> Result[OperatorUpdate, Fault]:
    """Decodes operators' records; one that is malformed does not hide the others."""
    config: SiteConfig | None = None
    zones: dict[str, bool] = {}
    faults: list[Fault] = []
    for record in read.records:
        if record.key == CONFIGURATION_KEY and record.value:
            decoded = read_configuration(record.value)
            if decoded.is_ok():
                config = _newer_config(config, decoded.unwrap())
            else:
                detail = decoded.unwrap_err()
                faults.append(Fault(codes.STORE_MALFORMED, record.key, detail))
        elif record.key.startswith(EVACUATION_PREFIX):
            zones[record.key.removeprefix(EVACUATION_PREFIX)] = bool(record.value)
    records = tuple((item.key, item.value) for item in read.records)
    return Ok(
        OperatorUpdate(
            config,
            zones,
            read.is_snapshot,
            read.position,
            records,
            tuple(faults),
            read.has_more,
        )
    )


def _newer_config(known: SiteConfig | None, other: SiteConfig) -> SiteConfig:
    return other if known is None or other.version > known.version else known
