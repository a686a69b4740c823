"""Fixtures of the gateway tests: a server that sends scripted bytes."""

from __future__ import annotations

import io
import socket
import threading
import time
from typing import Any, Callable, Iterator, NamedTuple

import pykka
import pytest

from skylarktrail.core.gateway.lease_call_gate import LeaseCallGate
from skylarktrail.core.gateway.lease_calls import LeaseTimings
from skylarktrail.gateway import granter_actor
from skylarktrail.gateway.event_log import EventLog
from skylarktrail.gateway.granter_actor import GranterActor
from skylarktrail.gateway.metrics import GatewayMetrics
from skylarktrail.gateway.site_state import SiteState


class ManualClock:
    """A clock that tests set."""

    def __init__(self) -> None:
        self.at_ms = 10_000.0

    def __call__(self) -> float:
        return self.at_ms


class LateResponse(NamedTuple):
    """A response that is sent after a delay.

    Attributes:
        wait_s: Delay in seconds.
        data: Bytes of the response.
    """

    wait_s: float
    data: bytes


class Parts(NamedTuple):
    """A response that is sent in parts.

    Attributes:
        pause_s: Seconds between them.
        data: Bytes of each part.
    """

    pause_s: float
    data: tuple[bytes, ...]


def _send_parts(connection: socket.socket, response: Parts) -> None:
    for data in response.data:
        connection.sendall(data)
        time.sleep(response.pause_s)


class ScriptedServer:
    """A server that sends scripted bytes for each request on each connection.

    Args:
        connections: For each connection, the responses in order: bytes, a
            `LateResponse`, `Parts`, "reset" to reset the connection or "silence" to
            send nothing.

    Attributes:
        address: `host:port` of the server.
        received: Header bytes of each request received.
    """

    def __init__(self, *connections) -> None:
        self._script = list(connections)
        self._listener = socket.create_server(("127.0.0.1", 0))
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        self.received: list[bytes] = []
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        for answers in self._script:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection:
                self._serve(connection, answers)

    def _serve(self, connection, answers) -> None:
        for response in answers:
            data = b""
            while b"\r\n\r\n" not in data:
                chunk = connection.recv(65536)
                if not chunk:
                    return
                data += chunk
            self.received.append(data)
            if response == "reset":
                linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                return
            if response == "silence":
                connection.recv(1)
                return
            if isinstance(response, LateResponse):
                time.sleep(response.wait_s)
                response = response.data
            if isinstance(response, Parts):
                _send_parts(connection, response)
                continue
            connection.sendall(response)

    def close(self) -> None:
        """Stops accepting connections."""
        self._listener.close()


@pytest.fixture
def start_server():
    """Returns a function that starts a scripted server."""
    servers = []

    def start(*connections) -> ScriptedServer:
        servers.append(ScriptedServer(*connections))
        return servers[-1]

    yield start
    for server in servers:
        server.close()


@pytest.fixture
def clock(monkeypatch) -> ManualClock:
    """Returns the clock of the granter's actor."""
    clock = ManualClock()
    monkeypatch.setattr(granter_actor, "now_ms", clock)
    return clock


@pytest.fixture
def start_granter_actor() -> Iterator[Callable[..., pykka.ActorRef]]:
    """Returns a function that starts a granter's actor without other daemons."""
    started: list[pykka.ActorRef] = []

    def start(
        site: SiteState,
        store: Any,
        lease_client: Any,
        process: str = "p1",
        timings: LeaseTimings = LeaseTimings(),
    ) -> pykka.ActorRef:
        reference = GranterActor.start(
            site,
            process,
            store,
            lease_client,
            timings,
            EventLog(site.daemon, io.StringIO()),
            GatewayMetrics(),
            lambda service, ranges, position: None,
            lambda: False,
            lambda daemon, term, on_ended: None,
            lambda daemon, term, on_reply: None,
            lambda instance: None,
            lambda: None,
            LeaseCallGate(),
        )
        started.append(reference)
        return reference

    yield start
    for reference in started:
        if reference.is_alive():
            reference.stop()
