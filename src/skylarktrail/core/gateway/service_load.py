"""Relates the load of each service without keys to its slots, for load shedding.

In a burst, the requests of some dozens of daemons fill all instances of a service. Each
daemon knows their load only with a delay, and mostly from the requests of others, so it
takes full instances for idle ones, and urgent requests time out in their queues. The
granter knows the load of the whole service. Single instances may be full while others
are idle; the sum hardly varies, so the thresholds can be lower than those of an owner.

Daemons apply the fraction to requests beside which more urgent ones arrive. Those of
the highest priority, and a service with one priority, are not shed.
"""

from __future__ import annotations

from typing import Iterable, Mapping, NamedTuple

from .instance import Instance
from .model import ServiceSpec
from .shedding import LoadLimits

# Below the target, slots are free for urgent requests; above the overload ratio, most
# instances have a queue. The fraction rises slowly, as work may last several steps.
SERVICE_LIMITS = LoadLimits(target_ratio=0.9, overload_ratio=1.2, increase_ratio=1.1)
SHEDDING_TTL_MS = 1500.0  # A daemon ignores older fractions; it may have no granter.


class ServiceLoads(NamedTuple):
    """Load of the services without keys.

    Attributes:
        totals: In-flight requests of all daemons by service.
        slots: Slots by service; a service without instances has none.
    """

    totals: dict[str, int]
    slots: dict[str, int]


def sum_up_services(
    instances: Iterable[Instance],
    services: Mapping[str, ServiceSpec],
    zones_out: Mapping[str, float],
    in_flight: Mapping[str, int],
) -> ServiceLoads:
    """Sums up the instances in service, neither leaving nor in an evacuated zone.

    Args:
        instances: All listed instances.
        services: Declared services by name.
        zones_out: Evacuated zones.
        in_flight: In-flight requests of all daemons by instance.
    """
    loads = ServiceLoads({}, {})
    for instance in instances:
        entry = instance.entry
        spec = services.get(entry.service)
        if spec is None or spec.is_keyed:
            continue
        if instance.is_leaving or entry.zone in zones_out:
            continue
        count = in_flight.get(entry.instance, 0)
        loads.totals[entry.service] = loads.totals.get(entry.service, 0) + count
        slots = loads.slots.get(entry.service, 0) + max(1, entry.slots)
        loads.slots[entry.service] = slots
    return loads


class ServiceShedding:
    """Admitted fractions that the granter has broadcast last."""

    def __init__(self) -> None:
        self._parts: Mapping[str, float] = {}
        self._updated_ms = 0.0

    def record(self, parts: Mapping[str, float], now_ms: float) -> None:
        """Records the fractions below 1 by service."""
        self._parts = parts
        self._updated_ms = now_ms

    def admitted_part(self, service: str, now_ms: float) -> float:
        """Returns the admitted fraction of the requests to a service; 1 if unknown."""
        if now_ms - self._updated_ms > SHEDDING_TTL_MS:
            return 1.0
        return self._parts.get(service, 1.0)
