"""Tests that an answer whose sender stops in the middle of it is a fault.

An instance that stops in the head of its answer and closes must not be taken for one
that answered with a short or empty body.
"""

from __future__ import annotations

import base64
import json
import re
from pathlib import Path
from typing import Callable, Iterator, NamedTuple

import pytest

import skylarktrail
from skylarktrail.core.gateway.lease_calls import GrantCall, ReleaseCall
from skylarktrail.ctl.daemon_client import REQUIRED_STATUS_FIELDS, DaemonClient
from skylarktrail.daemon.clock import now_ms
from skylarktrail.daemon.exchange import ExchangeRequest, exchange
from skylarktrail.daemon.pools import AbortHandle, make_pool
from skylarktrail.gateway.exchange import Connection, OutgoingRequest
from skylarktrail.platform.lease_client import HttpLeaseClient
from skylarktrail.platform.store_client import StoreClient
from skylarktrail.providers.http import make_pool_manager, send_request

from .cutting_server import FRAMINGS, Answer, CuttingServer

TIMEOUT_MS = 3000.0
ERA = b"Store-Era: 2"
OFFSET = 5


class Link(NamedTuple):
    """A call over a link.

    Attributes:
        answer: The whole answer.
        is_answered: Makes the call; returns whether it counts as answered.
    """

    answer: Answer
    is_answered: Callable[[str], bool]


def _to_json(document: object) -> bytes:
    return json.dumps(document).encode()


def _encode_read(*records: bytes) -> bytes:
    positions = (OFFSET + len(records)).to_bytes(8, "big") + bytes(8)
    return positions + b"".join(
        len(record).to_bytes(4, "big") + record for record in records
    )


def _exchange_in_daemon(address: str, method: str = "GET") -> bool:
    request = ExchangeRequest(method, "/a", [], b"", "r1", 1 << 20)
    with make_pool(address, 1) as pool:
        result = exchange(pool, request, now_ms() + TIMEOUT_MS, AbortHandle())
    return result.complete_response is not None


def _exchange_in_gateway(address: str, method: str = "GET") -> bool:
    connection = Connection(address, "request-id")
    assert connection.open(TIMEOUT_MS).is_ok()
    request = OutgoingRequest(method, "/a", [("Host", "a")], b"", "r1")
    end_ms = now_ms() + TIMEOUT_MS
    result = connection.exchange(request, lambda: end_ms)
    connection.close()
    return result.is_ok()


def _send_provider_request(address: str) -> bool:
    with make_pool_manager() as manager:
        url = f"http://{address}/requests/r1"
        return send_request(manager, "DELETE", url, TIMEOUT_MS, bytes).is_ok()


def _grant(address: str, is_renewal: bool) -> bool:
    call = GrantCall(1, "i-1", address, 0, 99, 7, 4000.0, "", is_renewal)
    return HttpLeaseClient().grant(call).outcome != "silent"


def _release(address: str) -> bool:
    call = ReleaseCall(2, "i-1", address, 0, 99, 7)
    return HttpLeaseClient().release(call).outcome != "silent"


def _ask_daemon(address: str) -> bool:
    return DaemonClient(address, TIMEOUT_MS).status().is_ok()


def _ask_daemon_for_key(address: str) -> bool:
    return DaemonClient(address, TIMEOUT_MS).explain_key("stock", "a").is_ok()


NEWEST = _to_json(
    {
        "items": [{"key": "a", "value": base64.b64encode(b"1").decode(), "offset": 4}],
        "more": False,
        "endOffset": OFFSET,
    }
)
JOINED = _to_json({"generation": 3, "parts": [["t", 0, 0]]})
APPENDED = _to_json({"offset": OFFSET, "endOffset": OFFSET + 1})
STATUS = _to_json(dict.fromkeys(sorted(REQUIRED_STATUS_FIELDS), 1))
HANDOVER = (b"Handover: 5c0e7a21",)
LINKS = {
    "store-read": Link(
        Answer(_encode_read(b"\x01a1", b"\x01b2"), (ERA,)),
        lambda address: StoreClient(address).read("t", OFFSET, 0).is_ok(),
    ),
    "store-read-of-nothing": Link(
        Answer(_encode_read(), (ERA,)),
        lambda address: StoreClient(address).read("t", OFFSET, 0).is_ok(),
    ),
    "store-read-newest": Link(
        Answer(NEWEST, (ERA,)),
        lambda address: StoreClient(address).read_newest("t").is_ok(),
    ),
    "store-append": Link(
        Answer(APPENDED, (ERA,)),
        lambda address: StoreClient(address).append("t", [b"\x01a1"], OFFSET).is_ok(),
    ),
    "store-join": Link(
        Answer(JOINED, (ERA,)),
        lambda address: StoreClient(address).join("g", "d1", "t", 1000, 0).is_ok(),
    ),
    "store-leave": Link(
        Answer(b"{}", (ERA,)),
        lambda address: StoreClient(address).leave("g", "d1").is_ok(),
    ),
    "grant": Link(Answer(b"{}"), lambda address: _grant(address, False)),
    "renewal": Link(Answer(b"{}"), lambda address: _grant(address, True)),
    "fenced-grant": Link(
        Answer(b"{}", (), b"409 Conflict"), lambda address: _grant(address, False)
    ),
    "release": Link(Answer(b"{}", HANDOVER), _release),
    "replaced-instance": Link(Answer(b"{}", (), b"404 Not Found"), _release),
    "daemon-exchange": Link(Answer(b"fish"), _exchange_in_daemon),
    "daemon-exchange-empty": Link(Answer(b""), _exchange_in_daemon),
    "gateway-exchange": Link(
        Answer(b"fish", (b"Request-Id: r1",)), _exchange_in_gateway
    ),
    "provider": Link(Answer(b"{}"), _send_provider_request),
    "skylarkctl-status": Link(Answer(STATUS), _ask_daemon),
    "skylarkctl-explain": Link(Answer(b"{}"), _ask_daemon_for_key),
}


@pytest.fixture
def server() -> Iterator[CuttingServer]:
    server = CuttingServer()
    yield server
    server.close()


def _find_cuts_taken_for_answers(
    server: CuttingServer, answer: bytes, is_answered: Callable[[str], bool]
) -> list[tuple[bytes, str]]:
    """Returns the parts of an answer that a call takes for it, or fails on."""
    found = []
    server.answer = answer
    for server.sent_bytes in range(len(answer)):
        try:
            if is_answered(server.address):
                found.append((answer[: server.sent_bytes], "answered"))
        except Exception as error:
            found.append((answer[: server.sent_bytes], repr(error)))
    server.sent_bytes = None
    return found


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("name", LINKS)
def test_a_cut_answer_is_a_fault(server, name, framing):
    answer, is_answered = LINKS[name]
    data = answer.encode(framing)
    found = _find_cuts_taken_for_answers(server, data, is_answered)
    assert not found, f"{len(found)} of {len(data)} cuts, the first: {found[0]}"
    assert is_answered(server.address), "the whole answer"


@pytest.mark.parametrize("exchange_once", [_exchange_in_daemon, _exchange_in_gateway])
@pytest.mark.parametrize(
    ("method", "status"),
    [("HEAD", b"200 OK"), ("GET", b"204 No Content"), ("GET", b"304 Not Modified")],
)
def test_a_cut_head_without_a_body_is_a_fault(server, exchange_once, method, status):
    """No length tells whether these answers are whole, only the end of their head."""
    data = b"HTTP/1.1 %s\r\nContent-Length: 4\r\n\r\n" % status

    def is_answered(address: str) -> bool:
        return exchange_once(address, method)

    assert not _find_cuts_taken_for_answers(server, data, is_answered)
    assert is_answered(server.address), "the whole answer"


def test_an_interim_answer_alone_is_a_fault(server):
    """A cut after a whole interim head must not end the head of the answer."""
    data = b"HTTP/1.1 100 Continue\r\n\r\n" + LINKS["grant"].answer.encode("length")

    def is_answered(address: str) -> bool:
        return _grant(address, True)

    assert not _find_cuts_taken_for_answers(server, data, is_answered)
    assert is_answered(server.address), "the whole answer"


def test_every_client_takes_its_pools_from_one_module():
    """A pool of urllib3 itself takes an answer that was cut in its head for whole."""
    package = Path(skylarktrail.__file__).parent
    constructors = re.compile(
        r"urllib3\.(\w+\.)*(PoolManager|HTTPConnectionPool|request)\("
    )
    found = [
        path.name
        for path in package.rglob("*.py")
        if constructors.search(path.read_text(encoding="utf-8"))
    ]
    assert found == ["http_pools.py"]
