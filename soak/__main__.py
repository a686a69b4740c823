"""Runs the soak test: `python -m soak --seed 1 --runs 1`."""

from __future__ import annotations

import argparse
import shutil
import signal
import sys

from .run import SoakRun


def main() -> int:
    """Runs consecutive seeds; returns 1 if a run has findings, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument(
        "--cuts", action="store_true", help="cut gateways off from all instances too"
    )
    parser.add_argument(
        "--all", action="store_true", help="all faults, more of them at the same time"
    )
    arguments = parser.parse_args()
    # Exits through the context managers, which end the processes of the current run.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    status = 0
    for seed in range(arguments.seed, arguments.seed + arguments.runs):
        run = SoakRun(
            seed,
            arguments.seconds,
            arguments.gateways,
            arguments.instances,
            arguments.cuts,
            arguments.all,
        )
        outcome = run.execute()
        print(
            f"seed {seed}: {outcome.served} of {outcome.requests} served, "
            f"{len(outcome.faults)} faults, {len(outcome.findings)} findings",
            flush=True,
        )
        if not outcome.findings:
            shutil.rmtree(run.directory, ignore_errors=True)
            continue
        status = 1
        print(f"  output: {run.directory}; faults: {', '.join(outcome.faults)}")
        for finding in outcome.findings[:20]:
            print(f"  {finding}")
    return status


if __name__ == "__main__":
    sys.exit(main())
