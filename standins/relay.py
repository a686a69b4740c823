"""TCP relay with which a driver interrupts the network path to a backend."""

from __future__ import annotations

import argparse
import asyncio
import threading
from enum import Enum

from .serving import Application, Request, Response, json_response, serve

CHUNK_BYTES = 65_536
CONTROL_THREADS = 2


class Mode(Enum):
    """How the relay treats connections.

    Attributes:
        PASS: Forwards in both directions.
        CUT: Keeps connections open but holds back all bytes until the mode changes.
        REFUSE: Closes all connections and the listening socket.
        SILENCE: Drops all bytes of the connections that are open now; forwards on
            new connections.
    """

    PASS = "pass"
    CUT = "cut"
    REFUSE = "refuse"
    SILENCE = "silence"


class Relay:
    """Forwards connections from one address to another, in its own thread.

    Args:
        address: `host:port` to listen on; port 0 picks a free one.
        target: `host:port` to forward to.
    """

    def __init__(self, address: str, target: str) -> None:
        self._host, port = address.rsplit(":", 1)
        self._port = int(port)
        self._target = target.rsplit(":", 1)
        self._mode = Mode.PASS
        self._silenced_writers: set[asyncio.StreamWriter] = set()
        self._open_writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._loop = asyncio.new_event_loop()
        self._forwarding = asyncio.Event()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    @property
    def address(self) -> str:
        """`host:port` that the relay listens on."""
        return f"{self._host}:{self._port}"

    def start(self) -> None:
        """Starts to listen and forward."""
        self._thread.start()
        self._run_in_loop(self._listen())
        self._loop.call_soon_threadsafe(self._forwarding.set)

    def stop(self) -> None:
        """Closes all connections and ends the thread."""
        self._run_in_loop(self._close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def set_mode(self, mode: Mode) -> None:
        """Sets how open and new connections are treated."""
        self._run_in_loop(self._set_mode(mode))

    def _run_in_loop(self, coroutine: object) -> None:
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    async def _listen(self) -> None:
        if self._server is not None:
            return
        self._server = await asyncio.start_server(self._accept, self._host, self._port)
        self._port = self._server.sockets[0].getsockname()[1]

    async def _close(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._open_writers):
            writer.close()
        self._open_writers.clear()
        self._silenced_writers.clear()

    async def _set_mode(self, mode: Mode) -> None:
        if mode is Mode.REFUSE:
            await self._close()
        else:
            await self._listen()
        if mode is Mode.SILENCE:
            self._silenced_writers |= self._open_writers
        if mode is Mode.CUT:
            self._forwarding.clear()
        else:
            self._forwarding.set()
        self._mode = mode

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open_writers.add(writer)
        await self._forwarding.wait()
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            self._close_writer(writer)
            return
        self._open_writers.add(target_writer)
        await asyncio.gather(
            self._copy_bytes(reader, target_writer, writer),
            self._copy_bytes(target_reader, writer, target_writer),
        )

    async def _copy_bytes(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        other: asyncio.StreamWriter,
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                await self._forwarding.wait()
                if writer in self._silenced_writers:
                    # Neither the dropped bytes nor the close reaches the other end.
                    continue
                writer.write(chunk)
                await writer.drain()
        except OSError:
            pass
        if writer in self._silenced_writers:
            return
        await self._forwarding.wait()
        self._close_writer(writer)
        self._close_writer(other)

    def _close_writer(self, writer: asyncio.StreamWriter) -> None:
        self._open_writers.discard(writer)
        writer.close()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True, help="HOST:PORT to listen on")
    parser.add_argument("--target", required=True, help="HOST:PORT to forward to")
    parser.add_argument("--control", required=True, help="HOST:PORT for POST /mode")
    arguments = parser.parse_args()
    relay = Relay(arguments.address, arguments.target)
    relay.start()
    application = Application()

    @application.route("POST", "/mode")
    def set_mode(request: Request) -> Response:
        relay.set_mode(Mode(request.body.decode()))
        return json_response({})

    serve(application, [arguments.control], CONTROL_THREADS)


if __name__ == "__main__":
    main()
