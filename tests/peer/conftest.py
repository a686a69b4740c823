"""Fixtures: links between daemons on loopback and a relay that falls silent."""

from __future__ import annotations

import queue
import socket
import threading
import time
from typing import Callable, Iterator, NamedTuple

import pytest

from skylarktrail.peer.hub import HEARTBEAT_MS, Responder
from skylarktrail.peer.links import PeerLinks
from skylarktrail.peer.messages import Message, Promise, PromiseRequest

LOOPBACK = "127.0.0.1:0"
WAIT_TIMEOUT_S = 20.0


def wait_until(condition: Callable[[], bool]) -> bool:
    """Waits for a condition, however slow the machine."""
    end = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        if time.monotonic() > end:
            return False
        time.sleep(0.01)
    return True


class Node(NamedTuple):
    """One daemon's links and what they told."""

    name: str
    links: PeerLinks
    address: str
    events: list[tuple]
    inbox: queue.Queue


MakeNode = Callable[..., Node]


@pytest.fixture
def make_node() -> Iterator[MakeNode]:
    """Returns a function that starts links which answer `PromiseRequest`."""
    nodes: list[Node] = []

    def make(
        name: str,
        incarnation: str = "i1",
        address: str = LOOPBACK,
        heartbeat_ms: int = HEARTBEAT_MS,
    ) -> Node:
        events: list[tuple] = []
        inbox: queue.Queue = queue.Queue()

        def on_message(daemon: str, message: Message, responder: Responder) -> None:
            if isinstance(message, PromiseRequest) and message.group != "silent":
                responder(Promise(message.group, message.term, True))
            else:
                inbox.put((daemon, message, responder))

        links = PeerLinks(
            name,
            incarnation,
            "heredia",
            address,
            on_message,
            lambda *up: events.append(("up", *up)),
            lambda *down: events.append(("down", *down)),
            heartbeat_ms,
        )
        nodes.append(Node(name, links, links.start().unwrap(), events, inbox))
        return nodes[-1]

    yield make
    for node in nodes:
        node.links.stop()


def set_roster(*nodes: Node) -> None:
    """Tells every node the addresses of all."""
    for node in nodes:
        node.links.set_peers({other.name: other.address for other in nodes})


class Relay:
    """A TCP relay whose open connections can fall silent for good."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self._listener.getsockname()[1]
        self.connection_count = 0
        self.received_bytes = 0
        self._last_blackholed = 0
        self._sockets: list[socket.socket] = [self._listener]
        threading.Thread(target=self._accept, daemon=True).start()

    def blackhole_open_connections(self) -> None:
        """Drops what the connections opened so far carry from now on."""
        self._last_blackholed = self.connection_count

    def blackhole_all(self) -> None:
        """Drops everything, as a frozen process whose kernel still accepts."""
        self._last_blackholed = 1 << 30

    def close(self) -> None:
        """Closes all sockets."""
        for each in self._sockets:
            each.close()

    def _accept(self) -> None:
        while True:
            try:
                incoming, _ = self._listener.accept()
                outgoing = socket.create_connection(self._target)
            except OSError:
                return
            self.connection_count += 1
            self._sockets += [incoming, outgoing]
            for source, sink in ((incoming, outgoing), (outgoing, incoming)):
                args = (source, sink, self.connection_count)
                threading.Thread(target=self._copy, args=args, daemon=True).start()

    def _copy(self, source: socket.socket, sink: socket.socket, number: int) -> None:
        try:
            while data := source.recv(65536):
                self.received_bytes += len(data)
                if number > self._last_blackholed:
                    sink.sendall(data)
            if number > self._last_blackholed:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            return


@pytest.fixture
def make_relay() -> Iterator[Callable[[str], Relay]]:
    """Returns a function that starts a relay to an address."""
    relays: list[Relay] = []

    def make(target: str) -> Relay:
        relays.append(Relay(target))
        return relays[-1]

    yield make
    for relay in relays:
        relay.close()
