"""The ownership core of one daemon: its agents and what they share."""

from __future__ import annotations

from itertools import count
from typing import Callable, TypeVar

from ..hashing import hash_key
from ..records import Record
from ..state import State, service_of
from .agent import Agent, Surroundings
from .balancing import LoadTracker, balance, measure_load
from .claimants import count_tenures, deal
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
PAUSE_MS = 500
UNSEEN_GONE_MS = 60_000

Handler = Callable[["Ownership", float, Event], list[Command]]
H = TypeVar("H", bound=Handler)
_HANDLERS: dict[type, Handler] = {}


def handles(cls: type) -> Callable[[H], H]:
    """Registers the handler of one event type."""

    def register(handler: H) -> H:
        _HANDLERS[cls] = handler
        return handler

    return register


class Ownership:
    """Decides which groups this daemon grants for, and what it grants.

    One agent stands for each granter group of the file in force. Only agents with
    a role, or in a group that this daemon may claim, do work as time passes.
    """

    def __init__(
        self,
        me: Identity,
        timings: Timings,
        state: State,
        balancer: str = DEFAULT_BALANCER,
    ) -> None:
        """Begins without a role.

        Args:
            me: This process.
            timings: Durations of the protocol.
            state: The folded log, shared with its reader.
            balancer: Name of the balancing policy.
        """
        self._me = me
        self._timings = timings
        self._state = state
        self._surroundings = Surroundings()
        self._agents: dict[str, Agent] = {}
        self._active: set[str] = set()
        self._ranks: dict[str, int] = {}
        self._tokens = count(1)
        self._token_groups: dict[int, str] = {}
        self._appends: list[Command] = []
        self._listed_before: frozenset[str] = frozenset()
        self._vms: VmsListed | None = None
        self._handled_ms: float | None = None
        self._revision: int | None = None
        self._ranked_for: tuple | None = None
        self._balancer = balancer
        self._loads = LoadTracker()
        self._next_give_ms: float | None = None
        self._next_balance_ms: dict[str, float] = {}

    def handle(self, now_ms: float, event: Event) -> list[Command]:
        """Takes one event and returns what is to be done.

        Args:
            now_ms: Monotonic time; it never goes back.
            event: The event.
        """
        self._note_pause(now_ms)
        commands = _HANDLERS[type(event)](self, now_ms, event)
        appends, self._appends = self._appends, []
        return appends + commands

    def is_confirmed(self, group: str, now_ms: float) -> bool:
        """Tells whether this daemon may act as granter or home of a group now."""
        agent = self._agents.get(group)
        return agent is not None and agent.is_confirmed(now_ms)

    def acting_since_ms(self, group: str) -> float | None:
        """Returns from when the own tenure acts; None without a tenure."""
        agent = self._agents.get(group)
        return agent.acting_since_ms() if agent else None

    def status(self, now_ms: float) -> OwnershipStatus:
        """Returns what the status page shows."""
        shown = [self._agents[group] for group in sorted(self._active)]
        return OwnershipStatus(
            self._surroundings.draining,
            self._surroundings.log_age_ms(now_ms),
            tuple(agent.status(now_ms) for agent in shown),
            len(self._agents) - len(shown),
        )

    @property
    def drained(self) -> bool:
        """Whether every group was given away after `Drain`."""
        if not self._surroundings.draining:
            return False
        return all(agent.is_resolved() for agent in self._agents.values())

    def _note_pause(self, now_ms: float) -> None:
        before_ms = self._handled_ms
        if before_ms is not None and now_ms - before_ms > PAUSE_MS:
            self._surroundings.awake_ms = now_ms
        self._handled_ms = now_ms

    def _append(self, group: str, record: Record) -> int:
        token = next(self._tokens)
        self._token_groups[token] = group
        self._appends.append(Append(token, record))
        return token

    # Agents

    def _align(self) -> None:
        """Creates and drops agents as the file in force changes."""
        if self._revision == self._state.revision:
            return
        self._revision = self._state.revision
        groups = set(self._state.groups())
        for group in set(self._agents) - groups:
            del self._agents[group]
        for group in sorted(groups - set(self._agents)):
            self._agents[group] = self._make_agent(group)
        for agent in self._agents.values():
            self._list_servers(agent)

    def _make_agent(self, group: str) -> Agent:
        def append(record: Record) -> int:
            return self._append(group, record)

        return Agent(
            group,
            self._me,
            self._timings,
            self._state,
            self._surroundings,
            append,
        )

    def _find_roles(self, now_ms: float) -> None:
        """Finds the groups in which this daemon has something to do."""
        self._active = {
            group for group, agent in self._agents.items() if self._concerns(agent)
        }
        self._rank_claimants(now_ms)

    def _concerns(self, agent: Agent) -> bool:
        tenure = agent.tenure()
        if tenure is None or tenure.resigned or not agent.is_resolved():
            return True
        me = self._me.daemon
        return me in (tenure.granter, tenure.heir) or agent.may_be_abandoned()

    def _rank_claimants(self, now_ms: float) -> None:
        """Orders the claimants of groups that anyone may claim."""
        vacant = [
            group
            for group in self._active
            if self._agents[group].is_vacant() or self._agents[group].may_be_abandoned()
        ]
        if not vacant:
            self._ranks = {}
            self._ranked_for = None
            return
        candidates = sorted(self._candidates(now_ms))
        basis = (self._state.next_offset, tuple(vacant), tuple(candidates))
        if basis == self._ranked_for:
            return
        self._ranked_for = basis
        counts = count_tenures(self._state, self._agents)
        orders = deal(vacant, candidates, counts)
        self._ranks = {
            group: self._own_rank(group, order) for group, order in orders.items()
        }

    def _candidates(self, now_ms: float) -> set[str]:
        """Returns the members that may claim: this daemon and those heard from."""
        span_ms = self._timings.suspect_ms
        reachable = self._surroundings.reachable_daemons(span_ms, now_ms)
        return (reachable | {self._me.daemon}).intersection(self._state.members)

    def _own_rank(self, group: str, order: list[str]) -> int | None:
        me = self._me.daemon
        if me not in order:
            return None
        tenure = self._state.tenures.get(group)
        if tenure is not None and tenure.granter in order:
            order = [name for name in order if name != tenure.granter]
            order.append(tenure.granter)
        return order.index(me)

    def _step(self, now_ms: float) -> list[Command]:
        commands: list[Command] = []
        for group in sorted(self._active):
            agent = self._agents[group]
            had_granter = agent.granter
            commands += agent.step(now_ms, self._ranks.get(group))
            if agent.granter is not had_granter:
                self._list_servers(agent)
        return commands

    def _give_away(self, now_ms: float) -> None:
        """Gives a group away when another daemon has clearly fewer; seldom."""
        if self._next_give_ms is None:
            phase = hash_key(self._me.daemon) % 1000 / 1000
            self._next_give_ms = now_ms + self._timings.give_ms * (1 + phase)
        if now_ms < self._next_give_ms or self._surroundings.draining:
            return
        self._next_give_ms = now_ms + self._timings.give_ms
        counts = count_tenures(self._state, self._agents)
        least = min(
            (counts.get(name, 0) for name in self._candidates(now_ms)), default=0
        )
        if counts.get(self._me.daemon, 0) < least + MIN_SURPLUS_GROUPS:
            return
        for group in sorted(self._active, key=hash_key):
            agent = self._agents[group]
            if agent.granter is not None:
                agent.give_away(now_ms)
                return

    def _balance(self, now_ms: float) -> None:
        """Plans moves for the own groups, each at a time of its own."""
        for group in sorted(self._active):
            granter = self._agents[group].granter
            if granter is None or not self._may_plan(group, now_ms):
                continue
            due_ms = self._next_balance_ms.get(group)
            if due_ms is None or now_ms >= due_ms:
                phase = hash_key(group) % 1000 / 1000 if due_ms is None else 1
                delay_ms = self._timings.balance_ms * phase
                self._next_balance_ms[group] = now_ms + delay_ms
            if due_ms is not None and now_ms >= due_ms:
                self._balance_group(group, granter, now_ms)

    def _may_plan(self, group: str, now_ms: float) -> bool:
        """Tells whether moves may begin: acting, with the log."""
        age_ms = self._surroundings.log_age_ms(now_ms)
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

    def _list_servers(self, agent: Agent) -> None:
        if agent.granter is None or self._vms is None:
            return
        service = service_of(agent.group)
        servers = {
            server: vm
            for server, vm in self._vms.servers.items()
            if vm.service == service
        }
        agent.granter.list_servers(servers)


@handles(Tick)
def _tick(core: Ownership, now_ms: float, event: Tick) -> list[Command]:
    core._rank_claimants(now_ms)
    core._balance(now_ms)
    core._give_away(now_ms)
    return core._step(now_ms)


@handles(LogRead)
def _log_read(core: Ownership, now_ms: float, event: LogRead) -> list[Command]:
    surroundings = core._surroundings
    before_ms = surroundings.read_started_ms
    if before_ms is None or event.started_ms > before_ms:
        surroundings.read_started_ms = event.started_ms
    core._align()
    core._find_roles(now_ms)
    for group in sorted(core._active):
        agent = core._agents[group]
        agent.observe(now_ms)
        agent.note_read(event.started_ms)
        core._list_servers(agent)
    return core._step(now_ms)


@handles(Settled)
def _settled(core: Ownership, now_ms: float, event: Settled) -> list[Command]:
    agent = core._agents.get(core._token_groups.pop(event.token, ""))
    if agent is None:
        return []
    agent.observe(now_ms)
    agent.settle(event.token)
    if agent.granter is not None:
        agent.granter.settle(event.token, event.code)
    return core._step_agent(now_ms, agent.group)


@handles(PeerHeard)
def _peer_heard(core: Ownership, now_ms: float, event: PeerHeard) -> list[Command]:
    core._surroundings.last_message_ms[event.daemon] = now_ms
    return []


@handles(VmsListed)
def _vms_listed(core: Ownership, now_ms: float, event: VmsListed) -> list[Command]:
    core._vms = event
    surroundings = core._surroundings
    surroundings.listed = core._me.daemon in event.daemons
    surroundings.daemons = event.daemons
    known = {
        daemon
        for tenure in core._state.tenures.values()
        for daemon in (tenure.granter, tenure.heir)
    }
    gone = {}
    for daemon in (known | core._listed_before) - event.daemons:
        seen = daemon in core._listed_before
        since_ms = now_ms if seen else now_ms + UNSEEN_GONE_MS
        gone[daemon] = surroundings.gone_ms.get(daemon, since_ms)
    surroundings.gone_ms = gone
    core._listed_before = (core._listed_before & known) | event.daemons
    for agent in core._agents.values():
        core._list_servers(agent)
    core._find_roles(now_ms)
    return []


@handles(GrantAnswered)
def _answered(core: Ownership, now_ms: float, event: GrantAnswered) -> list[Command]:
    agent = core._agents.get(event.group)
    if agent is None or agent.granter is None:
        return []
    agent.observe(now_ms)
    if agent.granter is None:
        return []
    commands = agent.granter.answer(event.server, event.answer, event.sent_ms, now_ms)
    return commands + core._step_agent(now_ms, event.group)


@handles(GrantFailed)
def _failed(core: Ownership, now_ms: float, event: GrantFailed) -> list[Command]:
    agent = core._agents.get(event.group)
    if agent is not None and agent.granter is not None:
        agent.granter.fail(event.server, event.sent_ms, now_ms)
    return []


@handles(PromiseAsked)
def _asked(core: Ownership, now_ms: float, event: PromiseAsked) -> list[Command]:
    agent = core._agents.get(event.group)
    if agent is None:
        return []
    agent.observe(now_ms)
    return agent.answer_ask(now_ms, event)


@handles(PromiseGiven)
def _promised(core: Ownership, now_ms: float, event: PromiseGiven) -> list[Command]:
    agent = core._agents.get(event.group)
    if agent is None:
        return []
    agent.observe(now_ms)
    agent.hear_promise(event)
    return core._step_agent(now_ms, event.group)


@handles(LoadsReported)
def _loads(core: Ownership, now_ms: float, event: LoadsReported) -> list[Command]:
    core._loads.record_report(now_ms, event)
    return []


@handles(Drain)
def _drain(core: Ownership, now_ms: float, event: Drain) -> list[Command]:
    core._surroundings.draining = True
    return core._step(now_ms)
