"""What a home says about an attempt, and how an attempt may end."""

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
        name: Its name on the wire.
        code: Code of the refusal; None when it is none.
        reported_outcome: `NOT_RUN` or `UNKNOWN`; "" when the verdict is no refusal.
            `NOT_RUN` is for verdicts that cover every earlier attempt with the key.
        may_retry: Whether a repeat with the same key makes sense.
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
    """The attempt ran and has its whole answer.

    Attributes:
        status: HTTP status.
        headers: Header fields that the caller gets.
        body: The whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@outcome("dropped")
class AnswerDropped(NamedTuple):
    """The attempt ran and was answered; the answer is too large to keep.

    Attributes:
        status: HTTP status.
    """

    status: int


@outcome("not-run")
class NotRun(NamedTuple):
    """The attempt did not run and never will."""


@outcome("unknown")
class OutcomeUnknown(NamedTuple):
    """The attempt was sent and its outcome cannot be known."""


Outcome = Answered | AnswerDropped | NotRun | OutcomeUnknown


@verdict("run")
class Run(NamedTuple):
    """The attempt may run, once.

    Attributes:
        term: Term of the home.
    """

    term: int


@verdict("recorded")
class Recorded(NamedTuple):
    """The request was answered before.

    Attributes:
        answer: The first answer.
    """

    answer: Answered


@verdict("dropped", codes.KEY_ANSWER_DROPPED, UNKNOWN)
class RecordedDropped(NamedTuple):
    """The request was answered before and the answer was not kept.

    Attributes:
        status: HTTP status of the first answer.
    """

    status: int


@verdict("in_progress", codes.KEY_IN_PROGRESS, UNKNOWN, may_retry=True)
class InProgress(NamedTuple):
    """An earlier attempt runs; its deadline has not passed."""


@verdict("mismatch", codes.KEY_REUSED, NOT_RUN)
class RequestMismatch(NamedTuple):
    """The key belongs to another tenant, route or body."""


@verdict("unknown", codes.KEY_OUTCOME_UNKNOWN, UNKNOWN)
class ExecutionUnknown(NamedTuple):
    """An earlier attempt was allowed, and it is not known whether it ran."""


@verdict("forgotten", codes.KEY_FORGOTTEN, UNKNOWN)
class Forgotten(NamedTuple):
    """The key is not known here, and a former home or entry may have held it.

    Attributes:
        wait_ms: Time until keys minted then are known; 0 when those minted now
            are.
    """

    wait_ms: int


@verdict("not_home", codes.HOME_UNCONFIRMED, UNKNOWN, may_retry=True)
class NotHome(NamedTuple):
    """The daemon asked is not, or not surely, the home of the key."""


@verdict("no_homes", codes.HOMES_NONE, UNKNOWN, may_retry=True)
class NoHomes(NamedTuple):
    """The file in force names no homes."""


@verdict("unreachable", codes.HOME_UNREACHABLE, UNKNOWN, may_retry=True)
class Unreachable(NamedTuple):
    """The home did not answer."""


@verdict("late", codes.HOME_LATE, UNKNOWN, may_retry=True)
class AllowedTooLate(NamedTuple):
    """The home allowed the attempt after its deadline."""


@verdict("clock_behind", codes.HOME_CLOCK_BEHIND, UNKNOWN, may_retry=True)
class ClockBehind(NamedTuple):
    """The home's clock is behind the entry daemon's by more than the skew."""


@verdict("from_future", codes.KEY_FROM_FUTURE, NOT_RUN)
class FromFuture(NamedTuple):
    """The key was minted later than now plus the skew."""


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
