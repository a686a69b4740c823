"""Tests that no frame of a peer raises, or holds values that raise where they go."""

from __future__ import annotations

import math

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from skylarktrail.core.gateway.harmful_requests import BlockedRequest
from skylarktrail.core.gateway.model import InstanceEntry
from skylarktrail.core.gateway.open_grants import OpenGrantReport
from skylarktrail.core.gateway.quotas import QuotaGrant, QuotaUsage
from skylarktrail.core.gateway.ranges import OwnedRange
from skylarktrail.core.gateway.speeds import Speeds
from skylarktrail.errors import peer as codes
from skylarktrail.peer import config_messages
from skylarktrail.peer import gateway_messages as messages
from skylarktrail.peer import limit_messages, quota_messages
from skylarktrail.peer.codec import VERSION, decode, encode

from .conftest import set_roster, wait_until
from .test_codec import SAMPLES

SETTINGS = settings(derandomize=True, database=None, deadline=None, max_examples=500)
HUGE = 10**400
LIMIT = limit_messages.RateLimitReport("i-1", 5, True, 3.3, 12.5)


def make_load(counts=(), samples=(), in_flight=(), listing=-1):
    return messages.GatewayLoad(
        tuple(messages.KeyRequestCount("stock", *item) for item in counts),
        tuple(messages.ResponseSample("i-1", *item) for item in samples),
        tuple(messages.InFlightCount("i-1", item) for item in in_flight),
        listing,
    )


ODD_MESSAGES = [
    make_load(counts=[(65536, 1)]),
    make_load(counts=[(-1, 1)]),
    make_load(counts=[(0, -1)]),
    make_load(counts=[(0, HUGE)]),
    make_load(samples=[(-25, 1.0, 0)]),
    make_load(samples=[(1, math.nan, 0)]),
    make_load(samples=[(1, math.inf, 0)]),
    make_load(samples=[(1, -1.0, 0)]),
    make_load(samples=[(1, 1.0, -26)]),
    make_load(in_flight=[-5]),
    make_load(in_flight=[HUGE]),
    make_load(listing=1 << 40),
    messages.GatewayOwners("stock", (OwnedRange(0, 65536, "i", 1),), 7),
    messages.GatewayOwners("stock", (OwnedRange(9, 3, "i", 1),), 7),
    messages.GatewayOwners("stock", (), 1 << 40),
    messages.GatewayRecords("shared", 1 << 40, 9, ()),
    messages.GatewayRecords("shared", 7, HUGE, ()),
    messages.GatewayListing(-1, 1 << 40, 8, 7, (), ()),
    messages.GatewayServiceShedding((messages.ShedService("s", math.nan),)),
    messages.GatewayServiceShedding((messages.ShedService("s", -0.1),)),
    messages.GatewayOverload((messages.OverloadedInstance("i", -1, 0.5),)),
    messages.GatewayOverload((messages.OverloadedInstance("i", 1, math.nan),)),
    messages.GatewayOverload((messages.OverloadedInstance("i", 1, -1.0),)),
    limit_messages.GatewayRateLimits((LIMIT._replace(per_s=math.nan),)),
    limit_messages.GatewayRateLimits((LIMIT._replace(per_s=math.inf),)),
    limit_messages.GatewayRateLimits((LIMIT._replace(per_s=-1.0),)),
    limit_messages.GatewayRateLimits((LIMIT._replace(age_ms=math.nan),)),
    limit_messages.GatewayPermitRequest(LIMIT, math.nan, 1),
    limit_messages.GatewayPermitRequest(LIMIT, math.inf, 1),
    limit_messages.GatewayPermitRequest(LIMIT, 1.0, HUGE),
    limit_messages.GatewayPermits(LIMIT, 1 << 30, 0.0),
    limit_messages.GatewayPermits(LIMIT, 1, math.nan),
    messages.GatewayTermEndRequest(-1),
    messages.GatewayTermEndRequest(HUGE),
    messages.GatewayTermEnded(HUGE),
    messages.GatewayRoleOffer(HUGE),
    messages.GatewayOpenGrantsRequest(HUGE),
    messages.GatewayOpenGrants("p", (OpenGrantReport("s", "i", 0, 65536),)),
    messages.GatewayBlockedRequests((BlockedRequest("f", math.inf),)),
    messages.GatewayBlockedRequests((BlockedRequest("f", math.nan),)),
    messages.GatewayStoreEra(-1),
    messages.GatewayStoreEra(HUGE),
    config_messages.GatewayConfigConfirmed(-1, 0.0),
    config_messages.GatewayConfigConfirmed(HUGE, 0.0),
    config_messages.GatewayConfigConfirmed(1, -1.0),
    config_messages.GatewayConfigConfirmed(1, float("inf")),
    quota_messages.GatewayQuotaReport((QuotaUsage("acme", -1, 0, 0),)),
    quota_messages.GatewayQuotaReport((QuotaUsage("acme", 0, HUGE, 0),)),
    quota_messages.GatewayQuotaReport((QuotaUsage("acme", 0, 0, -1),)),
    quota_messages.GatewayQuotaReply((QuotaGrant("acme", True, -1, 0.0),), ()),
    quota_messages.GatewayQuotaReply((QuotaGrant("acme", True, 1, -1.0),), ()),
    quota_messages.GatewayQuotaReply((QuotaGrant("acme", True, 1, float("inf")),), ()),
]


@pytest.mark.parametrize("message", ODD_MESSAGES, ids=lambda item: repr(item)[:70])
def test_a_message_with_a_value_out_of_range_is_malformed(message):
    frame = decode(encode(message).unwrap())
    assert frame.unwrap_err().code is codes.MESSAGE_MALFORMED


def test_a_limit_that_was_never_seen_is_usable():
    """Its age is infinite in a request for permits."""
    message = limit_messages.GatewayPermitRequest(
        LIMIT._replace(age_ms=math.inf), 3.3, 2
    )
    assert decode(encode(message).unwrap()).unwrap().message == message


@pytest.mark.parametrize("value", [HUGE, -HUGE, math.nan], ids=["huge", "-huge", "nan"])
def test_a_number_that_is_no_float_is_malformed(value):
    """An exception would close the link, and the next one with the same frame."""
    body = [[["f", value]]]
    data = cbor2.dumps([VERSION, "gateway_blocked_requests", 0, body])
    assert decode(data).unwrap_err().code is codes.MESSAGE_MALFORMED


def test_a_text_that_cannot_be_encoded_is_a_fault():
    entry = InstanceEntry("i", "\ud800", "a:1", "z", 3, False, 0.0, 1, 1)
    message = messages.GatewayListing(-1, 9, 8, 7, (entry,), ())
    assert encode(message).unwrap_err().code is codes.MESSAGE_MALFORMED


def test_a_sample_without_responses_changes_no_capacity():
    """A division by zero would end the term of the granter."""
    speeds = Speeds()
    speeds.add("i-1", 0, 0.0, 0)
    assert speeds.capacity("i-1") == 1.0


VALUES = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(),
        st.sampled_from([HUGE, -HUGE, 1 << 63, 1 << 64]),
        st.floats(),
        st.text(max_size=5),
        st.binary(max_size=5),
    ),
    lambda inner: st.lists(inner, max_size=7),
    max_leaves=9,
)


def replace_at(value, path, other):
    """Returns a copy of nested lists with another value at a path."""
    if not isinstance(value, (list, tuple)) or not value or not path:
        return other
    index = path[0] % len(value)
    items = list(value)
    items[index] = replace_at(items[index], path[1:], other)
    return items


@SETTINGS
@given(
    st.sampled_from(SAMPLES),
    st.lists(st.integers(0, 9), min_size=1, max_size=3),
    VALUES,
)
def test_decode_of_a_message_with_an_odd_value_never_raises(message, path, value):
    body = replace_at(tuple(message), path, value)
    decode(cbor2.dumps([VERSION, message.kind, 0, body]))


@pytest.mark.parametrize(
    "address", ["a..b:80", "127.0.0.1:99999", "127.0.0.1:-1", "x" * 70 + ":1", "a b:1"]
)
def test_a_peer_with_an_odd_address_is_dialed_again(address, make_node):
    """An exception would leave the peer as one that is being dialed for good."""
    a, b = make_node("a"), make_node("b")
    a.links.set_peers({"b": address})
    promise = messages.GatewayStoreEra(1)
    assert a.links.request("b", promise, 3000).result().is_err()
    set_roster(a, b)
    assert wait_until(lambda: a.links.send("b", promise) and not b.inbox.empty())
