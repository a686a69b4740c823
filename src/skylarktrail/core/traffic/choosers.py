"""Load-balancing algorithms that choose an instance, registered by name."""

from __future__ import annotations

from typing import Callable, NamedTuple, Protocol, Sequence, TypeVar

from .instance import InstanceState

SAMPLE_SIZE = 16
OVER_QUOTA_COST_FACTOR = 1.5
CROSS_ZONE_COST_FACTOR = 1.1


class SelectionContext(NamedTuple):
    """Input of a chooser besides the candidate instances.

    Attributes:
        now_ms: Monotonic time.
        zone: Availability zone of this daemon.
        typical_ms: Median latency of the service.
        tried_ids: Identifiers of the instances that the request was already sent to.
        uniform: Returns random numbers from 0 to below 1.
    """

    now_ms: float
    zone: str
    typical_ms: float
    tried_ids: set[str]
    uniform: Callable[[], float]

    def accepts(self, instance: InstanceState) -> bool:
        """Returns whether an instance has capacity and was not tried yet."""
        return instance.info.id not in self.tried_ids and instance.has_room(self.now_ms)


class Chooser(Protocol):
    """Chooses the instance for one attempt."""

    def choose(
        self, candidates: Sequence[InstanceState], context: SelectionContext
    ) -> InstanceState | None:
        """Returns a candidate that the context accepts, or None."""


ChooserType = TypeVar("ChooserType", bound=type)
CHOOSERS: dict[str, Callable[[], Chooser]] = {}


def chooser(name: str) -> Callable[[ChooserType], ChooserType]:
    """Registers a chooser under its name in the operator file."""

    def register(cls: ChooserType) -> ChooserType:
        CHOOSERS[name] = cls
        return cls

    return register


def sample_accepted(
    candidates: Sequence[InstanceState], context: SelectionContext
) -> list[InstanceState]:
    """Returns the accepted candidates.

    Looks at `SAMPLE_SIZE` random candidates if there are more than that.
    """
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
    """Returns the instance with the least cost; ties are broken at random."""
    best: InstanceState | None = None
    best_cost = (0.0, 0.0)
    for instance in accepted:
        this_cost = (cost(instance), context.uniform())
        if best is None or this_cost < best_cost:
            best, best_cost = instance, this_cost
    return best


@chooser("adaptive")
class Adaptive:
    """Least expected latency, as measured by this daemon.

    The cost grows with the attempts in flight. An instance costs more when this
    daemon already uses its own share of the slots, as assigned by rank. So daemons
    that do not see each other's load seldom choose the same instance. Instances of
    other zones cost more, too.
    """

    def choose(
        self, candidates: Sequence[InstanceState], context: SelectionContext
    ) -> InstanceState | None:
        """Returns the accepted candidate with the least expected latency."""

        def cost(instance: InstanceState) -> float:
            in_flight = instance.in_flight
            expected_ms = instance.expected_ms(context.now_ms, context.typical_ms)
            reported_load = instance.decayed_load(context.now_ms)
            cost_ms = expected_ms * (1 + in_flight + reported_load)
            if in_flight >= instance.roster_rank.quota(instance.info.slots):
                cost_ms *= OVER_QUOTA_COST_FACTOR
            if instance.info.zone != context.zone:
                cost_ms *= CROSS_ZONE_COST_FACTOR
            return cost_ms

        return select_least_cost(sample_accepted(candidates, context), cost, context)


@chooser("round_robin")
class RoundRobin:
    """Round robin over the candidates."""

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
    """Fewest attempts in flight from this daemon."""

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
    """Least load in the load reports of the instances."""

    def choose(
        self, candidates: Sequence[InstanceState], context: SelectionContext
    ) -> InstanceState | None:
        """Returns the accepted candidate with the least reported load."""
        accepted = sample_accepted(candidates, context)
        return select_least_cost(accepted, InstanceState.reported_load, context)
