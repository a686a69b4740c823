"""Connection pools of the backends."""

from __future__ import annotations

import socket
import threading

from ..http_pools import WholeResponseConnection, WholeResponsePool
from ..receive_budget import DEFAULT_MEMORY_MB, ReceiveBudget, make_receive_budget
from ..response_bounds import ResponseBounds

CONNECT_TIMEOUT_MS = 300
MAX_BODY_BYTES = 16 << 20
RESPONSE_BOUNDS = ResponseBounds(max_bytes=MAX_BODY_BYTES + (1 << 20))
_thread_state = threading.local()


class AbortHandle:
    """Lets another thread abort an attempt by shutting down its connection.

    Attributes:
        connection: Connection of the attempt; None until it sends its request.
        is_aborted: Whether the attempt was aborted.
    """

    def __init__(self) -> None:
        self.connection: TrackedConnection | None = None
        self.is_aborted = False

    def abort(self) -> None:
        """Shuts down the connection, so that its reader fails immediately."""
        self.is_aborted = True
        connection = self.connection
        sock = connection.sock if connection else None
        if sock is None:
            return
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass


class TrackedConnection(WholeResponseConnection):
    """A connection that registers itself in the abort handle of its thread."""

    def request(self, *args, **kwargs) -> None:
        """Registers the connection in this thread's abort handle; sends a request."""
        abort_handle = getattr(_thread_state, "abort_handle", None)
        if abort_handle is not None:
            abort_handle.connection = self
        super().request(*args, **kwargs)


class TrackedPool(WholeResponsePool):
    """A pool of tracked connections.

    Attributes:
        budget: Memory of all responses that are being received.
    """

    ConnectionCls = TrackedConnection
    budget: ReceiveBudget


def set_abort_handle(abort_handle: AbortHandle | None) -> None:
    """Sets the abort handle of this thread's next request."""
    _thread_state.abort_handle = abort_handle


def make_pool(
    address: str, connections: int, budget: ReceiveBudget | None = None
) -> TrackedPool:
    """Creates a pool for `host:port` that keeps up to `connections` idle.

    Args:
        address: `host:port`.
        connections: Maximum number of idle connections.
        budget: Memory of all responses that are being received; None for one of the
            pool's own.
    """
    host, _, port = address.rpartition(":")
    pool = TrackedPool(
        host, int(port), maxsize=connections, block=False, bounds=RESPONSE_BOUNDS
    )
    pool.budget = budget or make_receive_budget(DEFAULT_MEMORY_MB)
    return pool


class ConnectionPools:
    """One connection pool for each backend.

    Args:
        connections: Maximum number of idle connections for each backend.
        budget: Memory of all responses that are being received.
    """

    def __init__(self, connections: int, budget: ReceiveBudget) -> None:
        self._connections = connections
        self._budget = budget
        self._pools: dict[str, TrackedPool] = {}
        self._lock = threading.Lock()

    def get(self, address: str) -> TrackedPool:
        """Returns the pool of a backend; creates it if necessary."""
        pool = self._pools.get(address)
        if pool is not None:
            return pool
        with self._lock:
            return self._pools.setdefault(
                address, make_pool(address, self._connections, self._budget)
            )

    def discard(self, address: str) -> None:
        """Closes the idle connections of a backend and removes its pool."""
        with self._lock:
            pool = self._pools.pop(address, None)
        if pool is not None:
            pool.close()

    def retain_only(self, addresses: set[str]) -> None:
        """Discards the pools of all other backends."""
        for address in set(self._pools) - addresses:
            self.discard(address)
