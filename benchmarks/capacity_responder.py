"""A minimal HTTP server in a separate process, with prepared responses."""

from __future__ import annotations

import asyncio
import multiprocessing
from multiprocessing.connection import Connection
from types import TracebackType
from typing import Mapping

LOOPBACK = "127.0.0.1"
HEADER_END = b"\r\n\r\n"
LENGTH_FIELD = b"content-length:"


class TrafficCounter:
    """Counts the requests and bytes of a responder.

    Attributes:
        request_count: Number of answered requests.
        received_bytes: Size of the heads and bodies of these requests.
        sent_bytes: Size of the responses.
    """

    def __init__(self) -> None:
        self.request_count = 0
        self.received_bytes = 0
        self.sent_bytes = 0


def _body_length(head: bytes) -> int:
    for line in head.split(b"\r\n"):
        if line.lower().startswith(LENGTH_FIELD):
            return int(line.partition(b":")[2])
    return 0


def _make_response(body: bytes) -> bytes:
    head = (
        "HTTP/1.1 200 OK\r\n"
        "Date: Thu, 03 Dec 2026 23:00:00 GMT\r\n"
        "Server: waitress\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def _serve(answers: Mapping[str, bytes], pipe: Connection) -> None:
    responses = {path: _make_response(body) for path, body in answers.items()}
    traffic = TrafficCounter()

    async def handle_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(HEADER_END)
                length = _body_length(head)
                await reader.readexactly(length)
                path = head.split(b" ", 2)[1].partition(b"?")[0].decode()
                writer.write(responses[path])
                await writer.drain()
                traffic.request_count += 1
                traffic.received_bytes += len(head) + length
                traffic.sent_bytes += len(responses[path])
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            writer.close()

    server = await asyncio.start_server(handle_connection, LOOPBACK, 0)
    pipe.send(server.sockets[0].getsockname()[1])
    loop = asyncio.get_running_loop()
    await loop.run_in_executor(None, pipe.recv)
    pipe.send((traffic.request_count, traffic.received_bytes, traffic.sent_bytes))
    server.close()


def _run(answers: Mapping[str, bytes], pipe: Connection) -> None:
    asyncio.run(_serve(answers, pipe))


class Responder:
    """Context manager that runs the server in a child process.

    Args:
        answers: Body of the response, by path.

    Attributes:
        address: `host:port` of the server.
    """

    def __init__(self, answers: Mapping[str, bytes]) -> None:
        context = multiprocessing.get_context("spawn")
        self._pipe, other = context.Pipe()
        self._process = context.Process(target=_run, args=(answers, other))
        self._totals = (0, 0, 0)
        self.address = ""

    def __enter__(self) -> Responder:
        self._process.start()
        self.address = f"{LOOPBACK}:{self._pipe.recv()}"
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._pipe.send(None)
        self._totals = self._pipe.recv()
        self._process.join()

    def bytes_per_request(self) -> float:
        """Returns the mean bytes of a request and its response.

        The totals are available after the context has ended.
        """
        request_count, received_bytes, sent_bytes = self._totals
        return (received_bytes + sent_bytes) / max(request_count, 1)
