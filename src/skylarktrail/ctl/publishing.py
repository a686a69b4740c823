"""Publication of an operator file: appends it and reads the log for its outcome."""

from __future__ import annotations

from enum import Enum
from time import monotonic, sleep
from typing import Any, Callable, NamedTuple

from ..config.changes import check_change
from ..core.records import Envelope, Publish
from ..errors import log as log_codes
from ..errors import tool as codes
from ..errors.code import Fault
from ..providers.interface import LogClient
from ..providers.record_codec import encode
from .log_view import LogView

WRITER = "operator"
RETRY_INTERVAL_S = 0.2


class Outcome(Enum):
    """How a publication ended.

    Attributes:
        ACCEPTED: The file is in force, or was in force until a later one.
        CONFLICT: Another file came in force after the one it was derived from.
        INVALID: The file breaks a rule and changed nothing.
        NO_ANSWER: The log did not respond; nothing was sent.
        UNKNOWN: The file was sent and its outcome was not read in time.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    NO_ANSWER = "no-answer"
    UNKNOWN = "unknown"


class Publication(NamedTuple):
    """Result of a publication.

    Attributes:
        outcome: How the publication ended.
        revision: Revision of the file if it was accepted, else the revision in force
            when the log was last read.
        faults: Reasons why the file was not accepted.
    """

    outcome: Outcome
    revision: int
    faults: tuple[Fault, ...] = ()


class Publisher:
    """Publishes one file; publishing with the same identifier is idempotent.

    Args:
        log: Client of the log.
        publish: The publication.
        timeout_s: Time after which no attempt is made any more, seconds.
        clock: Monotonic clock in seconds.
        pause: Waits between two attempts, for a time in seconds.
    """

    def __init__(
        self,
        log: LogClient,
        publish: Publish,
        timeout_s: float,
        clock: Callable[[], float] = monotonic,
        pause: Callable[[float], Any] = sleep,
    ) -> None:
        self._log = log
        self._publish = publish
        self._view = LogView(log, publish.publish_id)
        self._clock = clock
        self._pause = pause
        self._deadline_s = clock() + timeout_s

    def run(self) -> Publication:
        """Publishes the file and waits for its outcome."""
        fault = self._catch_up()
        if fault is not None:
            return Publication(Outcome.NO_ANSWER, 0, (fault,))
        result = self._find_result() or self._check_before_append()
        return result or self._append_until_found()

    def _catch_up(self) -> Fault | None:
        """Reads to the end of the log, with retries until the timeout.

        Returns:
            The fault of the last attempt, or None if the end was reached.
        """
        while True:
            outcome = self._view.catch_up()
            if outcome.is_ok():
                return None
            if self._clock() >= self._deadline_s:
                return outcome.err_value
            self._pause(RETRY_INTERVAL_S)

    def _check_before_append(self) -> Publication | None:
        """Returns the refusal of a file that the log would refuse, without sending it.

        Returns:
            The refusal, or None if the file may be sent.
        """
        state = self._view.state
        if self._publish.base_revision != state.revision:
            return self._make_conflict()
        faults = check_change(state.file, self._publish.file)
        if faults:
            return Publication(Outcome.INVALID, state.revision, tuple(faults))
        return None

    def _append_until_found(self) -> Publication:
        """Appends the record, again after each interval, until it is read back.

        An append without a response may still have taken effect. Duplicates are
        harmless, as only the first record of an identifier counts.
        """
        record = encode(Envelope(WRITER, self._publish.publish_id, 1, self._publish))
        while True:
            self._log.append(record)
            fault = self._catch_up()
            result = self._find_result()
            if result is not None:
                return result
            if self._clock() >= self._deadline_s:
                return self._make_unknown(fault)
            self._pause(RETRY_INTERVAL_S)

    def _find_result(self) -> Publication | None:
        """Returns the result by the verdict in the log; None if there is none yet."""
        view = self._view
        if view.verdict is None:
            return None
        if view.verdict == log_codes.RECORD_ACCEPTED:
            return Publication(Outcome.ACCEPTED, view.offset)
        if view.verdict == log_codes.REVISION_CONFLICT:
            return self._make_conflict()
        fault = Fault(view.verdict, "", f"at offset {view.offset}")
        return Publication(Outcome.INVALID, view.state.revision, (fault,))

    def _make_conflict(self) -> Publication:
        revision = self._view.state.revision
        base = self._publish.base_revision
        detail = f"derived from {base}; in force is {revision}"
        fault = Fault(log_codes.REVISION_CONFLICT, "", detail)
        return Publication(Outcome.CONFLICT, revision, (fault,))

    def _make_unknown(self, cause: Fault | None) -> Publication:
        detail = str(cause) if cause else "not read back yet"
        fault = Fault(codes.FATE_UNKNOWN, "", detail)
        return Publication(Outcome.UNKNOWN, self._view.state.revision, (fault,))
