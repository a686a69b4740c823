"""Ranks of the daemons for an instance, and quotas that hold during roster changes."""

from __future__ import annotations

from typing import NamedTuple, Sequence

import xxhash

from .messages import Instance, RosterEntry

ROSTER_SETTLE_MS = 7_000.0


def position(
    instance: Instance, own_daemon: RosterEntry, roster: Sequence[RosterEntry]
) -> int:
    """Returns how many daemons of a roster rank before this one for an instance.

    Daemons of the instance's zone rank first; within a zone the rendezvous weight
    decides. The result depends on the arguments only, so all daemons agree on it.
    """
    own_weight = _weight(instance, own_daemon)
    return sum(
        1
        for other in roster
        if other.daemon != own_daemon.daemon and _weight(instance, other) > own_weight
    )


def _weight(instance: Instance, daemon: RosterEntry) -> tuple[bool, int, str]:
    name = f"{instance.id}\0{daemon.daemon}"
    return (
        daemon.zone == instance.zone,
        xxhash.xxh3_64_intdigest(name.encode()),
        daemon.daemon,
    )


class RosterRank(NamedTuple):
    """Rank of this daemon among the daemons of one roster, for an instance.

    Attributes:
        position: Number of daemons ranked before this one.
        daemons: Number of daemons in the roster; 0 if this daemon is not in it.
    """

    position: int
    daemons: int

    def quota(self, total: int) -> int:
        """Returns this daemon's share of `total` units assigned in rank order."""
        if not self.daemons or self.position >= total:
            return 0
        return (total - self.position - 1) // self.daemons + 1


class RosterHistory:
    """The rosters that other daemons may still use.

    A replaced roster counts for another `ROSTER_SETTLE_MS`, since other daemons may
    not have received the change. A quota is the minimum over all these rosters, so it
    also holds under the oldest roster that any daemon uses. So the quotas of all
    daemons never add up to more than the total, even while their rosters differ.

    Attributes:
        settled_at_ms: Time until which the quota is 0 because rosters of other
            daemons are not known; None before the first roster.
    """

    def __init__(self, own_daemon: RosterEntry) -> None:
        self._own_daemon = own_daemon
        self._current: tuple[RosterEntry, ...] = ()
        self._previous: list[tuple[float, tuple[RosterEntry, ...]]] = []
        self.settled_at_ms: float | None = None

    @property
    def current(self) -> tuple[RosterEntry, ...]:
        """The latest roster that this daemon received."""
        return self._current

    def update(self, now_ms: float, roster: Sequence[RosterEntry]) -> None:
        """Applies the next roster; callers pass every roster, in order."""
        ordered = tuple(sorted(set(roster)))
        if self.settled_at_ms is None:
            self.settled_at_ms = now_ms + ROSTER_SETTLE_MS
        elif ordered != self._current:
            self._previous.append((now_ms + ROSTER_SETTLE_MS, self._current))
        if ordered != self._current:
            self._current = ordered
        self.expire(now_ms)

    def reset(self, now_ms: float, roster: Sequence[RosterEntry]) -> None:
        """Applies a roster after some rosters were missed.

        Other daemons may still use the missed rosters, so the quota is 0 until every
        daemon has received this one.
        """
        self._previous.clear()
        self._current = tuple(sorted(set(roster)))
        self.settled_at_ms = now_ms + ROSTER_SETTLE_MS

    def expire(self, now_ms: float) -> None:
        """Drops replaced rosters that no daemon uses any more."""
        self._previous = [entry for entry in self._previous if entry[0] >= now_ms]

    def next_expiry_ms(self) -> float | None:
        """Returns the next time at which a quota may change; None if there is none.

        A quota changes when a replaced roster expires or the settle time ends.
        """
        times = [until for until, _ in self._previous]
        if self.settled_at_ms is not None:
            times.append(self.settled_at_ms)
        return min(times, default=None)

    def rank_for(self, instance: Instance) -> RosterRank:
        """Returns this daemon's rank for an instance in the current roster."""
        return self._rank_in(instance, self._current)

    def _rank_in(
        self, instance: Instance, roster: tuple[RosterEntry, ...]
    ) -> RosterRank:
        is_member = any(entry.daemon == self._own_daemon.daemon for entry in roster)
        daemons = len(roster) if is_member else 0
        return RosterRank(position(instance, self._own_daemon, roster), daemons)

    def quota(self, now_ms: float, instance: Instance, total: int) -> int:
        """Returns the share of `total` that this daemon may use.

        The shares of all daemons never add up to more than `total`.
        """
        if self.settled_at_ms is None or now_ms <= self.settled_at_ms:
            return 0
        rosters = [self._current, *(roster for _, roster in self._previous)]
        return min(self._rank_in(instance, roster).quota(total) for roster in rosters)
