"""Time of the calls of the traffic policy by the numbers of instances and daemons.

python -m benchmarks.policy_cost
"""

from __future__ import annotations

import random
import time
from typing import Any, Callable

from skylarktrail.core.traffic import Traffic
from skylarktrail.core.traffic.messages import (
    Instance,
    Outcome,
    RequestInfo,
    RosterEntry,
)

from .registry import benchmark

REQUEST_COUNT = 5_000
DEADLINE_MS = 2_000.0
INSTANCE_AND_DAEMON_COUNTS = ((7, 8), (70, 8), (1_000, 8), (70, 460), (1_000, 460))
KINDS = ("stateless", "keyed")


def measure_s(call: Callable[..., Any], *args: Any) -> float:
    """Returns the duration of a call in seconds."""
    started_s = time.perf_counter()
    call(*args)
    return time.perf_counter() - started_s


def serve_requests(traffic: Traffic, instances: list[Instance], kind: str) -> None:
    """Serves requests one after another; each is answered after 1 ms."""
    now_ms = 20_000.0
    for number in range(REQUEST_COUNT):
        pinned_server = (
            instances[number % len(instances)].id if kind == "keyed" else None
        )
        request = RequestInfo("s", "t", True, now_ms + DEADLINE_MS, pinned_server)
        ticket = traffic.admit(now_ms, request)
        attempt = traffic.start(now_ms, ticket)
        traffic.hedge_delay_ms(now_ms, ticket)
        now_ms += 1
        traffic.finish(now_ms, ticket, attempt, Outcome.ANSWERED, 1.0)
        traffic.close(now_ms, ticket)


def print_times(instance_count: int, daemon_count: int, kind: str) -> None:
    """Measures and prints the times of one kind of service at one size."""
    roster = [RosterEntry(f"d{i}", f"z{i % 7}") for i in range(daemon_count)]
    instances = [
        Instance(f"u{i}", "s", f"z{i % 7}", "", False, 3, 110)
        for i in range(instance_count)
    ]
    service = {"name": "s", "kind": kind}
    file = {"zones": [], "tenants": [], "services": [service]}
    traffic = Traffic(roster[0], random.Random(1).random)
    first_s = measure_s(traffic.configure, 0.0, file, instances, roster)
    roster_change_s = measure_s(
        traffic.configure, 10_000.0, file, instances, roster[:-1]
    )
    request_s = measure_s(serve_requests, traffic, instances, kind) / REQUEST_COUNT
    print(
        f"{kind}\t{instance_count}\t{daemon_count}\t{first_s * 1e3:.1f}"
        f"\t{roster_change_s * 1e3:.1f}\t{request_s * 1e6:.1f}"
    )


@benchmark("policy_cost")
def main(arguments: list[str] | None = None) -> None:
    """Measures every kind of service at every size."""
    print("kind\tinstances\tdaemons\tconfigure_ms\troster_change_ms\trequest_us")
    for kind in KINDS:
        for instance_count, daemon_count in INSTANCE_AND_DAEMON_COUNTS:
            print_times(instance_count, daemon_count, kind)


if __name__ == "__main__":
    main()
