"""One websocket between two daemons, and what is known of the peer."""

from __future__ import annotations

import asyncio
from collections import deque
from concurrent.futures import Future
from typing import Callable, NamedTuple

from websockets.asyncio.connection import Connection

MAX_QUEUED_MESSAGES = 1024

PopMessage = Callable[["Link"], "bytes | None"]


class OutgoingMessage(NamedTuple):
    """An encoded message that waits for a link.

    Attributes:
        data: The message.
        request_id: Id of the request that it carries; 0 for none.
        is_reply: Whether it answers a request.
    """

    data: bytes
    request_id: int
    is_reply: bool = False


class Link:
    """One open websocket after both hellos.

    Attributes:
        socket: The websocket.
        peer: The peer.
        incarnation: Process of the peer.
        is_dialed: Whether this end opened it.
        last_received_ms: When the last message came.
        last_echo_ms: When the last echo came, or the link was opened.
        last_used_ms: When a message other than a heartbeat passed.
        awaiting_since_ms: When the first request or sent message went out after the
            last message that came; 0 for none.
        probing_since_ms: When the first heartbeat went out after the last echo; 0 for
            none.
        pending_echo_ms: `sent_ms` of the peer's latest heartbeat, until echoed.
        heartbeat: Encoded heartbeat that goes out next.
    """

    def __init__(
        self,
        socket: Connection,
        peer: Peer,
        incarnation: str,
        is_dialed: bool,
        now_ms: int,
    ) -> None:
        self.socket = socket
        self.peer = peer
        self.incarnation = incarnation
        self.is_dialed = is_dialed
        self.last_received_ms = now_ms
        self.last_echo_ms = now_ms
        self.last_used_ms = now_ms
        self.awaiting_since_ms = 0
        self.probing_since_ms = 0
        self.pending_echo_ms = 0
        self.heartbeat: bytes | None = None
        self._wake = asyncio.Event()

    def wake(self) -> None:
        """Lets the writer look for messages."""
        self._wake.set()

    def abort(self) -> None:
        """Closes the socket without waiting for the peer."""
        self.socket.transport.abort()

    async def write(self, pop_message: PopMessage) -> None:
        """Writes heartbeats and the peer's queue until the socket closes."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while (data := self._next_data(pop_message)) is not None:
                await self.socket.send(data)

    def _next_data(self, pop_message: PopMessage) -> bytes | None:
        if self.heartbeat is not None:
            data, self.heartbeat = self.heartbeat, None
            return data
        return pop_message(self)


class PendingRequest(NamedTuple):
    """A request that waits for its reply.

    Attributes:
        future: Takes the reply or the fault.
        timer: Ends the wait.
        link: Link that the request was written to; None while it is queued.
    """

    future: Future
    timer: asyncio.TimerHandle
    link: Link | None


class Peer:
    """A peer: its address, links, queue and requests.

    Attributes:
        name: Name of the daemon.
        address: `host:port`; "" when only its own links are known.
        links: Open links, oldest first.
        queue: Messages that no link has taken yet; other threads append.
        pending: Requests without a reply by id.
        dial_task: The attempt to open a link.
        dial_failure_count: Attempts failed since the last link.
        retry_ms: No attempt before this time.
        is_suspect: Whether the last link fell silent or the last attempt failed;
            requests then fail at once until a link is open.
        down_since_ms: When the last link was lost.
        last_received_ms: When the last message came over any link; None for never.
    """

    def __init__(self, name: str, address: str) -> None:
        self.name = name
        self.address = address
        self.links: list[Link] = []
        self.queue: deque[OutgoingMessage] = deque()
        self.pending: dict[int, PendingRequest] = {}
        self.dial_task: asyncio.Task | None = None
        self.dial_failure_count = 0
        self.retry_ms = 0
        self.is_suspect = False
        self.down_since_ms = 0
        self.last_received_ms: int | None = None

    def newest_link(self) -> Link | None:
        """Returns the link that takes new messages: the newest."""
        return self.links[-1] if self.links else None

    def enqueue(self, outgoing: OutgoingMessage) -> bool:
        """Queues a message, or returns False when the queue is full."""
        if len(self.queue) >= MAX_QUEUED_MESSAGES:
            return False
        self.queue.append(outgoing)
        return True
