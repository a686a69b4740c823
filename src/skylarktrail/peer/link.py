"""State of one peer and of the websockets to it."""

from __future__ import annotations

import asyncio
from collections import deque
from concurrent.futures import Future
from typing import Callable, NamedTuple

from websockets.asyncio.connection import Connection

from .send_budget import SendBudget

MAX_QUEUED_MESSAGES = 1024

PopMessage = Callable[["Link"], "bytes | None"]


class OutgoingMessage(NamedTuple):
    """An encoded message in the queue of a peer.

    Attributes:
        data: Encoded frame.
        request_id: Id when the message is a request, else 0.
        is_reply: Whether the message is the reply to a request.
    """

    data: bytes
    request_id: int
    is_reply: bool = False


class Link:
    """An open websocket to a peer, after the exchange of hellos.

    Attributes:
        socket: The websocket.
        peer: The peer at the other end.
        incarnation: Identifies the peer's process.
        is_dialed: Whether this daemon opened the link.
        last_received_ms: Time of the last message received.
        last_echo_ms: Time of the last echo received, or of the opening of the link.
        last_used_ms: Time of the last message, in either direction, other than a
            heartbeat.
        awaiting_since_ms: Time of the first message, replies excluded, that was sent
            after the last message received; 0 for none.
        probing_since_ms: Time of the first heartbeat sent after the last echo
            received; 0 for none.
        pending_echo_ms: `sent_ms` of the peer's latest heartbeat that has not been
            echoed; 0 for none.
        heartbeat: Encoded heartbeat that is sent before any queued message; None for
            none.
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
        """Wakes the writer, to send the heartbeat and the queued messages."""
        self._wake.set()

    def abort(self) -> None:
        """Closes the socket at once, without a closing handshake."""
        self.socket.transport.abort()

    async def write(self, pop_message: PopMessage) -> None:
        """Sends heartbeats and the peer's queued messages until the socket closes.

        Args:
            pop_message: Returns the next queued message for a link, or None.
        """
        while True:
            await self._wake.wait()
            self._wake.clear()
            while True:
                if self.heartbeat is not None:
                    heartbeat, self.heartbeat = self.heartbeat, None
                    await self.socket.send(heartbeat)
                elif (data := pop_message(self)) is not None:
                    await self._send_queued(data)
                else:
                    break

    async def _send_queued(self, data: bytes) -> None:
        """Sends a message; its memory counts until the socket has accepted it."""
        try:
            await self.socket.send(data)
        finally:
            self.peer.budget.release(len(data))


class PendingRequest(NamedTuple):
    """A request without a reply yet.

    Attributes:
        future: Completed with the reply or a fault.
        timer: Fails the request at its timeout.
        link: Link that the request was sent on; None while it is queued.
    """

    future: Future
    timer: asyncio.TimerHandle
    link: Link | None


class Peer:
    """A peer, with its address, links, queued messages and pending requests.

    Attributes:
        name: Name of the daemon.
        address: `host:port`; "" for a daemon outside the roster, which can only open
            links to this one.
        links: Open links, oldest first.
        queue: Messages that have not been sent; appended to by other threads.
        pending: Requests without a reply, by id.
        dial_task: Task that is opening a link; None for none.
        dial_failure_count: Failed attempts to open a link since the last open link.
        retry_ms: Earliest time of the next attempt to open a link.
        is_suspect: Whether the last link was silent for too long or the last attempt
            to open one failed; new requests then fail at once until a link is open.
        down_since_ms: Time at which the last open link was lost; 0 for never.
        last_received_ms: Time of the last message received on any link; None for
            never.
        budget: Bytes that wait to be sent to all peers.
    """

    def __init__(self, name: str, address: str, budget: SendBudget) -> None:
        self.budget = budget
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
        """Returns the newest link, which sends all queued messages; None for none."""
        return self.links[-1] if self.links else None

    def enqueue(self, outgoing: OutgoingMessage) -> bool:
        """Appends a message to the queue; returns False when the queue is full."""
        if len(self.queue) >= MAX_QUEUED_MESSAGES:
            return False
        if not self.budget.try_acquire(len(outgoing.data)):
            return False
        self.queue.append(outgoing)
        return True

    def drop(self, outgoing: OutgoingMessage) -> None:
        """Releases the memory of a message that was taken from the queue."""
        self.budget.release(len(outgoing.data))
