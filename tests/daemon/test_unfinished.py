"""Tests of the requests for which a daemon that stops has to wait."""

from __future__ import annotations

import socket
import threading
import time

import pytest

from skylarktrail.config.settings import LimitSettings
from skylarktrail.core.connection_eviction import SHORTEST_PAUSE_S
from skylarktrail.daemon.caller_app import CallerApp, make_caller_server
from skylarktrail.daemon.metrics import Metrics
from skylarktrail.daemon.response import Response
from skylarktrail.daemon.unfinished import (
    has_unfinished_requests,
    refuse_slow_requests,
)

GET = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"
LARGE_BYTES = 32 << 20
WAIT_TIMEOUT_S = 10.0


class HeldHandler:
    """Handles no request before it is released.

    Attributes:
        release: Lets the requests be answered.
        body: Body of the responses.
    """

    def __init__(self) -> None:
        self.release = threading.Event()
        self.body = b"done"

    def handle(self, request):
        """Returns a response after the release."""
        self.release.wait(WAIT_TIMEOUT_S)
        return Response(200, [], self.body)


@pytest.fixture
def handler():
    return HeldHandler()


@pytest.fixture
def server(handler):
    """Returns a server with one thread for requests."""
    app = CallerApp(handler, Metrics(8))
    server = make_caller_server(app, "127.0.0.1:0", 1, LimitSettings(), 1)
    threading.Thread(target=server.run, daemon=True).start()
    yield server
    handler.release.set()
    server.task_dispatcher.shutdown()


def connect(server):
    return socket.create_connection(("127.0.0.1", server.effective_port))


def wait_until_unfinished(server, is_unfinished):
    end = time.monotonic() + WAIT_TIMEOUT_S
    while has_unfinished_requests(server) != is_unfinished:
        assert time.monotonic() < end
        time.sleep(0.01)


def test_an_idle_connection_is_finished(server, handler):
    handler.release.set()
    with connect(server) as connection:
        connection.sendall(GET)
        assert connection.recv(1 << 16)
        wait_until_unfinished(server, False)


@pytest.mark.parametrize("part", [b"GET /x HT", b"POST /x HTTP/1.1\r\nHost: a\r\n\r\n"])
def test_a_request_that_is_being_received_is_unfinished(server, part):
    if part.startswith(b"POST"):
        part = part.replace(b"\r\n\r\n", b"\r\nContent-Length: 4\r\n\r\nab")
    with connect(server) as connection:
        connection.sendall(part)
        wait_until_unfinished(server, True)
    wait_until_unfinished(server, False)


@pytest.mark.parametrize("part", [b"GET /x HT", HEAD, HEAD + b"abc"])
def test_a_stalled_request_is_refused_as_the_daemon_drains(server, part):
    """Guards against a planned stop that waits for callers that send nothing."""
    with connect(server) as connection:
        connection.sendall(part)
        wait_until_unfinished(server, True)
        time.sleep(2 * SHORTEST_PAUSE_S)
        refuse_slow_requests(server)
        answer = connection.recv(1 << 16)
        assert answer.split(b"\r\n")[0].endswith(b" 503 DRAINING")
        assert b"\r\nSkylark-Outcome: not-run\r\n" in answer
        wait_until_unfinished(server, False)


def test_a_running_request_is_not_refused_as_the_daemon_drains(server, handler):
    """Guards against the refusal of work that has begun."""
    with connect(server) as connection:
        connection.sendall(GET)
        wait_until_unfinished(server, True)
        time.sleep(2 * SHORTEST_PAUSE_S)
        refuse_slow_requests(server)
        time.sleep(0.2)
        assert has_unfinished_requests(server)
        handler.release.set()
        assert connection.recv(1 << 16).startswith(b"HTTP/1.1 200 ")


def test_a_request_that_waits_for_a_thread_is_unfinished(server, handler):
    with connect(server) as first, connect(server) as second:
        first.sendall(GET)
        second.sendall(GET)
        wait_until_unfinished(server, True)
        handler.release.set()
        assert first.recv(1 << 16) and second.recv(1 << 16)
        wait_until_unfinished(server, False)


def test_a_response_that_the_caller_reads_slowly_is_unfinished(server, handler):
    handler.body = bytes(LARGE_BYTES)
    handler.release.set()
    with connect(server) as connection:
        connection.sendall(GET)
        connection.recv(1)
        time.sleep(0.2)
        assert has_unfinished_requests(server)
        received = 1
        while received < LARGE_BYTES:
            received += len(connection.recv(1 << 20))
        wait_until_unfinished(server, False)
