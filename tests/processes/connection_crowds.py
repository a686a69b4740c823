"""Clients that take the connections of an address and open new ones at once."""

from __future__ import annotations

import http.client
import selectors
import socket
import threading
import time
from typing import NamedTuple

from demo.gateway_site import DEADLINE_MS, HOST_NAME

TICK_S = 0.02
DRIP_INTERVAL_S = 0.3
READ_BYTES = 1 << 16
MAX_OPENED_PER_CONNECTION = 200  # Bounds how often a crowd opens again.
FILL_TIMEOUT_S = 5.0
HEALTH_ATTEMPTS = 3
HEALTH_TIMEOUT_S = 4.0
HEAD = (
    f"POST /booking/x HTTP/1.1\r\nHost: {HOST_NAME}\r\nRequest-Id: c\r\n"
    f"Deadline-Ms: {DEADLINE_MS}\r\n"
).encode()


class Holding(NamedTuple):
    """How a client holds a connection.

    Attributes:
        sent: Bytes that it sends at once.
        drip: Bytes that it sends every `DRIP_INTERVAL_S` after that.
    """

    sent: bytes
    drip: bytes = b""


HOLDINGS = {
    "nothing sent": Holding(b""),
    "an incomplete head": Holding(HEAD),
    "a head without its body": Holding(HEAD + b"Content-Length: 10\r\n\r\n"),
    "a head byte by byte": Holding(HEAD + b"X-Long: ", b"x"),
    "a body byte by byte": Holding(HEAD + b"Content-Length: 9999\r\n\r\n", b"x"),
    "idle after an answer": Holding(b"GET /unknown HTTP/1.1\r\nHost: a\r\n\r\n"),
}


class ConnectionCrowd:
    """Holds connections to an address, and opens each again when it is closed.

    A context manager: the connections are open inside it, accepted or in the queue of
    the kernel, and closed after it.

    Args:
        address: `host:port` of the daemon.
        count: Number of connections.
        holding: How each is held.
    """

    def __init__(self, address: str, count: int, holding: Holding) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._count = count
        self._holding = holding
        self._selector = selectors.DefaultSelector()
        self._open: dict[socket.socket, float] = {}  # With the time of the next drip.
        self._opened_count = 0
        self._is_full = threading.Event()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> ConnectionCrowd:
        self._thread.start()
        if not self._is_full.wait(FILL_TIMEOUT_S):
            print(f"{len(self._open)} of {self._count} connections are open")
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        self._thread.join()
        for connection in self._open:
            connection.close()
        self._selector.close()

    def _run(self) -> None:
        while not self._stopped.wait(TICK_S):
            self._open_missing()
            for key, _ in self._selector.select(0):
                self._read(key.fileobj)
            for connection, due_s in list(self._open.items()):
                if self._holding.drip and time.monotonic() >= due_s:
                    self._send(connection, self._holding.drip)

    def _open_missing(self) -> None:
        while len(self._open) < self._count and not self._stopped.is_set():
            if self._opened_count >= self._count * MAX_OPENED_PER_CONNECTION:
                return
            if not self._try_open():
                return
        self._is_full.set()

    def _try_open(self) -> bool:
        self._opened_count += 1
        connection = socket.socket()
        connection.settimeout(TICK_S)
        try:
            connection.connect(self._address)
        except OSError:  # The queue of the kernel is full.
            connection.close()
            return False
        connection.setblocking(False)
        self._open[connection] = time.monotonic() + DRIP_INTERVAL_S
        self._selector.register(connection, selectors.EVENT_READ)
        if self._holding.sent:
            self._send(connection, self._holding.sent)
        return True

    def _send(self, connection: socket.socket, data: bytes) -> None:
        self._open[connection] = time.monotonic() + DRIP_INTERVAL_S
        try:
            connection.send(data)
        except BlockingIOError:
            pass
        except OSError:
            self._close(connection)

    def _read(self, connection: socket.socket) -> None:
        if connection not in self._open:
            return
        try:
            is_open = bool(connection.recv(READ_BYTES))
        except BlockingIOError:
            return
        except OSError:
            is_open = False
        if not is_open:
            self._close(connection)

    def _close(self, connection: socket.socket) -> None:
        self._selector.unregister(connection)
        del self._open[connection]
        connection.close()


def is_healthy(address: str) -> bool:
    """Returns whether a health check on a new connection is answered."""
    host, _, port = address.rpartition(":")
    for _ in range(HEALTH_ATTEMPTS):
        check = http.client.HTTPConnection(host, int(port), timeout=HEALTH_TIMEOUT_S)
        try:
            check.request("GET", "/ready")
            if check.getresponse().status == 200:
                return True
        except (OSError, http.client.HTTPException):
            pass
        finally:
            check.close()
    return False
