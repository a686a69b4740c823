"""Measures how long keys are unserved when processes are killed, paused or cut off.

A site of real processes receives an open-loop load on a keyed service. Each run
injects one failure, waits until requests for every key are answered again, and ends
the failure.

The unserved time of a key starts at its last answer before the failure took effect, but
not before the failure was injected.
"""

from __future__ import annotations

import argparse
import json
import statistics
import sys
import time
from pathlib import Path
from typing import Any, Callable, NamedTuple, TypedDict, TypeVar

from demo import audit
from demo.calls import CallResult, Outcome
from demo.deployment import DEPLOYMENTS, Deployment, Service
from demo.load import CallGenerator, Load, make_flows
from demo.phases import find_daemon_with_most_groups, find_server_with_most_slices
from demo.site import Options, Site, SiteError
from standins.relay import Mode
from standins.serving import now_ms

from .registry import benchmark

SITE = Deployment(
    "failover",
    ("heredia", "alajuela", "cartago"),
    (Service("catalogo", True, 13),),
)
OPTIONS = Options(service_ms=2.0)
SERVERS = frozenset(f"catalogo-{index + 1}" for index in range(13))
RELAYED = OPTIONS._replace(relayed=SERVERS)
BUILD_FOLDER = Path("build") / "failover"
MAIN_FAILURE_RUNS = 20
OTHER_FAILURE_RUNS = 5
RATE_PER_S = 160.0
KEY_COUNT = 40
RECOVERY_TARGET_MS = 5_000
UNSERVED_AFTER_MS = 1_500
RUN_TIMEOUT_MS = 15_000
SETTLE_S = 3.0
OUTAGE_LEAD_S = 1.5
POLL_INTERVAL_S = 0.1

Victims = list[str]  # names of VMs
Inject = Callable[[Site, int], Victims]
Heal = Callable[[Site, Victims], None]
InjectT = TypeVar("InjectT", bound=Inject)


class Failure(NamedTuple):
    """One kind of failure.

    Attributes:
        inject: Causes the failure in a run and returns the affected VMs.
        heal: Ends the failure.
        options: Options of the site.
        runs: Default number of runs.
    """

    inject: Inject
    heal: Heal
    options: Options
    runs: int


class FailureSummary(TypedDict):
    """Results of one kind of failure over its runs."""

    runs: int
    min_ms: int
    median_ms: int
    max_ms: int
    each_ms: list[int]
    unserved_at_end: int
    doubled: int
    two_owners: int
    false_refusals: int
    calls: int
    unknown: int


FAILURES: dict[str, Failure] = {}


def failure(
    name: str, heal: Heal, options: Options = OPTIONS, runs: int = OTHER_FAILURE_RUNS
) -> Callable[[InjectT], InjectT]:
    """Registers a function that injects a failure under a name."""

    def register(inject: InjectT) -> InjectT:
        FAILURES[name] = Failure(inject, heal, options, runs)
        return inject

    return register


def _restart(site: Site, victims: Victims) -> None:
    site.restart(*victims)


def _resume(site: Site, victims: Victims) -> None:
    site.resume(*victims)


def _end_log_outage_and_restart(site: Site, victims: Victims) -> None:
    site.control_log(outage=False)
    site.restart(*victims)


def _reconnect_log_and_restart(site: Site, victims: Victims) -> None:
    site.set_log_outage_for([])
    site.restart(*victims)


def _restore_connections(site: Site, victims: Victims) -> None:
    for name in victims:
        site.set_relay_mode(name, Mode.PASS)


@failure("server killed", _restart, runs=MAIN_FAILURE_RUNS)
def _kill_server(site: Site, run: int) -> Victims:
    server = find_server_with_most_slices(site)
    site.kill(server)
    return [server]


@failure("granter killed", _restart, runs=MAIN_FAILURE_RUNS)
def _kill_granter(site: Site, run: int) -> Victims:
    granter = find_daemon_with_most_groups(site)
    site.kill(granter)
    return [granter]


@failure("server and granter killed", _restart, runs=MAIN_FAILURE_RUNS)
def _kill_both(site: Site, run: int) -> Victims:
    victims = [find_daemon_with_most_groups(site), find_server_with_most_slices(site)]
    site.kill(*victims)
    return victims


@failure("zone killed", _restart)
def _kill_zone(site: Site, run: int) -> Victims:
    zones = site.deployment.zones
    victims = site.vms_in_zone(zones[run % len(zones)])
    site.kill(*victims)
    return victims


@failure("server frozen", _resume)
def _freeze_server(site: Site, run: int) -> Victims:
    server = find_server_with_most_slices(site)
    site.freeze(server)
    return [server]


@failure("granter frozen", _resume)
def _freeze_granter(site: Site, run: int) -> Victims:
    granter = find_daemon_with_most_groups(site)
    site.freeze(granter)
    return [granter]


@failure("server killed, log out", _end_log_outage_and_restart)
def _kill_server_without_log(site: Site, run: int) -> Victims:
    site.control_log(outage=True)
    time.sleep(OUTAGE_LEAD_S)
    return _kill_server(site, run)


@failure("server killed, granter without log", _reconnect_log_and_restart)
def _kill_server_of_cut_granter(site: Site, run: int) -> Victims:
    site.set_log_outage_for([find_daemon_with_most_groups(site)])
    time.sleep(OUTAGE_LEAD_S)
    return _kill_server(site, run)


@failure("server cut off", _restore_connections, RELAYED)
def _cut_server(site: Site, run: int) -> Victims:
    server = find_server_with_most_slices(site)
    site.set_relay_mode(server)
    return [server]


class LoadProbe:
    """Sends load and finds the keys that are unserved."""

    def __init__(self, site: Site, file: dict[str, Any], seed: int) -> None:
        flows = [flow for flow in make_flows(file) if flow.is_keyed]
        self._load = Load(site, CallGenerator(file, seed, KEY_COUNT, flows), RATE_PER_S)
        self._load.start()

    def stop(self) -> list[CallResult]:
        """Stops the load and returns all finished calls."""
        self._load.stop()
        return self._load.results()

    def unserved_keys(self, clock_ms: float) -> set[str]:
        """Returns the keys without an answer in the last `UNSERVED_AFTER_MS`."""
        seen: set[str] = set()
        answered: set[str] = set()
        for result in self._load.results():
            seen.add(result.call.key)
            if result.tries[-1].end_ms >= clock_ms - UNSERVED_AFTER_MS:
                if result.outcome is Outcome.ANSWERED:
                    answered.add(result.call.key)
        return seen - answered

    def wait_until_served(self, begin_ms: float) -> bool:
        """Waits until every key is served again.

        Args:
            begin_ms: Monotonic time of the failure in milliseconds.

        Returns:
            Whether all keys were served within `RUN_TIMEOUT_MS` of the failure.
        """
        while (clock_ms := now_ms()) < begin_ms + RUN_TIMEOUT_MS:
            time.sleep(POLL_INTERVAL_S)
            if clock_ms < begin_ms + 2 * UNSERVED_AFTER_MS:
                continue
            if not self.unserved_keys(clock_ms):
                return True
        return False


def find_longest_unserved_ms(
    results: list[CallResult], begin_ms: float, end_ms: float
) -> float:
    """Returns the longest time that a key was unserved after a failure.

    Args:
        results: Finished calls.
        begin_ms: Time at which the failure was injected.
        end_ms: Time at which the run ended.
    """
    unserved_ms = [
        interval.max_length_ms(begin_ms)
        for interval in audit.find_unserved_intervals(results)
        if begin_ms <= interval.begin_ms < end_ms
    ]
    return max(unserved_ms, default=0.0)


class RunTimes(NamedTuple):
    """Times and outcome of one run.

    Attributes:
        begin_ms: Time at which the failure was injected.
        end_ms: Time at which all keys were served again, or the run timed out.
        is_served: Whether all keys were served again.
    """

    begin_ms: float
    end_ms: float
    is_served: bool


def _run_once(site: Site, probe: LoadProbe, kind: Failure, run: int) -> RunTimes:
    victims = kind.inject(site, run)
    begin_ms = now_ms()
    is_served = probe.wait_until_served(begin_ms)
    end_ms = now_ms()
    kind.heal(site, victims)
    site.wait_until_ready()
    time.sleep(SETTLE_S)
    return RunTimes(begin_ms, end_ms, is_served)


def measure(site: Site, file: dict[str, Any], name: str, runs: int) -> FailureSummary:
    """Injects one kind of failure a number of times into a running site."""
    # The homes of idempotency keys reject keys generated before their terms began.
    time.sleep(SETTLE_S)
    probe = LoadProbe(site, file, seed=1)
    time.sleep(SETTLE_S)
    measured = [_run_once(site, probe, FAILURES[name], run) for run in range(runs)]
    results = probe.stop()
    executions = site.executions()
    each_ms = [
        round(find_longest_unserved_ms(results, run.begin_ms, run.end_ms))
        for run in measured
    ]
    return FailureSummary(
        runs=runs,
        min_ms=min(each_ms),
        median_ms=round(statistics.median(each_ms)),
        max_ms=max(each_ms),
        each_ms=each_ms,
        unserved_at_end=sum(not run.is_served for run in measured),
        doubled=len(audit.find_duplicate_executions(executions)),
        two_owners=len(audit.find_owner_conflicts(executions)),
        false_refusals=len(audit.find_false_refusals(results, executions)),
        calls=len(results),
        unknown=sum(result.outcome is Outcome.UNKNOWN for result in results),
    )


def _print_summary(name: str, result: FailureSummary) -> None:
    print(
        f"{name:>36}: {result['runs']} runs, unserved min {result['min_ms']} ms,"
        f" median {result['median_ms']} ms, max {result['max_ms']} ms;"
        f" not served again {result['unserved_at_end']},"
        f" doubled {result['doubled']}, two owners {result['two_owners']},"
        f" false refusals {result['false_refusals']};"
        f" {result['calls']} calls, {result['unknown']} unknown",
        flush=True,
    )


def _meets_target(result: FailureSummary) -> bool:
    faults = ("unserved_at_end", "doubled", "two_owners", "false_refusals")
    return result["max_ms"] <= RECOVERY_TARGET_MS and not any(
        result[name] for name in faults
    )


@benchmark("failover")
def main(arguments: list[str] | None = None) -> int:
    """Runs the failures and writes build/failover.json.

    Returns:
        1 if a failure missed its target or its run was aborted, else 0.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, help="number of runs of each failure")
    parser.add_argument("--failure", action="append", choices=list(FAILURES))
    options = parser.parse_args(arguments)
    file = DEPLOYMENTS["pecera"].load_operator_file()
    figures: dict[str, FailureSummary] = {}
    for name in options.failure or FAILURES:
        # Each kind of failure runs on a new site, free of the effects of earlier ones.
        with Site(SITE, BUILD_FOLDER, FAILURES[name].options) as site:
            try:
                site.publish(file)
                site.wait_until_ready()
                runs = options.runs or FAILURES[name].runs
                figures[name] = measure(site, file, name, runs)
            except SiteError as error:
                print(f"{name:>36}: aborted: {error}", flush=True)
                continue
        _print_summary(name, figures[name])
    path = BUILD_FOLDER.parent / "failover.json"
    path.write_text(json.dumps(figures, indent=2) + "\n")
    requested = options.failure or FAILURES
    return (
        0
        if all(name in figures and _meets_target(figures[name]) for name in requested)
        else 1
    )


if __name__ == "__main__":
    sys.exit(main())
