"""Clients that bind the memory of a daemon, and what a daemon's process uses."""

from __future__ import annotations

import os
import socket
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Iterator, NamedTuple

from demo.gateway_site import DEADLINE_MS, HOST_NAME

SENDER_COUNT = 12
PIECE_BYTES = 1 << 16
TIMEOUT_S = 20.0
HEAD = (
    "POST /booking/x HTTP/1.1\r\n"
    f"Host: {HOST_NAME}\r\nRequest-Id: {{name}}\r\nDeadline-Ms: {DEADLINE_MS}\r\n"
    "{framing}\r\n\r\n"
)
CHUNKED = "Transfer-Encoding: chunked"


class Crowd(NamedTuple):
    """Clients of one kind.

    Attributes:
        count: Number of the clients.
        framing: Header field that frames the body.
        sent_bytes: Bytes that each client sends after the head, all at once.
        unit: Bytes that are repeated to make them.
        piece_bytes: Bytes in each write.
    """

    count: int
    framing: str
    sent_bytes: int
    unit: bytes = b"x" * PIECE_BYTES
    piece_bytes: int = PIECE_BYTES


class CrowdSession:
    """Runs a crowd against an address; a context manager that closes all connections.

    Args:
        address: `host:port` of the daemon.
        crowd: The clients.
        receive_buffer_bytes: Receive buffer of each client; 0 for the usual one.
    """

    def __init__(
        self, address: str, crowd: Crowd, receive_buffer_bytes: int = 0
    ) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._crowd = crowd
        self._receive_buffer_bytes = receive_buffer_bytes
        self._sockets: list[socket.socket] = []

    def __enter__(self) -> CrowdSession:
        with ThreadPoolExecutor(SENDER_COUNT) as pool:
            list(pool.map(self._send, range(self._crowd.count)))
        return self

    def __exit__(self, *_: object) -> None:
        for connection in self._sockets:
            connection.close()

    def _send(self, number: int) -> None:
        connection = socket.socket()
        self._sockets.append(connection)
        if self._receive_buffer_bytes:
            option = (socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer_bytes)
            connection.setsockopt(*option)
        connection.settimeout(TIMEOUT_S)
        head = HEAD.format(name=f"crowd-{number}", framing=self._crowd.framing)
        try:
            connection.connect(self._address)
            connection.sendall(head.encode())
            for piece in self._pieces():
                connection.sendall(piece)
        except OSError:
            pass  # The daemon may close the connection at any time.

    def _pieces(self) -> Iterator[bytes]:
        crowd = self._crowd
        data = crowd.unit * max(1, crowd.piece_bytes // len(crowd.unit))
        for _ in range(crowd.sent_bytes // len(data)):
            yield data
        yield data[: crowd.sent_bytes % len(data)]


def read_peak_mb(pid: int) -> float:
    """Returns the largest resident set that a process has had."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    peak = next(line for line in lines if line.startswith("VmHWM:"))
    return int(peak.split()[1]) / 1024


def count_descriptors(pid: int) -> int:
    """Returns the number of open file descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))
