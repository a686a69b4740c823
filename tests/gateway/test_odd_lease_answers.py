"""Tests that an odd answer of an instance neither raises nor reaches the next owner."""

from __future__ import annotations

import pytest

from skylarktrail.core.gateway.lease_calls import GrantCall, ReleaseCall
from skylarktrail.platform.lease_client import HttpLeaseClient

OUTCOMES = {"done", "fenced", "replaced", "refused", "unsent", "silent"}
ANSWERS = [
    b"",
    b"\x00\xff\r\n\r\n",
    b"HTTP/1.1 \xff OK\r\n\r\n",
    b"HTTP/1.1 99999999999999999999 OK\r\n\r\n",
    b"HTTP/1.1 -200 OK\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: " + b"9" * 400 + b"\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: \xb2\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 1, 2\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\n{}",
    b"HTTP/1.1 301 Moved\r\nLocation: http://[\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 301 Moved\r\nLocation: a..b:99999\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * 200 + b"\r\n",
    b"HTTP/1.1 200 OK\r\nX: " + b"y" * 70_000 + b"\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=\xb2\r\nContent-Length: 0\r\n\r\n",
]


def make_release(address):
    return ReleaseCall(2, "i-1", address, 0, 99, 7)


@pytest.mark.parametrize("answer", ANSWERS, ids=lambda data: repr(data[:60]))
def test_an_odd_answer_is_an_outcome(answer, start_server):
    server = start_server([answer], [answer])
    client = HttpLeaseClient()
    grant = GrantCall(1, "i-1", server.address, 0, 99, 7, 4000.0, "", True)
    assert client.grant(grant).outcome in OUTCOMES
    assert client.release(make_release(server.address)).outcome in OUTCOMES


@pytest.mark.parametrize(
    "handover", [b"\xe9", b"\xff\xfe", b"a\x01b", b"a\tb", b"x" * 5000], ids=repr
)
def test_an_odd_handover_is_not_passed_on(handover, start_server):
    """The next owner might refuse the grant with it, and the keys have no owner."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nHandover: "
    server = start_server([head + handover + b"\r\n\r\n"])
    result = HttpLeaseClient().release(make_release(server.address))
    assert (result.outcome, result.handover) == ("done", "")
