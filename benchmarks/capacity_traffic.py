"""Cost of the traffic policy by the numbers of instances and daemons."""

from __future__ import annotations

import random
from typing import Any

from skylarktrail.core.hashing import hash_key
from skylarktrail.core.traffic import Traffic
from skylarktrail.core.traffic.messages import (
    Attempt,
    Instance,
    LoadReport,
    Outcome,
    RequestInfo,
    RosterEntry,
)
from skylarktrail.core.traffic.roster import ROSTER_SETTLE_MS
from skylarktrail.daemon.publisher import make_instances, with_service_defaults
from skylarktrail.providers.interface import Vm

from .capacity_meter import Figure, cpu_us, memory_bytes, section
from .capacity_site import SERVICE, make_file, names, zone_of

INSTANCE_COUNTS = (10, 100, 1_000)
DAEMON_COUNTS = (10, 100, 460)
STATELESS_SERVICE = "service-1"
REQUEST_COUNT = 2_000
REPORT_COUNT = 200
LATENCY_MS = 5.0
DEADLINE_MS = 2_000.0
REQUEST_INTERVAL_MS = 1.0


def _vms(count: int) -> list[Vm]:
    """Returns VMs of which every second one is an upstream, the others servers."""
    return [
        Vm(
            name,
            "upstream" if index % 2 else "server",
            STATELESS_SERVICE if index % 2 else SERVICE,
            zone_of(index),
            f"10.2.{index // 250}.{index % 250}:80",
            "",
            False,
        )
        for index, name in enumerate(names("back-end", count))
    ]


class PolicyDriver:
    """Runs one traffic policy and keeps its inputs."""

    def __init__(self, instances: int, daemons: int) -> None:
        self.file: dict[str, Any] = with_service_defaults(make_file(256, 8, 8, 2))
        self.vms = _vms(instances)
        self.roster = [
            RosterEntry(name, zone_of(index))
            for index, name in enumerate(names("router", daemons))
        ]
        self.instances: list[Instance] = make_instances(self.file, self.vms)
        self.traffic = Traffic(self.roster[0], random.Random(1).random)
        self.now_ms = 0.0
        self.answered = 0

    def configure(self) -> None:
        """Configures the policy with the file, the instances and the roster."""
        self.traffic.configure(self.now_ms, self.file, self.instances, self.roster)

    def change_roster(self) -> None:
        """Removes the last daemon from the roster and configures the policy again."""
        self.roster.pop()
        self.configure()

    def serve_requests(self) -> None:
        """Admits, starts and finishes requests one after another."""
        for _ in range(REQUEST_COUNT):
            self.now_ms += REQUEST_INTERVAL_MS
            self._serve_request()

    def _serve_request(self) -> None:
        deadline_ms = self.now_ms + DEADLINE_MS
        info = RequestInfo(STATELESS_SERVICE, "shops", True, deadline_ms)
        ticket = self.traffic.admit(self.now_ms, info)
        attempt = self.traffic.start(self.now_ms, ticket)
        if isinstance(attempt, Attempt):
            self.answered += 1
            outcome = Outcome.ANSWERED
            self.traffic.finish(self.now_ms, ticket, attempt, outcome, LATENCY_MS)
        self.traffic.close(self.now_ms, ticket)

    def record_load_reports(self) -> None:
        """Passes load reports of the instances to the policy."""
        for index in range(REPORT_COUNT):
            report = LoadReport(self.vms[index % len(self.vms)].id, 1, 3, 500.0)
            self.traffic.record_load_report(self.now_ms, report)


def _measure(instances: int, daemons: int) -> dict[str, tuple[float, str]]:
    policy = PolicyDriver(instances, daemons)
    first_us = cpu_us(policy.configure, repeats=1)
    policy.now_ms += 2 * ROSTER_SETTLE_MS
    again_us = cpu_us(policy.configure)
    policy.serve_requests()
    policy.answered = 0
    request_us = cpu_us(policy.serve_requests, REQUEST_COUNT)
    if policy.answered < REQUEST_COUNT:
        raise ValueError(f"only {policy.answered} requests were started")
    states = policy.traffic.status().services
    outside_count = sum(
        instance.state == "outside-subset" for s in states for instance in s.instances
    )
    figures = {
        "Traffic.configure, first": (first_us, "us"),
        "Traffic.configure, again": (again_us, "us"),
        "admit, start, finish, close of one request": (request_us, "us"),
        "Traffic.record_load_report": (
            cpu_us(policy.record_load_reports, REPORT_COUNT),
            "us",
        ),
        "make_instances": (
            cpu_us(lambda: make_instances(policy.file, policy.vms)),
            "us",
        ),
        "instances in the subset": (instances - outside_count, "instances"),
        "Traffic.configure, one daemon gone": (cpu_us(policy.change_roster), "us"),
    }
    return figures


def _policy_bytes(instances: int, daemons: int) -> int:
    def make() -> PolicyDriver:
        policy = PolicyDriver(instances, daemons)
        policy.configure()
        return policy

    return memory_bytes(make)


@section("traffic")
def measure_traffic() -> list[Figure]:
    """Measures the traffic policy at several numbers of instances and daemons."""
    figures = []
    for daemons in DAEMON_COUNTS:
        for instances in INSTANCE_COUNTS:
            for name, (value, unit) in _measure(instances, daemons).items():
                label = f"{name}, {daemons} daemons"
                figures.append(Figure(label, "instances", instances, value, unit))
    for instances in INSTANCE_COUNTS:
        policy_bytes = _policy_bytes(instances, DAEMON_COUNTS[-1])
        label = "policy and instances, memory"
        figures.append(Figure(label, "instances", instances, policy_bytes, "bytes"))
    key_us = cpu_us(
        lambda: [hash_key("discus-42") for _ in range(REQUEST_COUNT)], REQUEST_COUNT
    )
    figures.append(Figure("hash_key", "keys", 1, key_us, "us"))
    return figures
