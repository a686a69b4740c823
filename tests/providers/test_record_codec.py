"""The codec of log records: round trips, and None for malformed input."""

from __future__ import annotations

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from skylarktrail.core.records import (
    Assign,
    Checkpoint,
    Claim,
    Envelope,
    Join,
    Leave,
    Merge,
    Placement,
    Publish,
    Resign,
    Split,
)
from skylarktrail.providers.record_codec import decode, encode

BODIES = [
    Publish("p1", 0, {"format": 1}),
    Join("heredia", "127.0.0.1:1", ""),
    Leave("d1", "i1"),
    Claim("catalogo/0", 1, "d2", 1000, 2000),
    Resign("catalogo/0", 1),
    Assign("catalogo/0", 1, 1, (Placement(2**63, "s1"), Placement(0, ""))),
    Split("catalogo/0", 1, 2, 0, (5, 6)),
    Merge("catalogo/0", 1, 3, 5),
    Checkpoint(7, {"next_offset": 7}),
]


@pytest.mark.parametrize("body", BODIES, ids=lambda body: body.kind)
def test_record_round_trip(body):
    envelope = Envelope("d1", "i1", 3, body)
    assert decode(encode(envelope)) == envelope


@pytest.mark.parametrize(
    "plain",
    [
        [2, "d1", "i1", 1, "leave", ["d1", "i1"]],
        [1, "d1", "i1", 1, "unheard", []],
        [1, "d1", "i1", 1, "leave", ["d1"]],
        [1, "d1", "i1", "1", "leave", ["d1", "i1"]],
        [1, "d1", "i1", 1, "assign", ["g", 1, 1, [[0]]]],
        {"a": 1},
        7,
    ],
)
def test_malformed_record_decodes_to_none(plain):
    assert decode(cbor2.dumps(plain)) is None


@settings(derandomize=True, database=None, deadline=None)
@given(st.binary(max_size=64))
def test_decode_of_random_bytes_never_raises(data):
    assert decode(data) is None or isinstance(decode(data), Envelope)
