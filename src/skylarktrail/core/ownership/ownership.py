"""Ownership core of one daemon: handles events and returns commands.

It does no I/O and reads no clock; the daemon passes both in.
"""

from __future__ import annotations

from itertools import count
from typing import Callable, TypeVar

from ..hashing import hash_key
from ..records import Record
from ..state import State, service_of
from .agent import GroupAgent, LocalContext
from .balancing import LoadTracker, balance, measure_load
from .claimants import count_terms, order_claimants
from .granter import Granter
from .messages import (
    Append,
    Command,
    Drain,
    Event,
    GrantAnswered,
    GrantFailed,
    LoadsReported,
    LogRead,
    PeerHeard,
    PromiseAsked,
    PromiseGiven,
    Settled,
    Tick,
    VmsListed,
)
from .status import OwnershipStatus
from .timings import Identity, Timings

DEFAULT_BALANCER = "threshold"
MIN_SURPLUS_GROUPS = 2
PAUSE_THRESHOLD_MS = 500
# A daemon that this process has never seen in the platform's list counts as gone only
# after this additional time.
UNSEEN_VM_GRACE_MS = 60_000

Handler = Callable[["Ownership", float, Event], list[Command]]
H = TypeVar("H", bound=Handler)
_HANDLERS: dict[type, Handler] = {}


def handles(cls: type) -> Callable[[H], H]:
    """Returns a decorator that registers the handler of one event type."""

    def register(handler: H) -> H:
        _HANDLERS[cls] = handler
        return handler

    return register


class Ownership:
    """Decides for which groups this daemon is the granter, and what it grants.

    Each granter group of the operator file in force has an agent. Only the agents of
    active groups are stepped: those in which this daemon has a role or which it may
    claim.
    """

    def __init__(
        self,
        identity: Identity,
        timings: Timings,
        state: State,
        balancer: str = DEFAULT_BALANCER,
    ) -> None:
        """Starts without a role in any group.

        Args:
            identity: This process.
            timings: Durations of the protocol.
            state: The folded state, shared with the reader of the log.
            balancer: Name of the balancing policy.
        """
        self._identity = identity
        self._timings = timings
        self._state = state
        self._context = LocalContext()
        self._agents: dict[str, GroupAgent] = {}
        self._active_groups: set[str] = set()
        self._ranks: dict[str, int] = {}
        self._tokens = count(1)
        self._token_groups: dict[int, str] = {}
        self._appends: list[Command] = []
        self._seen_listed: frozenset[str] = frozenset()
        self._vms: VmsListed | None = None
        self._last_event_ms: float | None = None
        self._last_revision: int | None = None
        self._last_rank_inputs: tuple | None = None
        self._balancer = balancer
        self._loads = LoadTracker()
        self._next_release_ms: float | None = None
        self._next_balance_ms: dict[str, float] = {}

    def handle(self, now_ms: float, event: Event) -> list[Command]:
        """Handles an event.

        Args:
            now_ms: Monotonic time.
            event: The event.

        Returns:
            The commands to carry out, in this order.
        """
        self._detect_pause(now_ms)
        commands = _HANDLERS[type(event)](self, now_ms, event)
        appends, self._appends = self._appends, []
        return appends + commands

    def is_confirmed(self, group: str, now_ms: float) -> bool:
        """Tells whether this daemon may act as granter or home of a group now."""
        agent = self._agents.get(group)
        return agent is not None and agent.is_confirmed(now_ms)

    def acting_since_ms(self, group: str) -> float | None:
        """Returns from when this daemon may act in its term; None without one."""
        agent = self._agents.get(group)
        return agent.acting_since_ms() if agent else None

    def status(self, now_ms: float) -> OwnershipStatus:
        """Returns the state of the active groups for the status page."""
        shown = [self._agents[group] for group in sorted(self._active_groups)]
        return OwnershipStatus(
            self._context.draining,
            self._context.log_age_ms(now_ms),
            tuple(agent.status(now_ms) for agent in shown),
            len(self._agents) - len(shown),
        )

    @property
    def drained(self) -> bool:
        """Whether this daemon has resigned all of its groups after `Drain`."""
        if not self._context.draining:
            return False
        return all(agent.is_released() for agent in self._agents.values())

    def _detect_pause(self, now_ms: float) -> None:
        """Records when this process resumes after it was not running for a while."""
        last_ms = self._last_event_ms
        if last_ms is not None and now_ms - last_ms > PAUSE_THRESHOLD_MS:
            self._context.resumed_ms = now_ms
        self._last_event_ms = now_ms

    def _append(self, group: str, record: Record) -> int:
        token = next(self._tokens)
        self._token_groups[token] = group
        self._appends.append(Append(token, record))
        return token

    # Agents

    def _sync_agents(self) -> None:
        """Creates and deletes agents when the operator file in force has changed."""
        if self._last_revision == self._state.revision:
            return
        self._last_revision = self._state.revision
        groups = set(self._state.groups())
        for group in set(self._agents) - groups:
            del self._agents[group]
        for group in sorted(groups - set(self._agents)):
            self._agents[group] = self._make_agent(group)
        for agent in self._agents.values():
            self._update_servers(agent)

    def _make_agent(self, group: str) -> GroupAgent:
        def append(record: Record) -> int:
            return self._append(group, record)

        return GroupAgent(
            group,
            self._identity,
            self._timings,
            self._state,
            self._context,
            append,
        )

    def _update_active_groups(self, now_ms: float) -> None:
        """Updates the groups in which this daemon has a role or which it may claim."""
        self._active_groups = {
            group for group, agent in self._agents.items() if self._is_active(agent)
        }
        self._rank_claimants(now_ms)

    def _is_active(self, agent: GroupAgent) -> bool:
        granter_term = agent.granter_term()
        if granter_term is None or granter_term.resigned or not agent.is_released():
            return True
        daemon = self._identity.daemon
        return (
            daemon in (granter_term.granter, granter_term.heir)
            or agent.may_be_abandoned()
        )

    def _rank_claimants(self, now_ms: float) -> None:
        """Updates the rank of this daemon for vacant and abandoned groups."""
        vacant = [
            group
            for group in self._active_groups
            if self._agents[group].is_vacant() or self._agents[group].may_be_abandoned()
        ]
        if not vacant:
            self._ranks = {}
            self._last_rank_inputs = None
            return
        candidates = sorted(self._candidates(now_ms))
        rank_inputs = (self._state.next_offset, tuple(vacant), tuple(candidates))
        if rank_inputs == self._last_rank_inputs:
            return
        self._last_rank_inputs = rank_inputs
        counts = count_terms(self._state, self._agents)
        orders = order_claimants(vacant, candidates, counts)
        self._ranks = {
            group: self._own_rank(group, order) for group, order in orders.items()
        }

    def _candidates(self, now_ms: float) -> set[str]:
        """Returns the members that may claim: this daemon and the reachable ones."""
        span_ms = self._timings.suspect_ms
        reachable = self._context.reachable_daemons(span_ms, now_ms)
        return (reachable | {self._identity.daemon}).intersection(self._state.members)

    def _own_rank(self, group: str, order: list[str]) -> int | None:
        """Returns the position of this daemon; the last granter is put at the end."""
        daemon = self._identity.daemon
        if daemon not in order:
            return None
        granter_term = self._state.granter_terms.get(group)
        if granter_term is not None and granter_term.granter in order:
            order = [name for name in order if name != granter_term.granter]
            order.append(granter_term.granter)
        return order.index(daemon)

    def _step_agents(self, now_ms: float) -> list[Command]:
        commands: list[Command] = []
        for group in sorted(self._active_groups):
            agent = self._agents[group]
            granter_before = agent.granter
            commands += agent.step(now_ms, self._ranks.get(group))
            if agent.granter is not granter_before:
                self._update_servers(agent)
        return commands

    def _release_surplus_group(self, now_ms: float) -> None:
        """Resigns one group when another daemon has clearly fewer groups.

        At most one group is released per `give_ms`. The first time is shifted by a
        hash of the daemon's name, so that daemons do not resign at the same time.
        """
        if self._next_release_ms is None:
            phase = hash_key(self._identity.daemon) % 1000 / 1000
            self._next_release_ms = now_ms + self._timings.give_ms * (1 + phase)
        if now_ms < self._next_release_ms or self._context.draining:
            return
        self._next_release_ms = now_ms + self._timings.give_ms
        counts = count_terms(self._state, self._agents)
        fewest = min(
            (counts.get(name, 0) for name in self._candidates(now_ms)), default=0
        )
        if counts.get(self._identity.daemon, 0) < fewest + MIN_SURPLUS_GROUPS:
            return
        for group in sorted(self._active_groups, key=hash_key):
            agent = self._agents[group]
            if agent.granter is not None:
                agent.release(now_ms)
                return

    def _balance_groups(self, now_ms: float) -> None:
        """Plans moves for the groups of this granter every `balance_ms`.

        The first time is shifted by a hash of the group, so that groups are not
        planned at the same time.
        """
        for group in sorted(self._active_groups):
            granter = self._agents[group].granter
            if granter is None or not self._may_plan_moves(group, now_ms):
                continue
            due_ms = self._next_balance_ms.get(group)
            if due_ms is None or now_ms >= due_ms:
                phase = hash_key(group) % 1000 / 1000 if due_ms is None else 1
                delay_ms = self._timings.balance_ms * phase
                self._next_balance_ms[group] = now_ms + delay_ms
            if due_ms is not None and now_ms >= due_ms:
                self._balance_group(group, granter, now_ms)

    def _may_plan_moves(self, group: str, now_ms: float) -> bool:
        """Tells whether this daemon is a confirmed granter with a fresh log."""
        age_ms = self._context.log_age_ms(now_ms)
        if age_ms is None or age_ms >= self._timings.log_stale_ms:
            return False
        return self.is_confirmed(group, now_ms)

    def _balance_group(self, group: str, granter: Granter, now_ms: float) -> None:
        service = service_of(group)
        table = self._state.tables[service]
        measured = measure_load(
            table,
            granter.eligible_servers(),
            self._loads.slices(service, now_ms),
            self._loads.hashes(service, now_ms),
        )
        fixed = self._state.slice_count(service)
        if balance(group, granter, table, fixed, measured, self._balancer, now_ms):
            self._loads.drop_reports(service)

    def _step_agent(self, now_ms: float, group: str) -> list[Command]:
        agent = self._agents[group]
        return agent.step(now_ms, self._ranks.get(group))

    def _update_servers(self, agent: GroupAgent) -> None:
        """Passes the listed servers of its service to the granter of a group."""
        if agent.granter is None or self._vms is None:
            return
        service = service_of(agent.group)
        servers = {
            server: vm
            for server, vm in self._vms.servers.items()
            if vm.service == service
        }
        agent.granter.update_servers(servers)


@handles(Tick)
def _handle_tick(ownership: Ownership, now_ms: float, event: Tick) -> list[Command]:
    ownership._rank_claimants(now_ms)
    ownership._balance_groups(now_ms)
    ownership._release_surplus_group(now_ms)
    return ownership._step_agents(now_ms)


@handles(LogRead)
def _handle_log_read(
    ownership: Ownership, now_ms: float, event: LogRead
) -> list[Command]:
    context = ownership._context
    last_ms = context.read_started_ms
    if last_ms is None or event.started_ms > last_ms:
        context.read_started_ms = event.started_ms
    ownership._sync_agents()
    ownership._update_active_groups(now_ms)
    for group in sorted(ownership._active_groups):
        agent = ownership._agents[group]
        agent.update_term(now_ms)
        agent.record_log_read(event.started_ms)
        ownership._update_servers(agent)
    return ownership._step_agents(now_ms)


@handles(Settled)
def _handle_settled(
    ownership: Ownership, now_ms: float, event: Settled
) -> list[Command]:
    agent = ownership._agents.get(ownership._token_groups.pop(event.token, ""))
    if agent is None:
        return []
    agent.update_term(now_ms)
    agent.handle_settled(event.token)
    if agent.granter is not None:
        agent.granter.handle_settled(event.token, event.code)
    return ownership._step_agent(now_ms, agent.group)


@handles(PeerHeard)
def _handle_peer_heard(
    ownership: Ownership, now_ms: float, event: PeerHeard
) -> list[Command]:
    ownership._context.last_message_ms[event.daemon] = now_ms
    return []


@handles(VmsListed)
def _handle_vms_listed(
    ownership: Ownership, now_ms: float, event: VmsListed
) -> list[Command]:
    ownership._vms = event
    context = ownership._context
    context.is_listed = ownership._identity.daemon in event.daemons
    context.daemons = event.daemons
    role_holders = {
        daemon
        for granter_term in ownership._state.granter_terms.values()
        for daemon in (granter_term.granter, granter_term.heir)
    }
    gone = {}
    for daemon in (role_holders | ownership._seen_listed) - event.daemons:
        was_listed = daemon in ownership._seen_listed
        since_ms = now_ms if was_listed else now_ms + UNSEEN_VM_GRACE_MS
        gone[daemon] = context.gone_ms.get(daemon, since_ms)
    context.gone_ms = gone
    ownership._seen_listed = (ownership._seen_listed & role_holders) | event.daemons
    for agent in ownership._agents.values():
        ownership._update_servers(agent)
    ownership._update_active_groups(now_ms)
    return []


@handles(GrantAnswered)
def _handle_grant_answered(
    ownership: Ownership, now_ms: float, event: GrantAnswered
) -> list[Command]:
    agent = ownership._agents.get(event.group)
    if agent is None or agent.granter is None:
        return []
    agent.update_term(now_ms)
    if agent.granter is None:
        return []
    commands = agent.granter.handle_grant_answer(
        event.server, event.answer, event.sent_ms, now_ms
    )
    return commands + ownership._step_agent(now_ms, event.group)


@handles(GrantFailed)
def _handle_grant_failed(
    ownership: Ownership, now_ms: float, event: GrantFailed
) -> list[Command]:
    agent = ownership._agents.get(event.group)
    if agent is not None and agent.granter is not None:
        agent.granter.handle_grant_failure(event.server, event.sent_ms, now_ms)
    return []


@handles(PromiseAsked)
def _handle_promise_asked(
    ownership: Ownership, now_ms: float, event: PromiseAsked
) -> list[Command]:
    agent = ownership._agents.get(event.group)
    if agent is None:
        return []
    agent.update_term(now_ms)
    return agent.handle_promise_ask(now_ms, event)


@handles(PromiseGiven)
def _handle_promise_given(
    ownership: Ownership, now_ms: float, event: PromiseGiven
) -> list[Command]:
    agent = ownership._agents.get(event.group)
    if agent is None:
        return []
    agent.update_term(now_ms)
    agent.handle_promise(event)
    return ownership._step_agent(now_ms, event.group)


@handles(LoadsReported)
def _handle_loads_reported(
    ownership: Ownership, now_ms: float, event: LoadsReported
) -> list[Command]:
    ownership._loads.record_report(now_ms, event)
    return []


@handles(Drain)
def _handle_drain(ownership: Ownership, now_ms: float, event: Drain) -> list[Command]:
    ownership._context.draining = True
    return ownership._step_agents(now_ms)
