"""Verdicts of a home about an attempt, and outcomes of an attempt."""

from __future__ import annotations

from typing import Callable, NamedTuple, TypeVar

from ...errors import idempotency as codes
from ...errors.code import Code

ClassType = TypeVar("ClassType", bound=type)
VERDICT_TYPES: dict[str, type] = {}
OUTCOME_TYPES: dict[str, type] = {}

NOT_RUN = "not-run"
UNKNOWN = "unknown"


def verdict(
    name: str,
    code: Code | None = None,
    reported_outcome: str = "",
    may_retry: bool = False,
) -> Callable[[ClassType], ClassType]:
    """Registers a verdict.

    Args:
        name: Name of the verdict on the wire.
        code: Error code of the refusal; None if the verdict is no refusal.
        reported_outcome: Outcome that the caller is told: `NOT_RUN` or `UNKNOWN`; "" if
            the verdict is no refusal. `NOT_RUN` must hold for every earlier attempt
            with the key, too.
        may_retry: Whether a retry with the same key can succeed.
    """

    def register(cls: ClassType) -> ClassType:
        cls.kind = name
        cls.code = code
        cls.reported_outcome = reported_outcome
        cls.may_retry = may_retry
        VERDICT_TYPES[name] = cls
        return cls

    return register


def outcome(name: str) -> Callable[[ClassType], ClassType]:
    """Registers an outcome under its name on the wire."""

    def register(cls: ClassType) -> ClassType:
        cls.kind = name
        OUTCOME_TYPES[name] = cls
        return cls

    return register


@outcome("answered")
class Answered(NamedTuple):
    """The attempt ran and its complete answer is known.

    Attributes:
        status: HTTP status.
        headers: Header fields of the answer to the caller.
        body: Complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@outcome("dropped")
class AnswerDropped(NamedTuple):
    """The attempt ran and was answered; the answer is too large to be recorded.

    Attributes:
        status: HTTP status.
    """

    status: int


@outcome("not-run")
class NotRun(NamedTuple):
    """The attempt did not run and will never run."""


@outcome("unknown")
class OutcomeUnknown(NamedTuple):
    """The attempt was sent and its outcome is unknown."""


Outcome = Answered | AnswerDropped | NotRun | OutcomeUnknown


@verdict("run")
class Run(NamedTuple):
    """The attempt may run once.

    Attributes:
        term: Term of the home.
    """

    term: int


@verdict("recorded")
class Recorded(NamedTuple):
    """The request was already answered.

    Attributes:
        answer: Recorded answer.
    """

    answer: Answered


@verdict("dropped", codes.KEY_ANSWER_DROPPED, UNKNOWN)
class RecordedDropped(NamedTuple):
    """The request was already answered, but the answer was not recorded.

    Attributes:
        status: HTTP status of the answer.
    """

    status: int


@verdict("in_progress", codes.KEY_IN_PROGRESS, UNKNOWN, may_retry=True)
class InProgress(NamedTuple):
    """An earlier attempt is running; its deadline has not passed."""


@verdict("mismatch", codes.KEY_REUSED, NOT_RUN)
class RequestMismatch(NamedTuple):
    """The key was used with another tenant, method, route or body."""


@verdict("unknown", codes.KEY_OUTCOME_UNKNOWN, UNKNOWN)
class ExecutionUnknown(NamedTuple):
    """An earlier attempt was allowed and it is unknown whether it ran."""


@verdict("forgotten", codes.KEY_FORGOTTEN, UNKNOWN)
class Forgotten(NamedTuple):
    """The key has no entry, but a previous home or a dropped entry may have had it.

    Attributes:
        wait_ms: Time until newly created keys are accepted; 0 if they are already.
    """

    wait_ms: int


@verdict("not_home", codes.HOME_UNCONFIRMED, UNKNOWN, may_retry=True)
class NotHome(NamedTuple):
    """The daemon is not, or not with certainty, the home of the key."""


@verdict("no_homes", codes.HOMES_NONE, UNKNOWN, may_retry=True)
class NoHomes(NamedTuple):
    """The operator file in force configures no homes."""


@verdict("unreachable", codes.HOME_UNREACHABLE, UNKNOWN, may_retry=True)
class Unreachable(NamedTuple):
    """The home did not reply."""


@verdict("late", codes.HOME_LATE, UNKNOWN, may_retry=True)
class AllowedTooLate(NamedTuple):
    """The home allowed the attempt only after the deadline of the request."""


@verdict("clock_behind", codes.HOME_CLOCK_BEHIND, UNKNOWN, may_retry=True)
class ClockBehind(NamedTuple):
    """The home's clock is behind the entry daemon's by more than the skew."""


@verdict("from_future", codes.KEY_FROM_FUTURE, NOT_RUN)
class FromFuture(NamedTuple):
    """The timestamp of the key is in the future by more than the skew."""


@verdict("malformed", codes.IDEMPOTENCY_KEY_MALFORMED, NOT_RUN)
class Malformed(NamedTuple):
    """The key is not a UUIDv7."""


Verdict = (
    Run
    | Recorded
    | RecordedDropped
    | InProgress
    | RequestMismatch
    | ExecutionUnknown
    | Forgotten
    | NotHome
    | NoHomes
    | Unreachable
    | AllowedTooLate
    | ClockBehind
    | FromFuture
    | Malformed
)
