"""Tests of what one caller may bind, against a server in this process."""

from __future__ import annotations

import http.client
import socket
import threading
import time

import pytest

from skylarktrail.caller_budget import CallerBudget
from skylarktrail.config.gateway_settings import ClientSettings
from skylarktrail.config.settings import LimitSettings
from skylarktrail.daemon import connection_watch
from skylarktrail.daemon.caller_app import CallerApp, make_caller_server
from skylarktrail.daemon.caller_guard import CallerGuard
from skylarktrail.daemon.response import Response
from skylarktrail.errors import caller as codes

BODY_LIMIT_BYTES = 4 << 20
BUDGET_BYTES = 8 << 20
WAIT_S = 8.0
HEAD = b"POST /a HTTP/1.1\r\nHost: a\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class Echo:
    """Answers with the length of the body, padded; counts refusals."""

    def __init__(self):
        self.codes = []
        self.response_bytes = 0

    def handle(self, request):
        """Returns the length of the body."""
        body = b"%d" % len(request.body)
        return Response(200, [], body.ljust(self.response_bytes))

    def count_refusal(self, service, code):
        """Keeps a code."""
        self.codes.append(code)


class Caller:
    """A connection of a caller."""

    def __init__(self, port, receive_buffer_bytes=0):
        self.socket = socket.socket()
        if receive_buffer_bytes:
            option = (socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
            self.socket.setsockopt(*option)
        self.socket.settimeout(WAIT_S)
        self.socket.connect(("127.0.0.1", port))

    def send_body(self, length, sent_bytes, fields=b""):
        """Sends a request whose body is not complete unless both sizes are equal."""
        head = HEAD + fields + b"Content-Length: %d\r\n\r\n" % length
        self.socket.sendall(head)
        self.socket.sendall(b"x" * sent_bytes)

    def read(self):
        """Returns everything until the connection is closed."""
        data = b""
        while piece := self.socket.recv(65536):
            data += piece
        return data

    def status(self):
        """Returns the status of the next response."""
        response = http.client.HTTPResponse(self.socket)
        response.begin()
        response.read()
        return response.status


@pytest.fixture
def echo():
    return Echo()


@pytest.fixture
def ends():
    return []


@pytest.fixture
def budget():
    return CallerBudget(BUDGET_BYTES)


@pytest.fixture
def port(echo, ends, budget):
    """Returns the port of a server whose callers may stall for a second."""
    bounds = ClientSettings(stall_ms=1000, linger_ms=1000)
    guard = CallerGuard(budget, bounds, lambda: BODY_LIMIT_BYTES, ends.append)
    limits = LimitSettings(connections=64)
    app = CallerApp(echo, echo)
    server = make_caller_server(app, "127.0.0.1:0", 4, limits, 1, guard)
    threading.Thread(target=server.run, daemon=True).start()
    yield int(server.effective_port)
    server.close()


def wait_until(condition):
    end_s = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < end_s
        time.sleep(0.02)


def test_a_silent_caller_is_refused_as_not_run(port, echo, ends, budget):
    """Guards against bodies that stop short and stay in memory."""
    caller = Caller(port)
    caller.send_body(1000, 999)
    assert caller.read().startswith(b"HTTP/1.1 408 ")
    assert echo.codes == [codes.REQUEST_TOO_SLOW]
    assert [item.reason for item in ends] == ["stalled"]
    wait_until(lambda: not budget.used_bytes)


def test_a_caller_that_sends_slowly_is_not_silent(port):
    """Guards against the end of legal requests over slow links."""
    caller = Caller(port)
    caller.send_body(5, 0)
    for _ in range(5):
        time.sleep(0.5)
        caller.socket.sendall(b"x")
    assert caller.status() == 200


def test_a_refusal_reaches_a_caller_that_goes_on_sending(port, echo):
    """Guards against a reset that discards the refusal."""
    caller = Caller(port)
    caller.send_body(BODY_LIMIT_BYTES * 8, BODY_LIMIT_BYTES * 8)
    assert caller.read().startswith(b"HTTP/1.1 413 ")
    assert echo.codes == [codes.BODY_TOO_LARGE]


def test_a_body_over_the_limit_is_not_asked_for(port, echo):
    """Guards against `100 Continue`, after which the library keeps the body."""
    caller = Caller(port)
    caller.send_body(BODY_LIMIT_BYTES + 1, 0, b"Expect: 100-continue\r\n")
    assert caller.read().startswith(b"HTTP/1.1 413 ")


@pytest.mark.parametrize("chunk_bytes", [7, 100_000])
def test_framing_does_not_count_for_the_limit_of_a_chunked_body(port, chunk_bytes):
    """Guards against a limit below that of the configuration."""
    count, rest = divmod(BODY_LIMIT_BYTES, chunk_bytes)
    sizes = [chunk_bytes] * count + [rest]
    chunks = b"".join(b"%x\r\n%s\r\n" % (size, b"x" * size) for size in sizes if size)
    caller = Caller(port)
    caller.socket.sendall(CHUNKED + chunks + b"0\r\n\r\n")
    assert caller.status() == 200


@pytest.mark.parametrize(
    "data, code",
    [
        (b"%x\r\n" % (BODY_LIMIT_BYTES + 1), codes.BODY_TOO_LARGE),
        (b"1;" + b"a" * 5000, codes.FRAMING_BAD),
        (b"0\r\n" + b"A: b\r\n" * 4000, codes.FRAMING_BAD),
    ],
)
def test_chunks_without_bounds_are_refused(port, echo, data, code):
    """Guards against memory that no limit of the body counts."""
    caller = Caller(port)
    caller.socket.sendall(CHUNKED + data)
    caller.read()
    assert echo.codes == [code]


def test_the_longest_silent_caller_is_ended_first(port, echo, ends, monkeypatch):
    """Guards against the refusal of callers that make progress."""
    monkeypatch.setattr(connection_watch, "MIN_STALL_S", 0.2)
    first, second, third = Caller(port), Caller(port), Caller(port)
    first.send_body(BODY_LIMIT_BYTES, BODY_LIMIT_BYTES - 1)
    time.sleep(0.1)
    second.send_body(BODY_LIMIT_BYTES, BODY_LIMIT_BYTES - 20_000)
    time.sleep(0.3)
    third.send_body(1_000_000, 1_000_000)
    assert third.status() == 200
    answer = first.read()
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"\r\nRetry-After: 1\r\n" in answer
    assert b"\r\nSkylark-Outcome: not-run\r\n" in answer
    assert codes.BODIES_FULL in echo.codes
    assert ends[0].reason == "budget"
    assert ends[0].held_bytes >= BODY_LIMIT_BYTES - 1


def test_a_response_that_is_not_read_is_dropped(port, echo, ends, budget):
    """Guards against complete responses that stay in memory."""
    echo.response_bytes = 6 << 20
    caller = Caller(port, 4096)
    caller.send_body(0, 0)
    wait_until(lambda: ends)
    assert ends[0].reason == "unread"
    assert ends[0].held_bytes >= echo.response_bytes
    wait_until(lambda: not budget.used_bytes)


def test_responses_beyond_the_budget_close_their_connections(port, echo, ends, budget):
    """Guards against a sum of unread responses above the budget."""
    echo.response_bytes = 6 << 20
    callers = [Caller(port, 4096) for _ in range(6)]
    for caller in callers:
        caller.send_body(0, 0)
    wait_until(lambda: [item.reason for item in ends].count("budget") >= 4)
    assert budget.used_bytes <= BUDGET_BYTES * 17 / 16


def test_a_kept_connection_gives_its_memory_back(port, budget):
    """Guards against bytes of answered requests that stay counted."""
    caller = Caller(port)
    for _ in range(3):
        caller.send_body(300_000, 300_000)
        assert caller.status() == 200
    wait_until(lambda: not budget.used_bytes)
