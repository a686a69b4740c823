"""Role of one daemon in one granter group: claims, promises and resignation."""

from __future__ import annotations

from typing import Callable, NamedTuple

from ..records import Claim, Record, Resign
from ..state import HOME_PREFIX, GranterTerm, State
from .claimants import choose_heir
from .confirmation import Confirmation
from .granter import Authority, Granter
from .messages import AskPromise, Command, GivePromise, PromiseAsked, PromiseGiven
from .status import GroupStatus
from .timings import Identity, Timings


class PendingClaim(NamedTuple):
    """A claim that was appended and has not been read back.

    Attributes:
        token: Token of the `Append` command.
        term: Claimed term.
    """

    token: int
    term: int


class LocalContext:
    """What a daemon knows from other sources than the log, shared by its agents.

    All times are monotonic times of this daemon.

    Attributes:
        resumed_ms: When this daemon last resumed after a pause.
        read_started_ms: Start of the last complete read of the log.
        last_message_ms: When the last message of each daemon was received.
        gone_ms: From when on each daemon that is missing from the platform's list
            counts as gone.
        is_listed: Whether this daemon is in the platform's list.
        daemons: Daemons in the platform's list.
        draining: Whether this daemon is shutting down and resigns its groups.
    """

    def __init__(self) -> None:
        self.resumed_ms = 0.0
        self.read_started_ms: float | None = None
        self.last_message_ms: dict[str, float] = {}
        self.gone_ms: dict[str, float] = {}
        self.is_listed = False
        self.daemons: frozenset[str] = frozenset()
        self.draining = False

    def silence_ms(self, daemon: str, since_ms: float, now_ms: float) -> float:
        """Returns for how long no message of a daemon was received.

        Counts from `since_ms` or from the end of the last pause of this daemon at the
        earliest, because messages may have been missed before.
        """
        last_message_ms = self.last_message_ms.get(daemon, since_ms)
        return now_ms - max(since_ms, last_message_ms, self.resumed_ms)

    def reachable_daemons(self, span_ms: float, now_ms: float) -> set[str]:
        """Returns the daemons from which a message came within a time span."""
        return {
            name
            for name, at_ms in self.last_message_ms.items()
            if now_ms - at_ms < span_ms
        }

    def log_age_ms(self, now_ms: float) -> float | None:
        """Returns the age of the last complete read of the log; None before it."""
        if self.read_started_ms is None:
            return None
        return now_ms - self.read_started_ms


class GroupAgent:
    """Decides for one group when this daemon claims, promises, acts and resigns.

    Attributes:
        group: Granter group.
        granter: Assigns the slices in the terms of this process; always None for a
            home group, which has no slices.
    """

    def __init__(
        self,
        group: str,
        identity: Identity,
        timings: Timings,
        state: State,
        context: LocalContext,
        append: Callable[[Record], int],
    ) -> None:
        """Starts without a role; `update_term` has to be called next.

        Args:
            group: Granter group.
            identity: This process.
            timings: Durations of the protocol.
            state: The folded state.
            context: What this daemon knows from other sources than the log.
            append: Queues a record for the log and returns its token.
        """
        self.group = group
        self._identity = identity
        self._timings = timings
        self._state = state
        self._context = context
        self._append = append
        self._is_home = group.startswith(HOME_PREFIX)
        self._confirmation = Confirmation(timings.authority_ms)
        self._claim: PendingClaim | None = None
        self._resign_token = 0
        self._last_term: int | None = None
        self._initial_term = 0
        self._term_seen_ms = 0.0
        self._vacant_since_ms: float | None = None
        self._acting_since_ms: float | None = None
        self._last_promise_ms: float | None = None
        self._next_ask_ms = 0.0
        self._last_ask_id = 0
        self.granter: Granter | None = None

    # Roles according to the log

    def granter_term(self) -> GranterTerm | None:
        """Returns the current term of the group; None before the first claim."""
        return self._state.granter_terms.get(self.group)

    def is_joined(self) -> bool:
        """Tells whether the join of this process was read back."""
        member = self._state.members.get(self._identity.daemon)
        return member is not None and member.incarnation == self._identity.incarnation

    def is_granter(self) -> bool:
        """Tells whether this process is the granter of the current term.

        A term that began before this agent was created does not count, even if this
        process claimed it: the leases were lost with the former agent. The process
        claims the next term instead.
        """
        granter_term = self.granter_term()
        if granter_term is None or granter_term.resigned or not self.is_joined():
            return False
        if granter_term.term == self._initial_term:
            return False
        holder = (granter_term.granter, granter_term.incarnation)
        return holder == (self._identity.daemon, self._identity.incarnation)

    def is_heir(self) -> bool:
        """Tells whether this daemon is the heir of the current term."""
        granter_term = self.granter_term()
        if granter_term is None or self.is_granter() or not self.is_joined():
            return False
        return granter_term.heir == self._identity.daemon

    def is_vacant(self) -> bool:
        """Tells whether any daemon may claim the group."""
        granter_term = self.granter_term()
        return granter_term is None or granter_term.resigned

    def may_be_abandoned(self) -> bool:
        """Tells whether granter and heir are both missing from the platform's list."""
        granter_term = self.granter_term()
        if granter_term is None or not self._context.is_listed:
            return False
        gone = self._context.gone_ms
        return granter_term.granter in gone and (
            not granter_term.heir or granter_term.heir in gone
        )

    def update_term(self, now_ms: float) -> None:
        """Updates the role of this daemon to the current term of the state."""
        granter_term = self.granter_term()
        term = granter_term.term if granter_term else 0
        if self._claim is not None and term >= self._claim.term:
            self._claim = None
        if term == self._last_term:
            return
        if self._last_term is None:
            self._initial_term = term
        continues_term = (
            self._acting_since_ms is not None and term - 1 == self._last_term
        )
        first = term == 1 and self._last_term == 0
        self._last_term = term
        self._resign_token = 0
        self._term_seen_ms = now_ms
        self._vacant_since_ms = None
        self._confirmation = Confirmation(self._timings.authority_ms)
        if not self.is_granter():
            self._acting_since_ms = None
            self.granter = None
        elif not continues_term:
            self._begin_term(now_ms, granter_term, first)
        elif self.granter is not None:
            self.granter.begin_next_term()

    def _begin_term(
        self, now_ms: float, granter_term: GranterTerm, first: bool
    ) -> None:
        """Starts acting as granter, or as home after the former home has stopped."""
        wait_ms = self._timings.add_drift_margin(granter_term.longest_authority_ms)
        self._acting_since_ms = now_ms if first else now_ms + wait_ms
        if not self._is_home:
            self.granter = Granter(self.group, self._timings, self._state, self._append)
            self.granter.begin_term(now_ms, granter_term, first)

    # Confirmation

    def record_log_read(self, started_ms: float) -> None:
        """Records a complete read of the log as a confirmation."""
        if self.is_granter():
            self._confirmation.record_log_read(started_ms)

    def is_confirmed(self, now_ms: float) -> bool:
        """Tells whether this daemon may act as granter or home of the group now."""
        if self._resign_token or not self.is_granter():
            return False
        since_ms = self._acting_since_ms
        if self._is_home and (since_ms is None or now_ms < since_ms):
            return False
        return self._confirmation.is_valid(now_ms)

    def acting_since_ms(self) -> float | None:
        """Returns from when this daemon may act in its term; None without one."""
        return self._acting_since_ms if self.is_granter() else None

    def handle_promise(self, event: PromiseGiven) -> None:
        """Records a promise of the heir as a confirmation.

        Promises are ignored while a claim of this daemon is pending: the claim may
        name another heir, which has not promised anything.
        """
        granter_term = self.granter_term()
        if not self.is_granter() or self._claim is not None:
            return
        if (event.daemon, event.term) == (granter_term.heir, granter_term.term):
            self._confirmation.record_promise(event.ask_id)

    def handle_promise_ask(self, now_ms: float, event: PromiseAsked) -> list[Command]:
        """Returns a promise not to claim, if this daemon is the heir and may give it.

        The heir gives none while its own claim is pending.
        """
        granter_term = self.granter_term()
        if self._claim is not None or not self.is_heir() or granter_term.resigned:
            return []
        if (event.daemon, event.term) != (granter_term.granter, granter_term.term):
            return []
        self._last_promise_ms = now_ms
        return [GivePromise(event.daemon, self.group, event.term, event.ask_id)]

    def _ask_promise(self, now_ms: float) -> list[Command]:
        """Returns a request for a promise while reads of the log do not succeed."""
        granter_term = self.granter_term()
        age_ms = self._context.log_age_ms(now_ms)
        if (
            not granter_term.heir
            or self._claim is not None
            or now_ms < self._next_ask_ms
        ):
            return []
        if age_ms is not None and age_ms < self._timings.promise_ms:
            return []
        self._next_ask_ms = now_ms + self._timings.promise_ms
        self._last_ask_id += 1
        self._confirmation.record_ask(self._last_ask_id, now_ms)
        return [
            AskPromise(
                granter_term.heir, self.group, granter_term.term, self._last_ask_id
            )
        ]

    # Claims

    def handle_settled(self, token: int) -> None:
        """Drops a claim or resignation that was read back."""
        if self._claim is not None and self._claim.token == token:
            self._claim = None
        if self._resign_token == token and self.is_granter():
            self._resign_token = 0

    def is_released(self) -> bool:
        """Tells whether this daemon has neither a term nor a pending claim."""
        return self._claim is None and not self.is_granter()

    def release(self, now_ms: float) -> None:
        """Resigns in favor of a daemon with fewer groups, if the log is readable."""
        if self._may_claim(now_ms) and self.is_confirmed(now_ms):
            self.resign()

    def resign(self) -> None:
        """Stops acting and appends the resignation to the log."""
        if not self._resign_token and self._claim is None and self.is_granter():
            self._resign_token = self._append(
                Resign(self.group, self.granter_term().term)
            )

    def _is_log_fresh(self, now_ms: float) -> bool:
        age_ms = self._context.log_age_ms(now_ms)
        return age_ms is not None and age_ms < self._timings.log_stale_ms

    def _may_claim(self, now_ms: float) -> bool:
        """Tells whether this daemon is able to claim a group now."""
        if self._claim is not None or self._context.draining:
            return False
        return self.is_joined() and self._is_log_fresh(now_ms)

    def _append_claim(self, now_ms: float, predecessors_gone: bool = False) -> None:
        """Claims the next term with a newly chosen heir.

        Args:
            now_ms: Monotonic time.
            predecessors_gone: Whether the VMs of granter and heir were removed.
        """
        granter_term = self.granter_term()
        term = granter_term.term + 1 if granter_term else 1
        reachable = self._context.reachable_daemons(self._timings.suspect_ms, now_ms)
        heir = choose_heir(
            self.group,
            self._identity.daemon,
            self._identity.zone,
            self._state.members,
            reachable,
        )
        record = Claim(
            self.group,
            term,
            heir,
            self._timings.authority_ms,
            self._timings.lease_ms,
            predecessors_gone,
        )
        self._claim = PendingClaim(self._append(record), term)
        self._confirmation.clear_promises()

    def step(self, now_ms: float, rank: int | None) -> list[Command]:
        """Returns the commands that are due, and claims or resigns when necessary.

        Args:
            now_ms: Monotonic time.
            rank: Position of this daemon in the order in which daemons claim a vacant
                or abandoned group; None when unknown or when it may not claim.
        """
        self.update_term(now_ms)
        if self.is_granter():
            return self._step_granter(now_ms)
        if not self._may_claim(now_ms):
            self._vacant_since_ms = None
            return []
        if self._is_entitled_to_claim(now_ms):
            self._append_claim(now_ms)
        elif self.is_vacant() and self._is_turn_to_claim(now_ms, rank):
            self._append_claim(now_ms)
        elif self.may_be_abandoned() and self._is_abandoned(now_ms, rank):
            self._append_claim(now_ms, predecessors_gone=True)
        return []

    def _step_granter(self, now_ms: float) -> list[Command]:
        if self._context.draining:
            self.resign()
        if self._resign_token:
            return []
        commands = self._ask_promise(now_ms)
        if self._needs_new_heir(now_ms):
            self._append_claim(now_ms)
        if self.granter is not None:
            authority = Authority(
                self.is_confirmed(now_ms),
                self._confirmation.is_promised(now_ms),
                not self._is_log_fresh(now_ms),
            )
            commands += self.granter.step(now_ms, authority)
        return commands

    def _needs_new_heir(self, now_ms: float) -> bool:
        """Tells whether the heir is missing or silent and another one is reachable.

        The granter then claims the next term itself to name another heir.
        """
        if not self._may_claim(now_ms):
            return False
        granter_term = self.granter_term()
        reachable = self._context.reachable_daemons(self._timings.suspect_ms, now_ms)
        others = reachable.intersection(self._state.members) - {self._identity.daemon}
        if not others - {granter_term.heir}:
            return False
        if not granter_term.heir:
            return True
        if now_ms - self._term_seen_ms < self._timings.heir_silence_ms:
            return False
        if granter_term.heir not in self._state.members:
            return True
        silence_ms = self._context.silence_ms(
            granter_term.heir, self._term_seen_ms, now_ms
        )
        return silence_ms > self._timings.heir_silence_ms

    def _is_entitled_to_claim(self, now_ms: float) -> bool:
        """Tells whether this daemon may replace a lost granter without a delay.

        These are the heir and a new process of the granter's daemon.
        """
        granter_term = self.granter_term()
        if granter_term is None or granter_term.resigned:
            return False
        if granter_term.granter == self._identity.daemon:
            return True
        if (
            granter_term.heir != self._identity.daemon
            or not self._have_promises_expired(now_ms)
        ):
            return False
        member = self._state.members.get(granter_term.granter)
        if member is None or member.incarnation != granter_term.incarnation:
            return True
        since_ms = self._term_seen_ms
        silence_ms = self._context.silence_ms(granter_term.granter, since_ms, now_ms)
        return silence_ms > self._timings.suspect_ms

    def _have_promises_expired(self, now_ms: float) -> bool:
        """Tells whether no granter relies on a promise of an heir any more.

        Besides its own promises, the heir has to wait for those of its former process
        and for those of a former heir, which the granter received before it named this
        one.
        """
        last_ms = self._term_seen_ms
        if self._last_promise_ms is not None:
            last_ms = max(last_ms, self._last_promise_ms)
        wait_ms = self._timings.add_drift_margin(
            self.granter_term().longest_authority_ms
        )
        return now_ms - last_ms > wait_ms

    def _is_turn_to_claim(self, now_ms: float, rank: int | None) -> bool:
        """Tells whether this daemon has waited long enough to claim a vacant group."""
        if rank is None:
            return False
        if self._vacant_since_ms is None:
            self._vacant_since_ms = now_ms
        stagger_ms = self._timings.claim_stagger_ms
        if self.granter_term() is not None:
            stagger_ms = self._timings.resigned_stagger_ms
        wait_ms = rank * stagger_ms
        if self.granter_term() is None and not self._is_roster_complete(now_ms):
            wait_ms += self._timings.roster_ms
        return now_ms - self._vacant_since_ms >= wait_ms

    def _is_roster_complete(self, now_ms: float) -> bool:
        """Tells whether every listed daemon has joined and is reachable."""
        reachable = self._context.reachable_daemons(self._timings.suspect_ms, now_ms)
        present = (reachable | {self._identity.daemon}).intersection(
            self._state.members
        )
        daemons = self._context.daemons
        return bool(daemons) and present >= daemons

    def _is_abandoned(self, now_ms: float, rank: int | None) -> bool:
        """Tells whether granter and heir were gone and silent for long enough."""
        granter_term = self.granter_term()
        if rank is None:
            return False
        for daemon in filter(None, (granter_term.granter, granter_term.heir)):
            wait_ms = self._timings.gone_ms + rank * self._timings.claim_stagger_ms
            if now_ms - self._context.gone_ms.get(daemon, now_ms) < wait_ms:
                return False
            silence_ms = self._context.silence_ms(daemon, self._term_seen_ms, now_ms)
            if silence_ms < self._timings.suspect_ms:
                return False
        return True

    def status(self, now_ms: float) -> GroupStatus:
        """Returns the state of the group for the status page."""
        granter_term = self.granter_term()
        role = "granter" if self.is_granter() else "heir" if self.is_heir() else "none"
        granter = self.granter
        return GroupStatus(
            self.group,
            granter_term.term if granter_term else 0,
            role,
            granter_term.granter if granter_term and not granter_term.resigned else "",
            granter_term.heir if granter_term else "",
            self.is_confirmed(now_ms),
            self._claim is not None,
            granter.count_waiting() if granter else 0,
            len(granter.provisional()) if granter else 0,
            granter.status(now_ms) if granter else (),
        )
