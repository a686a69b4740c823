"""Tests of exchanges with an instance that may respond in any way."""

from __future__ import annotations

import time

import pytest

from skylarktrail.errors import upstream as codes
from skylarktrail.gateway.clock import now_ms
from skylarktrail.gateway.connection_pool import ConnectionPool
from skylarktrail.gateway.exchange import Connection, OutgoingRequest

from .conftest import LateResponse, Parts

ID_FIELD = "request-id"
LONG_MS = 3000.0


def make_response(body=b"whole", request_id=b"r1", extra=b"", head=b""):
    """Returns the bytes of a response."""
    return b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s%s" % (
        request_id,
        len(body),
        head,
        body,
        extra,
    )


def make_request(request_id="r1", method="GET", body=b""):
    fields = [("Host", "a"), ("Content-Length", str(len(body)))]
    return OutgoingRequest(method, "/x?y=1", fields, body, request_id)


def exchange(server, request=None, timeout_ms=LONG_MS):
    connection = Connection(server.address, ID_FIELD)
    assert connection.open(1000).is_ok()
    end_ms = now_ms() + timeout_ms
    result = connection.exchange(request or make_request(), lambda: end_ms)
    connection.close()
    return result


def code_of(result):
    return result.unwrap_err().code


def test_complete_response_is_returned(start_server):
    result = exchange(start_server([make_response()])).unwrap()
    assert (result.status, result.body, result.is_reusable) == (200, b"whole", True)


def test_request_is_sent_unchanged(start_server):
    server = start_server([make_response()])
    exchange(server, make_request(method="POST", body=b"abc"))
    assert server.received[0].startswith(b"POST /x?y=1 HTTP/1.1\r\n")
    assert server.received[0].endswith(b"\r\n\r\nabc")


def test_response_without_length_ends_when_the_connection_closes(start_server):
    server = start_server([b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nall"])
    result = exchange(server).unwrap()
    assert (result.body, result.is_reusable) == (b"all", False)


def test_truncated_response_is_rejected(start_server):
    result = exchange(start_server([make_response()[:-2]]))
    assert code_of(result) is codes.INSTANCE_GARBLED


def test_invalid_response_bytes_are_rejected(start_server):
    assert (
        code_of(exchange(start_server([b"\x00\x01\r\n\r\n"]))) is codes.INSTANCE_GARBLED
    )


def test_connection_with_trailing_bytes_is_not_reusable(start_server):
    result = exchange(
        start_server([make_response(extra=b"HTTP/1.1 200 OK\r\n")])
    ).unwrap()
    assert (result.body, result.is_reusable) == (b"whole", False)


def test_response_to_another_request_is_skipped(start_server):
    stray = make_response(b"other", b"r0")
    result = exchange(start_server([stray + make_response()])).unwrap()
    assert result.body == b"whole"


def test_too_many_responses_to_other_requests_are_rejected(start_server):
    stray = make_response(b"other", b"r0")
    result = exchange(start_server([stray * 5]))
    assert code_of(result) is codes.INSTANCE_GARBLED


@pytest.mark.parametrize(
    "head",
    [
        b"Request-Id: r0\r\nRequest-Id: r1\r\nContent-Length: 5\r\n",
        b"Request-Id: r1\r\nRequest-Id: r0\r\nContent-Length: 5\r\n",
        b"Request-Id: r0, r1\r\nContent-Length: 5\r\n",
        b"Request-Id: r1\r\nContent-Length: 5\r\nContent-Length: 4\r\n",
        b"Request-Id: r1\r\nContent-Length: 5, 4\r\n",
        b"Request-Id: r1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        b"Request-Id: r1\r\nHTTP/1.1 503 X\r\nContent-Length: 5\r\n",
    ],
    ids=["ids", "ids-swapped", "id-list", "lengths", "length-list", "ends", "statuses"],
)
def test_response_that_mixes_two_is_rejected(start_server, head):
    """An earlier refusal and the answer end in one head; the last id was taken."""
    data = b"HTTP/1.1 200 OK\r\n" + head + b"\r\n5\r\nwhole\r\n0\r\n\r\n"
    result = exchange(start_server([data]))
    assert code_of(result) in (codes.INSTANCE_GARBLED, codes.INSTANCE_BROKEN)


def test_response_that_names_its_request_twice_is_returned(start_server):
    server = start_server([make_response(head=b"Request-Id: r1\r\n")])
    assert exchange(server).unwrap().body == b"whole"


def test_reset_connection_is_reported_as_broken(start_server):
    assert code_of(exchange(start_server(["reset"]))) is codes.INSTANCE_BROKEN


def test_extended_end_applies_to_a_running_exchange(start_server):
    """SIGTERM must not abort an attempt that is about to time out."""
    started_ms = now_ms()

    def end_ms():
        is_draining = now_ms() > started_ms + 50
        return started_ms + (LONG_MS if is_draining else 100)

    server = start_server([LateResponse(0.3, make_response())])
    connection = Connection(server.address, ID_FIELD)
    assert connection.open(1000).is_ok()
    result = connection.exchange(make_request(), end_ms)
    connection.close()
    assert result.unwrap().body == b"whole"


def test_silent_instance_times_out(start_server):
    started = time.monotonic()
    result = exchange(start_server(["silence"]), timeout_ms=150)
    assert code_of(result) is codes.INSTANCE_SILENT
    assert time.monotonic() - started < 1


def test_refused_connection_is_reported_as_unreached(start_server):
    server = start_server()
    server.close()
    connection = Connection(server.address, ID_FIELD)
    assert connection.open(500).unwrap_err().code is codes.INSTANCE_UNREACHED


@pytest.fixture
def connections():
    return ConnectionPool(ID_FIELD)


def exchange_pooled(connections, server, request_id="r1", must_run_once=False):
    connection = connections.acquire(
        "i-1", server.address, 1000, request_id, must_run_once
    ).unwrap()
    end_ms = now_ms() + LONG_MS
    result = connection.exchange(make_request(request_id), lambda: end_ms)
    if result.is_ok():
        connections.release_connection("i-1", connection, result.unwrap())
    return result


def test_idle_connection_is_reused(start_server, connections):
    server = start_server([make_response(), make_response(request_id=b"r2")])
    exchange_pooled(connections, server)
    assert exchange_pooled(connections, server, "r2").is_ok()
    assert connections.opened_count == 1


def test_connection_with_unread_bytes_is_not_reused(start_server, connections):
    server = start_server(
        [make_response() + b"late"], [make_response(request_id=b"r2")]
    )
    exchange_pooled(connections, server)
    assert exchange_pooled(connections, server, "r2").is_ok()
    assert connections.opened_count == 2


def test_connection_closed_by_the_instance_is_not_reused(start_server, connections):
    server = start_server([make_response()], [make_response(request_id=b"r2")])
    exchange_pooled(connections, server)
    time.sleep(0.1)
    assert exchange_pooled(connections, server, "r2", must_run_once=True).is_ok()


def test_keep_alive_timeout_of_the_instance_is_applied(start_server, connections):
    head = b"Keep-Alive: timeout=1\r\n"
    server = start_server([make_response(head=head)], [make_response(request_id=b"r2")])
    exchange_pooled(connections, server)
    time.sleep(0.01)
    exchange_pooled(connections, server, "r2")
    assert connections.opened_count == 2


COPY = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy"


@pytest.mark.parametrize("is_split", [False, True])
def test_late_copy_without_an_id_is_not_taken_for_the_next_response(
    start_server, connections, is_split
):
    """A server sends a second copy of a response when the next request comes."""
    second = make_response(b"next", b"r2")
    responses = [make_response(), COPY + second]
    if is_split:
        responses = [make_response(), Parts(0.05, (COPY[:9], COPY[9:], second))]
    server = start_server(responses)
    exchange_pooled(connections, server)
    result = exchange_pooled(connections, server, "r2", must_run_once=True)
    assert result.unwrap().body == b"next"
    assert connections.opened_count == 1


def test_copies_alone_are_no_response(start_server, connections):
    server = start_server([make_response(), COPY * 5])
    exchange_pooled(connections, server)
    assert code_of(exchange_pooled(connections, server, "r2")) is codes.INSTANCE_GARBLED


def test_response_without_an_id_on_a_new_connection_is_returned(
    start_server, connections
):
    """A proxy before the instance generates it; it is told from others unsigned."""
    assert exchange_pooled(connections, start_server([COPY])).unwrap().body == b"copy"


def test_exchange_on_an_aborted_connection_fails(start_server):
    server = start_server(["silence"])
    connection = Connection(server.address, ID_FIELD)
    connection.open(1000)
    connection.abort()
    end_ms = now_ms() + LONG_MS
    result = connection.exchange(make_request(), lambda: end_ms)
    assert code_of(result) is codes.INSTANCE_UNREACHED
