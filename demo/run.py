"""Runs the demo: starts a site, applies load, runs the phases and prints a report."""

from __future__ import annotations

import argparse
import json
import signal
import sys
import time
from pathlib import Path
from types import FrameType

from standins.serving import now_ms

from .deployment import DEPLOYMENTS, Deployment
from .load import CallGenerator, Load
from .phases import PHASES, PhaseContext
from .process import STOP_SIGNALS
from .report import Evidence, PhaseSpan, Report, format_report, make_report
from .site import Site, SiteError

DEFAULT_OUTPUT_DIR = Path("build") / "demo"
DEFAULT_RATE_PER_S = 120.0
TIME_LIMIT_S = 110
PROGRESS_INTERVAL_S = 2.0
EXIT_FAILED = 1
EXIT_ABORTED = 3


class Stopped(Exception):
    """A stop signal arrived or the time limit was exceeded."""


def main(arguments: list[str] | None = None) -> int:
    """Runs the demo and returns its exit code."""
    options = _parse_arguments(arguments)
    for number in STOP_SIGNALS:
        signal.signal(number, _raise_stopped)
    signal.alarm(TIME_LIMIT_S)
    try:
        report = run_demo(DEPLOYMENTS[options.deployment], options.rate, options.build)
    except (SiteError, Stopped) as error:
        print(f"stopped: {type(error).__name__}: {error}", file=sys.stderr)
        return EXIT_ABORTED
    print(format_report(report))
    return 0 if report["is_passed"] else EXIT_FAILED


def _parse_arguments(arguments: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m demo", description=__doc__)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="pecera")
    parser.add_argument(
        "--rate",
        type=float,
        default=DEFAULT_RATE_PER_S,
        help="total calls per second",
    )
    parser.add_argument(
        "--build",
        type=Path,
        default=DEFAULT_OUTPUT_DIR,
        help="directory for the report",
    )
    return parser.parse_args(arguments)


def _raise_stopped(number: int, frame: FrameType | None) -> None:
    raise Stopped(signal.Signals(number).name)


def run_demo(deployment: Deployment, rate_per_s: float, directory: Path) -> Report:
    """Runs all phases on a new site, writes `report.json` and returns the report."""
    progress = Progress()
    file = deployment.load_operator_file()
    with Site(deployment, directory) as site:
        progress.print_line(f"{len(site.vms)} VMs of {deployment.name} started")
        site.publish(file)
        progress.print_line(f"operator file published, revision {site.revision}")
        site.wait_until_ready()
        progress.print_line("all daemons ready")
        evidence = _run_phases(site, PhaseContext(site, file), rate_per_s, progress)
    report = make_report(deployment.name, rate_per_s, evidence)
    path = directory / "report.json"
    path.write_text(json.dumps(report, indent=2) + "\n")
    return report


def _run_phases(
    site: Site, run: PhaseContext, rate_per_s: float, progress: Progress
) -> Evidence:
    load = Load(site, CallGenerator(run.file), rate_per_s)
    load.start()
    spans = []
    for name, (duration_s, run_step) in PHASES.items():
        begin_ms = now_ms()
        note = run_step(run)
        progress.print_line(f"{name}: {note}")
        progress.print_load_until(load, begin_ms + duration_s * 1000)
        spans.append(PhaseSpan(name, note, begin_ms, now_ms()))
    load.stop()
    return Evidence(
        spans,
        load.results(),
        load.open_calls(),
        site.executions(),
        set(site.vms_in_zone(run.zone_taken_out)),
        run.zone_out_ms,
        run.zone_back_ms,
        site.overloads(),
        site.find_crashed_vms(),
    )


class Progress:
    """Prints progress lines with the time since the start."""

    def __init__(self) -> None:
        self._start_s = time.monotonic()

    def print_line(self, text: str) -> None:
        """Prints one line."""
        print(f"[{time.monotonic() - self._start_s:6.1f} s] {text}", flush=True)

    def print_load_until(self, load: Load, until_ms: float) -> None:
        """Prints the state of the load periodically until a moment."""
        while (left_ms := until_ms - now_ms()) > 0:
            time.sleep(min(PROGRESS_INTERVAL_S, left_ms / 1000))
            finished = len(load.results())
            self.print_line(f"  {finished} calls finished, {load.open_calls()} open")


if __name__ == "__main__":
    sys.exit(main())
