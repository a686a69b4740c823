"""Compares requests through one daemon with requests sent straight to a backend.

Callers in a closed loop read from stateless upstreams. Rounds of straight requests and
of requests through the daemon alternate within one run. A keyed service is read through
the daemon only, because its servers answer only requests that carry a fence.
"""

from __future__ import annotations

import argparse
import itertools
import json
import statistics
import sys
import threading
import time
from pathlib import Path
from typing import Callable, Iterator, NamedTuple

import psutil
import urllib3
from hdrh.histogram import HdrHistogram

from demo.deployment import DEPLOYMENTS, Deployment, Service
from demo.site import Options, Site

from .registry import benchmark

SITE = Deployment(
    "path",
    ("heredia",),
    (Service("catalogo", True, 4), Service("carga", False, 12)),
    routers=1,
)
OPTIONS = Options(service_ms=0.0, cold_ms=0, vm_lag_ms=0, report_lag_ms=0)
BUILD_FOLDER = Path("build") / "path"
CALLER_COUNTS = (1, 8, 32)
ROUND_COUNT = 3
ROUND_S = 3.0
WARM_UP_S = 15.0
KEY_COUNT = 64
TIMEOUT_S = 10.0
MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
HISTOGRAM_DIGITS = 3
ROUTER = "router-1"

Target = tuple[str, dict[str, str]]


class Sample(NamedTuple):
    """Result of one round on one path.

    Attributes:
        requests_per_s: Responses per second.
        mean_us: Mean latency.
        p50_us: Median latency.
        p99_us: 99th percentile of the latency.
        daemon_us: Processor time of the daemon per request.
        back_end_us: Processor time of all backends per request.
        refused: Number of responses with a status other than 200.
    """

    requests_per_s: float
    mean_us: float
    p50_us: float
    p99_us: float
    daemon_us: float
    back_end_us: float
    refused: int


class LatencyCounter:
    """Collects the latencies of all callers in one round."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, HISTOGRAM_DIGITS)
        self.refused = 0

    def add(self, latencies_us: list[int], refused: int) -> None:
        """Adds the latencies and the number of refused requests of one caller."""
        with self.lock:
            self.refused += refused
            for latency_us in latencies_us:
                self.histogram.record_value(max(latency_us, MIN_LATENCY_US))


def iterate_upstream_targets(site: Site) -> Iterator[Target]:
    """Yields targets that send straight to the upstreams, one after another."""
    addresses = [site.vms[name].address for name in site.running_vms("upstream")]
    for address in itertools.cycle(addresses):
        yield f"http://{address}/carga/item", {}


def iterate_daemon_targets(site: Site) -> Iterator[Target]:
    """Yields targets of the stateless service through the daemon."""
    headers = {"Skylark-Tenant": "shops"}
    yield from itertools.repeat(
        (f"http://{site.vms[ROUTER].address}/carga/item", headers)
    )


def iterate_keyed_targets(site: Site) -> Iterator[Target]:
    """Yields targets of the keyed service through the daemon, one key after another."""
    address = site.vms[ROUTER].address
    for index in itertools.cycle(range(KEY_COUNT)):
        key = f"key-{index}"
        headers = {"Skylark-Tenant": "shops", "Skylark-Key": key}
        yield f"http://{address}/catalogo/{key}", headers


PATHS: dict[str, Callable[[Site], Iterator[Target]]] = {
    "straight": iterate_upstream_targets,
    "daemon": iterate_daemon_targets,
    "daemon, keyed": iterate_keyed_targets,
}


def _send_request(pool: urllib3.PoolManager, target: Target) -> int:
    url, headers = target
    return pool.request("GET", url, headers=headers, timeout=TIMEOUT_S).status


def _run_caller(
    targets: Iterator[Target], until_s: float, counter: LatencyCounter
) -> None:
    pool = urllib3.PoolManager(num_pools=32, maxsize=1, retries=False)
    latencies_us = []
    refused = 0
    while (begin_s := time.perf_counter()) < until_s:
        status = _send_request(pool, next(targets))
        latencies_us.append(int((time.perf_counter() - begin_s) * 1e6))
        refused += status != 200
    counter.add(latencies_us, refused)
    pool.clear()


def _read_cpu_s(site: Site, role: str) -> float:
    times = [
        psutil.Process(site.vms[name].process.pid).cpu_times()
        for name in site.running_vms(role)
    ]
    return sum(item.user + item.system for item in times)


def measure(site: Site, path: str, caller_count: int, duration_s: float) -> Sample:
    """Runs one round on one path with a number of concurrent callers."""
    counter = LatencyCounter()
    roles = ("router", "server", "upstream")
    start_cpu_s = {role: _read_cpu_s(site, role) for role in roles}
    begin_s = time.perf_counter()
    threads = [
        threading.Thread(
            target=_run_caller, args=(PATHS[path](site), begin_s + duration_s, counter)
        )
        for _ in range(caller_count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    elapsed_s = time.perf_counter() - begin_s
    cpu_s = {role: _read_cpu_s(site, role) - start_cpu_s[role] for role in roles}
    histogram = counter.histogram
    count = max(histogram.get_total_count(), 1)
    return Sample(
        count / elapsed_s,
        histogram.get_mean_value(),
        histogram.get_value_at_percentile(50),
        histogram.get_value_at_percentile(99),
        cpu_s["router"] / count * 1e6,
        (cpu_s["server"] + cpu_s["upstream"]) / count * 1e6,
        counter.refused,
    )


def _median_sample(samples: list[Sample]) -> Sample:
    columns = zip(*samples)
    return Sample(*(statistics.median(column) for column in columns))


def measure_all(
    site: Site, round_count: int, round_s: float
) -> dict[int, dict[str, Sample]]:
    """Returns the median sample of each path by number of callers."""
    figures = {}
    for caller_count in CALLER_COUNTS:
        samples: dict[str, list[Sample]] = {path: [] for path in PATHS}
        for _ in range(round_count):
            for path in PATHS:
                samples[path].append(measure(site, path, caller_count, round_s))
        figures[caller_count] = {
            path: _median_sample(path_samples) for path, path_samples in samples.items()
        }
    return figures


def _print_table(figures: dict[int, dict[str, Sample]]) -> None:
    print(
        f"{'callers':>7} {'path':>14} {'req/s':>8} {'mean ms':>8} {'p50 ms':>8}"
        f" {'p99 ms':>8} {'daemon CPU us':>14} {'backend CPU us':>16} {'refused':>8}"
    )
    for caller_count, samples_by_path in figures.items():
        for path, sample in samples_by_path.items():
            print(
                f"{caller_count:>7} {path:>14} {sample.requests_per_s:>8.0f}"
                f" {sample.mean_us / 1000:>8.2f} {sample.p50_us / 1000:>8.2f}"
                f" {sample.p99_us / 1000:>8.2f} {sample.daemon_us:>14.0f}"
                f" {sample.back_end_us:>16.0f} {sample.refused:>8.0f}"
            )
    for caller_count, samples_by_path in figures.items():
        baseline, routed = (
            samples_by_path["straight"],
            samples_by_path["daemon"],
        )
        added_ms = (routed.mean_us - baseline.mean_us) / 1000
        print(
            f"{caller_count} callers:"
            f" requests/s {_ratio(routed, baseline, 'requests_per_s')},"
            f" p50 {_ratio(routed, baseline, 'p50_us')},"
            f" p99 {_ratio(routed, baseline, 'p99_us')} of straight;"
            f" {added_ms:.2f} ms added on average"
        )


def _ratio(sample: Sample, baseline: Sample, field: str) -> str:
    return f"{getattr(sample, field) / max(getattr(baseline, field), 1e-9):.2f}"


@benchmark("path")
def main(arguments: list[str] | None = None) -> int:
    """Runs the benchmark, prints a table and writes build/path.json."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=ROUND_COUNT)
    parser.add_argument("--round-s", type=float, default=ROUND_S)
    options = parser.parse_args(arguments)
    file = DEPLOYMENTS["pecera"].load_operator_file()
    with Site(SITE, BUILD_FOLDER, OPTIONS) as site:
        site.publish(file)
        site.wait_until_ready()
        # The daemon gives a new upstream its full share only after its cold start.
        time.sleep(WARM_UP_S)
        figures = measure_all(site, options.rounds, options.round_s)
    _print_table(figures)
    document = {
        str(caller_count): {
            path: sample._asdict() for path, sample in samples_by_path.items()
        }
        for caller_count, samples_by_path in figures.items()
    }
    (BUILD_FOLDER.parent / "path.json").write_text(
        json.dumps(document, indent=2) + "\n"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
