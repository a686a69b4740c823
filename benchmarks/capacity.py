"""Measures how the costs of each part of a daemon grow with the size of the site.

    python -m benchmarks.capacity [SECTION ...]

docs/CAPACITY.md lists the figures together with the target sizes.
"""

from __future__ import annotations

import argparse
import json
import sys
import time
from pathlib import Path
from typing import Any

import psutil

from . import (  # noqa: F401  Importing a module registers its sections.
    capacity_loads,
    capacity_log,
    capacity_ownership,
    capacity_process,
    capacity_traffic,
    capacity_wire,
)
from .capacity_meter import SECTIONS, Figure, Slope, fit_slopes
from .capacity_target import Row, target_rows
from .registry import benchmark

OUTPUT_FILE = Path("build") / "capacity.json"


def _print_figures(figures: list[Figure]) -> None:
    for figure in figures:
        print(
            f"{figure.quantity:<48} {figure.size:>9} {figure.by:<10}"
            f" {figure.value:>16,.2f} {figure.unit}",
            flush=True,
        )


def _print_slopes(section_slopes: list[Slope]) -> None:
    for slope in section_slopes:
        print(
            f"  slope {slope.quantity:<44} {slope.per_unit:>14,.4f} {slope.unit}"
            f" per unit of {slope.by}, {slope.at_zero:,.1f} at 0"
        )


def _print_rows(rows: list[Row]) -> None:
    print("-- at the target")
    for row in rows:
        limit = "" if row.limit is None else f"{row.limit:,.0f}"
        print(
            f"{row.role:<26} {row.what:<40} {row.value:>16,.1f} {row.unit:<15}"
            f" {limit:>12} {row.verdict}"
        )


@benchmark("capacity")
def main(arguments: list[str] | None = None) -> int:
    """Measures the sections; prints the figures and writes build/capacity.json."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("sections", nargs="*", metavar="SECTION", help=f"{[*SECTIONS]}")
    options = parser.parse_args(arguments)
    document: dict[str, Any] = {}
    measured: list[Figure] = []
    for name in options.sections or SECTIONS:
        started_s = time.monotonic()
        machine_load = psutil.getloadavg()[0]
        figures = SECTIONS[name]()
        duration_s = time.monotonic() - started_s
        print(f"-- {name}: {duration_s:.1f} s, machine load {machine_load:.1f}")
        _print_figures(figures)
        measured += figures
        section_slopes = fit_slopes(figures)
        _print_slopes(section_slopes)
        document[name] = {
            "took_s": duration_s,
            "machine_load": machine_load,
            "figures": [figure._asdict() for figure in figures],
            "slopes": [slope._asdict() for slope in section_slopes],
        }
    if set(document) == set(SECTIONS):
        rows = target_rows(measured)
        _print_rows(rows)
        document["target"] = [row._asdict() | {"verdict": row.verdict} for row in rows]
    OUTPUT_FILE.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT_FILE.write_text(json.dumps(document, indent=2) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
