"""Bounds the connections at the peer address on which no daemon has said hello.

Clients that connect and say nothing, and connect again when they are closed, would take
the file descriptors that callers and instances need.
"""

from __future__ import annotations

import asyncio
from typing import Any

from websockets.asyncio.server import ServerConnection

DEFAULT_UNOPENED = 512  # More than the daemons of a site, which may dial all at once.


class UnopenedConnections:
    """The accepted connections without a hello, in the order of their arrival.

    Args:
        limit: Largest number of them; beyond it the oldest is closed.

    Attributes:
        closed_count: Number of connections that were closed for newer ones.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.closed_count = 0
        self._connections: dict[ServerConnection, None] = {}

    def __len__(self) -> int:
        return len(self._connections)

    def add(self, connection: ServerConnection) -> None:
        """Adds a connection; closes the oldest if there are too many."""
        self._connections[connection] = None
        if len(self._connections) > self._limit:
            oldest = next(iter(self._connections))
            self.discard(oldest)
            self.closed_count += 1
            oldest.transport.abort()

    def discard(self, connection: ServerConnection) -> None:
        """Removes a connection that is open or closed."""
        self._connections.pop(connection, None)


class CountedConnection(ServerConnection):
    """A connection that is counted until its peer has said hello.

    Args:
        unopened: Counts it.
        args: Positional arguments of the library's connection.
        kwargs: Keyword arguments of the library's connection.
    """

    def __init__(
        self, unopened: UnopenedConnections, *args: Any, **kwargs: Any
    ) -> None:
        self._unopened = unopened
        super().__init__(*args, **kwargs)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts the connection."""
        super().connection_made(transport)
        self._unopened.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Counts the connection no longer."""
        self._unopened.discard(self)
        super().connection_lost(error)
