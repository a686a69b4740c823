"""Cost of the ownership core in steady state, on a virtual clock."""

from __future__ import annotations

import json
import time
from collections import Counter, defaultdict
from typing import NamedTuple

from skylarktrail.config.settings import TimingSettings
from skylarktrail.core.ownership import Identity, Ownership, Timings
from skylarktrail.core.ownership import messages as own
from skylarktrail.core.records import Envelope, Record
from skylarktrail.core.state import State
from skylarktrail.daemon.service import TICK_MS, make_timings

from .capacity_meter import Figure, memory_bytes, section
from .capacity_site import INCARNATION, SERVICE, build_site, names, zone_of

OWN_NAME = "router-0"
GROUP_COUNTS = (1, 10, 100, 460)
SERVER_COUNTS = (10, 100, 750)
SLICES_PER_GROUP = 36
FIXED_SERVER_COUNT = 750
FIXED_GROUP_COUNT = 100
LOG_READ_INTERVAL_MS = 250
HEARTBEAT_INTERVAL_MS = 200
VM_LIST_INTERVAL_MS = 500
WARM_UP_MS = 8_000
MEASUREMENT_MS = 5_000
BOOT_ID = "b" * 32


class Cost(NamedTuple):
    """Cost of the ownership core of one daemon in steady state.

    Attributes:
        cpu_us_per_s: Processor time in microseconds per second, by kind of event.
        events_per_s: Events per second, by kind.
        grants: Grants sent per second.
        grant_bytes: Mean size of the JSON body of a grant.
        appends_per_s: Records appended to the log per second.
    """

    cpu_us_per_s: dict[str, float]
    events_per_s: dict[str, float]
    grants: float
    grant_bytes: float
    appends_per_s: float


class CoreDriver:
    """Runs the core of one daemon against servers that accept every grant."""

    def __init__(self, groups: int, servers: int) -> None:
        daemons = max(groups, 2)
        slices = groups * SLICES_PER_GROUP
        self.site = build_site(slices, groups, daemons, servers, groups)
        self.state: State = self.site.state
        timings = make_timings(TimingSettings())
        self.core = Ownership(
            Identity(OWN_NAME, INCARNATION, zone_of(0)), timings, self.state
        )
        self.timings: Timings = timings
        self.daemons = names("router", daemons)
        self.vms = {
            name: own.ServerVm(SERVICE, zone_of(index), "10.1.0.1:80", False)
            for index, name in enumerate(names("server", servers))
        }
        self.grant_versions: dict[tuple[str, str], int] = {}
        self.cpu_s: dict[str, float] = defaultdict(float)
        self.counts: Counter[str] = Counter()
        self.grant_bytes = 0
        self.now_ms = 0.0

    def handle(self, event: own.Event) -> None:
        """Passes one event to the core and executes the commands that it returns."""
        kind = type(event).__name__
        started_s = time.process_time()
        commands = self.core.handle(self.now_ms, event)
        self.cpu_s[kind] += time.process_time() - started_s
        self.counts[kind] += 1
        for command in commands:
            if isinstance(command, own.SendGrant):
                self._accept_grant(command)
            elif isinstance(command, own.Append):
                self._append_record(command.token, command.body)

    def _accept_grant(self, command: own.SendGrant) -> None:
        grant = command.grant
        self.counts["grants"] += 1
        self.grant_bytes += len(json.dumps(grant._asdict()))
        key = (command.server, grant.group)
        held_slices = () if not grant.boot_id else None
        if grant.boot_id:
            self.grant_versions[key] = grant.version
        response = own.GrantAnswer(
            True,
            "",
            BOOT_ID,
            int(self.now_ms),
            grant.term,
            self.grant_versions.get(key, 0),
            held_slices,
        )
        self.handle(
            own.GrantAnswered(command.server, grant.group, response, command.sent_ms)
        )

    def _append_record(self, token: int, body: Record) -> None:
        self.counts["appends"] += 1
        seq = self.state.members[OWN_NAME].last_seq + 1
        envelope = Envelope(OWN_NAME, INCARNATION, seq, body)
        code = self.state.apply(self.state.next_offset, envelope)
        self.handle(own.Settled(token, code))

    def run(self, duration_ms: int) -> None:
        """Advances the virtual clock and delivers the periodic events."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            if self.now_ms % VM_LIST_INTERVAL_MS == 0:
                self.handle(own.VmsListed(frozenset(self.daemons), self.vms))
            if self.now_ms % HEARTBEAT_INTERVAL_MS == 0:
                for daemon in self.daemons[1:]:
                    self.handle(own.PeerHeard(daemon))
            if self.now_ms % LOG_READ_INTERVAL_MS == 0:
                self.handle(own.LogRead(self.now_ms - 1))
            self.handle(own.Tick())

    def measure(self) -> Cost:
        """Returns the cost in steady state, after a warm-up period."""
        self.run(WARM_UP_MS)
        self.cpu_s.clear()
        self.counts.clear()
        self.grant_bytes = 0
        self.run(MEASUREMENT_MS)
        seconds = MEASUREMENT_MS / 1000
        grants = self.counts.pop("grants", 0)
        appends = self.counts.pop("appends", 0)
        return Cost(
            {kind: spent_s / seconds * 1e6 for kind, spent_s in self.cpu_s.items()},
            {kind: count / seconds for kind, count in self.counts.items()},
            grants / seconds,
            self.grant_bytes / max(grants, 1),
            appends / seconds,
        )


def _make_figures(cost: Cost, by: str, size: int, label: str) -> list[Figure]:
    figures = [
        Figure(
            f"{kind}, each, {label}", by, size, spent_us / cost.events_per_s[kind], "us"
        )
        for kind, spent_us in cost.cpu_us_per_s.items()
    ]
    figures += [
        Figure(f"{kind}, {label}", by, size, cost.events_per_s[kind], "1/s")
        for kind in cost.events_per_s
    ]
    total_us = sum(cost.cpu_us_per_s.values())
    figures.append(
        Figure(f"Ownership, all events, {label}", by, size, total_us, "us/s")
    )
    figures.append(Figure(f"grants sent, {label}", by, size, cost.grants, "1/s"))
    figures.append(Figure(f"grant body, {label}", by, size, cost.grant_bytes, "bytes"))
    figures.append(Figure(f"appends, {label}", by, size, cost.appends_per_s, "1/s"))
    return figures


def _memory_bytes(groups: int, servers: int) -> int:
    def make() -> CoreDriver:
        core_driver = CoreDriver(groups, servers)
        core_driver.run(WARM_UP_MS)
        return core_driver

    return memory_bytes(make)


@section("ownership")
def measure_ownership() -> list[Figure]:
    """Measures a daemon that is the granter of one group.

    First the number of groups and daemons grows, then the number of servers.
    """
    figures = []
    label = f"{FIXED_SERVER_COUNT} servers"
    for groups in GROUP_COUNTS:
        cost = CoreDriver(groups, FIXED_SERVER_COUNT).measure()
        figures += _make_figures(cost, "groups", groups, label)
        driver_bytes = _memory_bytes(groups, FIXED_SERVER_COUNT)
        figures.append(
            Figure(
                f"state and core, memory, {label}",
                "groups",
                groups,
                driver_bytes,
                "bytes",
            )
        )
    label = f"{FIXED_GROUP_COUNT} groups"
    for servers in SERVER_COUNTS:
        cost = CoreDriver(FIXED_GROUP_COUNT, servers).measure()
        figures += _make_figures(cost, "servers", servers, label)
    return figures
