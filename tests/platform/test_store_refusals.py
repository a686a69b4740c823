"""Tests that a refusal of the store, written once more, answers no later call.

An answer of the store names no call. A granter that takes an earlier conflict for the
answer to its append believes that a write failed which was carried out.
"""

from __future__ import annotations

import json
import socket
import threading

import pytest

from skylarktrail.errors import platform as codes
from skylarktrail.platform.store_client import StoreClient

RECORD = b"the record"
APPENDED = json.dumps({"offset": 7, "endOffset": 8}).encode()


def make_answer(status: int, body: bytes = b"{}") -> bytes:
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def read_append(connection: socket.socket) -> bytes:
    """Reads one append of `RECORD`; returns b"" if the connection is closed."""
    data = b""
    while not data.endswith(RECORD):
        chunk = connection.recv(65536)
        if not chunk:
            return b""
        data += chunk
    return data


class RepeatingStore:
    """Refuses the first call and carries out all others.

    It writes the refusal once more when the next call comes on the same connection.

    Args:
        status: Status of the refusal.

    Attributes:
        address: `host:port` of the store.
        accepted_count: Number of connections.
        done_count: Calls that were carried out.
    """

    def __init__(self, status: int) -> None:
        self._refusal = make_answer(status)
        self._has_refused = False
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self._listener.getsockname()[1]
        self.accepted_count = self.done_count = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.accepted_count += 1
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            with connection:
                self._answer(connection)
        except OSError:
            pass  # The client has closed the connection.

    def _answer(self, connection: socket.socket) -> None:
        copy = b""
        while read_append(connection):
            if not self._has_refused:
                self._has_refused = True
                copy = self._refusal
                connection.sendall(copy)
                continue
            self.done_count += 1
            connection.sendall(copy + make_answer(200, APPENDED))
            copy = b""

    def close(self) -> None:
        """Stops listening."""
        self._listener.close()


@pytest.fixture
def start_store():
    """Returns a function that starts a store."""
    stores = []

    def start(status: int) -> RepeatingStore:
        stores.append(RepeatingStore(status))
        return stores[-1]

    yield start
    for store in stores:
        store.close()


@pytest.mark.parametrize(
    "status, code",
    [
        (409, codes.STORE_CONFLICT),
        (412, codes.STORE_CONFLICT),
        (410, codes.STORE_TRIMMED),
        (429, codes.STORE_REFUSED),
        (503, codes.STORE_REFUSED),
        (507, codes.STORE_REFUSED),
        (500, codes.STORE_SILENT),
    ],
)
def test_copy_of_a_refusal_does_not_answer_an_append(start_store, status, code):
    store = start_store(status)
    client = StoreClient(store.address)
    assert client.append("t", [RECORD]).unwrap_err().code is code
    assert client.append("t", [RECORD]).unwrap() == 8
    assert store.done_count == 1


def test_connection_is_kept_after_a_call_that_was_carried_out(start_store):
    store = start_store(503)
    client = StoreClient(store.address)
    for _ in range(3):
        client.append("t", [RECORD])
    assert (store.accepted_count, store.done_count) == (2, 2)
