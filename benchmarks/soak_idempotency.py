"""Long seeded runs of the simulation that tests at-most-once execution.

Exits with 1 if an invariant was violated. The printed seed and step reproduce it.
"""

from __future__ import annotations

import argparse
import random
import sys
from collections import Counter
from typing import NamedTuple

from tests.core.idempotency.simulation import InvariantViolation, Simulation


class SeedReport(NamedTuple):
    """Result of one seed.

    Attributes:
        steps: Number of executed steps.
        attempts: Number of attempts of the callers.
        runs: Number of requests that were executed.
        verdicts: Number of verdicts received by entry daemons in time, by name.
        violation: The violated invariant, or "".
    """

    steps: int
    attempts: int
    runs: int
    verdicts: Counter[str]
    violation: str


def run_seed(seed: int, steps: int) -> SeedReport:
    """Runs one simulation until its last step or its first violation."""
    draw = random.Random(seed).randrange
    simulation = Simulation()
    step_count, violation = 0, ""
    try:
        for step_count in range(1, steps + 1):
            simulation.step(draw)
    except InvariantViolation as error:
        violation = str(error)
    return SeedReport(
        step_count,
        len(simulation.tries),
        len(simulation.runs),
        Counter(simulation.verdicts),
        violation,
    )


def run(first_seed: int, seeds: int, steps: int) -> int:
    """Runs several seeds, prints the totals and returns the number of violations."""
    seed_reports = []
    for seed in range(first_seed, first_seed + seeds):
        report = run_seed(seed, steps)
        seed_reports.append(report)
        if report.violation:
            print(f"FINDING seed {seed} step {report.steps}: {report.violation}")
    verdicts = sum((report.verdicts for report in seed_reports), Counter())
    violations = sum(bool(report.violation) for report in seed_reports)
    print(f"seeds {first_seed} to {first_seed + seeds - 1}")
    print(f"steps {sum(report.steps for report in seed_reports)}")
    print(f"attempts {sum(report.attempts for report in seed_reports)}")
    print(f"requests that ran {sum(report.runs for report in seed_reports)}")
    for name, count in verdicts.most_common():
        print(f"  {name} {count}")
    print(f"findings {violations}")
    return violations


def main() -> int:
    """Runs the requested seeds and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument(
        "--steps", type=int, default=5000, help="number of steps of each seed"
    )
    arguments = parser.parse_args()
    return 1 if run(arguments.seed, arguments.seeds, arguments.steps) else 0


if __name__ == "__main__":
    sys.exit(main())
