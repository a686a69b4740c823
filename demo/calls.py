"""Calls of the generated load, their attempts and their results."""

from __future__ import annotations

from enum import Enum
from typing import Iterable, NamedTuple


class Outcome(Enum):
    """What a caller knows after an attempt or a call.

    Attributes:
        ANSWERED: The complete response to this call arrived.
        NOT_RUN: The daemon reported that the request did not run.
        UNKNOWN: The daemon reported an unknown outcome, or the connection broke.
        UNSENT: The caller could not connect to a daemon.
        FOREIGN: The response to another call arrived.
        FAILED: Any other response arrived.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    UNSENT = "unsent"
    FOREIGN = "foreign"
    FAILED = "failed"


NOT_RUN_OUTCOMES = (Outcome.NOT_RUN, Outcome.UNSENT)


class Call(NamedTuple):
    """One request of a caller, which may take several attempts.

    Attributes:
        tag: Unique id; sent in the query and echoed in the response.
        due_ms: Scheduled start on CLOCK_MONOTONIC.
        service: Service called.
        method: HTTP method.
        path: Path without the query.
        key: Key for a keyed service; else "".
        tenant: Tenant that calls.
        idempotency_key: Key of a request that must run at most once; else "".
        body: Body; "" for none.
    """

    tag: str
    due_ms: float
    service: str
    method: str
    path: str
    key: str
    tenant: str
    idempotency_key: str
    body: str


class Attempt(NamedTuple):
    """One attempt of a caller through one daemon.

    Attributes:
        daemon: Daemon that the attempt was sent to; "" if none was ready.
        begin_ms: CLOCK_MONOTONIC at its start.
        end_ms: CLOCK_MONOTONIC when its outcome was known.
        outcome: What the caller knows afterwards.
        retry_after_ms: Delay that a refusal asks for; 0 for none.
        status: HTTP status of the response; 0 for none.
        code: Numbered code of a refusal; 0 for none.
        detail: Instance that answered, or the name of the error.
    """

    daemon: str
    begin_ms: float
    end_ms: float
    outcome: Outcome
    retry_after_ms: float = 0.0
    status: int = 0
    code: int = 0
    detail: str = ""


def is_certainly_not_run(tries: Iterable[Attempt]) -> bool:
    """Returns whether none of these attempts can have run."""
    return all(item.outcome in NOT_RUN_OUTCOMES for item in tries)


class CallResult(NamedTuple):
    """A finished call.

    Attributes:
        call: The call.
        tries: Its attempts in order; the last one decides the outcome.
    """

    call: Call
    tries: tuple[Attempt, ...]

    @property
    def outcome(self) -> Outcome:
        """Outcome of the last attempt.

        If that attempt did not run, the call did not run only if no earlier attempt
        can have run.
        """
        last = self.tries[-1].outcome
        if last not in NOT_RUN_OUTCOMES:
            return last
        return Outcome.NOT_RUN if is_certainly_not_run(self.tries) else Outcome.UNKNOWN

    @property
    def latency_ms(self) -> float:
        """Time from the scheduled start to the end of the last attempt."""
        return self.tries[-1].end_ms - self.call.due_ms
