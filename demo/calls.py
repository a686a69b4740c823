"""Calls of the load, their tries and their results."""

from __future__ import annotations

from enum import Enum
from typing import Iterable, NamedTuple


class Outcome(Enum):
    """What a caller knows after a try or a call.

    `ANSWERED`: the whole answer to this call. `NOT_RUN` and `UNKNOWN`: as the daemon
    said, or `UNKNOWN` after a connection that broke. `UNSENT`: no connection to the
    daemon. `FOREIGN`: the answer to another call. `FAILED`: any other answer.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    UNSENT = "unsent"
    FOREIGN = "foreign"
    FAILED = "failed"


SAFE_OUTCOMES = (Outcome.NOT_RUN, Outcome.UNSENT)


class Call(NamedTuple):
    """One request that a caller means to make.

    Attributes:
        tag: Unique; sent in the query and echoed in the answer.
        due_ms: Intended time on CLOCK_MONOTONIC.
        service: Service called.
        method: HTTP method.
        path: Path without the query.
        key: Key at a keyed service; else "".
        tenant: Tenant that calls.
        idempotency_key: Key of a request that must run at most once; else "".
        body: Body, "" for none.
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
        daemon: Daemon tried.
        begin_ms: When it began.
        end_ms: When its outcome was known.
        outcome: What the caller knows then.
        retry_after_ms: When a refusal says to come back; 0 for none.
        status: HTTP status of the answer; 0 for none.
        code: Numbered code of a refusal; 0 for none.
        detail: Instance that answered, or the error.
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
    """Tells whether none of these tries can have run."""
    return all(item.outcome in SAFE_OUTCOMES for item in tries)


class CallResult(NamedTuple):
    """A finished call.

    Attributes:
        call: The call.
        tries: Its tries in order; the last one decides.
    """

    call: Call
    tries: tuple[Attempt, ...]

    @property
    def outcome(self) -> Outcome:
        """Outcome of the last try; one that was never sent did not run."""
        last = self.tries[-1].outcome
        if last not in SAFE_OUTCOMES:
            return last
        return Outcome.NOT_RUN if is_certainly_not_run(self.tries) else Outcome.UNKNOWN

    @property
    def latency_ms(self) -> float:
        """Time from the intended moment to the last outcome."""
        return self.tries[-1].end_ms - self.call.due_ms
