"""Ranks of the daemons for an instance, over the rosters of the last seconds."""

from __future__ import annotations

from typing import NamedTuple, Sequence

import xxhash

from .messages import Instance, RosterEntry

ROSTER_SETTLE_MS = 7_000.0


def position(
    instance: Instance, own_daemon: RosterEntry, roster: Sequence[RosterEntry]
) -> int:
    """Returns how many other daemons rank before this one for an instance.

    Daemons of the instance's zone rank first; within a zone the rendezvous weight
    decides. The rank depends on nothing but the arguments.
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
    """Place of this daemon among the daemons of one roster, for an instance.

    Attributes:
        position: Daemons ranked before it.
        daemons: Daemons of the roster; 0 when this daemon is not among them.
    """

    position: int
    daemons: int

    def quota(self, total: int) -> int:
        """Returns this daemon's part when `total` is dealt out in rank order."""
        if not self.daemons or self.position >= total:
            return 0
        return (total - self.position - 1) // self.daemons + 1


class RosterHistory:
    """The rosters that other daemons may still hold.

    A roster that was replaced counts for `ROSTER_SETTLE_MS` more, since another daemon
    may not have learnt of the change. Whoever is within a quota under every roster
    here is within it under the oldest one that any daemon holds; so the quotas of all
    daemons add up to the total, also while their rosters differ.
    """

    def __init__(self, own_daemon: RosterEntry) -> None:
        self._own_daemon = own_daemon
        self._current: tuple[RosterEntry, ...] = ()
        self._previous: list[tuple[float, tuple[RosterEntry, ...]]] = []
        self.settled_at_ms: float | None = None

    @property
    def current(self) -> tuple[RosterEntry, ...]:
        """The roster in force here."""
        return self._current

    def update(self, now_ms: float, roster: Sequence[RosterEntry]) -> None:
        """Takes over the roster in force; every roster is to be passed, in order."""
        ordered = tuple(sorted(set(roster)))
        if self.settled_at_ms is None:
            self.settled_at_ms = now_ms + ROSTER_SETTLE_MS
        elif ordered != self._current:
            self._previous.append((now_ms + ROSTER_SETTLE_MS, self._current))
        if ordered != self._current:
            self._current = ordered
        self.expire(now_ms)

    def reset(self, now_ms: float, roster: Sequence[RosterEntry]) -> None:
        """Takes over a roster when some before it were not seen.

        The missed ones may still be held elsewhere, so there is no quota until
        every daemon has learnt of this one.
        """
        self._previous.clear()
        self._current = tuple(sorted(set(roster)))
        self.settled_at_ms = now_ms + ROSTER_SETTLE_MS

    def expire(self, now_ms: float) -> None:
        """Forgets rosters that no daemon holds any more."""
        self._previous = [entry for entry in self._previous if entry[0] >= now_ms]

    def next_expiry_ms(self) -> float | None:
        """Returns when a quota may change because a roster is forgotten."""
        times = [until for until, _ in self._previous]
        if self.settled_at_ms is not None:
            times.append(self.settled_at_ms)
        return min(times, default=None)

    def rank_for(self, instance: Instance) -> RosterRank:
        """Returns this daemon's seat for an instance in the roster in force."""
        return self._rank_in(instance, self._current)

    def _rank_in(
        self, instance: Instance, roster: tuple[RosterEntry, ...]
    ) -> RosterRank:
        is_member = any(entry.daemon == self._own_daemon.daemon for entry in roster)
        daemons = len(roster) if is_member else 0
        return RosterRank(position(instance, self._own_daemon, roster), daemons)

    def quota(self, now_ms: float, instance: Instance, total: int) -> int:
        """Returns this daemon's safe part of a total over all daemons."""
        if self.settled_at_ms is None or now_ms <= self.settled_at_ms:
            return 0
        rosters = [self._current, *(roster for _, roster in self._previous)]
        return min(self._rank_in(instance, roster).quota(total) for roster in rosters)
