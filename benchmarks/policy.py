"""Simulates the traffic policy under load and faults, on a virtual clock.

Eight daemons, each with its own `Traffic` object, send open-loop load to fake
instances. Each case is repeated with the baseline policies. Times are in milliseconds.

    python -m benchmarks.policy [--quick] [--seed 1] [--processes 3]
"""

from __future__ import annotations

import argparse
import itertools
import json
import random
from collections import deque
from multiprocessing import Pool
from pathlib import Path
from typing import Any, Callable, Iterator, NamedTuple

import simpy
from hdrh.histogram import HdrHistogram

from skylarktrail.core.traffic import Traffic
from skylarktrail.core.traffic.messages import (
    Attempt,
    Instance,
    LoadReport,
    Outcome,
    Refusal,
    RequestInfo,
    RosterEntry,
    Wait,
)

from .plots import plot_scenario
from .registry import benchmark

BUILD_FOLDER = Path("build/policy")
DAEMON_COUNT, SLOT_COUNT, QUEUE_LIMIT, CONNECTION_COUNT = 8, 3, 9, 110
MEAN_SERVICE_MS, SERVICE_SIGMA, SLOW_FACTOR, DEADLINE_MS = 10.0, 0.5, 10.0, 2_000.0
COLD_START_MS, COLD_SLOW_FACTOR, COLD_SETBACK_MS = 10_000.0, 2.0, 500.0
FAULT_AT_MS, RECOVERY_AT_MS, MAX_CONFIGURE_DELAY_MS = 5_000.0, 15_000.0, 3_000.0
LOCAL_LATENCY_MS, REPORT_INTERVAL_MS, REPORT_DELAY_MS = 0.1, 500.0, 5_000.0
IDEMPOTENT_RATIO, TENANT_COUNT, DRAIN_MS = 0.8, 4, 35_000.0
BASELINE_OPTIONS = {
    "hedge_budget_percent": 0,
    "ejection_max_percent": 0,
    "cold_start_ms": 0,
}
POLICIES: dict[str, dict[str, Any]] = {
    "adaptive": {"choice": "adaptive"},
    "round_robin": {"choice": "round_robin", **BASELINE_OPTIONS},
    "least_in_flight": {"choice": "least_in_flight", **BASELINE_OPTIONS},
    "report_driven": {"choice": "report_driven", **BASELINE_OPTIONS},
}
DURATIONS_MS = {
    "steady": 12_000.0,
    "stragglers": 15_000.0,
    "cold_wave": 32_000.0,
    "zone": 35_000.0,
    "all_shed": 30_000.0,
}
LOAD_PERCENTS = {"steady": (50, 80, 95, 100, 120), "stragglers": (50, 80, 95, 120)}


class Size(NamedTuple):
    """A deployment; `remote_latency_ms` is the one-way latency between its zones."""

    name: str
    instances: int
    remote_latency_ms: float
    zones: tuple[str, ...]


PECERA = Size("pecera", 7, 0.5, ("heredia", "alajuela", "cartago"))
VANUA = Size("vanua", 9, 1.5, ("suva", "lautoka", "nadi"))
TENFOLD_SIZES = [
    size._replace(name=size.name + "x10", instances=size.instances * 10)
    for size in (PECERA, VANUA)
]
TENFOLD_POLICIES = ("adaptive", "least_in_flight")


class Case(NamedTuple):
    """Parameters of one run."""

    scenario: str
    size: Size
    load_percent: int
    policy: str
    seed: int


class Call:
    """A caller's request and the number of times that an instance ran it."""

    def __init__(self, info: RequestInfo) -> None:
        self.info = info
        self.runs = 0


class Job(simpy.Event):
    """A request at a fake instance; its value is the outcome."""

    def __init__(self, env: simpy.Environment, call: Call) -> None:
        super().__init__(env)
        self.call = call
        self.is_cancelled = False


class FakeInstance:
    """Instance with slots, a bounded FIFO queue, a cold start and a slow factor."""

    def __init__(self, env: simpy.Environment, info: Instance, rng: Any) -> None:
        self.env, self.info, self.rng = env, info, rng
        self.queue: deque[Job] = deque()
        self.running = self.answered = self.overloads = 0
        self.slow_factor, self.sheds_all, self.cold_start_at_ms = (
            1.0,
            False,
            -COLD_START_MS,
        )

    def cold_start_limit(self) -> int | None:
        """Returns the number of requests accepted in the cold start; None when warm."""
        age_ms = self.env.now - self.cold_start_at_ms
        return (
            None
            if age_ms >= COLD_START_MS
            else 1 + int((SLOT_COUNT - 1) * age_ms / COLD_START_MS)
        )

    def try_accept(self, job: Job) -> bool:
        """Queues a request; returns False if the instance sheds it."""
        limit, held_count = self.cold_start_limit(), self.running + len(self.queue)
        if limit is not None and held_count >= limit:
            self.overloads += 1
            self.cold_start_at_ms = min(
                self.cold_start_at_ms + COLD_SETBACK_MS, self.env.now
            )
            return False
        if self.sheds_all or held_count >= SLOT_COUNT + QUEUE_LIMIT:
            return False
        self.queue.append(job)
        self.run_next()
        return True

    def run_next(self) -> None:
        """Starts queued requests while slots are free."""
        while self.queue and self.running < SLOT_COUNT:
            job = self.queue.popleft()
            if job.is_cancelled:
                continue
            self.running += 1
            job.call.runs += 1
            factor = self.slow_factor * (
                1.0 if self.cold_start_limit() is None else COLD_SLOW_FACTOR
            )
            service_factor = self.rng.lognormvariate(
                -(SERVICE_SIGMA**2) / 2, SERVICE_SIGMA
            )
            timer = self.env.timeout(MEAN_SERVICE_MS * factor * service_factor)
            timer.callbacks.append(lambda _, job=job: self.end(job))

    def end(self, job: Job) -> None:
        """Completes a request, even if it was cancelled while it ran."""
        self.running -= 1
        self.answered += 1
        job.succeed(Outcome.ANSWERED)
        self.run_next()


class Daemon:
    """A policy object, and the attempts that it starts at the instances."""

    def __init__(self, case_run: CaseRun, entry: RosterEntry, seed: int) -> None:
        self.case_run, self.entry = case_run, entry
        self.traffic = Traffic(entry, random.Random(seed).random)
        self.wake_events: dict[Any, simpy.Event] = {}

    def wake_requests(self, tickets: list[Any]) -> None:
        """Wakes the waiting requests that the policy allows to start."""
        for ticket in tickets:
            self.wake_events.pop(ticket).succeed()

    def serve(self, call: Call) -> Iterator[simpy.Event]:
        """Handles one request; returns a refusal or the outcome of the last attempt."""
        env, traffic = self.case_run.env, self.traffic
        ticket = traffic.admit(env.now, call.info)
        if isinstance(ticket, Refusal):
            return ticket
        while True:
            result = traffic.start(env.now, ticket)
            if isinstance(result, Refusal):
                break
            if isinstance(result, Wait):
                event = self.wake_events[ticket] = env.event()
                yield event | env.timeout(result.until_ms - env.now)
                self.wake_events.pop(ticket, None)
                continue
            result = yield from self.exchange(call, ticket, result)
            if not traffic.try_acquire_retry(env.now, ticket, result):
                break
        self.wake_requests(traffic.close(env.now, ticket))
        return result

    def exchange(self, call: Call, ticket: Any, first: Attempt) -> Iterator[Any]:
        """Runs an attempt and its hedge until one is answered or both have ended."""
        env, traffic = self.case_run.env, self.traffic
        jobs = {self.send_attempt(call, first): (first, env.now)}
        attempt_timeout = env.timeout(first.timeout_ms)
        delay_ms = traffic.hedge_delay_ms(env.now, ticket)
        hedge_timer = env.timeout(DEADLINE_MS if delay_ms is None else delay_ms)
        outcome = Outcome.TIMED_OUT
        while jobs and not attempt_timeout.processed:
            yield env.any_of(
                [*jobs, attempt_timeout] + [hedge_timer] * (not hedge_timer.processed)
            )
            for job in [job for job in jobs if job.processed]:
                outcome = job.value
                self.end(ticket, outcome, *jobs.pop(job))
                if outcome is Outcome.ANSWERED:
                    self.cancel_attempts(ticket, jobs, Outcome.CANCELLED)
            if (
                jobs
                and len(jobs) == 1
                and hedge_timer.processed
                and delay_ms is not None
            ):
                delay_ms = None
                hedge_attempt = traffic.try_begin_hedge(env.now, ticket)
                if hedge_attempt is not None:
                    jobs[self.send_attempt(call, hedge_attempt)] = (
                        hedge_attempt,
                        env.now,
                    )
        if jobs:
            outcome = Outcome.TIMED_OUT
            self.cancel_attempts(ticket, jobs, outcome)
        return outcome

    def cancel_attempts(
        self, ticket: Any, jobs: dict[Job, Any], outcome: Outcome
    ) -> None:
        """Cancels attempts at their instances and reports their end to the policy."""
        for job, (attempt, began_ms) in jobs.items():
            job.is_cancelled = True
            self.end(ticket, outcome, attempt, began_ms)
        jobs.clear()

    def end(
        self, ticket: Any, outcome: Outcome, attempt: Attempt, began_ms: float
    ) -> None:
        """Reports the end of an attempt to the policy."""
        now = self.case_run.env.now
        self.wake_requests(
            self.traffic.finish(now, ticket, attempt, outcome, now - began_ms)
        )

    def send_attempt(self, call: Call, attempt: Attempt) -> Job:
        """Sends an attempt to its instance; returns the job that yields its outcome."""
        env, instance = self.case_run.env, self.case_run.instances[attempt.instance.id]
        is_local = attempt.instance.zone == self.entry.zone
        latency_ms = (
            LOCAL_LATENCY_MS if is_local else self.case_run.case.size.remote_latency_ms
        )
        job = Job(env, call)

        def deliver(_: Any) -> None:
            if not instance.try_accept(job):
                response = env.timeout(latency_ms)
                response.callbacks.append(lambda _: job.succeed(Outcome.NOT_RUN))

        env.timeout(latency_ms).callbacks.append(deliver)
        return job


class CaseRun:
    """Simulation of one case."""

    def __init__(self, case: Case) -> None:
        self.case, self.env = case, simpy.Environment()
        self.rng = random.Random(case.seed)
        self.duration_ms = DURATIONS_MS[case.scenario]
        zones = case.size.zones
        self.roster = [RosterEntry(f"d{i}", zones[i % 3]) for i in range(DAEMON_COUNT)]
        self.instance_infos = [
            Instance(
                f"u{i}", "s", zones[i % 3], "", False, SLOT_COUNT, CONNECTION_COUNT
            )
            for i in range(case.size.instances)
        ]
        self.instances = {
            i.id: FakeInstance(self.env, i, self.rng) for i in self.instance_infos
        }
        self.daemons = [Daemon(self, e, n) for n, e in enumerate(self.roster)]
        self.latency = HdrHistogram(1, 60_000_000, 3)
        seconds = int(self.duration_ms / 1_000) + 1
        self.latency_by_second = [
            HdrHistogram(1, 60_000_000, 2) for _ in range(seconds)
        ]
        names = "offered answered refused unknown returned doubled untrue"
        self.counts = dict.fromkeys(names.split(), 0)

    def configure(self, daemon: Daemon, zone_out: str = "") -> None:
        """Configures a daemon with an operator file in which one zone may be out."""
        zones = self.case.size.zones
        states = [{"name": z, "state": "out" if z == zone_out else "in"} for z in zones]
        policy = POLICIES[self.case.policy]
        service = {"name": "s", "kind": "stateless", "policy": policy}
        tenants = [{"name": f"t{i}", "weight": 1} for i in range(TENANT_COUNT)]
        file = {"zones": states, "services": [service], "tenants": tenants}
        daemon.traffic.configure(self.env.now, file, self.instance_infos, self.roster)

    def schedule(self, time_ms: float, action: Callable[..., None], *args: Any) -> None:
        """Calls a function after `time_ms` of virtual time."""
        self.env.timeout(time_ms).callbacks.append(lambda _: action(*args))

    def generate_arrivals(self) -> Iterator[simpy.Event]:
        """Generates Poisson arrivals, whatever the responses (open loop)."""
        capacity = len(self.instance_infos) * SLOT_COUNT / MEAN_SERVICE_MS
        rate = capacity * self.case.load_percent / 100
        while self.env.now < self.duration_ms:
            yield self.env.timeout(self.rng.expovariate(rate))
            self.env.process(self.run_caller())

    def run_caller(self) -> Iterator[simpy.Event]:
        """Sends the request of one caller.

        In the scenario `all_shed`, a refused caller retries once, after the delay that
        the refusal names.
        """
        env, counts, began_ms = self.env, self.counts, self.env.now
        is_idempotent = self.rng.random() < IDEMPOTENT_RATIO
        tenant = f"t{min(int(self.rng.paretovariate(1)), TENANT_COUNT) - 1}"
        counts["offered"] += 1
        for is_last in (self.case.scenario != "all_shed", True):
            call = Call(RequestInfo("s", tenant, is_idempotent, env.now + DEADLINE_MS))
            result = yield from self.rng.choice(self.daemons).serve(call)
            is_refused = isinstance(result, Refusal) or result is Outcome.NOT_RUN
            counts["doubled"] += call.runs > 1 and not is_idempotent
            counts["untrue"] += is_refused and call.runs > 0
            if is_last or not isinstance(result, Refusal):
                break
            counts["returned"] += 1
            yield env.timeout(result.retry_after_ms)
            began_ms = env.now
        if result is Outcome.ANSWERED:
            counts["answered"] += 1
            latency_us = int((env.now - began_ms) * 1_000)
            self.latency.record_value(latency_us)
            second = min(int(began_ms / 1_000), len(self.latency_by_second) - 1)
            self.latency_by_second[second].record_value(latency_us)
        else:
            counts["refused" if is_refused else "unknown"] += 1

    def deliver_reports(self) -> Iterator[simpy.Event]:
        """Delivers delayed load reports of all instances to all daemons."""
        lag_ms = (
            REPORT_INTERVAL_MS if self.case.scenario == "steady" else REPORT_DELAY_MS
        )
        while self.env.now < self.duration_ms:
            yield self.env.timeout(REPORT_INTERVAL_MS)
            for instance, daemon in itertools.product(
                self.instances.values(), self.daemons
            ):
                held_count = instance.running + len(instance.queue)
                report = LoadReport(instance.info.id, held_count, SLOT_COUNT, lag_ms)
                due_ms = self.env.now + lag_ms
                self.schedule(lag_ms, daemon.traffic.record_load_report, due_ms, report)

    def schedule_faults(self) -> None:
        """Schedules the faults of the scenario."""
        instances, scenario = list(self.instances.values()), self.case.scenario
        if scenario == "stragglers":
            for instance in instances[: 2 * max(len(instances) // 10, 1)]:
                self.schedule(2_000, setattr, instance, "slow_factor", SLOW_FACTOR)
        elif scenario == "cold_wave":
            for instance in instances[: len(instances) * 3 // 7]:
                self.schedule(
                    FAULT_AT_MS, setattr, instance, "cold_start_at_ms", FAULT_AT_MS
                )
        elif scenario == "all_shed":
            for instance in instances:
                self.schedule(FAULT_AT_MS, setattr, instance, "sheds_all", True)
                self.schedule(RECOVERY_AT_MS, setattr, instance, "sheds_all", False)
        elif scenario == "zone":
            self.schedule_zone_outage(self.case.size.zones[1])

    def schedule_zone_outage(self, zone: str) -> None:
        """Takes a zone out and back in.

        Each daemon is configured after its own random delay. The instances of the zone
        start cold when it is back.
        """
        for daemon, (at_ms, zone_out) in itertools.product(
            self.daemons, ((FAULT_AT_MS, zone), (RECOVERY_AT_MS, ""))
        ):
            lag_ms = self.rng.uniform(0, MAX_CONFIGURE_DELAY_MS)
            self.schedule(at_ms + lag_ms, self.configure, daemon, zone_out)
        for instance in self.instances.values():
            if instance.info.zone == zone:
                self.schedule(
                    RECOVERY_AT_MS,
                    setattr,
                    instance,
                    "cold_start_at_ms",
                    RECOVERY_AT_MS,
                )

    def run(self) -> dict[str, Any]:
        """Runs the case and returns its parameters and figures."""
        for daemon in self.daemons:
            self.configure(daemon)
        self.schedule_faults()
        self.env.process(self.generate_arrivals())
        self.env.process(self.deliver_reports())
        self.env.run(until=self.duration_ms + DRAIN_MS)
        states = [d.traffic.status().services[0] for d in self.daemons]
        first_attempt_count = max(sum(s.first_tries for s in states), 1)
        answered = [instance.answered for instance in self.instances.values()]
        counts, percentile_us = self.counts, self.latency.get_value_at_percentile
        ended = counts["answered"] + counts["refused"] + counts["unknown"]
        return {
            **self.case._asdict(),
            "size": self.case.size.name,
            **counts,
            "unfinished": counts["offered"] - ended,
            "goodput_per_s": counts["answered"] / self.duration_ms * 1_000,
            "p50_ms": percentile_us(50) / 1_000,
            "p99_ms": percentile_us(99) / 1_000,
            "p999_ms": percentile_us(99.9) / 1_000,
            "extra_percent": 100
            * sum(s.retries + s.hedges for s in states)
            / first_attempt_count,
            "overloads": sum(f.overloads for f in self.instances.values()),
            "imbalance": max(answered) * len(answered) / sum(answered),
            "p99_by_second_ms": [
                h.get_value_at_percentile(99) / 1_000 for h in self.latency_by_second
            ],
        }


def run_case(case: Case) -> dict[str, Any]:
    """Runs one case in a worker process and returns its figures."""
    return CaseRun(case).run()


def make_cases(quick: bool, seed: int) -> Iterator[Case]:
    """Yields the cases of all scenarios, sizes, loads and policies.

    The tenfold sizes run at 50% of the capacity only, and with fewer policies. `quick`
    leaves Pecera at 50% only.
    """
    sizes = [PECERA] if quick else [PECERA, VANUA, *TENFOLD_SIZES]
    for scenario, size, policy in itertools.product(DURATIONS_MS, sizes, POLICIES):
        if size in TENFOLD_SIZES and policy not in TENFOLD_POLICIES:
            continue
        has_load_sweep = not quick and size not in TENFOLD_SIZES
        for load_percent in (
            LOAD_PERCENTS.get(scenario, (50, 80)) if has_load_sweep else (50,)
        ):
            yield Case(scenario, size, load_percent, policy, seed)


@benchmark("policy")
def main(arguments: list[str] | None = None) -> None:
    """Runs the benchmark, prints a table and writes figures and plots."""
    parser = argparse.ArgumentParser(description="Measures the traffic policy.")
    parser.add_argument(
        "--quick", action="store_true", help="run Pecera at 50%% of the capacity only"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--processes", type=int, default=3)
    options = parser.parse_args(arguments)
    columns = (
        "scenario size load_percent policy offered answered refused unknown p50_ms"
    )
    columns += " p99_ms p999_ms goodput_per_s extra_percent overloads imbalance doubled"
    columns += " untrue unfinished"
    print(columns.replace(" ", "\t"))
    results = []
    with Pool(options.processes) as pool:
        for figures in pool.imap(run_case, make_cases(options.quick, options.seed)):
            results.append(figures)
            cells = (figures[name] for name in columns.split())
            print(*(f"{c:.1f}" if type(c) is float else c for c in cells), sep="\t")
    BUILD_FOLDER.mkdir(parents=True, exist_ok=True)
    (BUILD_FOLDER / "policy.json").write_text(json.dumps(results, indent=1))
    for scenario in DURATIONS_MS:
        plot_scenario(scenario, results, BUILD_FOLDER)


if __name__ == "__main__":
    main()
