"""A caller's connection whose memory is counted, and whose refusals arrive.

A connection that is closed while the caller still sends is reset by the kernel, and the
response in flight is lost. After a refusal, what the caller sends is therefore read and
dropped for a short time.
"""

from __future__ import annotations

import io
import select
import socket
import threading
import time
from functools import partial
from typing import Any

from waitress.buffers import ReadOnlyFileBasedBuffer
from waitress.channel import ClientDisconnected
from waitress.utilities import Error

from ..caller_budget import CallerReservation
from ..core.connection_eviction import (
    SHORTEST_PAUSE_S,
    ConnectionState,
    Phase,
    may_be_evicted,
)
from ..response_bounds import MIN_BYTES_PER_S
from . import timed_parser
from .caller_guard import CallerGuard, EndedConnection
from .caller_parser import CallerParser
from .connection_watch import evict_stalled
from .request_errors import (
    ConnectionsExhausted,
    DaemonDraining,
    MemoryExhausted,
    RequestTooSlow,
)
from .timed_parser import TimedChannel

SEND_BYTES = 1 << 18  # Largest write to the socket.
DISCARD_BYTES = 1 << 18  # Largest read that is dropped after a refusal.
# A few hundred chunks; a whole read of 8 KiB of them takes some 4 ms.
SMALL_CHUNKS_READ_BYTES = 1 << 10
SHARED_WRITE_BYTES = 1 << 16  # Longer data are written without a copy.
FREE_WRITE_BYTES = 4 << 10  # Shorter data, such as refusals, are always written.


class BoundedChannel(TimedChannel):
    """A connection that counts what it holds for its caller.

    Args:
        guard: Bounds that it shares with other connections.
        args: Positional arguments of the library's channel.
        kwargs: Keyword arguments of the library's channel.
    """

    parser_class = CallerParser

    def __init__(self, guard: CallerGuard, *args: Any, **kwargs: Any) -> None:
        self._guard = guard
        self._reservation = CallerReservation(guard.budget)
        self._account_lock = threading.Lock()
        self._unsent_bytes = 0  # Kept until the last of them is sent.
        self._unsent_since_s = 0.0
        self._active_s = time.monotonic()
        self._is_used = False
        self._is_refused = False
        self._is_closed = False
        self._linger_end_s: float | None = None
        super().__init__(*args, **kwargs)
        self.sendbuf_len = min(self.sendbuf_len, SEND_BYTES)

    @property
    def held_bytes(self) -> int:
        """Returns the memory that the connection holds."""
        return self._reservation.held_bytes

    @property
    def silent_s(self) -> float:
        """Returns how long the caller has neither sent nor read."""
        return time.monotonic() - self._active_s

    def received(self, data: bytes) -> bool:
        """Handles bytes of requests; drops them after a refusal."""
        self._active_s = time.monotonic()
        if self._is_refused:
            return False
        if self.request is None:
            self.adj.max_request_body_size = self._guard.body_limit_bytes() + 1
        is_handled = super().received(data)
        if any(request.error for request in self.requests):
            self.mark_refused()
        if not self._try_account():
            self._make_room()
        return is_handled

    def recv(self, buffer_size: int) -> bytes:
        """Reads bytes of the caller.

        Less is read at once from a caller that sends small chunks, so that others get
        their turn.
        """
        request = self.request
        if request is not None and request.has_small_chunks:
            buffer_size = SMALL_CHUNKS_READ_BYTES
        return super().recv(buffer_size)

    def mark_refused(self) -> None:
        """Drops what the caller sends from now on."""
        self._is_refused = True

    def service(self) -> None:
        """Executes one request."""
        self._is_used = True
        try:
            super().service()
        finally:
            self._try_account()

    def write_soon(self, data: Any) -> int:
        """Queues bytes of a response, whose request is not needed any more.

        Raises:
            ClientDisconnected: The caller has left, or there is no memory.
        """
        if self.requests:
            self.requests[0].drop_body()
        size_bytes = len(data)
        if isinstance(data, bytes) and size_bytes >= SHARED_WRITE_BYTES:
            data = ReadOnlyFileBasedBuffer(io.BytesIO(data))
            data.prepare()
        if not self._unsent_bytes:
            self._active_s = self._unsent_since_s = time.monotonic()
        self._unsent_bytes += size_bytes
        if not self._try_account() and size_bytes >= FREE_WRITE_BYTES:
            self._drop_response(size_bytes)
            raise ClientDisconnected
        return super().write_soon(data)

    def state(self) -> ConnectionState:
        """Returns what the connection is held for."""
        if self._linger_end_s is not None:
            return ConnectionState(Phase.REFUSED, self.silent_s)
        if self.requests or self._is_closed:
            return ConnectionState(Phase.ACTIVE)
        if self.total_outbufs_len:
            return self._sending_state()
        if self.has_begun_request():
            return self._receiving_state()
        phase = Phase.IDLE if self._is_used else Phase.UNUSED
        return ConnectionState(phase, self.silent_s)

    def evict(self) -> None:
        """Closes the connection for another caller; called in the server's thread.

        A request that is being received is refused. Bytes that wait in the kernel may
        be a request, so that the connection is kept.
        """
        if self._linger_end_s is not None:
            self._close()
        elif self._has_unread_bytes():
            return
        elif self._is_receiving():
            error = ConnectionsExhausted("Another caller needs the connection.")
            if self.refuse(error, "connections", is_immediate=True):
                self._close()
        else:
            self.end("connections")

    def refuse_if_slow(self) -> None:
        """Refuses a request that stalls or trickles, as the daemon drains.

        Called in the server's thread.
        """
        state = self.state()
        is_slow = state.phase in (Phase.STALLED, Phase.SLOW)
        if is_slow and may_be_evicted(state) and not self._has_unread_bytes():
            error = DaemonDraining("The daemon stops before the request is complete.")
            self.refuse(error, "draining", is_immediate=True)

    def refuse(self, error: Error, reason: str, is_immediate: bool = False) -> bool:
        """Refuses the request that is being received; returns whether there is one.

        Args:
            error: The refusal.
            reason: Reason in the log and the metrics.
            is_immediate: Whether the refusal is sent now, in the server's thread, and
                not when a thread is free.
        """
        held_bytes = self.held_bytes
        with self.requests_lock:
            request = self.request
            if request is None or request.completed or self._is_refused:
                return False
            request.refuse(error)
            self.mark_refused()
            self.request = None
            self.requests.append(request)
            if len(self.requests) == 1 and not is_immediate:
                self.server.add_task(self)
        if is_immediate:
            self.service()
            self.handle_write()
        self._try_account()
        self._observe_end(reason, held_bytes)
        return True

    def end(self, reason: str) -> None:
        """Closes the connection; called in the server's thread."""
        if not self._is_closed:
            held_bytes = self.held_bytes
            self._close()
            self._observe_end(reason, held_bytes)

    def end_if_stalled(self, for_s: float, reason: str = "") -> bool:
        """Ends a caller that has stalled for so long; called in the server's thread.

        Args:
            for_s: Time without a byte.
            reason: `budget` if its memory is needed; else it depends on the stall.

        Returns:
            Whether the caller was ended.
        """
        if self.silent_s < for_s or self._linger_end_s is not None:
            return False
        if self.total_outbufs_len:
            self.end(reason or "unread")
            return True
        if not self._is_receiving() or self._has_unread_bytes():
            return False
        if reason:
            return self.refuse(MemoryExhausted("The caller has stalled."), reason)
        return self.refuse(RequestTooSlow("The caller has stalled."), "stalled")

    def check_time(self) -> None:
        """Ends the connection if its time is up; called in the server's thread."""
        if self._linger_end_s is not None:
            if time.monotonic() >= self._linger_end_s:
                self._close()
        elif self._is_read_too_slowly():
            self.end("unread")
        elif not self.end_if_stalled(self._guard.bounds.stall_ms / 1000):
            if self._is_receiving() and self.request.is_late():
                self.refuse(
                    RequestTooSlow("The request was not complete in time."), "stalled"
                )

    def readable(self) -> bool:
        """Returns whether bytes of the caller are to be read."""
        return self._linger_end_s is not None or super().readable()

    def handle_read(self) -> None:
        """Reads bytes of the caller."""
        if self._linger_end_s is None:
            super().handle_read()
            return
        try:
            self.recv(DISCARD_BYTES)
        except OSError:
            self._close()

    def handle_close(self) -> None:
        """Closes the connection; first waits for a refused caller that still sends."""
        is_sent = self.will_close and self.connected and not self.total_outbufs_len
        if self._is_refused and is_sent and self._linger_end_s is None:
            self._begin_lingering()
        else:
            self._close()

    def _begin_lingering(self) -> None:
        self.will_close = False
        self._linger_end_s = time.monotonic() + self._guard.bounds.linger_ms / 1000
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            self._close()

    def _close(self) -> None:
        self._is_closed = True
        super().handle_close()
        self._unsent_bytes = 0
        self._try_account()

    def _flush_some(self, do_close: bool = True) -> bool:
        is_sent = super()._flush_some(do_close)
        if is_sent:
            self._active_s = time.monotonic()
        if self._unsent_bytes and not self.total_outbufs_len:
            self._unsent_bytes = 0
            self._try_account()
        return is_sent

    def _try_account(self) -> bool:
        """Counts what is held; returns whether the connection may hold it."""
        with self._account_lock:
            size_bytes = sum(item.held_bytes for item in list(self.requests))
            request = self.request
            if request is not None and not self._is_closed:
                size_bytes += request.held_bytes
            return self._reservation.try_resize(size_bytes + self._unsent_bytes)

    def _make_room(self) -> None:
        """Ends callers that have stalled; if that is not enough, refuses this one."""
        request = self.request
        needed_bytes = request.held_bytes if request is not None else 0
        evict_stalled(self.server, self._guard.budget, needed_bytes)
        if not self._try_account():
            self.refuse(
                MemoryExhausted("The request holds more than its share."), "budget"
            )

    def _drop_response(self, size_bytes: int) -> None:
        """Closes the connection, as there is no memory for its response."""
        self._unsent_bytes -= size_bytes
        end = partial(evict_stalled, self.server, self._guard.budget, size_bytes)
        self.server.trigger.pull_trigger(end)
        self.server.trigger.pull_trigger(partial(self.end, "budget"))

    def _receiving_state(self) -> ConnectionState:
        """Returns the state while a request is being received."""
        if self.silent_s >= SHORTEST_PAUSE_S:
            return ConnectionState(Phase.STALLED, self.silent_s)
        rate_bytes_per_s = self.request.rate_bytes_per_s
        if rate_bytes_per_s >= MIN_BYTES_PER_S:
            return ConnectionState(Phase.ACTIVE)
        return ConnectionState(Phase.SLOW, self.request.age_s, rate_bytes_per_s)

    def _sending_state(self) -> ConnectionState:
        """Returns the state while a response is being sent."""
        age_s = time.monotonic() - self._unsent_since_s
        sent_bytes = self._unsent_bytes - self.total_outbufs_len
        rate_bytes_per_s = sent_bytes / max(age_s, timed_parser.MIN_AGE_S)
        is_slow = rate_bytes_per_s < MIN_BYTES_PER_S
        held_s = age_s if is_slow else self.silent_s
        return ConnectionState(Phase.UNREAD, held_s, rate_bytes_per_s)

    def _is_receiving(self) -> bool:
        """Returns whether only the caller can make progress on this connection."""
        return not self.requests and self.has_begun_request() and not self._is_closed

    def _is_read_too_slowly(self) -> bool:
        if not self._unsent_bytes or self._is_closed:
            return False
        allowed_s = (
            timed_parser.REQUEST_TIMEOUT_S + self._unsent_bytes / MIN_BYTES_PER_S
        )
        return time.monotonic() > self._unsent_since_s + allowed_s

    def _has_unread_bytes(self) -> bool:
        """Returns whether the process, and not the caller, is late."""
        poller = select.poll()
        poller.register(self.socket, select.POLLIN)
        return bool(poller.poll(0))

    def _observe_end(self, reason: str, held_bytes: int) -> None:
        silent_ms = int(self.silent_s * 1000)
        address = str(self.addr[0]) if self.addr else ""
        self._guard.observe_end(EndedConnection(reason, address, held_bytes, silent_ms))
