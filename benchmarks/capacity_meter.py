"""Figures of the capacity benchmark, and how they are taken."""

from __future__ import annotations

import gc
import time
import tracemalloc
from typing import Any, Callable, NamedTuple, TypeVar

REPEATS = 3
Measure = Callable[[], "list[Figure]"]
MeasureT = TypeVar("MeasureT", bound=Measure)
SECTIONS: dict[str, Measure] = {}


class Figure(NamedTuple):
    """One measured value.

    Attributes:
        quantity: What was measured.
        by: What the size counts.
        size: Size at which it was measured.
        value: The value.
        unit: Unit of the value.
    """

    quantity: str
    by: str
    size: int
    value: float
    unit: str


class Slope(NamedTuple):
    """How one quantity grows.

    Attributes:
        quantity: What was measured.
        by: What the size counts.
        per_unit: Growth of the value for one more unit of size.
        at_zero: Value of the line at size 0.
        unit: Unit of the value.
    """

    quantity: str
    by: str
    per_unit: float
    at_zero: float
    unit: str


def section(name: str) -> Callable[[MeasureT], MeasureT]:
    """Registers a function that measures one part of the system."""

    def register(measure: MeasureT) -> MeasureT:
        SECTIONS[name] = measure
        return measure

    return register


def cpu_us(
    action: Callable[[], Any], calls_per_run: int = 1, repeats: int = REPEATS
) -> float:
    """Returns the least processor time of one call in microseconds.

    Args:
        action: Makes `calls` calls.
        calls: Calls that one run of the action makes.
        repeats: Runs, of which the fastest counts.
    """
    spent_s = []
    for _ in range(repeats):
        gc.collect()
        started_s = time.process_time()
        action()
        spent_s.append(time.process_time() - started_s)
    return min(spent_s) / calls_per_run * 1e6


def memory_bytes(make: Callable[[], Any]) -> int:
    """Returns the memory that an object holds, without what stood before."""
    gc.collect()
    tracemalloc.start()
    created = make()
    gc.collect()
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del created
    return allocated_bytes


def fit_slopes(figures: list[Figure]) -> list[Slope]:
    """Returns the least-squares line of each quantity with two or more sizes.

    Each square is weighed by the size, so that small sizes count as well.
    """
    groups: dict[tuple[str, str, str], list[Figure]] = {}
    for figure in figures:
        key = (figure.quantity, figure.by, figure.unit)
        groups.setdefault(key, []).append(figure)
    return [
        Slope(quantity, by, *_fit_line(group_figures), unit)
        for (quantity, by, unit), group_figures in groups.items()
        if len({figure.size for figure in group_figures}) > 1
    ]


def _fit_line(figures: list[Figure]) -> tuple[float, float]:
    weights = [1 / max(figure.size, 1) for figure in figures]
    total = sum(weights)
    mean_size = sum(w * f.size for w, f in zip(weights, figures)) / total
    mean_value = sum(w * f.value for w, f in zip(weights, figures)) / total
    size_variance = sum(w * (f.size - mean_size) ** 2 for w, f in zip(weights, figures))
    shared = sum(
        w * (f.size - mean_size) * (f.value - mean_value)
        for w, f in zip(weights, figures)
    )
    per_unit = shared / size_variance
    return per_unit, mean_value - per_unit * mean_size
