"""Long seeded simulations of the ownership cores with injected faults.

Run `python -m benchmarks.soak --seed S --steps N`, with `--seeds K` for the seeds S to
S + K - 1. Exits with 1 if an invariant was violated.
"""

from __future__ import annotations

import argparse
import sys

from skylarktrail.core.ownership import Timings

from .ownership_world import InvariantViolation, Simulation, run

TIMINGS = (
    Timings(balance_ms=2000, give_ms=8000),
    Timings(suspect_ms=300, balance_ms=10_000),
    Timings(authority_ms=600, lease_ms=1200, renew_ms=300, balance_ms=2000),
    Timings(authority_ms=1500, lease_ms=4000, renew_ms=900, balance_ms=5000),
)


def soak(seed: int, steps: int) -> str:
    """Runs one seed and returns the violated invariant, or ""."""
    simulation = Simulation(seed, TIMINGS[seed % len(TIMINGS)])
    try:
        run(simulation, steps)
    except InvariantViolation as violation:
        return str(violation)
    print(
        f"seed {seed}: {steps} steps, "
        f"{simulation.now_ms / 1000:.0f} s of simulated time, "
        f"{len(simulation.log.records)} records, "
        f"{simulation.grants_accepted} grants accepted, no finding",
        flush=True,
    )
    return ""


def main(arguments: list[str] | None = None) -> int:
    """Runs the requested seeds and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=5000)
    parser.add_argument("--seeds", type=int, default=1)
    options = parser.parse_args(arguments)
    violations = {}
    for seed in range(options.seed, options.seed + options.seeds):
        violation = soak(seed, options.steps)
        if violation:
            violations[seed] = violation
            print(f"seed {seed}: FINDING at {violation}", flush=True)
    total = options.seeds * options.steps
    print(f"{options.seeds} seeds, {total} steps requested, {len(violations)} findings")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
