"""Tests of the callers' address with more descriptors than select() can watch."""

from __future__ import annotations

import contextlib
import resource
import socket
import threading

import pytest

from skylarktrail.config.settings import LimitSettings
from skylarktrail.daemon.caller_app import CallerApp, make_caller_server
from skylarktrail.daemon.metrics import Metrics
from skylarktrail.daemon.response import Response

GET = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
SELECT_LIMIT = 1024  # Descriptors from this number on cannot be in an fd_set.
TIMEOUT_S = 10.0


class Handler:
    """Answers each request."""

    def handle(self, request):
        """Returns a response."""
        return Response(200, [], b"done")


@pytest.fixture
def server():
    limits = LimitSettings(connections=2 * SELECT_LIMIT)
    server = make_caller_server(
        CallerApp(Handler(), Metrics(8)), "127.0.0.1:0", 2, limits
    )
    threading.Thread(target=server.run, daemon=True).start()
    yield server
    server.task_dispatcher.shutdown()


@pytest.fixture
def occupied_descriptors():
    """Occupies all descriptors below the limit of select()."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    assert soft > SELECT_LIMIT + 100, "the system allows too few descriptors"
    with contextlib.ExitStack() as stack:
        while True:
            taken = stack.enter_context(socket.socket())
            if taken.fileno() >= SELECT_LIMIT:
                break
        yield


def send_request(server):
    with socket.create_connection(
        ("127.0.0.1", server.effective_port), TIMEOUT_S
    ) as connection:
        connection.settimeout(TIMEOUT_S)
        connection.sendall(GET)
        return connection.recv(1 << 16)


def test_requests_are_answered_on_descriptors_that_select_cannot_watch(
    server, occupied_descriptors
):
    """A burst of callers opens more than a thousand connections to a daemon."""
    for _ in range(3):
        assert send_request(server).startswith(b"HTTP/1.1 200 ")
