"""Takes over the keys of the previous home when a home group gets a new home."""

from __future__ import annotations

import queue
from collections import Counter
from concurrent.futures import Future
from typing import Callable, NamedTuple, Protocol

from result import Result

from ..core.state import HOME_PREFIX, GranterTerm, State
from ..errors.code import Fault
from ..peer.messages import HomeTable, HomeTableRequest, Message
from ..peer.verdicts import message_to_table_snapshot
from .home_handler import HomeHandler

REQUEST_TIMEOUT_MS = 1000
MAX_REQUEST_ATTEMPTS = 10


class Links(Protocol):
    """The part of `PeerLinks` that is used here."""

    def request(
        self, daemon: str, message: Message, timeout_ms: int
    ) -> Future[Result[Message, Fault]]:
        """Sends a request; the future holds the reply or a fault, and never raises."""


class TableRequest(NamedTuple):
    """A pending request for the table of a previous home.

    Attributes:
        previous_home: Daemon that was the home in the previous term.
        term: Term in which this daemon is the home.
        attempts_left: Remaining number of attempts.
    """

    previous_home: str
    term: int
    attempts_left: int


class TableReply(NamedTuple):
    """The result of one attempt to get a table.

    Attributes:
        ask: The message that was sent.
        outcome: The reply, or the fault of the links.
    """

    ask: HomeTableRequest
    outcome: Result[Message, Fault]


class HomeTransfer:
    """Requests the tables of the groups for which this daemon became the home.

    `tick` is called by one thread, a few times a second.

    Attributes:
        counters: Number of tables `loaded` and of attempts that `failed`.
    """

    def __init__(
        self,
        daemon_name: str,
        state: Callable[[], State],
        links: Links,
        handler: HomeHandler,
    ) -> None:
        self._daemon_name = daemon_name
        self._state = state
        self._links = links
        self._handler = handler
        self._last_terms: dict[str, GranterTerm] = {}
        self._table_requests: dict[str, TableRequest] = {}
        self._in_flight: set[str] = set()
        self._replies: queue.SimpleQueue[TableReply] = queue.SimpleQueue()
        self.counters: Counter[str] = Counter()

    def tick(self) -> None:
        """Tracks the terms, requests tables and frees tables of other homes."""
        for group, granter_term in list(self._state().granter_terms.items()):
            if group.startswith(HOME_PREFIX):
                self._track_term(group, granter_term)
        while not self._replies.empty():
            self._handle_reply(self._replies.get())
        for group in set(self._table_requests) - self._in_flight:
            self._request_table(group)
        self._handler.enter_own_terms()
        self._handler.sweep()

    def _track_term(self, group: str, granter_term: GranterTerm) -> None:
        before = self._last_terms.get(group)
        self._last_terms[group] = granter_term
        if before is None or before.term == granter_term.term:
            return
        self._table_requests.pop(group, None)
        is_next_term = before.term + 1 == granter_term.term
        if is_next_term and granter_term.granter == self._daemon_name != before.granter:
            self._table_requests[group] = TableRequest(
                before.granter, granter_term.term, MAX_REQUEST_ATTEMPTS
            )

    def _request_table(self, group: str) -> None:
        table_request = self._table_requests[group]
        if not table_request.attempts_left:
            del self._table_requests[group]
            return
        self._table_requests[group] = table_request._replace(
            attempts_left=table_request.attempts_left - 1
        )
        self._in_flight.add(group)
        ask = HomeTableRequest(group, table_request.term - 1)
        future = self._links.request(
            table_request.previous_home, ask, REQUEST_TIMEOUT_MS
        )
        future.add_done_callback(
            lambda done: self._replies.put(TableReply(ask, done.result()))
        )

    def _handle_reply(self, reply: TableReply) -> None:
        group = reply.ask.group
        self._in_flight.discard(group)
        table_request = self._table_requests.get(group)
        if table_request is None or table_request.term != reply.ask.term + 1:
            return
        if self._load_table(reply, table_request.term):
            self.counters["loaded"] += 1
            del self._table_requests[group]
        else:
            self.counters["failed"] += 1

    def _load_table(self, reply: TableReply, term: int) -> bool:
        table = reply.outcome.ok()
        if not isinstance(table, HomeTable) or not table.is_given:
            return False
        if (table.group, table.term) != tuple(reply.ask):
            return False
        kept = message_to_table_snapshot(table)
        return kept is not None and self._handler.take_over(table.group, term, kept)
