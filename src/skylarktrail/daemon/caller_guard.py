"""Bounds on connections of callers: shared memory, stalls and sizes of bodies."""

from __future__ import annotations

from typing import Callable, NamedTuple, Protocol

from ..caller_budget import CallerBudget
from ..config.gateway_settings import ClientSettings


class EndedConnection(NamedTuple):
    """A caller's request or connection that was ended.

    Attributes:
        reason: `budget`, `stalled`, `unread`, `connections` or `draining`.
        address: Address of the caller.
        held_bytes: Memory that the connection held.
        silent_ms: How long the caller neither sent nor read.
    """

    reason: str
    address: str
    held_bytes: int
    silent_ms: int


class EndObserver(Protocol):
    """Logs and counts ended connections; called in several threads."""

    def __call__(self, ended: EndedConnection) -> None:
        """Records an ended connection."""


class CallerGuard(NamedTuple):
    """What the connections of one or more servers share.

    Attributes:
        budget: Memory of all callers.
        bounds: Bounds on one caller.
        body_limit_bytes: Returns the largest body; read for each request.
        observe_end: Records the connections that are ended.
    """

    budget: CallerBudget
    bounds: ClientSettings
    body_limit_bytes: Callable[[], int]
    observe_end: EndObserver = lambda ended: None
