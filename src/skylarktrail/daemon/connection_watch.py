"""Checks the connections of a server for callers that stall, in the server's thread.

The load is many callers that stop in the middle of a request, or read no response. They
are ended when their time is up, or earlier if others need the memory that they hold.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from waitress.server import BaseWSGIServer

from ..caller_budget import CallerBudget

if TYPE_CHECKING:
    from .bounded_channel import BoundedChannel

CHECK_INTERVAL_S = 1
# A caller within the limits may be silent as long, for instance after a lost packet.
MIN_STALL_S = 1.0


def watch_connections(server: BaseWSGIServer, budget: CallerBudget) -> None:
    """Lets a server check its connections every `CHECK_INTERVAL_S`."""
    close_idle = server.maintenance

    def maintain(now_s: float) -> None:
        for channel in _channels(server):
            channel.check_time()
        evict_stalled(server, budget, 0)
        close_idle(now_s)

    server.maintenance = maintain


def evict_stalled(
    server: BaseWSGIServer, budget: CallerBudget, more_bytes: int
) -> None:
    """Ends callers that have stalled, the longest first, until more memory fits.

    Args:
        server: Server of the connections; its thread is the current one.
        budget: Memory of all callers.
        more_bytes: What is needed.
    """
    if not budget.missing_bytes(more_bytes):
        return
    stalled = [
        c for c in _channels(server) if c.held_bytes and c.silent_s >= MIN_STALL_S
    ]
    for channel in sorted(stalled, key=lambda item: -item.silent_s):
        if not budget.missing_bytes(more_bytes):
            return
        channel.end_if_stalled(MIN_STALL_S, "budget")


def _channels(server: BaseWSGIServer) -> list[BoundedChannel]:
    return list(server.active_channels.values())
