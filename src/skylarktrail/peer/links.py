"""Thread-safe interface to the links between daemons."""

from __future__ import annotations

import asyncio
import itertools
import secrets
import threading
from collections import Counter
from concurrent.futures import Future

from result import Err, Ok, Result

from ..errors import peer as codes
from ..errors.code import Code, Fault
from .codec import encode
from .hub import HEARTBEAT_MS, Callbacks, Hub, OnDown, OnMessage, OnUp
from .link import OutgoingMessage, Peer
from .messages import Hello, Message
from .unopened import DEFAULT_UNOPENED

START_TIMEOUT_S = 5.0
STOP_TIMEOUT_S = 5.0
REQUEST_ID_BITS = 60


class PeerLinks:
    """Sends and receives messages, over one link for each pair of daemons.

    All links run in the event loop of one thread. The callbacks run in that thread and
    must not block.

    Args:
        own_daemon: Name of this daemon.
        incarnation: Identifies this process.
        zone: Availability zone of this daemon.
        listen_address: `host:port` to bind; port 0 selects a free port.
        on_message: Called as described at `Callbacks`.
        on_up: Called as described at `Callbacks`.
        on_down: Called as described at `Callbacks`.
        heartbeat_ms: Interval between heartbeats.
        unopened_limit: Largest number of accepted connections without a hello.

    Attributes:
        counters: Number of events by name, such as messages `dropped` or `malformed`
            and links closed as `silent`.
    """

    def __init__(
        self,
        own_daemon: str,
        incarnation: str,
        zone: str,
        listen_address: str,
        on_message: OnMessage,
        on_up: OnUp,
        on_down: OnDown,
        heartbeat_ms: int = HEARTBEAT_MS,
        unopened_limit: int = DEFAULT_UNOPENED,
    ) -> None:
        self._own_hello = Hello(own_daemon, incarnation, zone)
        self._listen_address = listen_address
        self._callbacks = Callbacks(on_message, on_up, on_down)
        self._heartbeat_ms = heartbeat_ms
        self._unopened_limit = unopened_limit
        self._request_ids = itertools.count(1 + secrets.randbits(REQUEST_ID_BITS))
        self._thread = threading.Thread(target=self._run, name="peer-links")
        self._thread.daemon = True
        self._started: Future = Future()
        self._hub: Hub | None = None
        self.counters: Counter[str] = Counter()

    def start(self) -> Result[str, Fault]:
        """Starts the thread and binds the address.

        Returns:
            `host:port` with the bound port, or `LISTEN_FAILED`.
        """
        self._thread.start()
        return self._started.result(START_TIMEOUT_S)

    def stop(self) -> None:
        """Closes all links and fails the pending requests."""
        if self._run_in_loop(self._set_stop):
            self._thread.join(STOP_TIMEOUT_S)

    def set_peers(self, addresses: dict[str, str]) -> None:
        """Sets the roster: the address `host:port` of each daemon by name."""
        if self._hub is not None:
            removed_names = self._hub.set_peers(addresses)
            self._run_in_loop(self._hub.remove_peers, removed_names)

    def set_heartbeats(self, daemons: set[str]) -> None:
        """Sets the peers to which heartbeats keep a link open."""
        if self._hub is not None:
            self._hub.heartbeat_peers = frozenset(daemons)

    def send(self, daemon: str, message: Message) -> bool:
        """Queues a message and returns at once; the message may still be lost.

        Returns:
            False when the message was dropped because the peer is unknown, its queue
            is full or the message is too large.
        """
        return self._send(daemon, message, 0)

    def request(
        self, daemon: str, message: Message, timeout_ms: int
    ) -> Future[Result[Message, Fault]]:
        """Sends a request.

        Returns:
            A future that holds the reply or a fault and raises no exception. With
            `PEER_UNKNOWN`, `MESSAGE_TOO_LARGE` and `REQUEST_NOT_SENT` the peer cannot
            have handled the request; with `REQUEST_UNANSWERED` it may have.
        """
        future: Future = Future()
        peer = self._find_peer(daemon)
        request_id = next(self._request_ids)
        data = encode(message, request_id)
        if isinstance(data, Err):
            future.set_result(data)
        elif peer is None:
            future.set_result(_fault(codes.PEER_UNKNOWN, daemon))
        elif self._is_unreachable(peer):
            future.set_result(_fault(codes.REQUEST_NOT_SENT, daemon))
        else:
            outgoing = OutgoingMessage(data.ok_value, request_id)
            submit = self._hub.submit_request
            if not self._run_in_loop(submit, peer, outgoing, future, timeout_ms):
                future.set_result(_fault(codes.REQUEST_NOT_SENT, daemon))
        return future

    @property
    def closed_unopened_count(self) -> int:
        """Returns how many connections without a hello were closed for newer ones."""
        return 0 if self._hub is None else self._hub.unopened.closed_count

    def last_received_ms(self, daemon: str) -> int | None:
        """Returns the monotonic time of a peer's last message; None for never."""
        peer = self._find_peer(daemon)
        return None if peer is None else peer.last_received_ms

    def _send(self, daemon: str, message: Message, frame_id: int) -> bool:
        peer = self._find_peer(daemon)
        data = encode(message, frame_id)
        if peer is None or isinstance(data, Err):
            self.counters["dropped"] += 1
            return False
        if not peer.enqueue(OutgoingMessage(data.ok_value, 0, frame_id < 0)):
            self.counters["queue_full"] += 1
            return False
        return self._run_in_loop(self._hub.flush_queue, peer)

    def _is_unreachable(self, peer: Peer) -> bool:
        """Tells whether requests to a peer fail at once; if so, starts to dial it."""
        if peer.links or not peer.is_suspect:
            return False
        self._run_in_loop(self._hub.flush_queue, peer)
        return True

    def _find_peer(self, daemon: str) -> Peer | None:
        return None if self._hub is None else self._hub.peers.get(daemon)

    def _run_in_loop(self, function, *args) -> bool:
        """Schedules a function in the event loop; returns False when it has ended."""
        if self._hub is None:
            return False
        try:
            self._hub.loop.call_soon_threadsafe(function, *args)
        except RuntimeError:  # The loop is closed.
            return False
        return True

    def _set_stop(self) -> None:
        self._stop.set()

    def _run(self) -> None:
        asyncio.run(self._main())

    async def _main(self) -> None:
        self._stop = asyncio.Event()
        hub = Hub(
            self._own_hello,
            self._callbacks,
            self.counters,
            self._send,
            self._heartbeat_ms,
            self._unopened_limit,
        )
        address = await hub.listen(self._listen_address)
        if isinstance(address, Ok):
            self._hub = hub
        self._started.set_result(address)
        if isinstance(address, Ok):
            await hub.run_heartbeats(self._stop)
            await hub.close()


def _fault(code: Code, daemon: str) -> Err[Fault]:
    return Err(Fault(code, daemon))
