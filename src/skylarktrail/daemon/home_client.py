"""Client of the homes of idempotency keys.

The home of a key is the daemon that records which attempt ran and its response. It is
asked before a request with the key runs.
"""

from __future__ import annotations

import secrets
import uuid
from collections import Counter
from concurrent.futures import Future, TimeoutError
from typing import Callable, NamedTuple, Protocol

from result import Err, Result

from ..core.idempotency.keys import home_group_of, is_well_formed, parse_key
from ..core.idempotency.table import Attempt
from ..core.idempotency.verdicts import (
    AllowedTooLate,
    AnswerDropped,
    Answered,
    Forgotten,
    Malformed,
    NoHomes,
    NotHome,
    NotRun,
    Outcome,
    OutcomeUnknown,
    Recorded,
    Run,
    Unreachable,
    Verdict,
)
from ..core.state import State
from ..errors import peer as peer_codes
from ..errors.code import Fault
from ..peer.messages import HomeBegin, HomeVerdict, Message
from ..peer.verdicts import message_to_verdict, outcome_to_message
from . import fields
from .dispatch import DispatchResult, jittered_retry_after_ms
from .home_handler import MAX_TIME_LEFT_MS, SYSTEM_CLOCKS, Clocks, HomeHandler
from .problem import Problem
from .response import Response

__all__ = ["HomeClient", "HomeHandler", "StartedAttempt"]

ATTEMPT_ID_BYTES = 16
VERDICT_TIMEOUT_MS = 500
MAX_RECORDED_BYTES = 1 << 19

Dispatch = Callable[[fields.Fields], DispatchResult]


class Links(Protocol):
    """The part of `PeerLinks` that is used here."""

    def send(self, daemon: str, message: Message) -> bool:
        """Queues a message; returns False when it was dropped."""

    def request(
        self, daemon: str, message: Message, timeout_ms: int
    ) -> Future[Result[Message, Fault]]:
        """Sends a request; the future holds the reply or a fault, and never raises."""


class StartedAttempt(NamedTuple):
    """An attempt and its verdict; passed to `HomeClient.finish` after a `Run`.

    Attributes:
        verdict: Verdict of the home.
        key: Idempotency key.
        attempt_id: Identifies the attempt; empty when no home was asked.
        group: Home group; "" when no home was asked.
        home: Daemon that was asked; "" when none was.
    """

    verdict: Verdict
    key: uuid.UUID
    attempt_id: bytes = b""
    group: str = ""
    home: str = ""

    def home_term(self) -> str:
        """Returns the value of `Skylark-Home-Term`: the home's group and term."""
        return f'"{self.group}";term={self.verdict.term}'


class HomeClient:
    """Asks the home of each key, which is this daemon or a peer.

    Any thread may call the methods.

    Attributes:
        counters: Number of verdicts by name, of lost verdicts and lost outcomes.
    """

    def __init__(
        self,
        daemon_name: str,
        state: Callable[[], State],
        links: Links,
        handler: HomeHandler,
        clocks: Clocks = SYSTEM_CLOCKS,
        verdict_timeout_ms: int = VERDICT_TIMEOUT_MS,
    ) -> None:
        """Creates a client.

        Args:
            daemon_name: Name of this daemon.
            state: Returns the folded state.
            links: Links to the other daemons.
            handler: Handles the keys whose home is this daemon.
            clocks: Sources of time.
            verdict_timeout_ms: Timeout of a verdict.
        """
        self._daemon_name = daemon_name
        self._state = state
        self._links = links
        self._handler = handler
        self._clocks = clocks
        self._verdict_timeout_ms = verdict_timeout_ms
        self.counters: Counter[str] = Counter()

    def run_once(
        self, key_field: str, digest: bytes, deadline_ms: float, dispatch: Dispatch
    ) -> Response | Problem:
        """Runs a request unless an attempt with its key may have run.

        Args:
            key_field: Value of the `Idempotency-Key` header field.
            digest: Digest of tenant, key, method, path, query and body.
            deadline_ms: Deadline by the monotonic clock.
            dispatch: Sends the request with additional header fields.

        Returns:
            The response of this or of the first attempt, or a refusal.
        """
        key = parse_key(key_field)
        if key is None:
            return verdict_to_reply(Malformed())
        started_attempt = self.begin(key, digest, deadline_ms)
        if not isinstance(started_attempt.verdict, Run):
            return verdict_to_reply(started_attempt.verdict)
        outcome: Outcome = OutcomeUnknown()
        try:
            dispatch_result = dispatch(
                [(fields.HOME_TERM, started_attempt.home_term())]
            )
            outcome = _to_outcome(dispatch_result)
            return dispatch_result.reply
        finally:
            self.finish(started_attempt, outcome)

    def begin(
        self, key: uuid.UUID, digest: bytes, deadline_ms: float
    ) -> StartedAttempt:
        """Asks the home whether a request may run; returns before the deadline.

        Args:
            key: Idempotency key of the request.
            digest: Digest of tenant, key, method, path, query and body.
            deadline_ms: Deadline by the monotonic clock.

        Returns:
            The attempt with its verdict. After `Run` the caller must send the
            request at most once, and call `finish` in any case.
        """
        started_attempt = self._start_attempt(key, digest, deadline_ms)
        self.counters[started_attempt.verdict.kind] += 1
        return started_attempt

    def finish(self, started_attempt: StartedAttempt, outcome: Outcome) -> None:
        """Sends the home the outcome of an attempt with the verdict `Run`."""
        if (
            isinstance(outcome, Answered)
            and _recorded_bytes(outcome) > MAX_RECORDED_BYTES
        ):
            outcome = AnswerDropped(outcome.status)
        if started_attempt.home == self._daemon_name:
            self._handler.finish(
                started_attempt.group,
                started_attempt.key,
                started_attempt.attempt_id,
                outcome,
            )
            return
        message = outcome_to_message(
            started_attempt.group,
            started_attempt.key.bytes,
            started_attempt.attempt_id,
            outcome,
        )
        if not self._links.send(started_attempt.home, message):
            self.counters["outcome_lost"] += 1

    def _start_attempt(
        self, key: uuid.UUID, digest: bytes, deadline_ms: float
    ) -> StartedAttempt:
        if not is_well_formed(key):
            return StartedAttempt(Malformed(), key)
        state = self._state()
        homes = state.file.get("idempotency", {}).get("homes", 0)
        if not homes:
            return StartedAttempt(NoHomes(), key)
        group = home_group_of(key, homes)
        granter_term = state.granter_terms.get(group)
        if granter_term is None or granter_term.resigned:
            return StartedAttempt(NotHome(), key)
        time_left_ms = min(int(deadline_ms - self._clocks.now_ms()), MAX_TIME_LEFT_MS)
        if time_left_ms <= 0:
            return StartedAttempt(AllowedTooLate(), key)
        attempt_id = secrets.token_bytes(ATTEMPT_ID_BYTES)
        wall_ms = self._clocks.wall_ms()
        attempt = Attempt(key, digest, attempt_id, time_left_ms, wall_ms)
        verdict = self._request_verdict(group, granter_term.granter, attempt)
        started_attempt = StartedAttempt(
            verdict, key, attempt_id, group, granter_term.granter
        )
        if isinstance(verdict, Run) and self._clocks.now_ms() >= deadline_ms:
            self.finish(started_attempt, NotRun())
            return started_attempt._replace(verdict=AllowedTooLate())
        return started_attempt

    def _request_verdict(self, group: str, home: str, attempt: Attempt) -> Verdict:
        if home == self._daemon_name:
            return self._handler.decide(group, attempt)
        message = HomeBegin(
            group,
            attempt.key.bytes,
            attempt.digest,
            attempt.id,
            attempt.time_left_ms,
            attempt.wall_ms,
        )
        timeout_ms = min(attempt.time_left_ms, self._verdict_timeout_ms)
        reply = self._wait_for_reply(self._links.request(home, message, timeout_ms))
        if isinstance(reply, Err):
            if reply.err_value.code == peer_codes.REQUEST_UNANSWERED:
                self._cancel_attempt(group, home, attempt)
            return Unreachable()
        verdict = read_verdict(attempt, reply.ok_value)
        if verdict is None:
            self._cancel_attempt(group, home, attempt)
            return Unreachable()
        return verdict

    def _wait_for_reply(
        self, future: Future[Result[Message, Fault]]
    ) -> Result[Message, Fault]:
        try:
            return future.result(2 * self._verdict_timeout_ms / 1000)
        except TimeoutError:  # The thread of the links is blocked.
            return Err(Fault(peer_codes.REQUEST_UNANSWERED))

    def _cancel_attempt(self, group: str, home: str, attempt: Attempt) -> None:
        """Frees a key whose verdict was lost, since the attempt never runs."""
        self.counters["verdict_lost"] += 1
        key = attempt.key.bytes
        self._links.send(home, outcome_to_message(group, key, attempt.id, NotRun()))


def read_verdict(attempt: Attempt, message: Message) -> Verdict | None:
    """Returns the verdict of a reply, or None if it is for another request."""
    if not isinstance(message, HomeVerdict) or message.attempt != attempt.id:
        return None
    return message_to_verdict(message)


def _recorded_bytes(answer: Answered) -> int:
    header_size = sum(len(name) + len(value) for name, value in answer.headers)
    return header_size + len(answer.body)


def _to_outcome(dispatch_result: DispatchResult) -> Outcome:
    if isinstance(dispatch_result.reply, Response):
        response = dispatch_result.reply
        headers = tuple((name, value) for name, value in response.headers)
        return Answered(response.status, headers, response.body)
    return OutcomeUnknown() if dispatch_result.may_have_run else NotRun()


def verdict_to_reply(verdict: Verdict) -> Response | Problem:
    """Returns the recorded response or the refusal that a verdict stands for."""
    if isinstance(verdict, Recorded):
        answer = verdict.answer
        return Response(answer.status, list(answer.headers), answer.body)
    retry_ms = jittered_retry_after_ms() if verdict.may_retry else None
    if isinstance(verdict, Forgotten):
        retry_ms = verdict.wait_ms + jittered_retry_after_ms()
    return Problem(
        verdict.code,
        verdict.reported_outcome,
        retry_after_ms=retry_ms,
        attempt=fields.NOT_RUN,
    )
