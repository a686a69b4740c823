"""One granter group as one daemon sees it: claims, promises, tenure."""

from __future__ import annotations

from typing import Callable, NamedTuple

from ..records import Claim, Record, Resign
from ..state import HOME_PREFIX, State, Tenure
from .claimants import choose_heir
from .confirmation import Confirmation
from .granter import Authority, Granter
from .messages import AskPromise, Command, GivePromise, PromiseAsked, PromiseGiven
from .status import GroupStatus
from .timings import Identity, Timings


class PendingClaim(NamedTuple):
    """A claim that was appended and whose fate is not known.

    Attributes:
        token: Token of the append.
        term: Term claimed.
    """

    token: int
    term: int


class LocalContext:
    """What a daemon knows outside the log, shared by its agents.

    Attributes:
        read_started_ms: Start of the last complete read of the log.
        last_message_ms: When each daemon was heard from last.
        gone_ms: Since when each former VM is missing from the platform's list.
        listed: Whether the platform's list names this daemon.
        daemons: Daemons that the platform lists.
        draining: Whether the daemon gives its groups away.
        awake_ms: When this daemon last resumed after a pause.
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
        """Returns how long a daemon is silent, counted from `since_ms` at most."""
        last_message_ms = self.last_message_ms.get(daemon, since_ms)
        return now_ms - max(since_ms, last_message_ms, self.resumed_ms)

    def reachable_daemons(self, span_ms: float, now_ms: float) -> set[str]:
        """Returns the daemons heard from lately."""
        return {
            name
            for name, at_ms in self.last_message_ms.items()
            if now_ms - at_ms < span_ms
        }

    def log_age_ms(self, now_ms: float) -> float | None:
        """Returns the age of the last complete read; None before the first."""
        if self.read_started_ms is None:
            return None
        return now_ms - self.read_started_ms


class GroupAgent:
    """Decides for one group when to claim, promise, act and resign."""

    def __init__(
        self,
        group: str,
        identity: Identity,
        timings: Timings,
        state: State,
        context: LocalContext,
        append: Callable[[Record], int],
    ) -> None:
        """Begins without a role; `observe` follows."""
        self.group = group
        self._identity = identity
        self._timings = timings
        self._state = state
        self._context = context
        self._append = append
        self._is_home = group.startswith(HOME_PREFIX)
        self._confirmation = Confirmation(timings.authority_ms)
        self._claim: PendingClaim | None = None
        self._resigning = 0
        self._last_term: int | None = None
        self._initial_term = 0
        self._term_seen_ms = 0.0
        self._vacant_ms: float | None = None
        self._acting_since_ms: float | None = None
        self._last_promise_ms: float | None = None
        self._next_ask_ms = 0.0
        self._last_ask_id = 0
        self.granter: Granter | None = None

    # What the log says

    def tenure(self) -> Tenure | None:
        """Returns the tenure in force."""
        return self._state.tenures.get(self.group)

    def is_joined(self) -> bool:
        """Tells whether the own join was read back."""
        member = self._state.members.get(self._identity.daemon)
        return member is not None and member.incarnation == self._identity.incarnation

    def is_granter(self) -> bool:
        """Tells whether the tenure in force is the own one.

        A tenure older than this agent is not, even of the same process: its books
        went with the agent before. A new claim begins them again.
        """
        tenure = self.tenure()
        if tenure is None or tenure.resigned or not self.is_joined():
            return False
        if tenure.term == self._initial_term:
            return False
        holder = (tenure.granter, tenure.incarnation)
        return holder == (self._identity.daemon, self._identity.incarnation)

    def is_heir(self) -> bool:
        """Tells whether this daemon alone may claim the next term early."""
        tenure = self.tenure()
        if tenure is None or self.is_granter() or not self.is_joined():
            return False
        return tenure.heir == self._identity.daemon

    def is_vacant(self) -> bool:
        """Tells whether any daemon may claim."""
        tenure = self.tenure()
        return tenure is None or tenure.resigned

    def may_be_abandoned(self) -> bool:
        """Tells whether the platform has dropped both the granter and the heir."""
        tenure = self.tenure()
        if tenure is None or not self._context.is_listed:
            return False
        gone = self._context.gone_ms
        return tenure.granter in gone and (not tenure.heir or tenure.heir in gone)

    def update_tenure(self, now_ms: float) -> None:
        """Takes note of the term in force."""
        tenure = self.tenure()
        term = tenure.term if tenure else 0
        if self._claim is not None and term >= self._claim.term:
            self._claim = None
        if term == self._last_term:
            return
        if self._last_term is None:
            self._initial_term = term
        follows = self._acting_since_ms is not None and term - 1 == self._last_term
        first = term == 1 and self._last_term == 0
        self._last_term = term
        self._resigning = 0
        self._term_seen_ms = now_ms
        self._vacant_ms = None
        self._confirmation = Confirmation(self._timings.authority_ms)
        if not self.is_granter():
            self._acting_since_ms = None
            self.granter = None
        elif not follows:
            self._begin_tenure(now_ms, tenure, first)
        elif self.granter is not None:
            self.granter.begin_next_term()

    def _begin_tenure(self, now_ms: float, tenure: Tenure, first: bool) -> None:
        wait_ms = self._timings.add_drift_margin(tenure.longest_authority_ms)
        self._acting_since_ms = now_ms if first else now_ms + wait_ms
        if not self._is_home:
            self.granter = Granter(self.group, self._timings, self._state, self._append)
            self.granter.begin_tenure(now_ms, tenure, first)

    # Confirmation

    def record_log_read(self, started_ms: float) -> None:
        """Counts a complete read of the log."""
        if self.is_granter():
            self._confirmation.record_log_read(started_ms)

    def is_confirmed(self, now_ms: float) -> bool:
        """Tells whether this daemon may act as granter now."""
        if self._resigning or not self.is_granter():
            return False
        since_ms = self._acting_since_ms
        if self._is_home and (since_ms is None or now_ms < since_ms):
            return False
        return self._confirmation.is_valid(now_ms)

    def acting_since_ms(self) -> float | None:
        """Returns from when the own tenure acts; None without one."""
        return self._acting_since_ms if self.is_granter() else None

    def handle_promise(self, event: PromiseGiven) -> None:
        """Counts a promise of the heir."""
        tenure = self.tenure()
        if not self.is_granter() or self._claim is not None:
            return
        if (event.daemon, event.term) == (tenure.heir, tenure.term):
            self._confirmation.record_promise(event.ask_id)

    def handle_promise_ask(self, now_ms: float, event: PromiseAsked) -> list[Command]:
        """Promises not to claim, if nothing stands against it."""
        tenure = self.tenure()
        if self._claim is not None or not self.is_heir() or tenure.resigned:
            return []
        if (event.daemon, event.term) != (tenure.granter, tenure.term):
            return []
        self._last_promise_ms = now_ms
        return [GivePromise(event.daemon, self.group, event.term, event.ask_id)]

    def _ask_promise(self, now_ms: float) -> list[Command]:
        tenure = self.tenure()
        age_ms = self._context.log_age_ms(now_ms)
        if not tenure.heir or self._claim is not None or now_ms < self._next_ask_ms:
            return []
        if age_ms is not None and age_ms < self._timings.promise_ms:
            return []
        self._next_ask_ms = now_ms + self._timings.promise_ms
        self._last_ask_id += 1
        self._confirmation.record_ask(self._last_ask_id, now_ms)
        return [AskPromise(tenure.heir, self.group, tenure.term, self._last_ask_id)]

    # Claims

    def handle_settled(self, token: int) -> None:
        """Forgets an append whose fate is known."""
        if self._claim is not None and self._claim.token == token:
            self._claim = None
        if self._resigning == token and self.is_granter():
            self._resigning = 0

    def is_released(self) -> bool:
        """Tells whether neither a tenure nor a claim of the own is left."""
        return self._claim is None and not self.is_granter()

    def release(self, now_ms: float) -> None:
        """Resigns though not draining, when the log can be read."""
        if self._may_claim(now_ms) and self.is_confirmed(now_ms):
            self.resign()

    def resign(self) -> None:
        """Stops acting and says so in the log."""
        if not self._resigning and self._claim is None and self.is_granter():
            self._resigning = self._append(Resign(self.group, self.tenure().term))

    def _is_log_fresh(self, now_ms: float) -> bool:
        age_ms = self._context.log_age_ms(now_ms)
        return age_ms is not None and age_ms < self._timings.log_stale_ms

    def _may_claim(self, now_ms: float) -> bool:
        if self._claim is not None or self._context.draining:
            return False
        return self.is_joined() and self._is_log_fresh(now_ms)

    def _append_claim(self, now_ms: float, predecessors_gone: bool = False) -> None:
        tenure = self.tenure()
        term = tenure.term + 1 if tenure else 1
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
        """Does what is due.

        Args:
            now_ms: Monotonic time.
            rank: Place in the order of claimants of a vacant or abandoned group;
                None when not known or not a candidate.
        """
        self.update_tenure(now_ms)
        if self.is_granter():
            return self._step_granter(now_ms)
        if not self._may_claim(now_ms):
            self._vacant_ms = None
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
        if self._resigning:
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
        """Tells whether the heir is silent and another daemon could be heir."""
        if not self._may_claim(now_ms):
            return False
        tenure = self.tenure()
        reachable = self._context.reachable_daemons(self._timings.suspect_ms, now_ms)
        others = reachable.intersection(self._state.members) - {self._identity.daemon}
        if not others - {tenure.heir}:
            return False
        if not tenure.heir:
            return True
        if now_ms - self._term_seen_ms < self._timings.heir_silence_ms:
            return False
        if tenure.heir not in self._state.members:
            return True
        silence_ms = self._context.silence_ms(tenure.heir, self._term_seen_ms, now_ms)
        return silence_ms > self._timings.heir_silence_ms

    def _is_entitled_to_claim(self, now_ms: float) -> bool:
        """Tells whether the granter is lost and this daemon may follow at once."""
        tenure = self.tenure()
        if tenure is None or tenure.resigned:
            return False
        if tenure.granter == self._identity.daemon:
            return True
        if tenure.heir != self._identity.daemon or not self._have_promises_expired(
            now_ms
        ):
            return False
        member = self._state.members.get(tenure.granter)
        if member is None or member.incarnation != tenure.incarnation:
            return True
        since_ms = self._term_seen_ms
        silence_ms = self._context.silence_ms(tenure.granter, since_ms, now_ms)
        return silence_ms > self._timings.suspect_ms

    def _have_promises_expired(self, now_ms: float) -> bool:
        """Tells whether no promise that may be relied on is left.

        Promises are those given, those of a former process of this daemon, and
        those that the granter got from a former heir before it named this one.
        """
        last_ms = self._term_seen_ms
        if self._last_promise_ms is not None:
            last_ms = max(last_ms, self._last_promise_ms)
        wait_ms = self._timings.add_drift_margin(self.tenure().longest_authority_ms)
        return now_ms - last_ms > wait_ms

    def _is_turn_to_claim(self, now_ms: float, rank: int | None) -> bool:
        """Tells whether it is this daemon's turn to claim a vacant group."""
        if rank is None:
            return False
        if self._vacant_ms is None:
            self._vacant_ms = now_ms
        stagger_ms = self._timings.claim_stagger_ms
        if self.tenure() is not None:
            stagger_ms = self._timings.resigned_stagger_ms
        wait_ms = rank * stagger_ms
        if self.tenure() is None and not self._is_roster_complete(now_ms):
            wait_ms += self._timings.roster_ms
        return now_ms - self._vacant_ms >= wait_ms

    def _is_roster_complete(self, now_ms: float) -> bool:
        """Tells whether every listed daemon has joined and is heard from."""
        reachable = self._context.reachable_daemons(self._timings.suspect_ms, now_ms)
        present = (reachable | {self._identity.daemon}).intersection(
            self._state.members
        )
        daemons = self._context.daemons
        return bool(daemons) and present >= daemons

    def _is_abandoned(self, now_ms: float, rank: int | None) -> bool:
        tenure = self.tenure()
        if rank is None:
            return False
        for daemon in filter(None, (tenure.granter, tenure.heir)):
            wait_ms = self._timings.gone_ms + rank * self._timings.claim_stagger_ms
            if now_ms - self._context.gone_ms.get(daemon, now_ms) < wait_ms:
                return False
            silence_ms = self._context.silence_ms(daemon, self._term_seen_ms, now_ms)
            if silence_ms < self._timings.suspect_ms:
                return False
        return True

    def status(self, now_ms: float) -> GroupStatus:
        """Returns the group in typed form."""
        tenure = self.tenure()
        role = "granter" if self.is_granter() else "heir" if self.is_heir() else "none"
        granter = self.granter
        return GroupStatus(
            self.group,
            tenure.term if tenure else 0,
            role,
            tenure.granter if tenure and not tenure.resigned else "",
            tenure.heir if tenure else "",
            self.is_confirmed(now_ms),
            self._claim is not None,
            granter.count_waiting() if granter else 0,
            len(granter.provisional()) if granter else 0,
            granter.status(now_ms) if granter else (),
        )
