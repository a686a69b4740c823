"""Decodes answers of the store; each function raises ValueError for a malformed one."""

from __future__ import annotations

import base64
import json
from typing import Any, Callable, NamedTuple, TypeVar

from result import Err, Ok, Result

T = TypeVar("T")
FRAME_LENGTH_BYTES = 4
POSITION_BYTES = 8


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


class NewestPage(NamedTuple):
    """Newest records of some keys.

    Attributes:
        values: Values by key, in the order of the page.
        end: Offset after the last record when the page was read.
        has_more: Whether another page follows.
    """

    values: dict[str, bytes]
    end: int
    has_more: bool


def try_decode(decode: Callable[[], T]) -> Result[T, str]:
    """Decodes an answer; returns what is wrong with a malformed one."""
    try:
        return Ok(decode())
    except (ValueError, LookupError, TypeError, RecursionError) as error:
        return Err(repr(error))


def decode_batch(data: bytes, offset: int) -> RecordBatch:
    """Decodes the records of a log from an offset on.

    A store that limits the bytes of an answer may end it within a record. The end of
    the log may lie before the offset if the log is another one.
    """
    _require(len(data) >= 2 * POSITION_BYTES, "positions")
    end = int.from_bytes(data[:POSITION_BYTES], "big")
    records, rest = _split_frames(data[2 * POSITION_BYTES :])
    next_offset = offset + len(records)
    _require(next_offset < end or not rest, "rest")
    _require(next_offset <= end or not records, "end below the records")
    _require(bool(records) or end <= offset, "no records before the end")
    return RecordBatch(end, next_offset, records)


def decode_newest_page(data: bytes) -> NewestPage:
    """Decodes a page of the newest record of each key."""
    document = _decode_object(data)
    items = document["items"]
    _require(isinstance(items, list), "items")
    values = {
        _require_type(item["key"], str): base64.b64decode(
            _require_type(item["value"], str), validate=True
        )
        for item in items
    }
    has_more = _require_type(document["more"], bool)
    _require(bool(values) or not has_more, "more, but no items")
    return NewestPage(values, _decode_count(document["endOffset"]), has_more)


def decode_end_offset(data: bytes, record_count: int, at: int | None) -> int:
    """Decodes the offset after records that were appended, at an offset if given."""
    end = _decode_count(_decode_object(data)["endOffset"])
    _require(end >= record_count, "end below the records")
    _require(at is None or end == at + record_count, "end of another append")
    return end


def decode_membership(data: bytes, topic: str) -> tuple[int, set[int]]:
    """Decodes the generation of a group and a member's partitions of a topic."""
    document = _decode_object(data)
    rows = _require_type(document["parts"], list)
    partitions = {_decode_count(row[1]) for row in rows if row[0] == topic}
    return _decode_count(document["generation"]), partitions


def _decode_object(data: bytes) -> dict[str, Any]:
    return _require_type(json.loads(data), dict)


def _decode_count(value: Any) -> int:
    number: int = _require_type(value, int)
    _require(number >= 0, "number below zero")
    return number


def _require_type(value: Any, expected: type) -> Any:
    _require(type(value) is expected, f"no {expected.__name__}")
    return value


def _require(is_valid: bool, detail: str) -> None:
    if not is_valid:
        raise ValueError(detail)


def _split_frames(data: bytes) -> tuple[list[bytes], bytes]:
    """Returns the records of a body and the bytes after the last whole one."""
    records = []
    position = 0
    while position + FRAME_LENGTH_BYTES <= len(data):
        start = position + FRAME_LENGTH_BYTES
        end = start + int.from_bytes(data[position:start], "big")
        if end > len(data):
            break
        records.append(data[start:end])
        position = end
    return records, data[position:]
