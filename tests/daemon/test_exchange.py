"""One exchange through a real socket: a complete response or the right outcome."""

from __future__ import annotations

import threading
import time

import pytest

from skylarktrail.core.traffic.messages import Outcome
from skylarktrail.daemon.clock import now_ms
from skylarktrail.daemon.exchange import ExchangeRequest, exchange
from skylarktrail.daemon.pools import AbortHandle, make_pool

from .conftest import read_request

OK = b"HTTP/1.1 200 OK\r\n"


def make_request(
    request_id: str = "r1", answer_bytes: int = 1 << 20
) -> ExchangeRequest:
    headers = [("Skylark-Request-Id", request_id)]
    return ExchangeRequest("GET", "/a", headers, b"", request_id, answer_bytes)


def respond_once(*parts: bytes):
    def script(connection, number):
        read_request(connection)
        for part in parts:
            connection.sendall(part)
        connection.close()

    return script


def exchange_once(address: str, within_ms: float = 2000, **arguments):
    pool = make_pool(address, 1)
    request = make_request(**arguments)
    return exchange(pool, request, now_ms() + within_ms, AbortHandle())


def test_complete_response(start_backend):
    server = start_backend(respond_once(OK, b"Content-Length: 4\r\n\r\n", b"fish"))
    result = exchange_once(server.address)
    assert result.outcome is Outcome.ANSWERED
    assert result.complete_response.body == b"fish"


@pytest.mark.parametrize(
    "parts",
    [
        (OK, b"Content-Length: 9\r\n\r\nfish"),
        (OK, b"Transfer-Encoding: chunked\r\n\r\n9\r\nfish"),
        (OK, b"Transfer-Encoding: chunked\r\n\r\n4\r\nfish\r\n"),
        (OK, b"\r\nfish"),
        (OK, b"Skylark-Request-Id: r2\r\nContent-Length: 4\r\n\r\nfish"),
        (b"HTTP/1.1 2",),
        (),
    ],
    ids=["length", "chunk", "last-chunk", "no-length", "other", "status", "nothing"],
)
def test_incomplete_or_mismatched_response_is_broken(start_backend, parts):
    server = start_backend(respond_once(*parts))
    result = exchange_once(server.address)
    assert result.outcome is Outcome.BROKEN
    assert result.complete_response is None


def test_response_over_the_limit_is_broken(start_backend):
    server = start_backend(respond_once(OK, b"Content-Length: 4\r\n\r\nfish"))
    assert exchange_once(server.address, answer_bytes=3).outcome is Outcome.BROKEN


def test_refused_connection_is_a_failed_connect(start_backend):
    server = start_backend(respond_once())
    server.close()
    assert exchange_once(server.address).outcome is Outcome.CONNECT_FAILED


@pytest.mark.parametrize("status", [421, 429, 503])
def test_only_a_marked_refusal_is_not_run(start_backend, status):
    status_line = f"HTTP/1.1 {status} No\r\nContent-Length: 0\r\n".encode()
    marked = start_backend(
        respond_once(status_line, b"Skylark-Outcome: not-run\r\n\r\n")
    )
    is_misdirected = status == 421
    expected = Outcome.WRONG_OWNER if is_misdirected else Outcome.NOT_RUN
    assert exchange_once(marked.address).outcome is expected
    unmarked = start_backend(respond_once(status_line, b"\r\n"))
    assert exchange_once(unmarked.address).outcome is Outcome.ANSWERED


def test_connection_that_timed_out_is_never_reused(start_backend):
    """A late response to the first request must not be taken for the second one's."""
    released = threading.Event()

    def script(connection, number):
        read_request(connection)
        if number == 1:
            released.wait(5)
        body = f"own{number}".encode()
        connection.sendall(OK + b"Content-Length: 4\r\n\r\n" + body)
        read_request(connection)

    server = start_backend(script)
    pool = make_pool(server.address, 4)
    late = exchange(pool, make_request(), now_ms() + 100, AbortHandle())
    assert late.outcome is Outcome.TIMED_OUT
    released.set()
    second = exchange(pool, make_request(), now_ms() + 2000, AbortHandle())
    assert second.complete_response.body == b"own2"
    assert server.accepted == 2


def test_trickling_response_times_out_at_the_deadline(start_backend):
    stopped, sent = threading.Event(), []

    def script(connection, number):
        read_request(connection)
        connection.sendall(OK + b"Content-Length: 500\r\n\r\n")
        while len(sent) < 500 and not stopped.wait(0.02):
            connection.sendall(b"x")
            sent.append(1)

    server = start_backend(script)
    result = exchange_once(server.address, within_ms=200)
    stopped.set()
    assert result.outcome is Outcome.TIMED_OUT
    assert len(sent) < 500


def test_aborted_exchange_is_cancelled(start_backend):
    arrived = threading.Event()

    def script(connection, number):
        read_request(connection)
        arrived.set()
        read_request(connection)

    server = start_backend(script)
    abort_handle, results = AbortHandle(), []
    pool = make_pool(server.address, 1)

    def run():
        results.append(exchange(pool, make_request(), now_ms() + 10_000, abort_handle))

    thread = threading.Thread(target=run)
    thread.start()
    assert arrived.wait(5)
    abort_handle.abort()
    thread.join(5)
    assert results[0].outcome is Outcome.CANCELLED


def repeat_refusal(status: int, request_id: str, when: str, executed: list[int]):
    """Returns a script that refuses the first request and runs all others.

    On the first connection it writes the refusal once more.
    """
    named = f"Skylark-Request-Id: {request_id}\r\n" if request_id else ""
    refusal = f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n{named}"
    refusal = f"{refusal}Skylark-Outcome: not-run\r\n\r\n".encode()

    def script(connection, number):
        is_first = number == 1
        if is_first:
            read_request(connection)
            connection.sendall(refusal)
        if is_first and when == "at once":
            time.sleep(0.01)
            connection.sendall(refusal)
        while read_request(connection):
            executed.append(number)
            if is_first and when == "late":
                connection.sendall(refusal)
            time.sleep(0.03)
            connection.sendall(OK + b"Content-Length: 4\r\n\r\nfish")

    return script


@pytest.mark.parametrize("when", ["at once", "late"])
@pytest.mark.parametrize("request_id", ["", "r1"])
@pytest.mark.parametrize("status", [421, 429, 503])
@pytest.mark.parametrize("pause_s", [0.0, 0.03])
def test_copy_of_a_refusal_is_not_the_next_answer(
    start_backend, pause_s, status, request_id, when
):
    """A request that a server ran was said to be not run."""
    executed = []
    server = start_backend(repeat_refusal(status, request_id, when, executed))
    pool = make_pool(server.address, 4)
    first = exchange(pool, make_request(), now_ms() + 2000, AbortHandle())
    assert first.outcome in (Outcome.NOT_RUN, Outcome.WRONG_OWNER)
    time.sleep(pause_s)
    again = exchange(pool, make_request("r2"), now_ms() + 2000, AbortHandle())
    assert again.outcome in (Outcome.ANSWERED, Outcome.BROKEN)
    assert again.outcome is Outcome.BROKEN or again.complete_response.body == b"fish"


@pytest.mark.parametrize(
    "head",
    [
        b"Skylark-Request-Id: r0\r\nSkylark-Request-Id: r1\r\nContent-Length: 4\r\n",
        b"Skylark-Request-Id: r1\r\nSkylark-Request-Id: r0\r\nContent-Length: 4\r\n",
        b"Content-Length: 4\r\nContent-Length: 3\r\n",
        b"Content-Length: 4, 3\r\n",
        b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
    ],
    ids=["ids", "ids-swapped", "lengths", "length-list", "ends"],
)
def test_response_that_mixes_two_is_broken(start_backend, head):
    server = start_backend(respond_once(OK, head, b"\r\n", b"4\r\nfish\r\n0\r\n\r\n"))
    assert exchange_once(server.address).outcome is Outcome.BROKEN


@pytest.mark.parametrize("status", [b"204 No Content", b"304 Not Modified"])
def test_body_of_a_response_without_one_is_not_the_next_answer(start_backend, status):
    """The body arrived late, was taken for a response, and answered another request."""
    body = OK + b"Content-Length: 4\r\n\r\nfish"
    head = b"Skylark-Request-Id: r1\r\nContent-Length: %d\r\n\r\n" % len(body)

    def script(connection, number):
        if number == 1:
            read_request(connection)
            connection.sendall(b"HTTP/1.1 %s\r\n%s" % (status, head))
        while read_request(connection):
            connection.sendall(
                body if number == 1 else OK + b"Content-Length: 0\r\n\r\n"
            )

    server = start_backend(script)
    pool = make_pool(server.address, 1)
    first = exchange(pool, make_request("r1"), now_ms() + 2000, AbortHandle())
    assert first.complete_response.body == b""
    second = exchange(pool, make_request("r2"), now_ms() + 2000, AbortHandle())
    assert second.complete_response.body == b""
