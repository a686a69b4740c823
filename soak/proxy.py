"""Loopback TCP proxies that delay, drop, reset or refuse traffic."""

from __future__ import annotations

import asyncio
import threading
from typing import NamedTuple

CHUNK_BYTES = 1 << 16
REFUSALS = (b"HTTP/1.1 409", b"HTTP/1.1 421", b"HTTP/1.1 429", b"HTTP/1.1 503")


class LinkImpairment(NamedTuple):
    """How a link disturbs its connections.

    Attributes:
        delay_ms: Delay of each chunk.
        silent: Direction in which bytes are dropped: `to_target`, `to_source`, `both`,
            or empty for none.
        is_refusing: Whether new connections are closed immediately.
        late_ms: Further delay of each chunk on the way to the target, which drops
            chunks of connections that are reset meanwhile.
        answer_limit_bytes: Bytes of the next answer after which a connection ends; 0
            for no limit.
        repeats_refusals: Whether each refusal is written twice.
    """

    delay_ms: float = 0.0
    silent: str = ""
    is_refusing: bool = False
    late_ms: float = 0.0
    answer_limit_bytes: int = 0
    repeats_refusals: bool = False

    def chunk_delay_ms(self, direction: str) -> float:
        """Returns the delay of a chunk."""
        return self.delay_ms + (self.late_ms if direction == "to_target" else 0.0)

    def change_answer(self, data: bytes) -> bytes:
        """Returns what is passed on of a chunk of an answer."""
        if self.answer_limit_bytes:
            return data[: self.answer_limit_bytes]
        is_refusal = self.repeats_refusals and data.startswith(REFUSALS)
        return data * 2 if is_refusal else data


UNIMPAIRED = LinkImpairment()


class Link:
    """One proxied target address and its connections."""

    def __init__(self, name: str, target: str) -> None:
        self.name = name
        self.target = target
        self.impairment = UNIMPAIRED
        self.open_writers: set[asyncio.StreamWriter] = set()


class Proxies:
    """All links, served by an event loop in its own thread."""

    def __init__(self) -> None:
        self.links: dict[str, Link] = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def add(self, name: str, target: str) -> str:
        """Adds a link to a target and returns the `host:port` of the proxy."""
        link = self.links[name] = Link(name, target)
        return asyncio.run_coroutine_threadsafe(self._listen(link), self._loop).result()

    def reset(self, name: str) -> None:
        """Aborts all connections of a link."""
        self._loop.call_soon_threadsafe(self._reset, self.links[name])

    def stop(self) -> None:
        """Cancels all connections and ends the event loop and its thread."""
        asyncio.run_coroutine_threadsafe(self._cancel_tasks(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    @staticmethod
    async def _cancel_tasks() -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @staticmethod
    def _reset(link: Link) -> None:
        for writer in list(link.open_writers):
            writer.transport.abort()

    async def _listen(self, link: Link) -> str:
        server = await asyncio.start_server(
            lambda reader, writer: self._accept(link, reader, writer), "127.0.0.1", 0
        )
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _accept(
        self, link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writers = [writer]
        link.open_writers.add(writer)
        try:
            if link.impairment.is_refusing:
                return
            host, _, port = link.target.rpartition(":")
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
            writers.append(target_writer)
            link.open_writers.add(target_writer)
            await asyncio.gather(
                self._copy_bytes(link, "to_target", reader, target_writer),
                self._copy_bytes(link, "to_source", target_reader, writer),
            )
        except (OSError, asyncio.CancelledError):
            pass  # One end closed, or the run ended; the connection is aborted below.
        finally:
            for open_writer in writers:
                open_writer.transport.abort()
                link.open_writers.discard(open_writer)

    async def _copy_bytes(
        self,
        link: Link,
        direction: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                impairment = link.impairment
                if delay_ms := impairment.chunk_delay_ms(direction):
                    await asyncio.sleep(delay_ms / 1000)
                if impairment.late_ms and reader.exception() is not None:
                    break  # The source has reset the connection, which drops the bytes.
                if impairment.silent in ("both", direction):
                    continue
                if direction == "to_source":
                    data = impairment.change_answer(data)
                writer.write(data)
                await writer.drain()
                if direction == "to_source" and impairment.answer_limit_bytes:
                    break
        finally:
            if writer.can_write_eof():
                try:
                    writer.write_eof()
                except OSError:
                    pass  # The connection was reset meanwhile.
            link.open_writers.discard(writer)
