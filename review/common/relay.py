"""Relays between daemons and instances, which can play an instance in trouble.

Each relay stands before one instance. In its normal mode it passes all bytes on. In a
trouble mode it answers some calls itself, with bytes that do not end:

- `body`: a request of a client gets a head and a body without end;
- `interim`: a grant gets interim responses (status 100) without end.

Calls that a mode does not name are passed on. The driver writes lines to the standard
input: `mode RELAY MODE`. All bytes that a relay sends by itself stay within a rate, so
that a daemon gets no more than its network link could carry.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import threading
import time

PIECE_BYTES = 1 << 15
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


class Rate:
    """Lets bytes pass at a limited rate, over all connections of the process."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._next_s = 0.0

    async def wait(self, count: int) -> None:
        now_s = time.monotonic()
        self._next_s = max(self._next_s, now_s) + count / self._bytes_per_s
        if self._next_s - now_s > 0.001:
            await asyncio.sleep(self._next_s - now_s)


class Relay:
    """One relay."""

    def __init__(self, target: str, rate: Rate, per_connection: float) -> None:
        self._target = target
        self._rate = rate
        self._per_connection = per_connection
        self.mode = "normal"

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target.rpartition(":")
        target = None
        try:
            target_reader, target = await asyncio.open_connection(host, int(port))
            while True:
                head, body = await read_message(reader)
                if head is None:
                    return
                if self._is_in_trouble(head):
                    await self._answer_without_end(head, writer)
                    return
                target.write(head + body)
                await target.drain()
                head, body = await read_message(target_reader)
                if head is None:
                    return
                writer.write(head + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            for item in (writer, target):
                if item is not None:
                    item.close()

    def _is_in_trouble(self, head: bytes) -> bool:
        path = head.split(b" ", 2)[1]
        if self.mode == "body":
            return not path.startswith((b"/api/", b"/health"))
        return self.mode == "interim" and path == b"/api/grant"

    async def _answer_without_end(
        self, head: bytes, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode == "interim":
            piece = INTERIM * (PIECE_BYTES // len(INTERIM))
        else:
            piece = b"x" * PIECE_BYTES
            request_id = find_field(head, b"request-id")
            writer.write(
                b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
                b"Response-Signature: 1\r\n\r\n" % request_id
            )
        own = Rate(self._per_connection)
        while not writer.is_closing():
            await self._rate.wait(len(piece))
            await own.wait(len(piece))
            writer.write(piece)
            await writer.drain()


def find_field(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.lower() == name:
            return value.strip()
    return b""


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[bytes | None, bytes]:
    """Reads a head and a body with a length; None if the connection has ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None, b""
    length = int(find_field(head, b"content-length") or 0)
    return head, await reader.readexactly(length)


async def run(arguments: argparse.Namespace) -> None:
    rate = Rate(arguments.bytes_per_s)
    relays = {}
    servers = []
    for item in arguments.relay:
        name, listen, target = item.split(",")
        relays[name] = Relay(target, rate, arguments.per_connection)
        host, _, port = listen.rpartition(":")
        servers.append(
            await asyncio.start_server(
                relays[name].accept, host, int(port), limit=1 << 27
            )
        )
    loop = asyncio.get_running_loop()
    ended = asyncio.Event()

    def read_commands() -> None:
        for line in sys.stdin:
            _, name, mode = line.split()
            relays[name].mode = mode
        loop.call_soon_threadsafe(ended.set)

    threading.Thread(target=read_commands, daemon=True).start()
    await ended.wait()


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--relay", action="append", default=[])
    parser.add_argument("--bytes-per-s", type=float, default=100e6)
    parser.add_argument("--per-connection", type=float, default=100e6)
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
