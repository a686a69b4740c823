"""Decides when a daemon joins the roster and when it evicts another daemon."""

from __future__ import annotations

from .hashing import rank_candidates
from .records import Join, Leave
from .state import State

JOIN_RETRY_MS = 2_000
EVICT_AFTER_MS = 10_000
EVICT_INTERVAL_MS = 5_000


class Membership:
    """Decides which roster records this daemon appends to the log.

    Args:
        daemon: Name of this daemon.
        incarnation: Identifies its process.
        zone: Its availability zone.
        peer_address: `host:port` of its peer socket.
    """

    def __init__(
        self, daemon: str, incarnation: str, zone: str, peer_address: str
    ) -> None:
        self._daemon = daemon
        self._incarnation = incarnation
        self._zone = zone
        self._peer_address = peer_address
        self._last_join_ms: float | None = None
        self._was_joined = False
        self._unlisted_since_ms: dict[str, float] = {}
        self._last_evict_ms: float | None = None

    def is_joined(self, state: State) -> bool:
        """Tells whether the roster contains this process."""
        member = state.members.get(self._daemon)
        return member is not None and member.incarnation == self._incarnation

    def is_replaced(self, state: State) -> bool:
        """Tells whether another process has joined under the name of this daemon.

        Only a process that has joined itself can be replaced.
        """
        member = state.members.get(self._daemon)
        is_other = member is not None and member.incarnation != self._incarnation
        return self._was_joined and is_other

    def join(self, now_ms: float, state: State) -> Join | None:
        """Returns the join record to append; None when none is due.

        Call it after the log was read to its end.
        """
        if self.is_joined(state):
            self._was_joined = True
            return None
        if self.is_replaced(state):
            return None
        if (
            self._last_join_ms is not None
            and now_ms - self._last_join_ms < JOIN_RETRY_MS
        ):
            return None
        self._last_join_ms = now_ms
        member = state.members.get(self._daemon)
        replaces = member.incarnation if member else ""
        return Join(self._zone, self._peer_address, replaces)

    def update_vm_list(
        self, now_ms: float, state: State, daemons: frozenset[str]
    ) -> None:
        """Records since when each member is missing from the platform's VM list."""
        unlisted = set(state.members) - daemons
        self._unlisted_since_ms = {
            daemon: self._unlisted_since_ms.get(daemon, now_ms) for daemon in unlisted
        }

    def evict(self, now_ms: float, state: State, reachable: set[str]) -> Leave | None:
        """Returns the record that removes a member whose VM is gone.

        Rendezvous hashing chooses one of the reachable daemons for each eviction, so
        that usually only one of them appends the record.

        Args:
            now_ms: Monotonic time.
            state: The folded state.
            reachable: Members that sent a message recently.

        Returns:
            The record to append; None when no eviction is due at this daemon.
        """
        if not self.is_joined(state):
            return None
        since_ms = self._last_evict_ms
        if since_ms is not None and now_ms - since_ms < EVICT_INTERVAL_MS:
            return None
        gone = [
            daemon
            for daemon, unlisted_since_ms in sorted(self._unlisted_since_ms.items())
            if now_ms - unlisted_since_ms >= EVICT_AFTER_MS and daemon in state.members
            if daemon != self._daemon and daemon not in reachable
        ]
        for daemon in gone:
            if (
                rank_candidates(f"evict {daemon}", reachable | {self._daemon})[0]
                == self._daemon
            ):
                self._last_evict_ms = now_ms
                return Leave(daemon, state.members[daemon].incarnation)
        return None
