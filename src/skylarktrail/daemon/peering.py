"""The actor that owns the links to the other daemons."""

from __future__ import annotations

from concurrent.futures import Future

import pykka
from absl import logging

from ..peer.hub import Responder
from ..peer.links import PeerLinks
from ..peer.messages import (
    Ages,
    AgesRequest,
    Message,
    Promise,
    PromiseRequest,
    Snapshot,
    SnapshotRequest,
)
from .home_handler import HOME_MESSAGES, HomeHandler
from .home_transfer import HomeTransfer
from .messages import (
    InstanceAgesRequested,
    PeerAlive,
    PeerMessageReceived,
    PeerSendRequested,
    PromiseReceived,
    PromiseRequested,
    SetPeerAddresses,
    SnapshotReceived,
    SnapshotRequested,
)
from .ticker import Tick

SNAPSHOT_TIMEOUT_MS = 2_000
AGES_TIMEOUT_MS = 1_000


class Peering(pykka.ThreadingActor):
    """Sends messages to peers and forwards their replies to the controller.

    Args:
        links: The links; the service starts and stops them.
        controller: Receives the replies of peers, and which peers are alive.
        transfer: Takes over the keys of previous homes.
        promise_timeout_ms: Timeout of a promise.
    """

    use_daemon_thread = True

    def __init__(
        self,
        links: PeerLinks,
        controller: pykka.ActorRef,
        transfer: HomeTransfer,
        promise_timeout_ms: int,
    ) -> None:
        super().__init__()
        self._links = links
        self._controller = controller
        self._transfer = transfer
        self._promise_timeout_ms = promise_timeout_ms
        self._addresses: dict[str, str] = {}
        self._heard_ms: dict[str, int | None] = {}

    def on_receive(self, message: object) -> None:
        """Handles one message."""
        if isinstance(message, Tick):
            self._report_alive()
            self._transfer.tick()
        elif isinstance(message, SetPeerAddresses):
            self._set_peer_addresses(message.addresses)
        elif isinstance(message, PeerSendRequested):
            self._links.send(message.daemon, message.message)
        elif isinstance(message, PromiseRequested):
            self._request_promise(message)
        elif isinstance(message, SnapshotRequested):
            self._request_snapshots()
        elif isinstance(message, InstanceAgesRequested):
            self._request_ages()

    def _set_peer_addresses(self, addresses: dict[str, str]) -> None:
        if addresses == self._addresses:
            return
        self._addresses = addresses
        self._links.set_peers(addresses)
        self._links.set_heartbeats(set(addresses))

    def _report_alive(self) -> None:
        for daemon in self._addresses:
            heard_ms = self._links.last_received_ms(daemon)
            if heard_ms != self._heard_ms.get(daemon):
                self._heard_ms[daemon] = heard_ms
                self._controller.tell(PeerAlive(daemon))

    def _request_promise(self, requested: PromiseRequested) -> None:
        ask = PromiseRequest(requested.group, requested.term)
        future = self._links.request(requested.heir, ask, self._promise_timeout_ms)

        def handle_reply(done: Future) -> None:
            reply = done.result().ok()
            if isinstance(reply, Promise) and reply.is_given:
                self._controller.tell(PromiseReceived(*requested))

        future.add_done_callback(handle_reply)

    def _request_snapshots(self) -> None:
        for daemon in self._addresses:
            future = self._links.request(daemon, SnapshotRequest(), SNAPSHOT_TIMEOUT_MS)
            future.add_done_callback(self._handle_snapshot_reply)

    def _request_ages(self) -> None:
        for daemon in self._addresses:
            future = self._links.request(daemon, AgesRequest(), AGES_TIMEOUT_MS)
            future.add_done_callback(self._handle_ages_reply)

    def _handle_ages_reply(self, done: Future) -> None:
        reply = done.result().ok()
        if isinstance(reply, Ages) and reply.is_known:
            self._controller.tell(reply)

    def _handle_snapshot_reply(self, done: Future) -> None:
        reply = done.result().ok()
        if isinstance(reply, Snapshot) and reply.state:
            self._controller.tell(SnapshotReceived(reply.state))


class PeerCallbacks:
    """Callbacks of the links, which call them in their own thread.

    Attributes:
        controller: The controller; None until it is started.
        homes: Handles the messages about idempotency keys; None until the actors
            are started.
    """

    def __init__(self) -> None:
        self.controller: pykka.ActorRef | None = None
        self.homes: HomeHandler | None = None

    def on_message(self, daemon: str, message: Message, reply: Responder) -> None:
        """Passes a message to the handler of its kind."""
        if isinstance(message, HOME_MESSAGES):
            if self.homes is not None:
                self.homes.handle(daemon, message, reply)
        elif self.controller is not None:
            self.controller.tell(PeerMessageReceived(daemon, message, reply))

    def on_up(self, daemon: str, incarnation: str, zone: str) -> None:
        """Logs that the link to a peer is up."""
        logging.info("peer=%s up incarnation=%s zone=%s", daemon, incarnation, zone)

    def on_down(self, daemon: str) -> None:
        """Logs that the link to a peer is down."""
        logging.info("peer=%s down", daemon)
