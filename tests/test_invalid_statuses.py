"""Tests that a status outside 200 to 599 is no response, for each reader of responses.

On another system, an instance in trouble sent a response with status 000, which its
client received.
"""

from __future__ import annotations

from typing import Callable, Iterator

import pytest

from skylarktrail.core.gateway.lease_calls import GrantCall, ReleaseCall
from skylarktrail.core.traffic.messages import Outcome
from skylarktrail.ctl.daemon_client import DaemonClient
from skylarktrail.daemon.clock import now_ms
from skylarktrail.daemon.exchange import ExchangeRequest, ExchangeResult, exchange
from skylarktrail.daemon.pools import AbortHandle, make_pool
from skylarktrail.gateway.exchange import Connection, OutgoingRequest
from skylarktrail.platform.lease_client import HttpLeaseClient
from skylarktrail.platform.store_client import StoreClient
from skylarktrail.providers.http import make_pool_manager, send_request

from .cutting_server import Answer, CuttingServer

TIMEOUT_MS = 3000.0
OUT_OF_RANGE = ("000", "001", "099", "600", "700", "999")
MALFORMED = ("1000", "20", "0200", "+200", "2_00", "-200", "0xC8", "2OO", "")
INTERIM = ("100", "101", "102", "103", "199")  # As the last status of a response.
FIELDS = (b"Request-Id: r1", b"Store-Era: 9", b"Handover: 5c0e7a21")
BODY = b'{"code": 3000, "detail": "x", "offset": 5, "endOffset": 6}'


def _read_in_gateway(address: str, names_requests: bool = True) -> str:
    connection = Connection(address, "request-id", names_requests)
    assert connection.open(TIMEOUT_MS).is_ok()
    request = OutgoingRequest("GET", "/a", [("Host", "a")], b"", "r1")
    end_ms = now_ms() + TIMEOUT_MS
    result = connection.exchange(request, lambda: end_ms)
    connection.close()
    return result.unwrap_err().code.name if result.is_err() else "response"


def _read_forwarded(address: str) -> str:
    return _read_in_gateway(address, names_requests=False)


def _exchange_in_daemon(address: str) -> ExchangeResult:
    request = ExchangeRequest("GET", "/a", [], b"", "r1", 1 << 20)
    with make_pool(address, 1) as pool:
        return exchange(pool, request, now_ms() + TIMEOUT_MS, AbortHandle())


def _read_in_daemon(address: str) -> str:
    result = _exchange_in_daemon(address)
    return "response" if result.complete_response else result.outcome.name


def _read_from_provider(address: str) -> str:
    with make_pool_manager() as manager:
        result = send_request(manager, "GET", f"http://{address}/", TIMEOUT_MS, bytes)
    return result.unwrap_err().code.name if result.is_err() else "response"


def _read_from_store(address: str) -> str:
    """A response that is none must not set the era either."""
    client = StoreClient(address)
    result = client.append("t", [b"\x01a1"], 5)
    outcome = result.unwrap_err().code.name if result.is_err() else "response"
    return f"{outcome}, era {client.era}"


def _read_grant(address: str) -> str:
    call = GrantCall(1, "i-1", address, 0, 99, 7, 4000.0, "", False)
    return str(HttpLeaseClient().grant(call)[1:])


def _read_release(address: str) -> str:
    call = ReleaseCall(2, "i-1", address, 0, 99, 7)
    return str(HttpLeaseClient().release(call)[1:])


def _read_from_daemon(address: str) -> str:
    result = DaemonClient(address, TIMEOUT_MS).explain_key("stock", "a")
    return result.unwrap_err().code.name if result.is_err() else "response"


# What each reader makes of no response at all; `INSTANCE_BROKEN` and `INSTANCE_GARBLED`
# both mean that the outcome is unknown.
READERS: dict[str, tuple[Callable[[str], str], tuple[str, ...]]] = {
    "gateway": (_read_in_gateway, ("INSTANCE_GARBLED", "INSTANCE_BROKEN")),
    "forwarded": (_read_forwarded, ("INSTANCE_GARBLED", "INSTANCE_BROKEN")),
    "daemon": (_read_in_daemon, (Outcome.BROKEN.name,)),
    "provider": (_read_from_provider, ("PLATFORM_NO_ANSWER",)),
    "store": (_read_from_store, ("STORE_SILENT, era 0",)),
    "grant": (_read_grant, ("('silent', '', False)",)),
    "release": (_read_release, ("('silent', '', False)",)),
    "skylarkctl": (_read_from_daemon, ("NO_ANSWER",)),
}


@pytest.fixture
def server() -> Iterator[CuttingServer]:
    server = CuttingServer()
    yield server
    server.close()


def _encode(status: str, framing: str = "length") -> bytes:
    return Answer(BODY, FIELDS, f"{status} X".strip().encode()).encode(framing)


@pytest.mark.parametrize("status", OUT_OF_RANGE + MALFORMED + INTERIM)
@pytest.mark.parametrize("name", READERS)
def test_an_invalid_status_is_no_response(server, name, status):
    read, expected = READERS[name]
    server.answer = _encode(status)
    assert read(server.address) in expected


@pytest.mark.parametrize("status", ["600", "101"])
@pytest.mark.parametrize("name", ["gateway", "forwarded"])
def test_an_invalid_status_is_garbled_for_the_gateway(server, name, status):
    """`INSTANCE_BROKEN` would count as the end of an instance that runs the request."""
    server.answer = _encode(status)
    assert READERS[name][0](server.address) == "INSTANCE_GARBLED"


@pytest.mark.parametrize("name", READERS)
def test_an_invalid_status_after_interim_ones_is_no_response(server, name):
    read, expected = READERS[name]
    server.answer = b"HTTP/1.1 100 Continue\r\n\r\n" + _encode("600")
    assert read(server.address) in expected


@pytest.mark.parametrize("interim", ["100", "102", "103", "199"])
@pytest.mark.parametrize("name", READERS)
def test_the_response_after_an_interim_one_is_read(server, name, interim):
    """An early hint was taken for the response, and its caller received status 103."""
    read, _ = READERS[name]
    server.answer = _encode("200")
    plain = read(server.address)
    hint = f"HTTP/1.1 {interim} X\r\nLink: </a>\r\n\r\n".encode()
    server.answer = hint * 2 + _encode("200")
    assert read(server.address) == plain


@pytest.mark.parametrize("status", ["200", "204", "304", "404", "421", "503", "599"])
@pytest.mark.parametrize("read", [_read_in_gateway, _read_in_daemon])
def test_a_valid_status_is_a_response(server, read, status):
    server.answer = _encode(status)
    assert read(server.address) == "response"
