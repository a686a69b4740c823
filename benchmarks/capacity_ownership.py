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
from .capacity_site import INCARNATION, SERVICE, build, names, zone_of

ME = "router-0"
GROUPS = (1, 10, 100, 460)
SERVERS = (10, 100, 750)
SLICES_PER_GROUP = 36
SERVERS_BY_GROUP = 750
GROUPS_BY_SERVER = 100
READ_MS = 250
HEARTBEAT_MS = 200
VM_LIST_MS = 500
WARM_UP_MS = 8_000
MEASURED_MS = 5_000
BOOT_ID = "b" * 32


class Cost(NamedTuple):
    """What the ownership core of one daemon costs in steady state.

    Attributes:
        cpu_us: Processor time a second by kind of event.
        events: Events a second by kind.
        grants: Grants a second.
        grant_bytes: Mean size of the body of a grant.
        appends: Records a second.
    """

    cpu_us: dict[str, float]
    events: dict[str, float]
    grants: float
    grant_bytes: float
    appends: float


class Driver:
    """Runs the core of one daemon against servers that accept every grant."""

    def __init__(self, groups: int, servers: int) -> None:
        daemons = max(groups, 2)
        slices = groups * SLICES_PER_GROUP
        self.site = build(slices, groups, daemons, servers, groups)
        self.state: State = self.site.state
        timings = make_timings(TimingSettings())
        self.core = Ownership(
            Identity(ME, INCARNATION, zone_of(0)), timings, self.state
        )
        self.timings: Timings = timings
        self.routers = names("router", daemons)
        self.vms = {
            name: own.ServerVm(SERVICE, zone_of(index), "10.1.0.1:80", False)
            for index, name in enumerate(names("server", servers))
        }
        self.versions: dict[tuple[str, str], int] = {}
        self.cpu_s: dict[str, float] = defaultdict(float)
        self.counts: Counter[str] = Counter()
        self.grant_bytes = 0
        self.now_ms = 0.0

    def handle(self, event: own.Event) -> None:
        """Gives the core one event and carries its commands out."""
        kind = type(event).__name__
        started_s = time.process_time()
        commands = self.core.handle(self.now_ms, event)
        self.cpu_s[kind] += time.process_time() - started_s
        self.counts[kind] += 1
        for command in commands:
            if isinstance(command, own.SendGrant):
                self._answer(command)
            elif isinstance(command, own.Append):
                self._fold(command.token, command.body)

    def _answer(self, command: own.SendGrant) -> None:
        grant = command.grant
        self.counts["grants"] += 1
        self.grant_bytes += len(json.dumps(grant._asdict()))
        key = (command.server, grant.group)
        held = () if not grant.boot_id else None
        if grant.boot_id:
            self.versions[key] = grant.version
        answer = own.GrantAnswer(
            True,
            "",
            BOOT_ID,
            int(self.now_ms),
            grant.term,
            self.versions.get(key, 0),
            held,
        )
        self.handle(
            own.GrantAnswered(command.server, grant.group, answer, command.sent_ms)
        )

    def _fold(self, token: int, body: Record) -> None:
        self.counts["appends"] += 1
        seq = self.state.members[ME].last_seq + 1
        envelope = Envelope(ME, INCARNATION, seq, body)
        code = self.state.apply(self.state.next_offset, envelope)
        self.handle(own.Settled(token, code))

    def run(self, span_ms: int) -> None:
        """Lets a span of virtual time pass."""
        end_ms = self.now_ms + span_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            if self.now_ms % VM_LIST_MS == 0:
                self.handle(own.VmsListed(frozenset(self.routers), self.vms))
            if self.now_ms % HEARTBEAT_MS == 0:
                for router in self.routers[1:]:
                    self.handle(own.PeerHeard(router))
            if self.now_ms % READ_MS == 0:
                self.handle(own.LogRead(self.now_ms - 1))
            self.handle(own.Tick())

    def measure(self) -> Cost:
        """Returns the cost after the site has settled."""
        self.run(WARM_UP_MS)
        self.cpu_s.clear()
        self.counts.clear()
        self.grant_bytes = 0
        self.run(MEASURED_MS)
        seconds = MEASURED_MS / 1000
        grants = self.counts.pop("grants", 0)
        appends = self.counts.pop("appends", 0)
        return Cost(
            {kind: spent / seconds * 1e6 for kind, spent in self.cpu_s.items()},
            {kind: count / seconds for kind, count in self.counts.items()},
            grants / seconds,
            self.grant_bytes / max(grants, 1),
            appends / seconds,
        )


def _figures(cost: Cost, by: str, size: int, label: str) -> list[Figure]:
    made = [
        Figure(f"{kind}, each, {label}", by, size, spent / cost.events[kind], "us")
        for kind, spent in cost.cpu_us.items()
    ]
    made += [
        Figure(f"{kind}, {label}", by, size, cost.events[kind], "1/s")
        for kind in cost.events
    ]
    total_us = sum(cost.cpu_us.values())
    made.append(Figure(f"Ownership, all events, {label}", by, size, total_us, "us/s"))
    made.append(Figure(f"grants sent, {label}", by, size, cost.grants, "1/s"))
    made.append(Figure(f"grant body, {label}", by, size, cost.grant_bytes, "bytes"))
    made.append(Figure(f"appends, {label}", by, size, cost.appends, "1/s"))
    return made


def _memory(groups: int, servers: int) -> int:
    def make() -> Driver:
        driver = Driver(groups, servers)
        driver.run(WARM_UP_MS)
        return driver

    return memory_bytes(make)


@section("ownership")
def measure_ownership() -> list[Figure]:
    """Measures one group at this daemon while groups, daemons and servers grow."""
    figures = []
    label = f"{SERVERS_BY_GROUP} servers"
    for groups in GROUPS:
        cost = Driver(groups, SERVERS_BY_GROUP).measure()
        figures += _figures(cost, "groups", groups, label)
        held_bytes = _memory(groups, SERVERS_BY_GROUP)
        figures.append(
            Figure(
                f"state and core, memory, {label}",
                "groups",
                groups,
                held_bytes,
                "bytes",
            )
        )
    label = f"{GROUPS_BY_SERVER} groups"
    for servers in SERVERS:
        cost = Driver(GROUPS_BY_SERVER, servers).measure()
        figures += _figures(cost, "servers", servers, label)
    return figures
