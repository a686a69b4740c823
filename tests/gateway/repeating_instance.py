"""A stand-in for a faulty instance that writes an earlier refusal once more."""

from __future__ import annotations

import socket
import threading
import time

PAUSE_S = 0.015
WORK_S = 0.05
AT_ONCE, BEFORE, AFTER = "at once", "before the answer", "after the answer"


class RepeatingInstance:
    """Refuses the first request and runs all later ones, each for `WORK_S`.

    On the connection of the refusal it writes the refusal a second time.

    Args:
        status: Status of the refusal.
        repeats: When it is repeated: `AT_ONCE`, or `BEFORE` or `AFTER` the answer to
            the next request on the connection.
        names_request: Whether the refusal has the id of its request.

    Attributes:
        address: `host:port` of the instance.
        executed: Identifiers of the requests that it ran, in order.
        accepted_count: Number of connections.
    """

    def __init__(self, status: int, repeats: str, names_request: bool = True) -> None:
        self._status = status
        self._repeats = repeats
        self._names_request = names_request
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self._listener.getsockname()[1]
        self.executed: list[str] = []
        self.accepted_count = 0
        self._has_refused = False
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
        copy = b""
        try:
            with connection:
                while request_id := _read_request_id(connection):
                    if not self._has_refused:
                        copy = self._refuse(connection, request_id)
                        continue
                    self._run(connection, request_id, copy)
                    copy = b""
        except OSError:
            pass  # The daemon has closed the connection.

    def _refuse(self, connection: socket.socket, request_id: str) -> bytes:
        self._has_refused = True
        named = f"Request-Id: {request_id}\r\n" if self._names_request else ""
        refusal = f"HTTP/1.1 {self._status} X\r\n{named}Not-Executed: 1\r\n"
        data = f"{refusal}Content-Length: 0\r\n\r\n".encode()
        connection.sendall(data)
        if self._repeats != AT_ONCE:
            return data
        time.sleep(PAUSE_S)
        connection.sendall(data)
        return b""

    def _run(self, connection: socket.socket, request_id: str, copy: bytes) -> None:
        self.executed.append(request_id)
        if self._repeats == BEFORE:
            connection.sendall(copy)
        time.sleep(WORK_S)
        connection.sendall(
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Signature: s\r\n"
            f"Content-Length: 3\r\n\r\nran".encode()
        )
        if self._repeats == AFTER:
            time.sleep(PAUSE_S)
            connection.sendall(copy)

    def close(self) -> None:
        """Stops accepting connections."""
        self._listener.close()


def _read_request_id(connection: socket.socket) -> str:
    """Reads one request; returns its id, or "" if the connection is closed."""
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = connection.recv(65536)
        if not chunk:
            return ""
        data += chunk
    lines = data.decode().split("\r\n")
    return next(i.split(": ")[1] for i in lines if i.lower().startswith("request-id:"))
