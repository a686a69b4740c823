"""Tests that connections without a hello do not use up the file descriptors."""

from __future__ import annotations

import socket
import time

import pytest

from skylarktrail.peer.links import PeerLinks

from .conftest import wait_until

LIMIT = 8
WAIT_S = 5.0


@pytest.fixture
def address():
    """Returns the address of a daemon that keeps few connections without a hello."""
    ignore = lambda *_: None  # noqa: E731
    links = PeerLinks(
        "a", "i1", "z", "127.0.0.1:0", ignore, ignore, ignore, unopened_limit=LIMIT
    )
    yield links.start().unwrap()
    links.stop()


def connect(address):
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), WAIT_S)


def is_open(connection):
    connection.setblocking(False)
    try:
        return bool(connection.recv(1))
    except BlockingIOError:
        return True
    except ConnectionError:
        return False


def test_the_oldest_connections_without_a_hello_are_closed(address):
    """Guards against clients that take all descriptors at the peer address."""
    crowd = [connect(address) for _ in range(5 * LIMIT)]
    time.sleep(0.3)
    states = [is_open(connection) for connection in crowd]
    assert sum(states) <= LIMIT
    assert all(states[-LIMIT:])


def test_a_daemon_opens_a_link_beside_a_crowd(address, make_node):
    """Guards against a crowd that keeps other daemons out."""
    node = make_node("b")
    crowd = [connect(address) for _ in range(5 * LIMIT)]
    node.links.set_peers({"a": address})
    node.links.set_heartbeats({"a"})
    assert wait_until(lambda: node.links.last_received_ms("a") is not None)
    del crowd
