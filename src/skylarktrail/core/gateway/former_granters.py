"""Until when granters of earlier terms may still send grants."""

from __future__ import annotations

from typing import Mapping, NamedTuple

from .shared_state import GranterRecord

KEPT = 8  # Terms remembered; older ones have long lost their authority.


class _Former(NamedTuple):
    record: GranterRecord
    end_ms: float


class FormerGranters:
    """Granters of earlier terms, as seen by the clock of this daemon.

    A granter that was replaced acts for at most its authority after the record of its
    successor. It ends earlier when it says so, or when its process was replaced.

    Args:
        authority_ms: How long a granter that cannot reach the store goes on.
    """

    def __init__(self, authority_ms: float) -> None:
        self._authority_ms = authority_ms
        self._current = GranterRecord("", "", 0)
        self._former: list[_Former] = []

    def observe(self, record: GranterRecord, now_ms: float) -> None:
        """Takes the record of the granter, as read or written now."""
        if record.term <= self._current.term:
            return
        if self._current.daemon:
            end_ms = now_ms + self._authority_ms
            self._former = [*self._former, _Former(self._current, end_ms)][-KEPT:]
        elif record.term > 1:
            # Terms before this daemon's start are not known one by one.
            unknown = GranterRecord("", "", record.term - 1)
            self._former = [_Former(unknown, now_ms + self._authority_ms)]
        self._current = record

    def daemons_to_ask(self, me: str) -> list[str]:
        """Returns the daemons that can say that they have ended."""
        names = {item.record.daemon for item in self._former}
        return sorted(names - {"", me})

    def record_end(self, daemon: str, end_ms: float) -> None:
        """Learns that a daemon sends no grants of earlier terms after a time."""
        self._former = [
            (
                item._replace(end_ms=min(item.end_ms, end_ms))
                if item.record.daemon == daemon
                else item
            )
            for item in self._former
        ]

    def update_processes(self, processes: Mapping[str, str], now_ms: float) -> None:
        """Learns which processes run now; one that was replaced has ended."""
        for item in self._former:
            running = processes.get(item.record.daemon, item.record.process)
            if running != item.record.process:
                self.record_end(item.record.daemon, now_ms)

    def authority_end_ms(self, me: str) -> float:
        """Returns until when any of them may send grants.

        Earlier processes of this daemon have ended before this one began.
        """
        ends = [item.end_ms for item in self._former if item.record.daemon != me]
        return max(ends, default=0.0)
