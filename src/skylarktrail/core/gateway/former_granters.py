"""Determines until when granters of earlier terms may still send grants."""

from __future__ import annotations

import math
from typing import Mapping, NamedTuple

from .lease_calls import MAX_GRANT_DELIVERY_MS
from .shared_state import GranterRecord

# Granters are forgotten this long after their authority; their leases are shorter.
KEEP_MS = 60_000.0


class _FormerGranter(NamedTuple):
    record: GranterRecord
    end_ms: float
    has_reported: bool = False


class FormerGranters:
    """Tracks granters of earlier terms by the clock of this daemon.

    After the record of its successor, a granter may act for `authority_ms` at most. It
    has ended earlier if it reports so or if its process was replaced. The granters of
    terms whose records this daemon has not seen are unknown, and cannot be asked. A new
    site has none before its first term.

    Args:
        authority_ms: Time for which a granter may act without reaching the store.
    """

    def __init__(self, authority_ms: float) -> None:
        self._authority_ms = authority_ms
        self._current = GranterRecord("", "", 0)
        self._first_term = 0
        self._granters: list[_FormerGranter] = []
        self._first_observed_ms = math.inf

    def begin_at(self, first_term: int) -> None:
        """Handles that the site is new, so that no term before this one began."""
        self._first_term = first_term

    def observe(self, record: GranterRecord, now_ms: float) -> None:
        """Handles the record of the present granter, as just read or written."""
        self._first_observed_ms = min(self._first_observed_ms, now_ms)
        if record.term <= self._current.term:
            return
        end_ms = now_ms + self._authority_ms
        former = [item for item in self._granters if item.end_ms + KEEP_MS > now_ms]
        if self._current.term:
            former.append(_FormerGranter(self._current, end_ms))
        if record.term > max(self._current.term + 1, self._first_term):
            unknown = GranterRecord("", "", record.term - 1)
            former.append(_FormerGranter(unknown, end_ms))
        self._granters = former
        self._current = record

    def daemons_to_ask(self, own_daemon: str) -> list[str]:
        """Returns the former granters that can be asked whether they have ended."""
        names = {item.record.daemon for item in self._granters}
        return sorted(names - {"", own_daemon})

    def record_end(self, daemon: str, end_ms: float) -> None:
        """Records that a daemon sends no grants of earlier terms after a time."""
        self._granters = [
            (
                item._replace(end_ms=min(item.end_ms, end_ms))
                if item.record.daemon == daemon
                else item
            )
            for item in self._granters
        ]

    def update_processes(self, processes: Mapping[str, str], now_ms: float) -> None:
        """Records the processes that run now; earlier ones of a daemon have ended.

        Identifiers of processes rise, so a record of an earlier process, from before a
        granter's own record, proves nothing. The last calls of a process that has ended
        may still be under way.
        """
        end_ms = now_ms + MAX_GRANT_DELIVERY_MS
        self._granters = [
            (
                item._replace(end_ms=min(item.end_ms, end_ms))
                if processes.get(item.record.daemon, "") > item.record.process
                else item
            )
            for item in self._granters
        ]

    def record_report(self, process: str) -> None:
        """Records that a process has reported its open grants."""
        self._granters = [
            item._replace(has_reported=True) if item.record.process == process else item
            for item in self._granters
        ]

    def have_all_reported(self, since_ms: float) -> bool:
        """Returns whether all former granters have reported their open grants.

        Args:
            since_ms: Leases of granters that ended before this time have expired.
        """
        return all(
            item.has_reported for item in self._granters if item.end_ms > since_ms
        )

    def authority_end_ms(self, own_daemon: str) -> float:
        """Returns the time until which grants of any former granter may arrive.

        Earlier processes of this daemon ended before this one first observed a record.
        """
        own_end_ms = self._first_observed_ms + MAX_GRANT_DELIVERY_MS
        ends = [
            (
                min(item.end_ms, own_end_ms)
                if item.record.daemon == own_daemon
                else item.end_ms
            )
            for item in self._granters
        ]
        return max(ends, default=0.0)
