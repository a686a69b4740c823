"""Tests that an address that cannot be connected to fails a call, not its caller."""

from __future__ import annotations

import pytest

from skylarktrail.core.gateway.lease_calls import GrantCall, ReleaseCall
from skylarktrail.errors import upstream as codes
from skylarktrail.gateway.connection_pool import ConnectionPool
from skylarktrail.gateway.exchange import OutgoingRequest
from skylarktrail.platform.lease_client import HttpLeaseClient

ODD_ADDRESSES = [
    "",
    "127.0.0.1",
    "a..b:80",
    "a" * 64 + ":80",
    "a\ud800:80",
    "a\x00b:80",
    "127.0.0.1:x",
    "127.0.0.1:-1",
    "127.0.0.1:65536",
    "127.0.0.1:" + "9" * 400,
    "127.0.0.1:" + "9" * 5000,
    "a\r\nb:80",
]


@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=lambda text: repr(text[:40]))
def test_an_odd_address_is_unreached(address):
    """An exception would leave the request counted as in flight at its instance."""
    pool = ConnectionPool("request-id")
    acquired = pool.acquire("i-1", address, 100.0, "r1", False)
    assert acquired.unwrap_err().code is codes.INSTANCE_UNREACHED
    assert not pool.can_connect(address, 100.0)


@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=lambda text: repr(text[:40]))
def test_a_lease_call_to_an_odd_address_is_not_done(address):
    client = HttpLeaseClient()
    outcomes = {
        client.grant(GrantCall(1, "i-1", address, 0, 9, 7, 4000.0, "")).outcome,
        client.grant(GrantCall(1, "i-1", address, 0, 9, 7, 4000.0, "", True)).outcome,
        client.release(ReleaseCall(2, "i-1", address, 0, 9, 7)).outcome,
    }
    assert outcomes <= {"unsent", "silent", "refused"}


@pytest.mark.parametrize("instance", ["i\r\nX: y", "i\n", "i\u20ac", "i\ud800"])
def test_a_lease_call_that_no_header_can_carry_is_not_done(instance, start_server):
    server = start_server([b""])
    call = GrantCall(1, instance, server.address, 0, 9, 7, 4000.0, "")
    assert HttpLeaseClient().grant(call).outcome in ("unsent", "silent")


ODD_FIELDS = [
    ("X-Name", "a\nb"),
    ("X-Name", "a\r\nb"),
    ("X-Name", "a\x00b"),
    ("X Name", "a"),
    ("X-Name", "\u20ac"),
    ("X-Name", "\ud800"),
]


@pytest.mark.parametrize("field", ODD_FIELDS, ids=repr)
def test_a_request_that_cannot_be_encoded_is_not_sent(field, start_server):
    server = start_server([b""])
    pool = ConnectionPool("request-id")
    connection = pool.acquire("i-1", server.address, 500.0, "r1", False).unwrap()
    request = OutgoingRequest("GET", "/", [("Host", "a"), field], b"", "r1")
    result = connection.exchange(request, lambda: 1e18)
    assert result.unwrap_err().code is codes.INSTANCE_UNREACHED
    connection.close()
