"""Accepts connections up to the limit of a server, and makes room for further ones.

The library stops accepting when all connections are taken. Clients that hold them would
keep all others out. Everything here runs in the server's thread.
"""

from __future__ import annotations

import threading
from functools import partial
from typing import TYPE_CHECKING

from waitress.server import BaseWSGIServer

from ..core.connection_eviction import SHORTEST_PAUSE_S, choose_evicted

if TYPE_CHECKING:
    from .bounded_channel import BoundedChannel

MAX_ACCEPTED = 64  # Connections in one pass over all of them; the library accepts one.
# Closing several at once saves comparing all connections for each new one.
EVICTED_RATIO = 1 / 16


def limit_connections(server: BaseWSGIServer) -> None:
    """Lets a server accept many connections at once, and close some for new ones."""
    server.handle_accept = ConnectionLimit(server).accept


class ConnectionLimit:
    """Keeps an address open for new connections while clients hold those it has.

    Args:
        server: Server of the address; its channels are `BoundedChannel`.
    """

    def __init__(self, server: BaseWSGIServer) -> None:
        self._server = server
        self._accept_one = server.handle_accept
        self._evicted_count = 1 + int(server.adj.connection_limit * EVICTED_RATIO)
        self._is_retry_due = False

    def accept(self) -> None:
        """Accepts the connections that wait.

        A pass over all connections takes longer the more there are, so that a crowd
        of them would keep others waiting in the kernel's queue.
        """
        for _ in range(MAX_ACCEPTED):
            open_count = len(self._server._map)
            self._accept_one()
            if len(self._server._map) == open_count:  # None waits.
                return
            if self._is_full():
                self._make_room()
            if self._is_full():
                return

    def _is_full(self) -> bool:
        return len(self._server._map) >= self._server.adj.connection_limit

    def _make_room(self) -> None:
        """Closes connections; if it may close none yet, tries again soon."""
        channels: list[BoundedChannel] = list(self._server.active_channels.values())
        states = {channel: channel.state() for channel in channels}
        for channel in choose_evicted(states, self._evicted_count):
            channel.evict()
        if self._is_full() and not self._is_retry_due:
            self._is_retry_due = True
            self._retry_later()

    def _retry_later(self) -> None:
        wake = partial(self._server.trigger.pull_trigger, self._retry)
        timer = threading.Timer(SHORTEST_PAUSE_S, wake)
        timer.daemon = True
        timer.start()

    def _retry(self) -> None:
        self._is_retry_due = False
        if self._is_full():
            self._make_room()
