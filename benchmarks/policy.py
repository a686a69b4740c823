"""The traffic policy under load and faults, on a virtual clock.

Eight `Traffic` objects send open-loop load to fake instances; each case is repeated
with the baselines. Times are milliseconds.

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

BUILD = Path("build/policy")
DAEMONS, SLOTS, QUEUE_LIMIT, CONNECTIONS = 8, 3, 9, 110
SERVICE_MS, SERVICE_SIGMA, SLOW_FACTOR, DEADLINE_MS = 10.0, 0.5, 10.0, 2_000.0
COLD_MS, COLD_FACTOR, COLD_SETBACK_MS = 10_000.0, 2.0, 500.0
FAULT_AT_MS, BACK_AT_MS, CONFIGURE_LAG_MS = 5_000.0, 15_000.0, 3_000.0
LOCAL_MS, REPORT_EACH_MS, REPORT_LAG_MS = 0.1, 500.0, 5_000.0
IDEMPOTENT_SHARE, TENANTS, TAIL_MS = 0.8, 4, 35_000.0
PLAIN = {"hedge_budget_percent": 0, "ejection_max_percent": 0, "cold_start_ms": 0}
POLICIES: dict[str, dict[str, Any]] = {
    "adaptive": {"choice": "adaptive"},
    "round_robin": {"choice": "round_robin", **PLAIN},
    "least_in_flight": {"choice": "least_in_flight", **PLAIN},
    "report_driven": {"choice": "report_driven", **PLAIN},
}
DURATIONS_MS = {
    "steady": 12_000.0,
    "stragglers": 15_000.0,
    "cold_wave": 32_000.0,
    "zone": 35_000.0,
    "all_shed": 30_000.0,
}
LOADS = {"steady": (50, 80, 95, 100, 120), "stragglers": (50, 80, 95, 120)}


class Size(NamedTuple):
    """A deployment; `remote_ms` is the one-way latency between its zones."""

    name: str
    instances: int
    remote_ms: float
    zones: tuple[str, ...]


PECERA = Size("pecera", 7, 0.5, ("heredia", "alajuela", "cartago"))
VANUA = Size("vanua", 9, 1.5, ("suva", "lautoka", "nadi"))
TENFOLD = [
    size._replace(name=size.name + "x10", instances=size.instances * 10)
    for size in (PECERA, VANUA)
]
TENFOLD_POLICIES = ("adaptive", "least_in_flight")


class Case(NamedTuple):
    """One run."""

    scenario: str
    size: Size
    load_percent: int
    policy: str
    seed: int


class Call:
    """A caller's request and how often it ran."""

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
    """Slots, a FIFO queue with a limit, cold start, a slow factor."""

    def __init__(self, env: simpy.Environment, info: Instance, rng: Any) -> None:
        self.env, self.info, self.rng = env, info, rng
        self.queue: deque[Job] = deque()
        self.running = self.answered = self.overloads = 0
        self.factor, self.sheds_all, self.cold_at_ms = 1.0, False, -COLD_MS

    def bears(self) -> int | None:
        """Returns the requests that it bears in its cold start; None when warm."""
        age_ms = self.env.now - self.cold_at_ms
        return None if age_ms >= COLD_MS else 1 + int((SLOTS - 1) * age_ms / COLD_MS)

    def takes(self, job: Job) -> bool:
        """Takes a request, or sheds it."""
        bears, held = self.bears(), self.running + len(self.queue)
        if bears is not None and held >= bears:
            self.overloads += 1
            self.cold_at_ms = min(self.cold_at_ms + COLD_SETBACK_MS, self.env.now)
            return False
        if self.sheds_all or held >= SLOTS + QUEUE_LIMIT:
            return False
        self.queue.append(job)
        self.run_next()
        return True

    def run_next(self) -> None:
        """Runs what waits while slots are free."""
        while self.queue and self.running < SLOTS:
            job = self.queue.popleft()
            if job.is_cancelled:
                continue
            self.running += 1
            job.call.runs += 1
            factor = self.factor * (1.0 if self.bears() is None else COLD_FACTOR)
            spread = self.rng.lognormvariate(-(SERVICE_SIGMA**2) / 2, SERVICE_SIGMA)
            timer = self.env.timeout(SERVICE_MS * factor * spread)
            timer.callbacks.append(lambda _, job=job: self.end(job))

    def end(self, job: Job) -> None:
        """Answers a request, also one that was cancelled while it ran."""
        self.running -= 1
        self.answered += 1
        job.succeed(Outcome.ANSWERED)
        self.run_next()


class Daemon:
    """One policy object and the exchanges that it asks for."""

    def __init__(self, bench: Bench, entry: RosterEntry, seed: int) -> None:
        self.bench, self.entry = bench, entry
        self.traffic = Traffic(entry, random.Random(seed).random)
        self.wakes: dict[Any, simpy.Event] = {}

    def wake(self, tickets: list[Any]) -> None:
        """Wakes the requests that may start now."""
        for ticket in tickets:
            self.wakes.pop(ticket).succeed()

    def serve(self, call: Call) -> Iterator[simpy.Event]:
        """Carries one request; returns a refusal or the last outcome."""
        env, traffic = self.bench.env, self.traffic
        ticket = traffic.admit(env.now, call.info)
        if isinstance(ticket, Refusal):
            return ticket
        while True:
            result = traffic.start(env.now, ticket)
            if isinstance(result, Refusal):
                break
            if isinstance(result, Wait):
                event = self.wakes[ticket] = env.event()
                yield event | env.timeout(result.until_ms - env.now)
                self.wakes.pop(ticket, None)
                continue
            result = yield from self.exchange(call, ticket, result)
            if not traffic.try_acquire_retry(env.now, ticket, result):
                break
        self.wake(traffic.close(env.now, ticket))
        return result

    def exchange(self, call: Call, ticket: Any, first: Attempt) -> Iterator[Any]:
        """Runs an attempt and its hedge until one answers or both end."""
        env, traffic = self.bench.env, self.traffic
        jobs = {self.send(call, first): (first, env.now)}
        give_up = env.timeout(first.timeout_ms)
        delay_ms = traffic.hedge_delay_ms(env.now, ticket)
        timer = env.timeout(DEADLINE_MS if delay_ms is None else delay_ms)
        outcome = Outcome.TIMED_OUT
        while jobs and not give_up.processed:
            yield env.any_of([*jobs, give_up] + [timer] * (not timer.processed))
            for job in [job for job in jobs if job.processed]:
                outcome = job.value
                self.end(ticket, outcome, *jobs.pop(job))
                if outcome is Outcome.ANSWERED:
                    self.abandon(ticket, jobs, Outcome.CANCELLED)
            if jobs and len(jobs) == 1 and timer.processed and delay_ms is not None:
                delay_ms = None
                second = traffic.try_begin_hedge(env.now, ticket)
                if second is not None:
                    jobs[self.send(call, second)] = (second, env.now)
        if jobs:
            outcome = Outcome.TIMED_OUT
            self.abandon(ticket, jobs, outcome)
        return outcome

    def abandon(self, ticket: Any, jobs: dict[Job, Any], outcome: Outcome) -> None:
        """Cancels attempts at their instances."""
        for job, (attempt, began_ms) in jobs.items():
            job.is_cancelled = True
            self.end(ticket, outcome, attempt, began_ms)
        jobs.clear()

    def end(self, ticket: Any, outcome: Outcome, attempt: Attempt, ms: float) -> None:
        """Tells the policy the end of an attempt that began at `ms`."""
        now = self.bench.env.now
        self.wake(self.traffic.finish(now, ticket, attempt, outcome, now - ms))

    def send(self, call: Call, attempt: Attempt) -> Job:
        """Sends an attempt."""
        env, fake = self.bench.env, self.bench.fakes[attempt.instance.id]
        is_local = attempt.instance.zone == self.entry.zone
        way_ms = LOCAL_MS if is_local else self.bench.case.size.remote_ms
        job = Job(env, call)

        def arrive(_: Any) -> None:
            if not fake.takes(job):
                back = env.timeout(way_ms)
                back.callbacks.append(lambda _: job.succeed(Outcome.NOT_RUN))

        env.timeout(way_ms).callbacks.append(arrive)
        return job


class Bench:
    """One run of a case."""

    def __init__(self, case: Case) -> None:
        self.case, self.env = case, simpy.Environment()
        self.rng = random.Random(case.seed)
        self.duration_ms = DURATIONS_MS[case.scenario]
        zones = case.size.zones
        self.roster = [RosterEntry(f"d{i}", zones[i % 3]) for i in range(DAEMONS)]
        self.infos = [
            Instance(f"u{i}", "s", zones[i % 3], "", False, SLOTS, CONNECTIONS)
            for i in range(case.size.instances)
        ]
        self.fakes = {i.id: FakeInstance(self.env, i, self.rng) for i in self.infos}
        self.daemons = [Daemon(self, e, n) for n, e in enumerate(self.roster)]
        self.latency = HdrHistogram(1, 60_000_000, 3)
        seconds = int(self.duration_ms / 1_000) + 1
        self.seconds = [HdrHistogram(1, 60_000_000, 2) for _ in range(seconds)]
        names = "offered answered refused unknown returned doubled untrue"
        self.counts = dict.fromkeys(names.split(), 0)

    def configure(self, daemon: Daemon, out: str = "") -> None:
        """Gives a daemon the operator's file, with one zone out."""
        zones = self.case.size.zones
        states = [{"name": z, "state": "out" if z == out else "in"} for z in zones]
        policy = POLICIES[self.case.policy]
        service = {"name": "s", "kind": "stateless", "policy": policy}
        tenants = [{"name": f"t{i}", "weight": 1} for i in range(TENANTS)]
        file = {"zones": states, "services": [service], "tenants": tenants}
        daemon.traffic.configure(self.env.now, file, self.infos, self.roster)

    def at(self, time_ms: float, act: Callable[..., None], *args: Any) -> None:
        """Calls a function after a time."""
        self.env.timeout(time_ms).callbacks.append(lambda _: act(*args))

    def arrivals(self) -> Iterator[simpy.Event]:
        """Sends Poisson arrivals, whatever the answers do."""
        capacity = len(self.infos) * SLOTS / SERVICE_MS
        rate = capacity * self.case.load_percent / 100
        while self.env.now < self.duration_ms:
            yield self.env.timeout(self.rng.expovariate(rate))
            self.env.process(self.caller())

    def caller(self) -> Iterator[simpy.Event]:
        """One caller; when all shed, it comes back once as it is told."""
        env, counts, began_ms = self.env, self.counts, self.env.now
        is_idempotent = self.rng.random() < IDEMPOTENT_SHARE
        tenant = f"t{min(int(self.rng.paretovariate(1)), TENANTS) - 1}"
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
            took_us = int((env.now - began_ms) * 1_000)
            self.latency.record_value(took_us)
            second = min(int(began_ms / 1_000), len(self.seconds) - 1)
            self.seconds[second].record_value(took_us)
        else:
            counts["refused" if is_refused else "unknown"] += 1

    def reports(self) -> Iterator[simpy.Event]:
        """Delivers load reports late."""
        lag_ms = REPORT_EACH_MS if self.case.scenario == "steady" else REPORT_LAG_MS
        while self.env.now < self.duration_ms:
            yield self.env.timeout(REPORT_EACH_MS)
            for fake, daemon in itertools.product(self.fakes.values(), self.daemons):
                held = fake.running + len(fake.queue)
                report = LoadReport(fake.info.id, held, SLOTS, lag_ms)
                due_ms = self.env.now + lag_ms
                self.at(lag_ms, daemon.traffic.record_load_report, due_ms, report)

    def set_fault(self) -> None:
        """Schedules what goes wrong in the scenario."""
        fakes, scenario = list(self.fakes.values()), self.case.scenario
        if scenario == "stragglers":
            for fake in fakes[: 2 * max(len(fakes) // 10, 1)]:
                self.at(2_000, setattr, fake, "factor", SLOW_FACTOR)
        elif scenario == "cold_wave":
            for fake in fakes[: len(fakes) * 3 // 7]:
                self.at(FAULT_AT_MS, setattr, fake, "cold_at_ms", FAULT_AT_MS)
        elif scenario == "all_shed":
            for fake in fakes:
                self.at(FAULT_AT_MS, setattr, fake, "sheds_all", True)
                self.at(BACK_AT_MS, setattr, fake, "sheds_all", False)
        elif scenario == "zone":
            self.move_zone(self.case.size.zones[1])

    def move_zone(self, zone: str) -> None:
        """Takes a zone out and back; each daemon learns of it after its own lag."""
        for daemon, (at_ms, out) in itertools.product(
            self.daemons, ((FAULT_AT_MS, zone), (BACK_AT_MS, ""))
        ):
            lag_ms = self.rng.uniform(0, CONFIGURE_LAG_MS)
            self.at(at_ms + lag_ms, self.configure, daemon, out)
        for fake in self.fakes.values():
            if fake.info.zone == zone:
                self.at(BACK_AT_MS, setattr, fake, "cold_at_ms", BACK_AT_MS)

    def run(self) -> dict[str, Any]:
        """Runs the case and returns its figures."""
        for daemon in self.daemons:
            self.configure(daemon)
        self.set_fault()
        self.env.process(self.arrivals())
        self.env.process(self.reports())
        self.env.run(until=self.duration_ms + TAIL_MS)
        states = [d.traffic.status().services[0] for d in self.daemons]
        firsts = max(sum(s.first_tries for s in states), 1)
        answered = [fake.answered for fake in self.fakes.values()]
        counts, p = self.counts, self.latency.get_value_at_percentile
        ended = counts["answered"] + counts["refused"] + counts["unknown"]
        return {
            **self.case._asdict(),
            "size": self.case.size.name,
            **counts,
            "unfinished": counts["offered"] - ended,
            "goodput_per_s": counts["answered"] / self.duration_ms * 1_000,
            "p50_ms": p(50) / 1_000,
            "p99_ms": p(99) / 1_000,
            "p999_ms": p(99.9) / 1_000,
            "extra_percent": 100 * sum(s.retries + s.hedges for s in states) / firsts,
            "overloads": sum(f.overloads for f in self.fakes.values()),
            "imbalance": max(answered) * len(answered) / sum(answered),
            "p99_by_second_ms": [
                h.get_value_at_percentile(99) / 1_000 for h in self.seconds
            ],
        }


def run_case(case: Case) -> dict[str, Any]:
    """Runs one case."""
    return Bench(case).run()


def cases(quick: bool, seed: int) -> Iterator[Case]:
    """Lists the runs: scenarios, sizes, loads and policies."""
    sizes = [PECERA] if quick else [PECERA, VANUA, *TENFOLD]
    for scenario, size, policy in itertools.product(DURATIONS_MS, sizes, POLICIES):
        if size in TENFOLD and policy not in TENFOLD_POLICIES:
            continue
        is_swept = not quick and size not in TENFOLD
        for load in LOADS.get(scenario, (50, 80)) if is_swept else (50,):
            yield Case(scenario, size, load, policy, seed)


@benchmark("policy")
def main(arguments: list[str] | None = None) -> None:
    """Runs the benchmark, prints a table and writes plots and figures."""
    parser = argparse.ArgumentParser(description="Measures the traffic policy.")
    parser.add_argument("--quick", action="store_true", help="Pecera at 50%% only")
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
        for figures in pool.imap(run_case, cases(options.quick, options.seed)):
            results.append(figures)
            cells = (figures[name] for name in columns.split())
            print(*(f"{c:.1f}" if type(c) is float else c for c in cells), sep="\t")
    BUILD.mkdir(parents=True, exist_ok=True)
    (BUILD / "policy.json").write_text(json.dumps(results, indent=1))
    for scenario in DURATIONS_MS:
        plot_scenario(scenario, results, BUILD)


if __name__ == "__main__":
    main()
