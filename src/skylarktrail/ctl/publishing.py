"""Publication of an operator file: appended, then followed to its fate."""

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
PAUSE_S = 0.2


class Outcome(Enum):
    """How a publication ended.

    Attributes:
        ACCEPTED: The file is in force, or was until a later one.
        CONFLICT: Another file came in force after the one it was derived from.
        INVALID: The file breaks a rule; it changed nothing.
        NO_ANSWER: The log did not answer; nothing was sent.
        UNKNOWN: The file was sent and its fate was not read in time.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    NO_ANSWER = "no-answer"
    UNKNOWN = "unknown"


class Publication(NamedTuple):
    """A publication and its fate.

    Attributes:
        outcome: How it ended.
        revision: Its revision when accepted, else the one in force as last read.
        faults: Why it was not accepted.
    """

    outcome: Outcome
    revision: int
    faults: tuple[Fault, ...] = ()


class Publisher:
    """Publishes one file; a repetition with the same identifier counts once.

    Args:
        log: Client of the log.
        publish: The publication.
        timeout_s: When to give up.
        clock: Monotonic clock in seconds.
        pause: Waits between two tries.
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
        self._end_s = clock() + timeout_s

    def run(self) -> Publication:
        """Publishes the file and follows it to its fate."""
        fault = self._catch_up()
        if fault is not None:
            return Publication(Outcome.NO_ANSWER, 0, (fault,))
        known = self._find_fate() or self._refuse_early()
        return known or self._append_until_read()

    def _catch_up(self) -> Fault | None:
        """Reads to the end of the log, trying again until the time is up."""
        while True:
            outcome = self._view.catch_up()
            if outcome.is_ok():
                return None
            if self._clock() >= self._end_s:
                return outcome.err_value
            self._pause(PAUSE_S)

    def _refuse_early(self) -> Publication | None:
        """Finds what the log would refuse, so that nothing need be sent."""
        state = self._view.state
        if self._publish.base_revision != state.revision:
            return self._conflict()
        faults = check_change(state.file, self._publish.file)
        if faults:
            return Publication(Outcome.INVALID, state.revision, tuple(faults))
        return None

    def _append_until_read(self) -> Publication:
        record = encode(Envelope(WRITER, self._publish.publish_id, 1, self._publish))
        while True:
            self._log.append(record)
            fault = self._catch_up()
            fate = self._find_fate()
            if fate is not None:
                return fate
            if self._clock() >= self._end_s:
                return self._unknown(fault)
            self._pause(PAUSE_S)

    def _find_fate(self) -> Publication | None:
        view = self._view
        if view.verdict is None:
            return None
        if view.verdict == log_codes.RECORD_ACCEPTED:
            return Publication(Outcome.ACCEPTED, view.offset)
        if view.verdict == log_codes.REVISION_CONFLICT:
            return self._conflict()
        fault = Fault(view.verdict, "", f"at offset {view.offset}")
        return Publication(Outcome.INVALID, view.state.revision, (fault,))

    def _conflict(self) -> Publication:
        revision = self._view.state.revision
        base = self._publish.base_revision
        detail = f"derived from {base}; in force is {revision}"
        fault = Fault(log_codes.REVISION_CONFLICT, "", detail)
        return Publication(Outcome.CONFLICT, revision, (fault,))

    def _unknown(self, cause: Fault | None) -> Publication:
        detail = str(cause) if cause else "not read back yet"
        fault = Fault(codes.FATE_UNKNOWN, "", detail)
        return Publication(Outcome.UNKNOWN, self._view.state.revision, (fault,))
