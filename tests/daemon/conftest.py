"""A router, and scripted backends whose raw bytes a test controls."""

from __future__ import annotations

import socket
import threading
from typing import Callable, Iterator, NamedTuple

import pytest

from skylarktrail.core.idempotency.keys import parse_key
from skylarktrail.core.idempotency.verdicts import Malformed
from skylarktrail.core.owner_directory import OwnerDirectory
from skylarktrail.core.traffic.messages import Instance, RosterEntry
from skylarktrail.daemon.dispatch import Dispatcher
from skylarktrail.daemon.home_client import verdict_to_reply
from skylarktrail.daemon.loads import LoadMeters
from skylarktrail.daemon.metrics import Metrics
from skylarktrail.daemon.router import Router
from skylarktrail.daemon.routes import RouteTable

Script = Callable[[socket.socket, int], None]


class ScriptedBackend:
    """Accepts connections and runs a script on each, in a thread of its own.

    Attributes:
        address: `host:port`.
        accepted: Number of accepted connections.
    """

    def __init__(self, script: Script) -> None:
        self._script = script
        self._server = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._server.getsockname()[1]}"
        self.accepted = 0
        self._open: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._server.accept()
            except OSError:
                return
            self.accepted += 1
            self._open.append(connection)
            arguments = (connection, self.accepted)
            threading.Thread(target=self._run, args=arguments, daemon=True).start()

    def _run(self, connection: socket.socket, number: int) -> None:
        try:
            self._script(connection, number)
        except OSError:
            pass

    def close(self) -> None:
        """Closes all sockets."""
        self._server.shutdown(socket.SHUT_RDWR)
        self._server.close()
        for connection in self._open:
            connection.close()


def read_request(connection: socket.socket) -> bytes:
    """Reads one request without a body; returns b"" if the peer has closed."""
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = connection.recv(65536)
        if not chunk:
            return b""
        data += chunk
    return data


@pytest.fixture
def start_backend() -> Iterator[Callable[[Script], ScriptedBackend]]:
    """Returns a function that starts a scripted backend until the test ends."""
    started: list[ScriptedBackend] = []

    def start(script: Script) -> ScriptedBackend:
        started.append(ScriptedBackend(script))
        return started[-1]

    yield start
    for server in started:
        try:
            server.close()
        except OSError:
            pass


class CancelRecorder:
    """A report client that records the cancelled attempts.

    Attributes:
        cancelled: Addresses of the backends that were asked to cancel.
    """

    def __init__(self) -> None:
        self.cancelled: list[str] = []

    def cancel(self, address: str, request_id: str, timeout_ms: float):
        self.cancelled.append(address)


class AllowingHomeClient:
    """A home client that lets every request with a well-formed key run."""

    def run_once(self, key_field, digest, deadline_ms, dispatch):
        if parse_key(key_field) is None:
            return verdict_to_reply(Malformed())
        return dispatch([]).reply


class RouterStack(NamedTuple):
    """A router in front of scripted backends.

    Attributes:
        router: The router.
        metrics: Metrics of the router and its dispatcher.
        reports: Records the cancelled attempts.
    """

    router: Router
    metrics: Metrics
    reports: CancelRecorder


STACK_FILE = {
    "zones": [{"name": "heredia", "state": "in"}],
    "tenants": [{"name": "shops", "weight": 1}],
    "default_tenant": None,
    "services": [
        {
            "name": "carga",
            "kind": "stateless",
            "path_prefix": "/carga/",
            "methods": ["GET", "HEAD", "POST"],
            "idempotent_methods": ["GET", "HEAD"],
            "slots": 3,
            "connections": 110,
            "policy": {"retry_burst": 10},
        },
        {
            "name": "catalogo",
            "kind": "keyed",
            "path_prefix": "/catalogo/",
            "key": {"header": "Skylark-Key"},
            "methods": ["GET", "POST"],
            "idempotent_methods": ["GET"],
            "slots": 3,
            "connections": 110,
        },
    ],
}


@pytest.fixture
def make_stack() -> Iterator[Callable[..., RouterStack]]:
    """Returns a function that creates a router; it takes addresses by service."""
    dispatchers: list[Dispatcher] = []

    def make(
        directory: OwnerDirectory | None = None, **addresses: list[str]
    ) -> RouterStack:
        own_entry = RosterEntry("d1", "heredia")
        reports = CancelRecorder()
        metrics = Metrics(8)
        dispatcher = Dispatcher(own_entry, 4, reports, metrics)
        dispatchers.append(dispatcher)
        instances = [
            Instance(f"{service}-{i}", service, "heredia", address, False, 3, 110)
            for service, service_addresses in addresses.items()
            for i, address in enumerate(service_addresses)
        ]
        dispatcher.configure(STACK_FILE, instances, [own_entry])
        metrics.register_labels(["shops"], ["carga", "catalogo"])
        homes, owners = AllowingHomeClient(), directory or OwnerDirectory()
        router = Router(owners, dispatcher, homes, metrics, LoadMeters("d1"))
        router.set_routes(RouteTable(STACK_FILE))
        return RouterStack(router, metrics, reports)

    yield make
    for dispatcher in dispatchers:
        dispatcher.stop()
