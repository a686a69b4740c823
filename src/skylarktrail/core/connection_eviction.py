"""Chooses which connections are closed when an address can accept no more.

The load is many clients that open connections and hold them: they send nothing, stop
inside a request, send or read a few bytes now and then, or keep connections idle. A
client that needs a new connection then gets one in place of the connection whose client
loses least.
"""

from __future__ import annotations

import heapq
import math
from enum import IntEnum
from typing import Mapping, NamedTuple, TypeVar

Connection = TypeVar("Connection")


class Phase(IntEnum):
    """What a connection is held for, in the order in which connections are closed.

    Attributes:
        REFUSED: Its request was refused, and the client may still be sending it.
        UNUSED: No request was received; none can be lost.
        STALLED: The client is silent inside a request, which has not run.
        IDLE: The last request was answered; the client connects again for the next.
        SLOW: A request arrives slower than the lowest rate; it has not run.
        UNREAD: A response is read slowly or not at all; its request has run.
        ACTIVE: A request waits or runs, or its client keeps pace; never closed.
    """

    REFUSED = 0
    UNUSED = 1
    STALLED = 2
    IDLE = 3
    SLOW = 4
    UNREAD = 5
    ACTIVE = 6


PENDING = (Phase.UNUSED, Phase.STALLED, Phase.SLOW)  # Without a complete request.
# How long a connection is kept in a phase at least. Clients send a request as soon as
# they are connected, and parts of it without pauses; on a link that many share they may
# send and read slowly for a while. Nothing is lost with answered connections.
MIN_HELD_S = {
    Phase.REFUSED: 0.0,
    Phase.UNUSED: 0.1,
    Phase.STALLED: 0.1,
    Phase.IDLE: 0.0,
    Phase.SLOW: 1.0,
    Phase.UNREAD: 5.0,
}
SHORTEST_PAUSE_S = MIN_HELD_S[Phase.STALLED]


class ConnectionState(NamedTuple):
    """State of one connection.

    Attributes:
        phase: What it is held for.
        held_s: How long it has been in the phase, or how long its client has been
            silent.
        rate_bytes_per_s: Rate at which the client sends or reads, if it does.
    """

    phase: Phase
    held_s: float = 0.0
    rate_bytes_per_s: float = 0.0


def choose_evicted(
    states: Mapping[Connection, ConnectionState], count: int
) -> list[Connection]:
    """Returns the connections to close, the first one first.

    Within a phase the slowest go first, then those that are held longest. Fewer than
    `count` are returned if others may be closed `SHORTEST_PAUSE_S` later.

    Args:
        states: State of each connection.
        count: Largest number of connections to close.
    """
    kept = _find_protected(states, count)
    candidates = [
        item
        for item in states.items()
        if may_be_evicted(item[1]) and item[0] not in kept
    ]
    evicted = heapq.nsmallest(count, candidates, key=lambda item: _order(item[1]))
    return [connection for connection, _ in evicted]


def _find_protected(
    states: Mapping[Connection, ConnectionState], count: int
) -> set[Connection]:
    """Returns the idle connections that are kept.

    A crowd that opens connections fast has none that is held for long at first. Idle
    connections of other clients are not closed for it, unless they are more than half.
    """
    pending_count = sum(1 for state in states.values() if state.phase in PENDING)
    if pending_count < count:
        return set()
    idle = [item for item in states.items() if item[1].phase is Phase.IDLE]
    newest = heapq.nsmallest(len(states) // 2, idle, key=lambda item: item[1].held_s)
    return {connection for connection, _ in newest}


def may_be_evicted(state: ConnectionState) -> bool:
    """Returns whether a connection has been held long enough to be closed."""
    return state.held_s >= MIN_HELD_S.get(state.phase, math.inf)


def _order(state: ConnectionState) -> tuple[Phase, float, float]:
    return state.phase, state.rate_bytes_per_s, -state.held_s
