"""HTTP client of the platform's store: logs, keyed logs and group membership.

A client is for use by one thread. It sends each call once; retries are up to the user
of the client.
"""

from __future__ import annotations

import json
import time
from typing import Any, Callable, NamedTuple, Sequence, TypeVar
from urllib.parse import urlencode

import urllib3
from result import Err, Ok, Result

from ..errors import platform as codes
from ..errors.code import Fault
from ..http_pools import make_pool
from ..response_bounds import ResponseBounds
from .store_answers import (
    FRAME_LENGTH_BYTES,
    RecordBatch,
    decode_batch,
    decode_end_offset,
    decode_membership,
    decode_newest_page,
    try_decode,
)

T = TypeVar("T")

RESPONSE_TIMEOUT_MS = 900.0  # The store usually responds within 4 ms.
CONNECT_TIMEOUT_MS = 400.0
MAX_IDLE_CONNECTIONS = 2
# A connection that rested longer may have been forgotten on the way, without a sign.
# Calls in regular use are closer together.
MAX_IDLE_MS = 3000.0
# The store sends at most 1 MB of values in a response, and one record beyond that.
RESPONSE_BOUNDS = ResponseBounds(max_bytes=4 << 20)
# All pages of a read of the newest records; thousands of instances need 2 MB.
MAX_NEWEST_BYTES = 32 << 20
NEWEST_TIMEOUT_MS = 10_000.0
STATUS_FAULTS = {
    409: codes.STORE_CONFLICT,
    410: codes.STORE_TRIMMED,
    412: codes.STORE_CONFLICT,
    429: codes.STORE_REFUSED,
    503: codes.STORE_REFUSED,
    507: codes.STORE_REFUSED,
}
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
        self._paths_with_era: set[str] = set()
        self._address = address
        self._pool = make_pool(address, MAX_IDLE_CONNECTIONS, RESPONSE_BOUNDS)
        self._used_ms = _now_ms()

    def read_newest(self, topic: str) -> Result[NewestRecords, Fault]:
        """Reads the newest record of each key of a keyed log, page by page.

        Returns:
            The records; among other faults `STORE_SILENT` if the pages do not end in
            time, `STORE_MALFORMED` if they have too many bytes.
        """
        values: dict[str, bytes] = {}
        size_bytes = 0
        end: int | None = None
        era: int | None = None
        query = {"topic": topic, "part": "0"}
        end_s = time.monotonic() + NEWEST_TIMEOUT_MS / 1000
        while time.monotonic() < end_s:
            read = self._send("GET", "/api/log-newest", query, decode_newest_page)
            if read.is_err():
                return Err(read.unwrap_err())
            page = read.unwrap()
            era = self.era if era is None else era
            if self.era != era:
                return Err(Fault(codes.STORE_TRIMMED, topic, f"era {self.era}"))
            if page.values.keys() & values.keys():
                return Err(Fault(codes.STORE_MALFORMED, topic, "a page once more"))
            end = page.end if end is None else end
            values |= page.values
            if not page.has_more:
                return Ok(NewestRecords(values, end))
            size_bytes += sum(len(key) + len(page.values[key]) for key in page.values)
            if size_bytes > MAX_NEWEST_BYTES:
                return Err(Fault(codes.STORE_MALFORMED, topic, "too many pages"))
            query["after"] = list(page.values)[-1]
        return Err(Fault(codes.STORE_SILENT, topic, "the pages do not end"))

    def read(self, topic: str, offset: int, wait_ms: int) -> Result[RecordBatch, Fault]:
        """Reads records from an offset on, waiting up to `wait_ms` if there is none."""
        query = {"topic": topic, "part": "0", "from": offset, "waitMs": wait_ms}
        read = self._send(
            "GET",
            "/api/log-read",
            query,
            lambda data: decode_batch(data, offset),
            extra_ms=wait_ms,
        )
        if read.is_ok() and read.unwrap().end < offset:
            return Err(Fault(codes.STORE_TRIMMED, topic, "end below the offset"))
        return read

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
        return self._send(
            "POST",
            "/api/log-append",
            query,
            lambda data: decode_end_offset(data, len(records), at),
            body,
        )

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
        return self._send(
            "POST",
            "/api/log-join",
            {},
            lambda data: decode_membership(data, topic),
            json.dumps(document).encode(),
        )

    def leave(self, group: str, member: str) -> Result[bytes, Fault]:
        """Leaves a group, so that its partitions are reassigned at once."""
        body = json.dumps({"group": group, "member": member}).encode()
        return self._send("POST", "/api/log-leave", {}, bytes, body)

    def close(self) -> None:
        """Closes all connections."""
        self._pool.close()

    def _send(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        decode: Callable[[bytes], T],
        body: bytes | None = None,
        extra_ms: float = 0.0,
    ) -> Result[T, Fault]:
        response = self._exchange(method, path, query, body, extra_ms)
        if response.is_err():
            return Err(response.unwrap_err())
        answer = response.unwrap()
        if answer.status != 200:
            self._record_era(path, answer)
            code = STATUS_FAULTS.get(answer.status, codes.STORE_SILENT)
            return Err(Fault(code, path, f"status {answer.status}"))
        decoded = try_decode(lambda: decode(answer.data))
        if not self._record_era(path, answer):
            decoded = Err(f"era {answer.headers.get(ERA_HEADER)}")
        if decoded.is_err():
            self._reopen()
            return Err(Fault(codes.STORE_MALFORMED, path, decoded.unwrap_err()))
        return Ok(decoded.unwrap())

    def _exchange(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        body: bytes | None,
        extra_ms: float,
    ) -> Result[urllib3.BaseHTTPResponse, Fault]:
        url = f"{path}?{urlencode(query)}" if query else path
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_MS / 1000,
            read=(RESPONSE_TIMEOUT_MS + extra_ms) / 1000,
        )
        is_json = body is not None and not query
        headers = {"Content-Type": "application/json"} if is_json else {}
        if _now_ms() - self._used_ms > MAX_IDLE_MS:
            self._reopen()
        try:
            response = self._pool.urlopen(
                method, url, body, headers, retries=False, timeout=timeout
            )
        except urllib3.exceptions.NewConnectionError as error:
            return Err(Fault(codes.STORE_REFUSED, path, str(error)))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self._reopen()
            return Err(Fault(codes.STORE_SILENT, path, str(error)))
        finally:
            self._used_ms = _now_ms()
        return Ok(response)

    def _record_era(self, path: str, response: urllib3.BaseHTTPResponse) -> bool:
        """Records the era of an answer.

        Returns:
            False if the answer is older than others, or names no era where those of
            the same call did: its offsets may be of another era than the last.
        """
        value = response.headers.get(ERA_HEADER, "")
        if not (value.isascii() and value.isdigit()):
            return path not in self._paths_with_era
        is_current = int(value) >= self.era
        self.era = max(self.era, int(value))
        self._paths_with_era.add(path)
        return is_current

    def _reopen(self) -> None:
        """Replaces the pool, as its connections may never respond again."""
        self._pool.close()
        self._pool = make_pool(self._address, MAX_IDLE_CONNECTIONS, RESPONSE_BOUNDS)


def _now_ms() -> float:
    return time.monotonic() * 1000


def encode_keyed_record(record: KeyedRecord) -> bytes:
    """Encodes a record of a keyed log."""
    key = record.key.encode()
    return bytes([len(key)]) + key + record.value


def decode_keyed_record(record: bytes) -> KeyedRecord:
    """Decodes a record of a keyed log; one without a whole key gets an empty key.

    Bytes that are no text are replaced in the key, so that it is none that is used.
    """
    end = 1 + record[0] if record else 1
    if len(record) < end:
        return KeyedRecord("", record)
    return KeyedRecord(record[1:end].decode(errors="replace"), record[end:])
