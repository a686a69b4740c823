"""HTTP client of the platform's store: logs, keyed logs and group membership.

A client is for use by one thread. It sends each call once; retries are up to the user
of the client.
"""

from __future__ import annotations

import base64
import json
from typing import Any, Iterator, NamedTuple, Sequence
from urllib.parse import urlencode

import urllib3
from result import Err, Ok, Result

from ..errors import platform as codes
from ..errors.code import Fault
from ..http_pools import make_pool

RESPONSE_TIMEOUT_MS = 900.0  # The store usually responds within 4 ms.
CONNECT_TIMEOUT_MS = 400.0
MAX_IDLE_CONNECTIONS = 2
STATUS_FAULTS = {
    409: codes.STORE_CONFLICT,
    410: codes.STORE_TRIMMED,
    412: codes.STORE_CONFLICT,
    429: codes.STORE_REFUSED,
    503: codes.STORE_REFUSED,
    507: codes.STORE_REFUSED,
}
FRAME_LENGTH_BYTES = 4
POSITION_BYTES = 8
ERA_HEADER = "Store-Era"


class KeyedRecord(NamedTuple):
    """A record of a keyed log; an empty value deletes the key."""

    key: str
    value: bytes


class NewestRecords(NamedTuple):
    """The newest record of each key.

    Attributes:
        values: Values by key.
        end: Offset after the last record when the first page was read.
    """

    values: dict[str, bytes]
    end: int


class RecordBatch(NamedTuple):
    """Records of a log.

    Attributes:
        end: Offset after the last record of the log.
        next_offset: Offset after the last record of this batch.
        records: Records in order, without their length prefixes.
    """

    end: int
    next_offset: int
    records: list[bytes]


class StoreClient:
    """HTTP client of the store.

    Args:
        address: `host:port`.

    Attributes:
        era: Era that the store named in its last answer; 0 if it names none. It rises
            each time when the store returns to an older copy.
    """

    def __init__(self, address: str) -> None:
        self.era = 0
        self._address = address
        self._pool = make_pool(address, MAX_IDLE_CONNECTIONS)

    def read_newest(self, topic: str) -> Result[NewestRecords, Fault]:
        """Reads the newest record of each key of a keyed log, page by page."""
        values: dict[str, bytes] = {}
        end: int | None = None
        era: int | None = None
        query = {"topic": topic, "part": "0"}
        while True:
            page = self._send("GET", "/api/log-newest", query)
            if page.is_err():
                return Err(page.unwrap_err())
            era = self.era if era is None else era
            if self.era != era:
                return Err(Fault(codes.STORE_TRIMMED, topic, f"era {self.era}"))
            document = json.loads(page.unwrap())
            end = document["endOffset"] if end is None else end
            for item in document["items"]:
                values[item["key"]] = base64.b64decode(item["value"])
            if not document["more"] or not document["items"]:
                return Ok(NewestRecords(values, end))
            query["after"] = document["items"][-1]["key"]

    def read(self, topic: str, offset: int, wait_ms: int) -> Result[RecordBatch, Fault]:
        """Reads records from an offset on, waiting up to `wait_ms` if there is none."""
        query = {"topic": topic, "part": "0", "from": offset, "waitMs": wait_ms}
        response = self._send("GET", "/api/log-read", query, extra_ms=wait_ms)
        if response.is_err():
            return Err(response.unwrap_err())
        data = response.unwrap()
        end = int.from_bytes(data[:POSITION_BYTES], "big")
        records = list(_split_frames(data[2 * POSITION_BYTES :]))
        return Ok(RecordBatch(end, offset + len(records), records))

    def append(
        self, topic: str, records: Sequence[bytes], at: int | None = None
    ) -> Result[int, Fault]:
        """Appends records, all or none.

        Args:
            topic: Name of the log.
            records: The records.
            at: If given, they are appended only if the log ends at this offset.

        Returns:
            The offset after the last record. After a fault other than `STORE_CONFLICT`
            and `STORE_REFUSED` the records may or may not have been appended.
        """
        query: dict[str, Any] = {"topic": topic, "part": "0"}
        if at is not None:
            query["at"] = at
        body = b"".join(
            len(record).to_bytes(FRAME_LENGTH_BYTES, "big") + record
            for record in records
        )
        response = self._send("POST", "/api/log-append", query, body)
        return response.map(lambda data: json.loads(data)["endOffset"])

    def join(
        self, group: str, member: str, topic: str, ttl_ms: int, generation: int
    ) -> Result[tuple[int, set[int]], Fault]:
        """Joins a group or stays in it; returns its generation and the partitions."""
        document = {
            "group": group,
            "member": member,
            "topics": [topic],
            "ttlMs": ttl_ms,
            "generation": generation,
        }
        response = self._send(
            "POST", "/api/log-join", {}, json.dumps(document).encode()
        )
        if response.is_err():
            return Err(response.unwrap_err())
        reply = json.loads(response.unwrap())
        return Ok((reply["generation"], {row[1] for row in reply["parts"]}))

    def leave(self, group: str, member: str) -> Result[bytes, Fault]:
        """Leaves a group, so that its partitions are reassigned at once."""
        body = json.dumps({"group": group, "member": member}).encode()
        return self._send("POST", "/api/log-leave", {}, body)

    def close(self) -> None:
        """Closes all connections."""
        self._pool.close()

    def _send(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        body: bytes | None = None,
        extra_ms: float = 0.0,
    ) -> Result[bytes, Fault]:
        url = f"{path}?{urlencode(query)}" if query else path
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_MS / 1000,
            read=(RESPONSE_TIMEOUT_MS + extra_ms) / 1000,
        )
        is_json = body is not None and not query
        headers = {"Content-Type": "application/json"} if is_json else {}
        try:
            response = self._pool.urlopen(
                method, url, body, headers, retries=False, timeout=timeout
            )
        except urllib3.exceptions.NewConnectionError as error:
            return Err(Fault(codes.STORE_REFUSED, path, str(error)))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self._pool.close()
            self._reopen()
            return Err(Fault(codes.STORE_SILENT, path, str(error)))
        self._record_era(response.headers.get(ERA_HEADER, ""))
        if response.status == 200:
            return Ok(response.data)
        # No answer names its call, so a refusal that the store sends once more must not
        # come on the connection of a later call.
        self._pool.close()
        self._reopen()
        code = STATUS_FAULTS.get(response.status, codes.STORE_SILENT)
        return Err(Fault(code, path, f"status {response.status}"))

    def _record_era(self, value: str) -> None:
        """Records the era of an answer; a late answer may name an earlier one."""
        if value.isascii() and value.isdigit():
            self.era = max(self.era, int(value))

    def _reopen(self) -> None:
        """Replaces the pool, as its connections may never respond again."""
        self._pool = make_pool(self._address, MAX_IDLE_CONNECTIONS)


def _split_frames(data: bytes) -> Iterator[bytes]:
    position = 0
    while position + FRAME_LENGTH_BYTES <= len(data):
        start = position + FRAME_LENGTH_BYTES
        position = start + int.from_bytes(data[position:start], "big")
        if position <= len(data):
            yield data[start:position]


def encode_keyed_record(record: KeyedRecord) -> bytes:
    """Encodes a record of a keyed log."""
    key = record.key.encode()
    return bytes([len(key)]) + key + record.value


def decode_keyed_record(record: bytes) -> KeyedRecord:
    """Decodes a record of a keyed log; bytes that are no text give a key of no use."""
    end = 1 + record[0] if record else 0
    return KeyedRecord(record[1:end].decode(errors="replace"), record[end:])
