"""Connections to back ends."""

from __future__ import annotations

import socket
import threading

import urllib3

CONNECT_TIMEOUT_MS = 300
_thread_state = threading.local()


class AbortHandle:
    """The connection that one attempt uses, so that another thread can cut it.

    Attributes:
        connection: The connection in use, once there is one.
        is_cut: Whether the attempt was given up.
    """

    def __init__(self) -> None:
        self.connection: TrackedConnection | None = None
        self.is_aborted = False

    def abort(self) -> None:
        """Ends the exchange on the connection; its reader fails at once."""
        self.is_aborted = True
        connection = self.connection
        sock = connection.sock if connection else None
        if sock is None:
            return
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass


class TrackedConnection(urllib3.connection.HTTPConnection):
    """A connection that tells the attempt of its thread that it is in use."""

    def request(self, *args, **kwargs) -> None:
        """Sends a request; the line of this thread learns of the connection."""
        abort_handle = getattr(_thread_state, "abort_handle", None)
        if abort_handle is not None:
            abort_handle.connection = self
        super().request(*args, **kwargs)


class TrackedPool(urllib3.HTTPConnectionPool):
    """A pool of tracked connections."""

    ConnectionCls = TrackedConnection


def set_abort_handle(abort_handle: AbortHandle | None) -> None:
    """Sets the line of this thread's next request."""
    _thread_state.abort_handle = abort_handle


def make_pool(address: str, connections: int) -> TrackedPool:
    """Builds a pool for `host:port` that keeps up to `connections` idle."""
    host, _, port = address.rpartition(":")
    return TrackedPool(host, int(port), maxsize=connections, block=False)


class ConnectionPools:
    """One pool for each back end."""

    def __init__(self, connections: int) -> None:
        self._connections = connections
        self._pools: dict[str, TrackedPool] = {}
        self._lock = threading.Lock()

    def get(self, address: str) -> TrackedPool:
        """Returns the pool of a back end."""
        pool = self._pools.get(address)
        if pool is not None:
            return pool
        with self._lock:
            return self._pools.setdefault(
                address, make_pool(address, self._connections)
            )

    def discard(self, address: str) -> None:
        """Forgets the idle connections of a back end."""
        with self._lock:
            pool = self._pools.pop(address, None)
        if pool is not None:
            pool.close()

    def retain_only(self, addresses: set[str]) -> None:
        """Drops the pools of back ends that are gone."""
        for address in set(self._pools) - addresses:
            self.discard(address)
