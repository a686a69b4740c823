"""Compares the instances that could get a request by the cost of choosing each."""

from __future__ import annotations

from typing import Callable

from .expected_times import ExpectedTimes
from .instance import Instance
from .scheduler_view import SchedulerState
from .ticket import Ticket

# Traffic between zones is expensive, but long waits are worse.
OTHER_ZONE_COST_RATIO = 1.12
# A new connection takes time and may occupy a slot. It pays off if the instance is
# clearly faster than those with an idle connection.
NEW_CONNECTION_COST_RATIO = 1.4
COST_JITTER_RATIO = 0.1  # Keeps the daemons from all choosing the same instance.
FAILURE_COST_RATIO = 4.0  # Cost of a failed attempt, relative to its work time.


class InstanceCost:
    """Estimates what a request costs at an instance.

    Args:
        state: State of the daemon and the site.
        times: Expected response times.
        random_fraction: Returns random numbers in [0, 1).
    """

    def __init__(
        self,
        state: SchedulerState,
        times: ExpectedTimes,
        random_fraction: Callable[[], float],
    ) -> None:
        self._state = state
        self._times = times
        self._random_fraction = random_fraction

    def cost_ms(self, ticket: Ticket, instance: Instance, now_ms: float) -> float:
        """Returns the expected response time, weighted by the other costs."""
        cost_ms = self._times.response_ms(ticket, instance, now_ms)
        cost_ms *= 1 + FAILURE_COST_RATIO * instance.failure_ratio
        if instance.entry.zone != self._state.view.own_zone:
            cost_ms *= OTHER_ZONE_COST_RATIO
        if not self._state.view.has_idle_connection(instance.entry.instance):
            cost_ms *= NEW_CONNECTION_COST_RATIO
        return cost_ms * (1 + COST_JITTER_RATIO * self._random_fraction())
