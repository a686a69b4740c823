"""The tables of the idempotency keys whose home is this daemon.

The home of a key is the daemon that records which attempt ran and its response.
"""

from __future__ import annotations

import threading
import time
import uuid
from collections import Counter
from typing import Callable, NamedTuple, Protocol

from ..core.idempotency.home import Home
from ..core.idempotency.keys import home_group_of
from ..core.idempotency.table import Attempt, TableLimits, TableSnapshot, TermView
from ..core.idempotency.verdicts import NotHome, Outcome, Verdict
from ..core.state import HOME_PREFIX, State
from ..peer.hub import Responder
from ..peer.messages import HomeBegin, HomeFinish, HomeTable, HomeTableRequest, Message
from ..peer.verdicts import (
    KEY_BYTES,
    message_to_outcome,
    table_snapshot_to_message,
    verdict_to_message,
)

HOME_MESSAGES = (HomeBegin, HomeFinish, HomeTableRequest)
HANDOVER_MAX_BYTES = 768 << 10
TABLE_FREE_DELAY_MS = 30_000
MAX_TIME_LEFT_MS = 600_000
UNCONFIRMED_TERM = TermView(False, 0, 0)


class Clocks(NamedTuple):
    """Sources of time.

    Attributes:
        now_ms: Monotonic clock.
        wall_ms: Unix time.
    """

    now_ms: Callable[[], int]
    wall_ms: Callable[[], int]


SYSTEM_CLOCKS = Clocks(
    lambda: time.monotonic_ns() // 1_000_000, lambda: time.time_ns() // 1_000_000
)


class Authority(Protocol):
    """The part of the ownership core that is used here."""

    def is_confirmed(self, group: str, now_ms: float) -> bool:
        """Returns whether this daemon may act for a group now."""

    def acting_since_ms(self, group: str) -> float | None:
        """Returns the monotonic time from which no other daemon acts."""


def make_term_view(
    authority: Authority, state: Callable[[], State], clocks: Clocks = SYSTEM_CLOCKS
) -> Callable[[str], TermView]:
    """Returns a function that reads this daemon's term of a group.

    Any thread may call the function. The start of the term is converted with the
    current offset of the wall clock, so that it follows a step of that clock.
    """

    def term_of(group: str) -> int:
        granter_term = state().granter_terms.get(group)
        return granter_term.term if granter_term else 0

    def view(group: str) -> TermView:
        term = term_of(group)
        now_ms = clocks.now_ms()
        since_ms = authority.acting_since_ms(group)
        if since_ms is None or not authority.is_confirmed(group, now_ms):
            return UNCONFIRMED_TERM
        if term_of(group) != term:
            return UNCONFIRMED_TERM
        since_wall_ms = clocks.wall_ms() - int(now_ms - since_ms)
        return TermView(True, since_wall_ms, term)

    return view


class HomeHandler:
    """Holds the keys of the groups whose home is this daemon.

    Attributes:
        counters: Number of verdicts by name, of `finished` attempts, and of outcomes
            that are `unmatched`, since their attempt is not in the table.
    """

    def __init__(
        self,
        daemon_name: str,
        state: Callable[[], State],
        term_view: Callable[[str], TermView],
        limits: Callable[[], TableLimits],
        clocks: Clocks = SYSTEM_CLOCKS,
    ) -> None:
        """Creates a handler without tables.

        Args:
            daemon_name: Name of this daemon.
            state: Returns the folded state.
            term_view: Returns what this daemon currently knows of its own term
                of a group.
            limits: Returns the limits of the tables of all groups together.
            clocks: Sources of time.
        """
        self._daemon_name = daemon_name
        self._state = state
        self._term_view = term_view
        self._limits = limits
        self._clocks = clocks
        self._lock = threading.Lock()
        self._homes: dict[str, Home] = {}
        self._closed_terms: dict[str, int] = {}
        self._lost_since_ms: dict[str, int] = {}
        self.counters: Counter[str] = Counter()

    def handle(self, daemon: str, message: Message, reply: Responder) -> None:
        """Handles one of `HOME_MESSAGES` from a peer."""
        if isinstance(message, HomeBegin):
            self._handle_begin(message, reply)
        elif isinstance(message, HomeFinish):
            self._handle_finish(message)
        elif isinstance(message, HomeTableRequest):
            reply(self._hand_over_table(message))

    def decide(self, group: str, attempt: Attempt) -> Verdict:
        """Returns the verdict on an attempt that has been received.

        The term is read after the attempt was received. A pause between this check
        and the arrival of the verdict is harmless, since it affects only keys that no
        other home lets run: they are below the barrier of the next term.
        """
        with self._lock:
            wall_ms = self._clocks.wall_ms()
            view = self._term_view(group)
            if not view.is_confirmed or view.term <= self._closed_terms.get(group, 0):
                verdict: Verdict = NotHome()
            else:
                home = self._get_or_create_home(group)
                verdict = home.begin(self._clocks.now_ms(), wall_ms, attempt, view)
                self._evict_over_limits()
            self.counters[verdict.kind] += 1
        return verdict

    def finish(
        self, group: str, key: uuid.UUID, attempt_id: bytes, outcome: Outcome
    ) -> None:
        """Records the outcome of an attempt."""
        with self._lock:
            home = self._homes.get(group)
            is_recorded = home is not None and home.finish(key, attempt_id, outcome)
            self._evict_over_limits()
            self.counters["finished" if is_recorded else "unmatched"] += 1

    def take_over(self, group: str, term: int, kept: TableSnapshot) -> bool:
        """Loads the keys of the previous term's home if the term is in force.

        Returns:
            Whether the keys were loaded.
        """
        with self._lock:
            granter_term = self._state().granter_terms.get(group)
            if granter_term is None or (granter_term.granter, granter_term.term) != (
                self._daemon_name,
                term,
            ):
                return False
            home = self._get_or_create_home(group)
            is_loaded = home.take_over(self._clocks.now_ms(), term, term - 1, kept)
            self._evict_over_limits()
            return is_loaded

    def enter_own_terms(self) -> None:
        """Enters this daemon's terms, also those without any attempt yet."""
        for group, granter_term in list(self._state().granter_terms.items()):
            if (
                group.startswith(HOME_PREFIX)
                and granter_term.granter == self._daemon_name
            ):
                self._enter_term(group)

    def sweep(self) -> None:
        """Frees the tables of groups whose home is another daemon now.

        A table is freed after a delay, since the new home may request its keys. It is
        not created again in the same term, since keys would be missing from it.
        """
        granter_terms = self._state().granter_terms
        now_ms = self._clocks.now_ms()
        with self._lock:
            for group in list(self._homes):
                granter_term = granter_terms.get(group)
                if granter_term is None or granter_term.granter == self._daemon_name:
                    self._lost_since_ms.pop(group, None)
                elif (
                    now_ms - self._lost_since_ms.setdefault(group, now_ms)
                    >= TABLE_FREE_DELAY_MS
                ):
                    self._close_term(group, granter_term.term)
                    del self._homes[group], self._lost_since_ms[group]

    def size_bytes(self) -> int:
        """Returns the estimated memory of all tables."""
        with self._lock:
            return self._count_bytes()

    def entries(self) -> int:
        """Returns the number of keys in all tables."""
        with self._lock:
            return self._count_entries()

    def _count_bytes(self) -> int:
        return sum(home.table.size_bytes for home in self._homes.values())

    def _count_entries(self) -> int:
        return sum(len(home.table) for home in self._homes.values())

    def _evict_over_limits(self) -> None:
        """Drops the oldest keys until all tables together are within the limits."""
        if len(self._homes) < 2:
            return
        limits = self._limits()
        while self._exceeds_limits(limits):
            tables = [home.table for home in self._homes.values() if len(home.table)]
            min(tables, key=lambda table: table.oldest_timestamp_ms()).drop_oldest_key()

    def _exceeds_limits(self, limits: TableLimits) -> bool:
        if self._count_entries() > limits.max_entries:
            return True
        return self._count_bytes() > limits.max_bytes

    def _get_or_create_home(self, group: str) -> Home:
        home = self._homes.get(group)
        if home is None:
            home = self._homes[group] = Home(self._limits())
        return home

    def _close_term(self, group: str, term: int) -> None:
        self._closed_terms[group] = max(term, self._closed_terms.get(group, 0))

    def _enter_term(self, group: str) -> None:
        with self._lock:
            view = self._term_view(group)
            if view.is_confirmed and view.term > self._closed_terms.get(group, 0):
                self._get_or_create_home(group).update_term(view)

    def _hand_over_table(self, ask: HomeTableRequest) -> HomeTable:
        """Closes a term that is over and returns the keys of its home."""
        refusal = HomeTable(ask.group, ask.term, False)
        with self._lock:
            granter_term = self._state().granter_terms.get(ask.group)
            if granter_term is None or granter_term.term <= ask.term:
                return refusal
            self._close_term(ask.group, ask.term)
            home = self._homes.get(ask.group)
            if home is None:
                return refusal
            kept = home.hand_over(self._clocks.now_ms(), ask.term, HANDOVER_MAX_BYTES)
        return (
            refusal
            if kept is None
            else table_snapshot_to_message(ask.group, ask.term, kept)
        )

    def _handle_begin(self, message: HomeBegin, reply: Responder) -> None:
        attempt = Attempt(
            _key_from_bytes(message.key),
            message.digest,
            message.attempt,
            max(0, min(message.time_left_ms, MAX_TIME_LEFT_MS)),
            message.wall_ms,
        )
        if message.group == self._group_of(attempt.key):
            verdict = self.decide(message.group, attempt)
        else:
            verdict = NotHome()
        reply(verdict_to_message(message.attempt, verdict))

    def _group_of(self, key: uuid.UUID) -> str:
        homes = self._state().file.get("idempotency", {}).get("homes", 0)
        return home_group_of(key, homes) if homes else ""

    def _handle_finish(self, message: HomeFinish) -> None:
        outcome = message_to_outcome(message)
        if outcome is None:
            self.counters["malformed"] += 1
            return
        key = _key_from_bytes(message.key)
        self.finish(message.group, key, message.attempt, outcome)


def _key_from_bytes(data: bytes) -> uuid.UUID:
    """Returns the key of a message.

    A malformed key becomes the nil UUID, which every home refuses.
    """
    return uuid.UUID(bytes=data) if len(data) == KEY_BYTES else uuid.UUID(int=0)
