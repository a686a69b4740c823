"""Until when granters of earlier terms may still send grants."""

from __future__ import annotations

from typing import Mapping, NamedTuple

from .shared_state import GranterRecord

MAX_TERM_COUNT = 8  # Terms remembered; older ones have long lost their authority.


class _FormerGranter(NamedTuple):
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
        self._granters: list[_FormerGranter] = []

    def observe(self, record: GranterRecord, now_ms: float) -> None:
        """Takes the record of the granter, as read or written now."""
        if record.term <= self._current.term:
            return
        if self._current.daemon:
            end_ms = now_ms + self._authority_ms
            self._granters = [*self._granters, _FormerGranter(self._current, end_ms)][
                -MAX_TERM_COUNT:
            ]
        elif record.term > 1:
            # Terms before this daemon's start are not known one by one.
            unknown = GranterRecord("", "", record.term - 1)
            self._granters = [_FormerGranter(unknown, now_ms + self._authority_ms)]
        self._current = record

    def daemons_to_ask(self, own_daemon: str) -> list[str]:
        """Returns the daemons that can say that they have ended."""
        names = {item.record.daemon for item in self._granters}
        return sorted(names - {"", own_daemon})

    def record_end(self, daemon: str, end_ms: float) -> None:
        """Learns that a daemon sends no grants of earlier terms after a time."""
        self._granters = [
            (
                item._replace(end_ms=min(item.end_ms, end_ms))
                if item.record.daemon == daemon
                else item
            )
            for item in self._granters
        ]

    def update_processes(self, processes: Mapping[str, str], now_ms: float) -> None:
        """Learns which processes run now; one that was replaced has ended."""
        for item in self._granters:
            running = processes.get(item.record.daemon, item.record.process)
            if running != item.record.process:
                self.record_end(item.record.daemon, now_ms)

    def authority_end_ms(self, own_daemon: str) -> float:
        """Returns until when any of them may send grants.

        Earlier processes of this daemon have ended before this one began.
        """
        ends = [
            item.end_ms for item in self._granters if item.record.daemon != own_daemon
        ]
        return max(ends, default=0.0)
