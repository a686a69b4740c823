"""Figures of the capacity benchmark and the functions that measure them."""

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
        quantity: Name of the measured quantity.
        by: Items that the size counts, such as slices.
        size: Size at which the quantity was measured.
        value: Measured value, in `unit`.
        unit: Unit of the value.
    """

    quantity: str
    by: str
    size: int
    value: float
    unit: str


class Slope(NamedTuple):
    """Linear growth of one quantity with the size.

    Attributes:
        quantity: Name of the measured quantity.
        by: Items that the size counts, such as slices.
        per_unit: Growth of the value for each additional unit of size.
        at_zero: Value of the fitted line at size 0.
        unit: Unit of the value.
    """

    quantity: str
    by: str
    per_unit: float
    at_zero: float
    unit: str


def section(name: str) -> Callable[[MeasureT], MeasureT]:
    """Registers a function that measures one part of the system under a name."""

    def register(measure: MeasureT) -> MeasureT:
        SECTIONS[name] = measure
        return measure

    return register


def cpu_us(
    action: Callable[[], Any], calls_per_run: int = 1, repeats: int = REPEATS
) -> float:
    """Returns the lowest processor time of one call in microseconds.

    Args:
        action: Makes `calls_per_run` calls.
        calls_per_run: Number of calls that one run of the action makes.
        repeats: Number of runs; the fastest one counts.
    """
    spent_s = []
    for _ in range(repeats):
        gc.collect()
        started_s = time.process_time()
        action()
        spent_s.append(time.process_time() - started_s)
    return min(spent_s) / calls_per_run * 1e6


def memory_bytes(make: Callable[[], Any]) -> int:
    """Returns the bytes that a new object occupies.

    Memory that was allocated before the call is not counted.
    """
    gc.collect()
    tracemalloc.start()
    created = make()
    gc.collect()
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del created
    return allocated_bytes


def fit_slopes(figures: list[Figure]) -> list[Slope]:
    """Returns the least-squares line of each quantity measured at two or more sizes.

    Each squared error is divided by its size, so that small sizes also affect the line.
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
