"""Event loop of the peer links: opens, checks and replaces websockets."""

from __future__ import annotations

import asyncio
import logging as standard_logging
import random
import time
from collections import Counter
from concurrent.futures import Future
from functools import partial
from typing import Callable, NamedTuple

from absl import logging
from result import Err, Ok, Result
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import serve
from websockets.exceptions import WebSocketException

from ..errors import peer as codes
from ..errors.code import Code, Fault
from .codec import MAX_MESSAGE_BYTES, decode, encode
from .link import Link, OutgoingMessage, Peer, PendingRequest
from .messages import Heartbeat, Hello, Message
from .send_budget import SendBudget
from .unopened import DEFAULT_UNOPENED, CountedConnection, UnopenedConnections

HEARTBEAT_MS = 200
SILENCE_TIMEOUT_MS = 1000
SILENCE_TIMEOUT_HEARTBEATS = 5  # Minimum timeout for long heartbeat intervals.
OPEN_TIMEOUT_MS = 1000
# The daemon with the higher name waits this long for the other one to dial.
DIAL_DEFERRAL_MS = 400
BACKOFF_FIRST_MS = 100
BACKOFF_MAX_MS = 2000
IDLE_TIMEOUT_MS = 60_000
# Normally the daemon that dialed a link closes it when it is idle.
ACCEPTED_IDLE_TIMEOUT_MS = 2 * IDLE_TIMEOUT_MS
MAX_READ_QUEUE_MESSAGES = 16

SOCKET_OPTIONS = {
    "compression": None,
    "open_timeout": OPEN_TIMEOUT_MS / 1000,
    "ping_interval": None,
    "close_timeout": SILENCE_TIMEOUT_MS / 1000,
    "max_size": MAX_MESSAGE_BYTES,
    "max_queue": MAX_READ_QUEUE_MESSAGES,
    "logger": standard_logging.Logger("websockets", standard_logging.CRITICAL),
}


class Responder:
    """Sends the reply to one message of a peer; called once, from any thread.

    Attributes:
        incarnation: Identifies the peer's process.
        is_wanted: Whether the message is a request, so that the peer waits for a
            reply.
    """

    def __init__(
        self, send: Callable[[Message], bool], incarnation: str, is_wanted: bool
    ) -> None:
        self._send = send
        self.incarnation = incarnation
        self.is_wanted = is_wanted

    def __call__(self, message: Message) -> bool:
        """Sends the reply; returns False when it was dropped or is not wanted."""
        return self.is_wanted and self._send(message)


OnMessage = Callable[[str, Message, Responder], None]
OnUp = Callable[[str, str, str], None]
OnDown = Callable[[str], None]


class Callbacks(NamedTuple):
    """Functions that the hub calls in its thread.

    Attributes:
        on_message: Called with the name of a daemon, its message and a `Responder`.
        on_up: Called with the name, incarnation and zone of a daemon when the first
            link to that incarnation is open.
        on_down: Called with the name of a daemon when its last link is lost.
    """

    on_message: OnMessage
    on_up: OnUp
    on_down: OnDown


def monotonic_ms() -> int:
    """Returns the monotonic clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000


class Hub:
    """Owns all sockets.

    The methods run in the hub's event loop, except for `set_peers`, which any thread
    calls.
    """

    def __init__(
        self,
        own_hello: Hello,
        callbacks: Callbacks,
        counters: Counter[str],
        send_reply: Callable,
        heartbeat_ms: int = HEARTBEAT_MS,
        unopened_limit: int = DEFAULT_UNOPENED,
    ) -> None:
        self._own_hello = own_hello
        self._encoded_hello = encode(own_hello).unwrap()
        self._callbacks = callbacks
        self._counters = counters
        self._send_reply = send_reply
        self._heartbeat_ms = heartbeat_ms
        self._silence_timeout_ms = max(
            SILENCE_TIMEOUT_MS, SILENCE_TIMEOUT_HEARTBEATS * heartbeat_ms
        )
        self._random = random.Random()
        self._tasks: set[asyncio.Task] = set()
        self._roster: set[str] = set()
        self._budget = SendBudget()
        self.unopened = UnopenedConnections(unopened_limit)
        self.peers: dict[str, Peer] = {}
        self.heartbeat_peers: frozenset[str] = frozenset()
        self.loop = asyncio.get_running_loop()

    async def listen(self, address: str) -> Result[str, Fault]:
        """Binds an address `host:port` and returns it with the bound port."""
        host, _, port = address.rpartition(":")
        try:
            self._server = await serve(
                self._accept,
                host,
                int(port),
                create_connection=partial(CountedConnection, self.unopened),
                **SOCKET_OPTIONS,
            )
        except (OSError, ValueError) as error:
            return Err(Fault(codes.LISTEN_FAILED, address, str(error)))
        bound = next(iter(self._server.sockets)).getsockname()
        return Ok(f"{host}:{bound[1]}")

    async def run_heartbeats(self, stop: asyncio.Event) -> None:
        """Sends heartbeats and checks all links at each interval, until stopped."""
        previous_ms = monotonic_ms()
        while not stop.is_set():
            started_ms = monotonic_ms()
            if started_ms - previous_ms > self._silence_timeout_ms:
                self._reset_probes()
            previous_ms = started_ms
            for peer in list(self.peers.values()):
                self._check_peer(peer, monotonic_ms())
            pause_ms = max(1, started_ms + self._heartbeat_ms - monotonic_ms())
            try:
                await asyncio.wait_for(stop.wait(), pause_ms / 1000)
            except TimeoutError:
                continue

    def _reset_probes(self) -> None:
        """Discards the start of all probes after a pause of this process.

        During the pause it received no echoes, which is no sign of silent peers.
        """
        for peer in self.peers.values():
            for link in peer.links:
                link.probing_since_ms = 0

    async def close(self) -> None:
        """Closes all sockets, fails all requests and ends all tasks."""
        self._server.close(close_connections=False)
        for peer in self.peers.values():
            for link in peer.links:
                link.abort()
            self._drop_queue(peer)
            for request_id in list(peer.pending):
                self._fail_request(peer, request_id)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_peers(self, addresses: dict[str, str]) -> set[str]:
        """Sets the roster, in the caller's thread; returns the daemons that left it."""
        removed_names = self._roster - set(addresses)
        self._roster = set(addresses)
        for name, address in addresses.items():
            if name != self._own_hello.daemon:
                self._get_or_add_peer(name).address = address
        return removed_names

    def remove_peers(self, names: set[str]) -> None:
        """Closes the links to daemons that left the roster."""
        for name in names & set(self.peers):
            peer = self.peers[name]
            peer.address = ""
            for link in peer.links:
                link.abort()
            if not peer.links:
                self._drop_queue(peer)
                del self.peers[name]

    def _get_or_add_peer(self, name: str) -> Peer:
        return self.peers.setdefault(name, Peer(name, "", self._budget))

    # Sending.

    def flush_queue(self, peer: Peer) -> None:
        """Starts to send the queued messages of a peer.

        Without a link it dials the peer. It drops the messages while it backs off from
        dialing, and for a peer without an address.
        """
        link = peer.newest_link()
        if link is not None:
            link.wake()
        elif peer.dial_task is None:
            if monotonic_ms() < peer.retry_ms or not peer.address:
                self._drop_queue(peer)
            else:
                self._dial(peer)

    def submit_request(
        self, peer: Peer, outgoing: OutgoingMessage, future: Future, timeout_ms: int
    ) -> None:
        """Queues a request and starts its timeout."""
        timer = self.loop.call_later(
            timeout_ms / 1000, self._fail_request, peer, outgoing.request_id
        )
        peer.pending[outgoing.request_id] = PendingRequest(future, timer, None)
        if not peer.enqueue(outgoing):
            self._counters["queue_full"] += 1
            self._fail_request(peer, outgoing.request_id)
            return
        self.flush_queue(peer)

    def _pop_message(self, link: Link) -> bytes | None:
        """Removes and returns the next queued message for a link; None for none.

        Skips requests that have already failed.
        """
        peer = link.peer
        while peer.queue and peer.newest_link() is link:
            outgoing = peer.queue.popleft()
            link.last_used_ms = monotonic_ms()
            if not outgoing.is_reply:
                link.awaiting_since_ms = link.awaiting_since_ms or link.last_used_ms
            if not outgoing.request_id:
                return outgoing.data
            pending = peer.pending.get(outgoing.request_id)
            if pending is not None:
                peer.pending[outgoing.request_id] = pending._replace(link=link)
                return outgoing.data
            peer.drop(outgoing)
        return None

    def _fail_request(self, peer: Peer, request_id: int) -> None:
        """Fails a request whose reply was not received."""
        pending = peer.pending.pop(request_id, None)
        if pending is None:
            return
        pending.timer.cancel()
        is_sent = pending.link is not None
        code: Code = codes.REQUEST_UNANSWERED if is_sent else codes.REQUEST_NOT_SENT
        self._complete_future(pending.future, Err(Fault(code, peer.name)))

    def _complete_future(self, future: Future, outcome: Result[Message, Fault]) -> None:
        if future.set_running_or_notify_cancel():
            future.set_result(outcome)

    def _drop_queue(self, peer: Peer) -> None:
        while peer.queue:
            outgoing = peer.queue.popleft()
            peer.drop(outgoing)
            self._counters["dropped"] += 1
            if outgoing.request_id:
                self._fail_request(peer, outgoing.request_id)

    # Opening and closing links.

    def _start_task(self, coroutine) -> asyncio.Task:
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _dial(self, peer: Peer) -> None:
        peer.dial_task = self._start_task(self._open_link(peer))

    async def _open_link(self, peer: Peer) -> None:
        """Opens a link to a peer and runs it until it closes."""
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_MS / 1000):
                socket = await connect(
                    f"ws://{peer.address}", proxy=None, **SOCKET_OPTIONS
                )
        except (OSError, ValueError, TimeoutError, WebSocketException):
            hello = None
        else:
            hello = await self._exchange_hellos(socket)
        if hello is not None and not self._is_expected_peer(peer, hello):
            socket.transport.abort()
            hello = None
        peer.dial_task = None
        if hello is None:
            self._back_off(peer)
            return
        await self._run_link(socket, peer, hello, is_dialed=True)

    def _is_expected_peer(self, peer: Peer, hello: Hello) -> bool:
        if hello.daemon != peer.name:
            self._counters["peer_mismatch"] += 1
            logging.info("E%d %s", codes.PEER_MISMATCH.number, peer.name)
            return False
        return self.peers.get(peer.name) is peer

    async def _exchange_hellos(self, socket: Connection) -> Hello | None:
        """Exchanges hellos; on failure closes the socket and returns None."""
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_MS / 1000):
                await socket.send(self._encoded_hello)
                frame = decode(await socket.recv())
        except (OSError, TimeoutError, WebSocketException):
            socket.transport.abort()
            return None
        if isinstance(frame, Ok) and isinstance(frame.ok_value.message, Hello):
            return frame.ok_value.message
        self._counters["malformed"] += 1
        socket.transport.abort()
        return None

    def _back_off(self, peer: Peer) -> None:
        self._counters["dial_failed"] += 1
        peer.is_suspect = True
        ceiling_ms = min(
            BACKOFF_MAX_MS, BACKOFF_FIRST_MS << min(peer.dial_failure_count, 8)
        )
        peer.dial_failure_count += 1
        peer.retry_ms = monotonic_ms() + self._random.randint(
            ceiling_ms // 2, ceiling_ms
        )
        if not peer.links:
            self._drop_queue(peer)

    async def _accept(self, socket: Connection) -> None:
        hello = await self._exchange_hellos(socket)
        self.unopened.discard(socket)
        if hello is None or hello.daemon == self._own_hello.daemon:
            return
        await self._run_link(
            socket, self._get_or_add_peer(hello.daemon), hello, is_dialed=False
        )

    async def _run_link(
        self, socket: Connection, peer: Peer, hello: Hello, is_dialed: bool
    ) -> None:
        """Registers a link and handles its messages until it closes."""
        link = Link(socket, peer, hello.incarnation, is_dialed, monotonic_ms())
        writer = self._start_task(self._run_writer(link))
        try:
            self._add_link(link, hello)
            async for data in socket:
                self._handle_data(link, data)
        except (OSError, WebSocketException):
            self._counters["broken"] += 1
        finally:
            writer.cancel()
            link.abort()
            self._remove_link(link)

    async def _run_writer(self, link: Link) -> None:
        try:
            await link.write(self._pop_message)
        except (OSError, WebSocketException):
            self._counters["broken"] += 1

    def _add_link(self, link: Link, hello: Hello) -> None:
        peer = link.peer
        for other in list(peer.links):
            if other.incarnation != link.incarnation:
                other.abort()
        is_new_incarnation = all(
            other.incarnation != link.incarnation for other in peer.links
        )
        peer.links.append(link)
        peer.dial_failure_count = 0
        peer.retry_ms = 0
        peer.is_suspect = False
        peer.last_received_ms = link.last_received_ms
        link.wake()
        if is_new_incarnation:
            logging.info("peer %s up, incarnation %s", peer.name, hello.incarnation)
            self._callbacks.on_up(peer.name, hello.incarnation, hello.zone)

    def _remove_link(self, link: Link) -> None:
        peer = link.peer
        peer.links.remove(link)
        for request_id, pending in list(peer.pending.items()):
            if pending.link is link:
                self._fail_request(peer, request_id)
        if peer.links:
            peer.links[-1].wake()
            return
        peer.down_since_ms = monotonic_ms()
        logging.info("peer %s down", peer.name)
        self._callbacks.on_down(peer.name)
        if peer.queue or peer.is_suspect:
            self.flush_queue(peer)
        if not peer.address:
            self._drop_queue(peer)
            self.peers.pop(peer.name, None)

    # Receiving.

    def _handle_data(self, link: Link, data: bytes | str) -> None:
        now_ms = monotonic_ms()
        link.last_received_ms = link.peer.last_received_ms = now_ms
        link.awaiting_since_ms = 0
        frame = decode(data)
        if isinstance(frame, Err):
            self._counters["malformed"] += 1
            return
        frame_id, message = frame.ok_value
        if isinstance(message, Heartbeat):
            self._handle_heartbeat(link, message, now_ms)
        elif frame_id < 0:
            self._handle_reply(link, -frame_id, message)
        else:
            self._dispatch_message(link, frame_id, message)

    def _handle_heartbeat(self, link: Link, heartbeat: Heartbeat, now_ms: int) -> None:
        if heartbeat.echo_ms:
            link.last_echo_ms = now_ms
            link.probing_since_ms = 0
        if heartbeat.sent_ms:
            link.pending_echo_ms = heartbeat.sent_ms
            if link.peer.name not in self.heartbeat_peers:
                self._queue_heartbeat(link, 0)

    def _handle_reply(self, link: Link, request_id: int, message: Message) -> None:
        link.last_used_ms = link.last_received_ms
        pending = link.peer.pending.pop(request_id, None)
        if pending is None:
            self._counters["late_reply"] += 1
            return
        pending.timer.cancel()
        self._complete_future(pending.future, Ok(message))

    def _dispatch_message(self, link: Link, frame_id: int, message: Message) -> None:
        name = link.peer.name
        link.last_used_ms = link.last_received_ms

        def send(reply: Message) -> bool:
            return self._send_reply(name, reply, -frame_id)

        responder = Responder(send, link.incarnation, frame_id > 0)
        try:
            self._callbacks.on_message(name, message, responder)
        except Exception:  # An error in the handler must not close the link.
            self._counters["handler_failed"] += 1
            logging.exception("handler of %s failed", type(message).__name__)

    # Heartbeats.

    def _queue_heartbeat(self, link: Link, sent_ms: int) -> None:
        heartbeat = Heartbeat(sent_ms, link.pending_echo_ms)
        link.pending_echo_ms = 0
        link.heartbeat = encode(heartbeat).unwrap()
        link.wake()

    def _check_peer(self, peer: Peer, now_ms: int) -> None:
        sends_heartbeats = peer.name in self.heartbeat_peers
        for link in list(peer.links):
            self._check_link(link, sends_heartbeats, now_ms)
        if peer.links or peer.dial_task or not peer.address:
            return
        if not (sends_heartbeats or peer.queue) or now_ms < peer.retry_ms:
            return
        if self._own_hello.daemon < peer.name or self._is_dial_deferral_over(
            peer, now_ms
        ):
            self._dial(peer)

    def _is_dial_deferral_over(self, peer: Peer, now_ms: int) -> bool:
        """Tells whether the peer, which has the lower name, had its time to dial."""
        return now_ms - peer.down_since_ms >= DIAL_DEFERRAL_MS

    def _check_link(self, link: Link, sends_heartbeats: bool, now_ms: int) -> None:
        if (
            link.probing_since_ms
            and now_ms - link.probing_since_ms >= self._silence_timeout_ms
        ):
            self._counters["silent"] += 1
            logging.info("peer %s: silent link closed", link.peer.name)
            link.peer.is_suspect = True
            link.abort()
        elif self._should_close(link, now_ms):
            link.abort()
        elif sends_heartbeats or self._needs_probe(link, now_ms):
            link.probing_since_ms = link.probing_since_ms or now_ms
            self._queue_heartbeat(link, now_ms)

    def _needs_probe(self, link: Link, now_ms: int) -> bool:
        """Tells whether nothing was received for an interval after a message."""
        since_ms = link.awaiting_since_ms
        return since_ms > 0 and now_ms - since_ms >= self._heartbeat_ms

    def _should_close(self, link: Link, now_ms: int) -> bool:
        """Tells whether a link is idle or redundant.

        Of the links that both daemons opened, the one dialed by the daemon with the
        lower name stays.
        """
        peer = link.peer
        if not link.is_dialed:
            return now_ms - link.last_received_ms >= ACCEPTED_IDLE_TIMEOUT_MS
        if any(pending.link is link for pending in peer.pending.values()):
            return False
        if (
            peer.name not in self.heartbeat_peers
            and now_ms - link.last_used_ms >= IDLE_TIMEOUT_MS
        ):
            return True
        if self._own_hello.daemon < peer.name:
            return False
        return any(
            not other.is_dialed
            and now_ms - other.last_received_ms < self._silence_timeout_ms
            for other in peer.links
        )
