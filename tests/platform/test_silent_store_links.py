"""Tests that the client of the store does not rely on connections that rested long.

Something between a daemon and the store may forget a connection, which then is silent
for good while new ones work. A daemon that follows the granter reads the store only
when the granter does not, and would wait for the timeout then.
"""

from __future__ import annotations

import socket
import threading

import pytest

from skylarktrail.platform import store_client
from skylarktrail.platform.store_client import MAX_IDLE_MS, StoreClient

END_OF_LOG = (7).to_bytes(8, "big") + (0).to_bytes(8, "big")
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + END_OF_LOG


class ForgetfulStore:
    """Answers the first read on each connection, and no later one.

    Attributes:
        address: `host:port` of the store.
        accepted_count: Number of connections.
    """

    def __init__(self) -> None:
        self._socket = socket.create_server(("127.0.0.1", 0))
        self._connections: list[socket.socket] = []
        self.address = "127.0.0.1:%d" % self._socket.getsockname()[1]
        self.accepted_count = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Closes all sockets."""
        for connection in (self._socket, *self._connections):
            connection.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            self.accepted_count += 1
            self._connections.append(connection)
            connection.recv(65536)
            connection.sendall(ANSWER)


@pytest.fixture
def store():
    store = ForgetfulStore()
    yield store
    store.close()


@pytest.fixture
def clock(monkeypatch):
    times_ms = [0.0]
    monkeypatch.setattr(store_client, "_now_ms", lambda: times_ms[0])
    return times_ms


def read(client):
    return client.read("keyed.op", 7, 0)


def test_late_read_on_a_forgotten_connection(store, clock):
    client = StoreClient(store.address)
    assert read(client).is_ok()
    clock[0] += MAX_IDLE_MS + 1
    assert read(client).is_ok()
    assert store.accepted_count == 2


def test_connections_in_use_are_kept(store, clock):
    """A silent one shows itself by the timeout of the read."""
    client = StoreClient(store.address)
    assert read(client).is_ok()
    clock[0] += MAX_IDLE_MS
    assert read(client).is_err()
    assert store.accepted_count == 1
