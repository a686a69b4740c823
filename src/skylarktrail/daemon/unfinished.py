"""Finds callers' connections that a daemon must not cut off when it stops."""

from __future__ import annotations

from waitress.channel import HTTPChannel
from waitress.server import BaseWSGIServer


def has_unfinished_requests(server: BaseWSGIServer) -> bool:
    """Returns whether a request is read, waits, is handled or its response is sent.

    The handler sees only the third of these stages.
    """
    # The server's thread may add or remove connections meanwhile.
    channels = server.active_channels.copy().values()
    return any(_is_unfinished(channel) for channel in channels)


def _is_unfinished(channel: HTTPChannel) -> bool:
    is_read = channel.request is not None
    return is_read or bool(channel.requests) or channel.total_outbufs_len > 0
