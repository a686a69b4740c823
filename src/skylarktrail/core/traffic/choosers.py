"""Ways to choose an instance, registered by name."""

from __future__ import annotations

from typing import Callable, NamedTuple, Protocol, Sequence, TypeVar

from .instance import InstanceState

SAMPLE_SIZE = 16
OVER_QUOTA_COST_FACTOR = 1.5
CROSS_ZONE_COST_FACTOR = 1.1


class SelectionContext(NamedTuple):
    """What a chooser may look at besides the instances.

    Attributes:
        now_ms: The time.
        zone: Availability zone of this daemon.
        typical_ms: Median latency of the service.
        tried: Instances that the request was sent to before.
        uniform: Returns random numbers from 0 to below 1.
    """

    now_ms: float
    zone: str
    typical_ms: float
    tried_ids: set[str]
    uniform: Callable[[], float]

    def accepts(self, instance: InstanceState) -> bool:
        """Tells whether an instance has room and was not tried."""
        return instance.info.id not in self.tried_ids and instance.has_room(self.now_ms)


class Chooser(Protocol):
    """Chooses the instance of one attempt."""

    def choose(
        self, candidates: Sequence[InstanceState], context: SelectionContext
    ) -> InstanceState | None:
        """Returns an accepted candidate, or None."""


ChooserType = TypeVar("ChooserType", bound=type)
CHOOSERS: dict[str, Callable[[], Chooser]] = {}


def chooser(name: str) -> Callable[[ChooserType], ChooserType]:
    """Registers a chooser under its name in the operator's file."""

    def register(cls: ChooserType) -> ChooserType:
        CHOOSERS[name] = cls
        return cls

    return register


def sample_accepted(
    candidates: Sequence[InstanceState], context: SelectionContext
) -> list[InstanceState]:
    """Returns the accepted ones of all candidates, or of a random few of many."""
    count = len(candidates)
    if count <= SAMPLE_SIZE:
        sampled = candidates
    else:
        start = int(context.uniform() * count)
        stride = 1 + int(context.uniform() * (count - 1))
        sampled = [candidates[(start + i * stride) % count] for i in range(SAMPLE_SIZE)]
    return [instance for instance in sampled if context.accepts(instance)]


def select_least_cost(
    accepted: Sequence[InstanceState],
    cost: Callable[[InstanceState], float],
    context: SelectionContext,
) -> InstanceState | None:
    """Returns the candidate of least cost; a random one of several equals."""
    best: InstanceState | None = None
    best_cost = (0.0, 0.0)
    for instance in accepted:
        this_cost = (cost(instance), context.uniform())
        if best is None or this_cost < best_cost:
            best, best_cost = instance, this_cost
    return best


@chooser("adaptive")
class Adaptive:
    """Least expected latency, by this daemon's own sight.

    The expected latency grows with the attempts in flight. Instances whose slots are
    dealt to this daemon by rank go before others, so that daemons which see nothing
    of each other seldom meet at one instance.
    """

    def choose(
        self, candidates: Sequence[InstanceState], context: SelectionContext
    ) -> InstanceState | None:
        """Returns the accepted candidate of least expected latency."""

        def cost(instance: InstanceState) -> float:
            in_flight = instance.in_flight
            expected_ms = instance.expected_ms(context.now_ms, context.typical_ms)
            hint = instance.decayed_load(context.now_ms)
            cost_ms = expected_ms * (1 + in_flight + hint)
            if in_flight >= instance.roster_rank.quota(instance.info.slots):
                cost_ms *= OVER_QUOTA_COST_FACTOR
            if instance.info.zone != context.zone:
                cost_ms *= CROSS_ZONE_COST_FACTOR
            return cost_ms

        return select_least_cost(sample_accepted(candidates, context), cost, context)


@chooser("round_robin")
class RoundRobin:
    """Each instance in turn."""

    def __init__(self) -> None:
        self._next = 0

    def choose(
        self, candidates: Sequence[InstanceState], context: SelectionContext
    ) -> InstanceState | None:
        """Returns the next accepted candidate."""
        count = len(candidates)
        for step in range(min(count, SAMPLE_SIZE)):
            instance = candidates[(self._next + step) % count]
            if context.accepts(instance):
                self._next = (self._next + step + 1) % count
                return instance
        return None


@chooser("least_in_flight")
class LeastInFlight:
    """Fewest attempts of this daemon in flight."""

    def choose(
        self, candidates: Sequence[InstanceState], context: SelectionContext
    ) -> InstanceState | None:
        """Returns the accepted candidate with the fewest attempts in flight."""
        accepted = sample_accepted(candidates, context)
        return select_least_cost(
            accepted, lambda instance: float(instance.in_flight), context
        )


@chooser("report_driven")
class ReportDriven:
    """Least load by the instances' own reports."""

    def choose(
        self, candidates: Sequence[InstanceState], context: SelectionContext
    ) -> InstanceState | None:
        """Returns the accepted candidate with the least reported load."""
        accepted = sample_accepted(candidates, context)
        return select_least_cost(accepted, InstanceState.reported_load, context)
