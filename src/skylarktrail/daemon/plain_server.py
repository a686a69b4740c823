"""Servers of addresses that are not for callers: health checks, operators."""

from __future__ import annotations

from functools import partial
from typing import Any

from waitress.server import BaseWSGIServer, create_server

from ..caller_budget import CallerBudget
from ..config.gateway_settings import ClientSettings
from .bounded_channel import BoundedChannel
from .caller_guard import CallerGuard, EndObserver
from .connection_limit import limit_connections
from .connection_watch import CHECK_INTERVAL_S, watch_connections

PLAIN_CONNECTIONS = 100  # Health checks, metrics and operators need few.
PLAIN_BODY_BYTES = 64 << 10  # None of these requests needs a body.
PLAIN_HELD_BYTES = 8 << 20  # Several pages of a large site that are not read.


def make_plain_server(
    app: Any,
    address: str,
    threads: int,
    observe_end: EndObserver = lambda ended: None,
) -> BaseWSGIServer:
    """Binds an address of a WSGI application that is not for callers.

    Args:
        app: The application.
        address: `host:port` to listen on.
        threads: Number of requests that are handled concurrently.
        observe_end: Records the connections that are ended.

    Returns:
        The server, which is bound but does not run yet.
    """
    guard = CallerGuard(
        CallerBudget(PLAIN_HELD_BYTES),
        ClientSettings(),
        lambda: PLAIN_BODY_BYTES,
        observe_end,
    )
    server = create_server(
        app,
        listen=address,
        threads=threads,
        ident=None,
        connection_limit=PLAIN_CONNECTIONS,
        cleanup_interval=CHECK_INTERVAL_S,
        asyncore_use_poll=True,
    )
    server.channel_class = partial(BoundedChannel, guard)
    watch_connections(server, guard.budget)
    limit_connections(server)
    return server
