"""Finds callers' connections that a daemon must not cut off when it stops."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from waitress.channel import HTTPChannel
from waitress.server import BaseWSGIServer

if TYPE_CHECKING:
    from .bounded_channel import BoundedChannel


def has_unfinished_requests(server: BaseWSGIServer) -> bool:
    """Returns whether a request is read, waits, is handled or its response is sent.

    The handler sees only the third of these stages.
    """
    return any(_is_unfinished(channel) for channel in _channels(server))


def refuse_slow_requests(server: BaseWSGIServer) -> None:
    """Refuses requests that stall or trickle; the server's thread does it soon.

    A daemon that drains would otherwise wait for them until the end of its grace.
    """
    server.trigger.pull_trigger(partial(_refuse_slow_requests, server))


def _refuse_slow_requests(server: BaseWSGIServer) -> None:
    for channel in _channels(server):
        channel.refuse_if_slow()


def _channels(server: BaseWSGIServer) -> list[BoundedChannel]:
    # The server's thread may add or remove connections meanwhile.
    return list(server.active_channels.copy().values())


def _is_unfinished(channel: HTTPChannel) -> bool:
    is_read = channel.request is not None
    return is_read or bool(channel.requests) or channel.total_outbufs_len > 0
