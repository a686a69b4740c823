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


class Report(NamedTuple):
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
    finding: str


def run_seed(seed: int, steps: int) -> Report:
    """Runs one world until its end or its first finding."""
    choose = random.Random(seed).randrange
    world = Simulation()
    taken, finding = 0, ""
    try:
        for taken in range(1, steps + 1):
            world.step(choose)
    except InvariantViolation as error:
        finding = str(error)
    return Report(
        taken, len(world.tries), len(world.runs), Counter(world.verdicts), finding
    )


def run(first_seed: int, seeds: int, steps: int) -> int:
    """Runs several seeds, prints the sums and returns the number of findings."""
    reports = []
    for seed in range(first_seed, first_seed + seeds):
        report = run_seed(seed, steps)
        reports.append(report)
        if report.finding:
            print(f"FINDING seed {seed} step {report.steps}: {report.finding}")
    verdicts = sum((report.verdicts for report in reports), Counter())
    findings = sum(bool(report.finding) for report in reports)
    print(f"seeds {first_seed} to {first_seed + seeds - 1}")
    print(f"steps {sum(report.steps for report in reports)}")
    print(f"attempts {sum(report.attempts for report in reports)}")
    print(f"requests that ran {sum(report.runs for report in reports)}")
    for name, count in verdicts.most_common():
        print(f"  {name} {count}")
    print(f"findings {findings}")
    return findings


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
