"""The codec of peer messages: round trips, and faults for malformed input."""

from __future__ import annotations

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from skylarktrail.core.gateway.leaving import LeavingNotice
from skylarktrail.core.gateway.model import InstanceEntry
from skylarktrail.core.gateway.quotas import QuotaGrant, QuotaUsage
from skylarktrail.core.gateway.ranges import OwnedRange
from skylarktrail.errors import peer as codes
from skylarktrail.peer import (
    config_messages,
    gateway_messages,
    leaving_messages,
    limit_messages,
    messages,
    quota_messages,
)
from skylarktrail.peer.codec import MAX_MESSAGE_BYTES, VERSION, decode, encode

SETTINGS = settings(derandomize=True, database=None, deadline=None)

SAMPLES = [
    messages.Hello("d1", "i1", "heredia"),
    messages.Heartbeat(7, 0),
    messages.PromiseRequest("catalogo/0", 3),
    messages.Promise("catalogo/0", 3, False),
    messages.Placements("g/0", 3, (messages.ProvisionalPlacement(1 << 63, "s", 9),)),
    messages.SliceLoads(
        "archive", (messages.SliceRate(0, 1.5),), (messages.KeyRate(5, 2.0),)
    ),
    messages.HomeBegin("home/0", b"k" * 16, b"d" * 16, b"a" * 16, 2000, 1 << 41),
    messages.HomeVerdict(b"a", "recorded", 1, 0, 200, (("X", "y"),), b"body"),
    messages.HomeFinish("home/0", b"k", b"a", "answered", 201, (("X", "y"),), b""),
    messages.HomeTableRequest("home/0", 3),
    messages.HomeTable(
        "home/0", 3, True, 5, 6, (messages.HomeTableEntry(b"k", b"d", b"a", 7, ""),)
    ),
    messages.SnapshotRequest(),
    messages.Snapshot({"members": {"d1": ["i1", "heredia"]}}),
    messages.AgesRequest(),
    messages.Ages(True, (messages.ReportedAge("carga-1", -1.0),)),
    gateway_messages.GatewayLoad(
        (gateway_messages.KeyRequestCount("catalogo", 65535, 3),),
        (gateway_messages.ResponseSample("i-1", 4, 3.5, 1),),
        (gateway_messages.InFlightCount("i-1", 2),),
        -1,
        True,
    ),
    gateway_messages.GatewayOwners("catalogo", (OwnedRange(0, 99, "i-1", 1 << 41),), 7),
    gateway_messages.GatewayRecords(
        "shared", 7, 9, (gateway_messages.SharedRecord("member/d1", b"x"),)
    ),
    gateway_messages.GatewayListing(
        -1,
        9,
        8,
        7,
        (InstanceEntry("i-1", "s", "10.0.0.1:80", "z", 3, False, 1.5, 1 << 41, 4),),
        ("i-2",),
    ),
    gateway_messages.GatewayServiceShedding(
        (gateway_messages.ShedService("ledger", 0.5),)
    ),
    gateway_messages.GatewayOverload(
        (gateway_messages.OverloadedInstance("i-1", 9, 0.5),)
    ),
    limit_messages.GatewayRateLimits(
        (limit_messages.RateLimitReport("i-1", 1 << 41, True, 3.3, 12.5),)
    ),
    limit_messages.GatewayPermitRequest(
        limit_messages.RateLimitReport("i-1", 1 << 41, True, 3.3, 12.5), 3.3, 2
    ),
    limit_messages.GatewayPermits(
        limit_messages.RateLimitReport("i-1", 1 << 41, False, 0.0, 1.5), 1, 0.0
    ),
    gateway_messages.GatewayReachability(True),
    gateway_messages.GatewayTermEndRequest(5),
    gateway_messages.GatewayRoleOffer(5),
    gateway_messages.GatewayTermEnded(5),
    gateway_messages.GatewayOpenGrantsRequest(5),
    gateway_messages.GatewayInstanceEnd("0c1f", "i-1", 1 << 41),
    gateway_messages.GatewayBlockedRequests(
        (gateway_messages.BlockedRequest("0c1f", 12.5),)
    ),
    gateway_messages.GatewayAnsweredRequests(("0c1f",)),
    gateway_messages.GatewayStoreEra(2),
    leaving_messages.GatewayLeavingInstances((LeavingNotice("i-1", 1 << 41),)),
    config_messages.GatewayConfigAsk(),
    config_messages.GatewayConfigConfirmed(7, 12.5),
    quota_messages.GatewayQuotaReport((QuotaUsage("acme", 3, 1, 2),)),
    quota_messages.GatewayQuotaReply((QuotaGrant("acme", True, 2, 12.5),), ("other",)),
    quota_messages.GatewayQuotaStates(("acme",)),
    gateway_messages.GatewayOpenGrants(
        "p1", (gateway_messages.OpenGrantReport("stock", "i-1", 0, 99),)
    ),
]


def make_frame(**changes) -> bytes:
    plain = {"version": VERSION, "kind": "promise", "id": 1, "body": ["g", 1, True]}
    return cbor2.dumps(list((plain | changes).values()))


@pytest.mark.parametrize("message", SAMPLES, ids=lambda message: message.kind)
def test_message_round_trip(message):
    frame = decode(encode(message, -5).unwrap()).unwrap()
    assert frame == (-5, message)
    assert type(frame.message) is type(message)


def test_every_kind_has_a_sample():
    assert {message.kind for message in SAMPLES} == set(messages.MESSAGE_TYPES)


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"", codes.MESSAGE_MALFORMED),
        ("text", codes.MESSAGE_MALFORMED),
        (b"\x81" * 100_000 + b"\x00", codes.MESSAGE_MALFORMED),
        (b"\xd9\xd9\xf7\xc1\x61\x41", codes.MESSAGE_MALFORMED),
        (b"\x00" * (MAX_MESSAGE_BYTES + 1), codes.MESSAGE_MALFORMED),
        (cbor2.dumps([VERSION]), codes.MESSAGE_MALFORMED),
        (make_frame(version=VERSION + 1), codes.MESSAGE_VERSION),
        (make_frame(kind="gossip"), codes.MESSAGE_KIND),
        (make_frame(kind=["promise"]), codes.MESSAGE_MALFORMED),
        (make_frame(id="1"), codes.MESSAGE_MALFORMED),
        (make_frame(id=True), codes.MESSAGE_MALFORMED),
        (make_frame(body=["g", 1]), codes.MESSAGE_MALFORMED),
        (make_frame(body=["g", "1", True]), codes.MESSAGE_MALFORMED),
        (make_frame(body={"group": "g"}), codes.MESSAGE_MALFORMED),
        (
            make_frame(kind="placements", body=["g", 1, [[0, "s"]]]),
            codes.MESSAGE_MALFORMED,
        ),
        (
            make_frame(kind="slice_loads", body=["s", [[0, "x"]], []]),
            codes.MESSAGE_MALFORMED,
        ),
    ],
)
def test_malformed_input_yields_its_code(data, code):
    fault = decode(data).unwrap_err()
    assert fault.code == code


def test_message_over_the_limit_is_not_encoded():
    large = messages.Snapshot({"x": "y" * MAX_MESSAGE_BYTES})
    assert encode(large).unwrap_err().code == codes.MESSAGE_TOO_LARGE


@SETTINGS
@given(st.binary(max_size=200))
def test_decode_never_raises(data):
    assert isinstance(decode(data), (Ok, Err))


@SETTINGS
@given(st.sampled_from(SAMPLES), st.data())
def test_decode_of_damaged_message_never_raises(message, data):
    encoded = bytearray(encode(message, 1).unwrap())
    index = data.draw(st.integers(0, len(encoded) - 1))
    encoded[index] = data.draw(st.integers(0, 255))
    assert isinstance(decode(bytes(encoded)), (Ok, Err))
