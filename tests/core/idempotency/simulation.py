"""Simulation of entry daemons, homes, callers and an unreliable network.

It runs on a virtual clock.

`Simulation` is driven by a hypothesis machine in the tests and by a seeded random
source in `benchmarks/soak_idempotency.py`. Every choice is an integer below a
bound, drawn by the function `choose`.
"""

from __future__ import annotations

import uuid
from typing import Callable, NamedTuple, TypeVar

from skylarktrail.core.idempotency.home import Home
from skylarktrail.core.idempotency.table import (
    Attempt,
    IdempotencyTable,
    TableLimits,
    TableSnapshot,
    TermView,
)
from skylarktrail.core.idempotency.verdicts import (
    NOT_RUN,
    Answered,
    NotRun,
    Outcome,
    OutcomeUnknown,
    Recorded,
    RequestMismatch,
    Run,
    Verdict,
)

DAEMON_COUNT = 3
INSTANCE_OUTCOME_COUNT = 5
MAX_IN_FLIGHT_MESSAGES = 12
RECENT_KEY_COUNT = 8
AUTHORITY_MS = 1000
SKEW_MS = 200
KEEP_MS = 6000
START_MS = 1_000_000
DEADLINE_MS = 1500
TIME_STEPS_MS = (1, 5, 5, 20, 20, 50, 50, 100, 100, 300, 300, 1100, 5000)
LIMITS = TableLimits(max_bytes=9000, max_entries=10, keep_ms=KEEP_MS, skew_ms=SKEW_MS)
CALLER_CLOCK_ERRORS_MS = (
    0,
    0,
    0,
    -SKEW_MS,
    SKEW_MS,
    SKEW_MS,
    SKEW_MS,
    -3000,
    2500,
    3000,
)
DAEMON_CLOCK_ERRORS_MS = (-SKEW_MS // 2, 0, SKEW_MS // 2)
TIMESTAMP_SHIFT_BITS = 80
VERSION_AND_VARIANT = (7 << 76) | (2 << 62)

Choose = Callable[[int], int]
Action = Callable[["Simulation", Choose], None]
ActionType = TypeVar("ActionType", bound=Action)
ACTIONS: dict[str, Action] = {}
WEIGHTED_NAMES: list[str] = []


def action(weight: int) -> Callable[[ActionType], ActionType]:
    """Registers an action of the simulation.

    Args:
        weight: Relative frequency in random runs.
    """

    def register(function: ActionType) -> ActionType:
        ACTIONS[function.__name__] = function
        WEIGHTED_NAMES.extend([function.__name__] * weight)
        return function

    return register


class InvariantViolation(AssertionError):
    """Raised when an invariant is violated."""


class Begin(NamedTuple):
    """Message with an attempt to the home."""

    daemon: int
    attempt: Attempt


class Finish(NamedTuple):
    """Message with the outcome of an attempt to the home."""

    daemon: int
    key: uuid.UUID
    attempt_id: bytes
    outcome: Outcome


class VerdictMessage(NamedTuple):
    """Message with a verdict to the entry daemon."""

    attempt_id: bytes
    verdict: Verdict


class HandOver(NamedTuple):
    """Message with the snapshot of a stopped home to its successor."""

    daemon: int
    term: int
    previous_term: int
    table_snapshot: TableSnapshot


Message = Begin | Finish | VerdictMessage | HandOver


class PausedAttempt(NamedTuple):
    """An attempt whose home was paused after it had read its term."""

    attempt: Attempt
    wall_ms: int
    view: TermView


class EntryAttempt:
    """State of an attempt at its entry daemon."""

    def __init__(self, entry: int, home: int, attempt: Attempt) -> None:
        self.entry = entry
        self.home = home
        self.attempt = attempt
        self.is_waiting = True
        self.was_refused = False


class Daemon:
    """State of one daemon process: clock error, home and authority."""

    def __init__(self, clock_error_ms: int, make_home: Callable[[], Home]) -> None:
        self.clock_error_ms = clock_error_ms
        self.home = make_home()
        self.paused_attempt: PausedAttempt | None = None
        self.confirmed_until_ms = 0
        self.confirmation_requested_ms = 0
        self.term = 0
        self.acting_since_ms = 0


class Simulation:
    """The simulated site.

    Checks the invariants after every action.
    """

    home_type: type[Home] = Home
    table_type: type[IdempotencyTable] = IdempotencyTable

    def __init__(self) -> None:
        self.now_ms = START_MS
        self.daemons = [
            Daemon(error, self._make_home) for error in DAEMON_CLOCK_ERRORS_MS
        ]
        self.granter = 0
        self.term = 0
        self.keys: list[uuid.UUID] = []
        self.tries: dict[bytes, EntryAttempt] = {}
        self.waiting: list[EntryAttempt] = []
        self.allowed_attempts: list[EntryAttempt] = []
        self.network: list[Message] = []
        self.runs: dict[uuid.UUID, bytes] = {}
        self.answers: dict[uuid.UUID, Answered] = {}
        self.verdicts: dict[str, int] = {}
        self.handed_over_count = 0
        self._start_term(0, START_MS)

    def step(self, choose: Choose) -> None:
        """Runs one random action and checks the invariants."""
        name = WEIGHTED_NAMES[choose(len(WEIGHTED_NAMES))]
        ACTIONS[name](self, choose)
        self._drop_oldest()
        self.check()

    def _drop_oldest(self) -> None:
        """Limits the messages and attempts in flight, so that most are recent."""
        del self.network[:-MAX_IN_FLIGHT_MESSAGES]
        for entry_attempt in self.waiting[:-MAX_IN_FLIGHT_MESSAGES]:
            entry_attempt.is_waiting = False
        del self.waiting[:-MAX_IN_FLIGHT_MESSAGES]

    def check(self) -> None:
        """Checks the invariants of the tables.

        Raises:
            InvariantViolation: An invariant is violated.
        """
        for daemon in self.daemons:
            table = daemon.home.table
            if len(table) > LIMITS.max_entries or table.size_bytes > LIMITS.max_bytes:
                raise InvariantViolation("a table exceeds its limits")
            if table.size_bytes < 0 or (not len(table) and table.size_bytes):
                raise InvariantViolation("the estimated size of a table is wrong")

    def _make_home(self) -> Home:
        home = self.home_type(LIMITS)
        home.table = self.table_type(LIMITS)
        return home

    # Actions of terms.

    def _start_term(self, index: int, acting_since_ms: int) -> None:
        daemon = self.daemons[index]
        self.term += 1
        self.granter = index
        daemon.term = self.term
        daemon.acting_since_ms = acting_since_ms
        daemon.confirmed_until_ms = self.now_ms + AUTHORITY_MS

    def _earliest_acting_ms(self) -> int:
        """Returns the earliest time at which a successor may act.

        It assumes that the granter stops now. A granter that stops before it began to
        act passes on the wait for its predecessor.
        """
        return max(self.now_ms, self.daemons[self.granter].acting_since_ms)

    def view(self, index: int) -> TermView:
        """Returns the term of a daemon as the daemon knows it now."""
        daemon = self.daemons[index]
        is_confirmed = daemon.acting_since_ms <= self.now_ms < daemon.confirmed_until_ms
        since_ms = daemon.acting_since_ms + daemon.clock_error_ms
        return TermView(is_confirmed and daemon.term > 0, since_ms, daemon.term)

    @action(20)
    def pass_time(self, choose: Choose) -> None:
        self.now_ms += TIME_STEPS_MS[choose(len(TIME_STEPS_MS))]

    @action(2)
    def ask_confirmation(self, choose: Choose) -> None:
        self.daemons[choose(DAEMON_COUNT)].confirmation_requested_ms = self.now_ms

    @action(40)
    def renew_confirmation(self, choose: Choose) -> None:
        """The granter requests confirmation and receives it at once."""
        self.daemons[self.granter].confirmation_requested_ms = self.now_ms
        self.confirm(choose)

    @action(2)
    def confirm(self, choose: Choose) -> None:
        """The granter receives the confirmation of its last request."""
        daemon = self.daemons[self.granter]
        until_ms = daemon.confirmation_requested_ms + AUTHORITY_MS
        daemon.confirmed_until_ms = max(daemon.confirmed_until_ms, until_ms)

    @action(2)
    def claim(self, choose: Choose) -> None:
        """A daemon claims the next term; its earlier requests count no more."""
        index = choose(DAEMON_COUNT)
        is_own = index == self.granter
        since_ms = self._earliest_acting_ms() if is_own else self.now_ms + AUTHORITY_MS
        self.daemons[index].confirmation_requested_ms = self.now_ms
        self._start_term(index, since_ms)

    @action(2)
    def resign(self, choose: Choose) -> None:
        """The granter stops acting, then another daemon takes over."""
        self.daemons[self.granter].confirmed_until_ms = 0
        if self.daemons[self.granter].paused_attempt is None:
            index = choose(DAEMON_COUNT)
            self.daemons[index].confirmation_requested_ms = self.now_ms
            self._start_term(index, self._earliest_acting_ms())

    @action(1)
    def restart(self, choose: Choose) -> None:
        """A process restarts without its state; its term ends."""
        index = choose(DAEMON_COUNT)
        self.daemons[index] = Daemon(
            self.daemons[index].clock_error_ms, self._make_home
        )
        for entry_attempt in self.waiting:
            entry_attempt.is_waiting = (
                entry_attempt.is_waiting and entry_attempt.entry != index
            )
        self.allowed_attempts = [
            entry_attempt
            for entry_attempt in self.allowed_attempts
            if entry_attempt.entry != index
        ]
        if self.granter == index:
            self._start_term((index + 1) % DAEMON_COUNT, self.now_ms + AUTHORITY_MS)

    @action(12)
    def hand_over(self, choose: Choose) -> None:
        """A home whose term is over stops permanently and sends its snapshot."""
        previous_daemon = self.daemons[choose(DAEMON_COUNT)]
        is_over = 0 < previous_daemon.term < self.term
        if is_over and previous_daemon.paused_attempt is None:
            self._request_snapshot(previous_daemon, choose(3))

    def _request_snapshot(self, previous_daemon: Daemon, size: int) -> None:
        term = previous_daemon.term
        table_snapshot = previous_daemon.home.hand_over(
            self.now_ms, term, (1000, 3000, 9000)[size]
        )
        if table_snapshot is not None:
            self.handed_over_count += 1
            self.network.append(HandOver(self.granter, self.term, term, table_snapshot))

    # Actions of callers and entry daemons.

    @action(15)
    def send_first(self, choose: Choose) -> None:
        """A caller creates a key by its own clock and sends a request."""
        clock_error_ms = CALLER_CLOCK_ERRORS_MS[choose(len(CALLER_CLOCK_ERRORS_MS))]
        number = len(self.keys) + 1
        time = (self.now_ms + clock_error_ms) << TIMESTAMP_SHIFT_BITS
        self.keys.append(uuid.UUID(int=time | VERSION_AND_VARIANT | number))
        self._send_attempt(self.keys[-1], choose)

    @action(35)
    def send_again(self, choose: Choose) -> None:
        """A caller retries a recent request through any entry daemon."""
        recent = self.keys[-RECENT_KEY_COUNT:]
        if recent:
            self._send_attempt(recent[choose(len(recent))], choose)

    def _send_attempt(self, key: uuid.UUID, choose: Choose) -> None:
        entry = choose(DAEMON_COUNT)
        home = choose(DAEMON_COUNT) if choose(4) == 0 else self.granter
        body = b"other" if choose(12) == 11 else b"body"
        attempt_id = len(self.tries).to_bytes(16, "big")
        wall_ms = self.now_ms + self.daemons[entry].clock_error_ms
        attempt = Attempt(key, body, attempt_id, DEADLINE_MS, wall_ms)
        self.tries[attempt_id] = EntryAttempt(entry, home, attempt)
        self.waiting.append(self.tries[attempt_id])
        self.network.append(Begin(home, attempt))

    @action(3)
    def give_up(self, choose: Choose) -> None:
        """An entry daemon gives up an attempt, refuses the request and cancels it."""
        self.waiting = [
            entry_attempt for entry_attempt in self.waiting if entry_attempt.is_waiting
        ]
        if self.waiting:
            entry_attempt = self.waiting.pop(choose(len(self.waiting)))
            entry_attempt.is_waiting = False
            entry_attempt.was_refused = True
            self._finish(entry_attempt, NotRun())

    @action(40)
    def run(self, choose: Choose) -> None:
        """An entry daemon sends an allowed request to an instance, however late."""
        if not self.allowed_attempts:
            return
        entry_attempt = self.allowed_attempts.pop(choose(len(self.allowed_attempts)))
        outcome = choose(INSTANCE_OUTCOME_COUNT)
        if outcome == 0:
            entry_attempt.was_refused = True
            self._check_not_run(entry_attempt)
            self._finish(entry_attempt, NotRun())
            return
        self._execute(entry_attempt)
        key = entry_attempt.attempt.key
        if outcome == 1:
            self._finish(entry_attempt, OutcomeUnknown())
            return
        body = entry_attempt.attempt.id * (1, 1, 8, 60)[choose(4)]
        self.answers[key] = Answered(200, (("Location", "/1"),), body)
        self._finish(entry_attempt, self.answers[key])

    def _execute(self, entry_attempt: EntryAttempt) -> None:
        key = entry_attempt.attempt.key
        if entry_attempt.was_refused:
            raise InvariantViolation("an attempt ran after it was refused")
        if key in self.runs:
            raise InvariantViolation("a key ran twice")
        self.runs[key] = entry_attempt.attempt.id

    def _finish(self, entry_attempt: EntryAttempt, outcome: Outcome) -> None:
        attempt = entry_attempt.attempt
        self.network.append(
            Finish(entry_attempt.home, attempt.key, attempt.id, outcome)
        )

    # Actions of the network and the homes.

    @action(15)
    def deliver(self, choose: Choose) -> None:
        """Delivers one message, in any order."""
        if self.network:
            self._receive(self.network.pop(choose(len(self.network))), False)

    @action(110)
    def deliver_newest(self, choose: Choose) -> None:
        if self.network:
            self._receive(self.network.pop(), False)

    @action(10)
    def deliver_and_pause(self, choose: Choose) -> None:
        """Delivers a message and pauses the home after it has read its term."""
        if self.network:
            self._receive(self.network.pop(choose(len(self.network))), True)

    @action(2)
    def repeat_message(self, choose: Choose) -> None:
        if self.network:
            self.network.append(self.network[choose(len(self.network))])

    @action(2)
    def lose_message(self, choose: Choose) -> None:
        if self.network:
            self.network.pop(choose(len(self.network)))

    @action(6)
    def resume_home(self, choose: Choose) -> None:
        """A paused home continues with the term that it read before."""
        daemon = self.daemons[choose(DAEMON_COUNT)]
        if daemon.paused_attempt is not None:
            paused_attempt, daemon.paused_attempt = daemon.paused_attempt, None
            self._decide(daemon, paused_attempt)

    def _receive(self, message: Message, is_paused: bool) -> None:
        if isinstance(message, VerdictMessage):
            self._handle_verdict(message)
            return
        daemon = self.daemons[message.daemon]
        if daemon.paused_attempt is not None:
            self.network.append(message)
        elif isinstance(message, HandOver):
            daemon.home.take_over(
                self.now_ms, message.term, message.previous_term, message.table_snapshot
            )
        elif isinstance(message, Finish):
            daemon.home.finish(message.key, message.attempt_id, message.outcome)
        else:
            view = self.view(message.daemon)
            wall_ms = self.now_ms + daemon.clock_error_ms
            daemon.paused_attempt = PausedAttempt(message.attempt, wall_ms, view)
            if not is_paused:
                paused_attempt, daemon.paused_attempt = daemon.paused_attempt, None
                self._decide(daemon, paused_attempt)

    def _decide(self, daemon: Daemon, paused_attempt: PausedAttempt) -> None:
        wall_ms = self.home_wall_ms(daemon, paused_attempt)
        verdict = daemon.home.begin(
            self.now_ms, wall_ms, paused_attempt.attempt, paused_attempt.view
        )
        self.network.append(VerdictMessage(paused_attempt.attempt.id, verdict))

    def home_wall_ms(self, daemon: Daemon, paused_attempt: PausedAttempt) -> int:
        """Returns the wall clock time at which a home decides: after the pause."""
        return self.now_ms + daemon.clock_error_ms

    def _handle_verdict(self, message: VerdictMessage) -> None:
        entry_attempt = self.tries[message.attempt_id]
        if not entry_attempt.is_waiting:
            return
        entry_attempt.is_waiting = False
        name = message.verdict.kind
        self.verdicts[name] = self.verdicts.get(name, 0) + 1
        if isinstance(message.verdict, Run):
            self.allowed_attempts.append(entry_attempt)
        elif isinstance(message.verdict, Recorded):
            self._check_record(entry_attempt, message.verdict)
        entry_attempt.was_refused = not isinstance(message.verdict, Run)
        if message.verdict.reported_outcome == NOT_RUN and not isinstance(
            message.verdict, RequestMismatch
        ):
            self._check_not_run(entry_attempt)

    def _check_not_run(self, entry_attempt: EntryAttempt) -> None:
        """Checks that no attempt with the key has run."""
        if entry_attempt.attempt.key in self.runs:
            raise InvariantViolation(
                "not-run was reported although an attempt with the key had run"
            )

    def _check_record(self, entry_attempt: EntryAttempt, verdict: Recorded) -> None:
        key = entry_attempt.attempt.key
        if verdict.answer != self.answers.get(key):
            raise InvariantViolation("a recorded answer differs from the first answer")
        first = self.tries[self.runs[key]]
        if first.attempt.digest != entry_attempt.attempt.digest:
            raise InvariantViolation(
                "a recorded answer was returned to a different request"
            )
