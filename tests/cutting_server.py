"""A server that closes each connection after a part of its answer."""

from __future__ import annotations

import re
import socket
import threading
from typing import Iterator, NamedTuple

TIMEOUT_S = 5.0
FRAMINGS = ("length", "chunks", "old-length", "bare-length")
_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)


class Answer(NamedTuple):
    """An answer, whose bytes depend on how it is framed.

    Attributes:
        body: Its body.
        fields: Further header fields.
        status: Its status line without the version.
    """

    body: bytes
    fields: tuple[bytes, ...] = ()
    status: bytes = b"200 OK"

    def encode(self, framing: str) -> bytes:
        """Returns the bytes of the answer.

        Args:
            framing: `length`; `chunks`; `old-length`, which is HTTP/1.0; or
                `bare-length`, whose lines end with line feeds alone.
        """
        version = b"HTTP/1.0" if framing == "old-length" else b"HTTP/1.1"
        end = b"\n" if framing == "bare-length" else b"\r\n"
        length_field = b"Content-Length: %d" % len(self.body)
        body = self.body
        if framing == "chunks":
            length_field = b"Transfer-Encoding: chunked"
            body = b"".join(_split_into_chunks(self.body))
        lines = [version + b" " + self.status, length_field, *self.fields]
        return end.join([*lines, b"", b""]) + body


def _split_into_chunks(body: bytes) -> Iterator[bytes]:
    """Yields the body in two chunks, the last chunk and a trailer."""
    middle = len(body) // 2
    for part in (body[:middle], body[middle:]):
        if part:
            yield b"%x\r\n%s\r\n" % (len(part), part)
    yield b"0\r\nTrailer-Field: 1\r\n\r\n"


class CuttingServer:
    """Sends the first bytes of an answer on each connection, then closes it.

    Attributes:
        address: `host:port` of the server.
        answer: Bytes of the answer to the next requests.
        sent_bytes: How many of them are sent; None sends all of them.
    """

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self._listener.getsockname()[1]
        self.answer = b""
        self.sent_bytes: int | None = None
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection:
                connection.settimeout(TIMEOUT_S)
                try:
                    self._serve(connection)
                except OSError:
                    pass

    def _serve(self, connection: socket.socket) -> None:
        if _read_request(connection):
            connection.sendall(self.answer[: self.sent_bytes])
            connection.shutdown(socket.SHUT_WR)
            connection.recv(1)

    def close(self) -> None:
        """Stops listening."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()


def _read_request(connection: socket.socket) -> bytes:
    """Reads a request; returns b"" if the client has closed."""
    data = b""
    while True:
        received = connection.recv(65536)
        if not received:
            return b""
        data += received
        head, is_ended, body = data.partition(b"\r\n\r\n")
        match = _LENGTH.search(head)
        if is_ended and len(body) >= (int(match.group(1)) if match else 0):
            return data


class CuttingRelay(CuttingServer):
    """Passes requests on to a server, and cuts the answers to them.

    Args:
        target: `host:port` of the server.

    Attributes:
        cut_count: Number of answers that were cut.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self.cut_count = 0
        super().__init__()

    def _serve(self, connection: socket.socket) -> None:
        request = _read_request(connection)
        if request:
            with socket.create_connection(self._target, TIMEOUT_S) as server:
                server.sendall(request)
                self.answer = _read_request(server)
            self.cut_count += self.sent_bytes is not None
            connection.sendall(self.answer[: self.sent_bytes])
