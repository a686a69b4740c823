"""Tests of the addresses for health checks and operators against held connections."""

from __future__ import annotations

import socket
import threading

import pytest

from skylarktrail.daemon.plain_server import (
    PLAIN_BODY_BYTES,
    PLAIN_CONNECTIONS,
    make_plain_server,
)

WAIT_S = 8.0
GET = b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"
HEAD = b"POST /ready HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
CHUNKED = b"POST /ready HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


def respond(environ, start_response):
    """Answers each request, as the health check does."""
    start_response("200 OK", [("Content-Length", "6")])
    return [b"ready\n"]


@pytest.fixture
def ends():
    return []


@pytest.fixture
def port(ends):
    """Returns the port of an address for health checks."""
    server = make_plain_server(respond, "127.0.0.1:0", 2, ends.append)
    threading.Thread(target=server.run, daemon=True).start()
    yield int(server.effective_port)
    server.task_dispatcher.shutdown()


def connect(port, data=b""):
    """Returns a connection on which bytes were sent."""
    connection = socket.create_connection(("127.0.0.1", port), WAIT_S)
    connection.sendall(data)
    return connection


@pytest.mark.parametrize("sent", [b"", b"GET /rea", HEAD % 10, GET])
def test_a_health_check_is_answered_beside_held_connections(port, ends, sent):
    """Guards against a daemon that the platform takes for lost."""
    crowd = [connect(port, sent) for _ in range(2 * PLAIN_CONNECTIONS)]
    assert connect(port, GET).recv(100).startswith(b"HTTP/1.1 200 ")
    assert {item.reason for item in ends} == {"connections"}
    del crowd


@pytest.mark.parametrize(
    "sent", [HEAD % (PLAIN_BODY_BYTES + 1), CHUNKED + b"%x\r\n" % (1 << 30)]
)
def test_large_bodies_are_refused_at_their_head(port, sent):
    """Guards against bodies that are kept in memory and files, though none is read."""
    assert connect(port, sent).recv(100).startswith(b"HTTP/1.1 413 ")
