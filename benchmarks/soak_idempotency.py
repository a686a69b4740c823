"""Long seeded runs of the at-most-once model of the tests.

Exits with 1 when an invariant was broken; the seed and the step repeat it.
"""

from __future__ import annotations

import argparse
import random
import sys
from collections import Counter
from typing import NamedTuple

from tests.core.idempotency.simulation import InvariantViolation, Simulation


class SeedReport(NamedTuple):
    """What one seed showed.

    Attributes:
        steps: Steps taken.
        attempts: Attempts sent by callers.
        runs: Requests that ran.
        verdicts: Verdicts that entry daemons heard in time, by name.
        finding: The broken invariant, or "".
    """

    steps: int
    attempts: int
    runs: int
    verdicts: Counter[str]
    violation: str


def run_seed(seed: int, steps: int) -> SeedReport:
    """Runs one world until its end or its first finding."""
    draw = random.Random(seed).randrange
    world = Simulation()
    step_count, violation = 0, ""
    try:
        for step_count in range(1, steps + 1):
            world.step(draw)
    except InvariantViolation as error:
        violation = str(error)
    return SeedReport(
        step_count,
        len(world.tries),
        len(world.runs),
        Counter(world.verdicts),
        violation,
    )


def run(first_seed: int, seeds: int, steps: int) -> int:
    """Runs several seeds, prints the sums and returns the number of findings."""
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
    """Reads the arguments and runs the seeds."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--steps", type=int, default=5000, help="steps of each seed")
    arguments = parser.parse_args()
    return 1 if run(arguments.seed, arguments.seeds, arguments.steps) else 0


if __name__ == "__main__":
    sys.exit(main())
