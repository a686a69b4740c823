"""Tests that an answer of the store proves nothing unless it is well formed."""

from __future__ import annotations

import base64
import json
from typing import Iterator

import pytest

from skylarktrail.errors import platform as codes
from skylarktrail.platform.site_store import PlatformStore
from skylarktrail.platform.store_client import StoreClient

from ..cutting_server import Answer, CuttingServer

OFFSET = 5
ERA = b"Store-Era: 2"
EARLIER_ERA = b"Store-Era: 1"
DEEP = b'{"items":' + b"[" * 100_000
RECORDS = (b"\x01a1", b"\x01b2")


def to_positions(end: int) -> bytes:
    return end.to_bytes(8, "big") + bytes(8)


def to_frames(*records: bytes) -> bytes:
    return b"".join(len(record).to_bytes(4, "big") + record for record in records)


def to_item(key: str) -> dict[str, object]:
    return {"key": key, "value": base64.b64encode(b"1").decode(), "offset": 0}


def to_page(end: object = OFFSET, more: object = False, **fields: object) -> bytes:
    document = {"items": [to_item("a")], "more": more, "endOffset": end} | fields
    return json.dumps(document).encode()


@pytest.fixture
def server() -> Iterator[CuttingServer]:
    server = CuttingServer()
    yield server
    server.close()


@pytest.fixture
def client(server) -> StoreClient:
    return StoreClient(server.address)


def answer_with(server, body: bytes, *fields: bytes) -> None:
    server.answer = Answer(body, (*fields, b"Connection: close")).encode("length")


def read(client):
    return client.read("t", OFFSET, 0)


MALFORMED_READS = {
    "nothing": b"",
    "one position": (5).to_bytes(8, "big"),
    "half a position": to_positions(5)[:15],
    "end below its records": to_positions(6) + to_frames(*RECORDS),
    "records missing": to_positions(6),
    "half a length": to_positions(6) + b"\0\0",
    "half a record": to_positions(6) + to_frames(*RECORDS)[:5],
    "half a record after the last": to_positions(6) + to_frames(*RECORDS)[:-1],
    "JSON": b"{}",
}


@pytest.mark.parametrize("name", MALFORMED_READS)
def test_a_malformed_read_is_a_fault(server, client, name):
    """A read that went well and brought nothing new confirms a granter's term."""
    answer_with(server, MALFORMED_READS[name])
    assert read(client).unwrap_err().code is codes.STORE_MALFORMED


def test_a_read_beyond_the_end_of_the_log_finds_its_position_gone(server, client):
    """The log is not the one that the position is about."""
    answer_with(server, to_positions(OFFSET - 1))
    assert read(client).unwrap_err().code is codes.STORE_TRIMMED


def test_a_record_at_the_end_of_a_part_may_be_cut(server, client):
    """A store that limits an answer's bytes may end it within a record."""
    answer_with(server, to_positions(OFFSET + 2) + to_frames(*RECORDS)[:-1])
    batch = read(client).unwrap()
    assert (batch.end, batch.next_offset) == (OFFSET + 2, OFFSET + 1)
    assert batch.records == [RECORDS[0]]


MALFORMED_PAGES = {
    "nothing": b"",
    "a list": b"[]",
    "no object": b"1",
    "no fields": b"{}",
    "deep": DEEP,
    "no end": to_page(None),
    "end as text": to_page("5"),
    "end as truth": to_page(True),
    "end below zero": to_page(-1),
    "more as text": to_page(more="no"),
    "more without items": to_page(more=True, items=[]),
    "items as object": to_page(items={}),
    "item as text": to_page(items=["a"]),
    "item without value": to_page(items=[{"key": "a"}]),
    "key as number": to_page(items=[to_item("a") | {"key": 1}]),
    "value as number": to_page(items=[to_item("a") | {"value": 1}]),
    "value not base64": to_page(items=[to_item("a") | {"value": "*"}]),
}


@pytest.mark.parametrize("name", MALFORMED_PAGES)
def test_a_malformed_snapshot_is_a_fault(server, client, name):
    """Keys that a snapshot does not name are taken for deleted."""
    answer_with(server, MALFORMED_PAGES[name])
    assert client.read_newest("t").unwrap_err().code is codes.STORE_MALFORMED


def test_a_page_that_brings_no_new_key_is_a_fault(server, client):
    """The same page again would be asked for and answered without end."""
    answer_with(server, to_page(more=True))
    assert client.read_newest("t").unwrap_err().code is codes.STORE_MALFORMED


def to_appended(end: object) -> bytes:
    return json.dumps({"offset": OFFSET, "endOffset": end}).encode()


MALFORMED_APPENDS = {
    "nothing": b"",
    "a list": b"[]",
    "no fields": b"{}",
    "deep": DEEP,
    "end as text": to_appended("6"),
    "end as truth": to_appended(True),
    "end below zero": to_appended(-1),
}


@pytest.mark.parametrize("at", [OFFSET, None])
@pytest.mark.parametrize("name", MALFORMED_APPENDS)
def test_an_append_with_a_malformed_answer_has_an_unknown_outcome(
    server, client, name, at
):
    """It may have been applied, so it is neither a conflict nor refused."""
    answer_with(server, MALFORMED_APPENDS[name])
    written = client.append("t", [RECORDS[0]], at)
    assert written.unwrap_err().code is codes.STORE_MALFORMED


@pytest.mark.parametrize("end", [OFFSET - 1, OFFSET, OFFSET + 2])
def test_the_answer_of_another_append_is_a_fault(server, client, end):
    """An append at an offset knows where its records end."""
    answer_with(server, to_appended(end))
    written = client.append("t", [RECORDS[0]], OFFSET)
    assert written.unwrap_err().code is codes.STORE_MALFORMED


MALFORMED_JOINS = {
    "nothing": b"",
    "a list": b"[]",
    "no fields": b"{}",
    "no parts": b'{"generation": 3}',
    "generation as text": b'{"generation": "3", "parts": []}',
    "part as number": b'{"generation": 3, "parts": [0]}',
    "short part": b'{"generation": 3, "parts": [["t"]]}',
    "partition as text": b'{"generation": 3, "parts": [["t", "0", 0]]}',
}


@pytest.mark.parametrize("name", MALFORMED_JOINS)
def test_a_malformed_join_is_a_fault(server, client, name):
    answer_with(server, MALFORMED_JOINS[name])
    joined = client.join("g", "d1", "t", 1000, 0)
    assert joined.unwrap_err().code is codes.STORE_MALFORMED


def test_a_partition_of_another_topic_makes_no_candidate(server, client):
    answer_with(server, b'{"generation": 3, "parts": [["other", 0, 0]]}')
    assert client.join("g", "d1", "t", 1000, 0).unwrap() == (3, set())


def test_an_answer_of_an_earlier_era_is_a_fault(server, client):
    """It tells of a log that the store has no more."""
    answer_with(server, to_positions(OFFSET), ERA)
    assert read(client).is_ok()
    answer_with(server, to_positions(OFFSET), EARLIER_ERA)
    assert read(client).unwrap_err().code is codes.STORE_MALFORMED
    answer_with(server, to_positions(OFFSET), ERA)
    assert read(client).is_ok()


@pytest.mark.parametrize("field", [(), (b"Store-Era: two",)])
def test_an_answer_without_the_era_that_others_named_is_a_fault(server, client, field):
    """Its offsets may be those of a later era."""
    answer_with(server, to_positions(OFFSET), ERA)
    assert read(client).is_ok()
    answer_with(server, to_positions(OFFSET), *field)
    assert read(client).unwrap_err().code is codes.STORE_MALFORMED


@pytest.mark.parametrize("record", [b"", b"\x05ab", b"\x02\xff\xfe1"])
def test_a_keyed_record_without_a_readable_key_hides_no_other(server, record):
    """Another writer's record must neither end the read nor name a key in use."""
    answer_with(server, to_positions(OFFSET + 2) + to_frames(record, b"\x01kv"))
    update = PlatformStore(server.address).read_shared(OFFSET, 0).unwrap()
    assert update.position == OFFSET + 2
    assert update.records[1] == ("k", b"v")
    assert update.records[0][0] in ("", "\ufffd\ufffd")
