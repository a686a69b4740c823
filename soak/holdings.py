"""Which instance held which keys, from what the instances and their driver recorded."""

from __future__ import annotations

import json
from typing import Iterable, NamedTuple

from demo.gateway_site import GatewaySite
from demo.process import Process


class Holding(NamedTuple):
    """A time in which an instance held a range of keys.

    Attributes:
        instance: Name of the instance.
        first: First key.
        last: Last key.
        begin_ms: Begin, CLOCK_MONOTONIC of the host.
        end_ms: End.
    """

    instance: str
    first: int
    last: int
    begin_ms: float
    end_ms: float


class HeldRanges(NamedTuple):
    """What an instance holds from a time on: rows of first key, last key and end."""

    at_ms: float
    rows: list[tuple[int, int, float]]


def read_site_holdings(site: GatewaySite) -> list[Holding]:
    """Returns the holdings of all instances, including killed and replaced ones."""
    processes = [*site.former_instances.values(), *site.instances.values()]
    return [holding for process in processes for holding in _read_holdings(process)]


def _read_holdings(process: Process) -> list[Holding]:
    changes = parse_changes(process.output().splitlines(), process.kill_times_ms)
    return list_holdings(process.name, changes)


def parse_changes(
    lines: Iterable[str], kill_times_ms: Iterable[float]
) -> list[HeldRanges]:
    """Returns the changes of what an instance held, over all its processes.

    Args:
        lines: Output of the instance.
        kill_times_ms: Times at which its process was killed, and so held nothing.
    """
    changes = [HeldRanges(at_ms, []) for at_ms in kill_times_ms]
    for line in lines:
        word, _, rest = line.partition(" ")
        at_ms, _, rows = rest.partition(" ")
        if word in ("begins", "ends"):
            changes.append(HeldRanges(float(at_ms), []))
        elif word == "holds" and rows.endswith("]"):
            changes.append(HeldRanges(float(at_ms), json.loads(rows)))
    return sorted(changes, key=lambda change: change.at_ms)


def list_holdings(instance: str, changes: list[HeldRanges]) -> list[Holding]:
    """Returns the holdings of an instance; each ends with its lease or a change."""
    ends_ms = [change.at_ms for change in changes[1:]] + [float("inf")]
    return [
        Holding(instance, first, last, change.at_ms, min(lease_end_ms, end_ms))
        for change, end_ms in zip(changes, ends_ms)
        for first, last, lease_end_ms in change.rows
        if lease_end_ms > change.at_ms
    ]


def find_shared_ranges(holdings: Iterable[Holding]) -> list[str]:
    """Returns a finding for each pair of instances that held a key at the same time."""
    active: list[Holding] = []
    times_ms: dict[tuple[str, str], list[float]] = {}
    for holding in sorted(holdings, key=lambda item: item.begin_ms):
        active = [item for item in active if item.end_ms > holding.begin_ms]
        for other in active:
            if _have_common_key(holding, other):
                pair = tuple(sorted((holding.instance, other.instance)))
                shared_ms = min(holding.end_ms, other.end_ms) - holding.begin_ms
                times_ms.setdefault(pair, [holding.begin_ms]).append(shared_ms)
        active.append(holding)
    return [
        f"{first} and {second} hold keys at the same time, for {sum(shared_ms):.1f} ms "
        f"over all ranges, first at {begin_ms:.1f}"
        for (first, second), (begin_ms, *shared_ms) in times_ms.items()
    ]


def _have_common_key(a: Holding, b: Holding) -> bool:
    is_common = a.first <= b.last and b.first <= a.last
    return is_common and a.instance != b.instance
