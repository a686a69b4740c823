"""Connection pools of the backends."""

from __future__ import annotations

import socket
import threading

from ..http_pools import WholeResponseConnection, WholeResponsePool

CONNECT_TIMEOUT_MS = 300
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
    """A pool of tracked connections."""

    ConnectionCls = TrackedConnection


def set_abort_handle(abort_handle: AbortHandle | None) -> None:
    """Sets the abort handle of this thread's next request."""
    _thread_state.abort_handle = abort_handle


def make_pool(address: str, connections: int) -> TrackedPool:
    """Creates a pool for `host:port` that keeps up to `connections` idle."""
    host, _, port = address.rpartition(":")
    return TrackedPool(host, int(port), maxsize=connections, block=False)


class ConnectionPools:
    """One connection pool for each backend."""

    def __init__(self, connections: int) -> None:
        self._connections = connections
        self._pools: dict[str, TrackedPool] = {}
        self._lock = threading.Lock()

    def get(self, address: str) -> TrackedPool:
        """Returns the pool of a backend; creates it if necessary."""
        pool = self._pools.get(address)
        if pool is not None:
            return pool
        with self._lock:
            return self._pools.setdefault(
                address, make_pool(address, self._connections)
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
