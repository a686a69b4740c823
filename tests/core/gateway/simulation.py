"""Simulates instances, granters and calls between them."""

from __future__ import annotations

import math
import random

from skylarktrail.core.gateway.granter import Granter
from skylarktrail.core.gateway.key_load import LoadDistribution
from skylarktrail.core.gateway.lease_calls import (
    CallResult,
    GrantCall,
    KeyedInstance,
    LeaseTimings,
    RecordOwners,
)
from skylarktrail.core.gateway.ranges import OwnerTable

TIMINGS = LeaseTimings()
SLOW_CLOCK_RATIO = 1.02  # Clock drift of the instances, relative to the granters.
STEP_MS = 50.0
LATE_GRANT_DELAY_MS = (2000, 12_000)
EVEN_LOAD = LoadDistribution({}, 1.0, 0.0)
PROBED_HASHES = range(0, 1 << 16, 997)


class Server:
    """An instance that leases key ranges.

    Attributes:
        is_silent: Whether it accepts connections but executes and answers no calls.
        leases: First hash, last hash, fence and end in milliseconds of each lease.
        fences: First hash, last hash and fence of each grant accepted so far.
    """

    def __init__(self, name: str, start_ms: int) -> None:
        self.name = name
        self.start_ms = start_ms
        self.is_up = True
        self.is_listed = True
        self.is_silent = False
        self.leases: list[tuple[int, int, int, float]] = []
        self.fences: list[tuple[int, int, int]] = []

    def max_fence(self, key_hash: int) -> int:
        """Returns the highest fence that the server has seen for a hash."""
        fences = [f for first, last, f in self.fences if first <= key_hash <= last]
        return max(fences, default=0)

    def grant(self, call: GrantCall, arrived_ms: float, now_ms: float) -> str:
        """Handles a grant and returns its outcome.

        The lease counts from the arrival, which may precede the execution.
        """
        overlapping = [
            f
            for first, last, f in self.fences
            if first <= call.last and last >= call.first
        ]
        if max(overlapping, default=0) > call.fence:
            return "fenced"
        self.fences.append((call.first, call.last, call.fence))
        end_ms = arrived_ms + call.lease_ms * SLOW_CLOCK_RATIO
        if end_ms > now_ms:
            self.leases.append((call.first, call.last, call.fence, end_ms))
        return "done"

    def release(self, first: int, last: int, fence: int) -> None:
        """Drops the leases of a range that have this fence or a lower one."""
        kept = []
        for low, high, held, end_ms in self.leases:
            if held > fence or high < first or low > last:
                kept.append((low, high, held, end_ms))
                continue
            if low < first:
                kept.append((low, first - 1, held, end_ms))
            if high > last:
                kept.append((last + 1, high, held, end_ms))
        self.leases = kept

    def holds_hash(self, key_hash: int, now_ms: float) -> bool:
        """Returns whether the server is up and holds a lease for a hash."""
        return self.is_up and any(
            first <= key_hash <= last and now_ms < end_ms
            for first, last, _, end_ms in self.leases
        )


class GranterDaemon:
    """A granter, with the state of its connections to servers and the store.

    Attributes:
        unreachable: Servers to which connections fail.
        refusing: Servers that refuse connections of this granter only.
        listing: Servers as they were listed last.
        listing_due_ms: When the listing is read again.
    """

    def __init__(self, number: int, granter: Granter, now_ms: float) -> None:
        self.number = number
        self.granter = granter
        self.confirmed_ms = now_ms
        self.can_reach_store = True
        self.unreachable: set[str] = set()
        self.refusing: set[str] = set()
        self.release_count = 0
        self.listing: dict[str, KeyedInstance] = {}
        self.listing_due_ms = -math.inf


class Simulation:
    """Simulates a keyed service under faults and checks its leases.

    At no time may two servers hold a lease for the same hash.

    Attributes:
        late: Delayed grants: time of execution, time of arrival, server, start of its
            incarnation and call.
        pinned: Servers that may keep their keys but get no more.
        listing_interval_ms: How often a granter reads the listing.
        lost_response_ratio: Fraction of the calls whose response is lost.
        late_grant_ratio: Fraction of the grants that are delayed.
    """

    def __init__(self, servers: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_ms = 0.0
        self.servers = {f"s{n}": Server(f"s{n}", 1) for n in range(servers)}
        self.recorded_owners = OwnerTable()
        self.term = 0
        self.daemons: list[GranterDaemon] = []
        self.late: list[tuple[float, float, Server, int, GrantCall]] = []
        self.distribution = EVEN_LOAD
        self.pinned: set[str] = set()
        self.listing_interval_ms = 0.0
        self.lost_response_ratio = 0.0
        self.late_grant_ratio = 0.0
        self.replace_granter()

    def replace_granter(self) -> None:
        """Makes a new daemon the granter, which starts from the recorded owners."""
        self.term += 1
        former = self.daemons[-1] if self.daemons else None
        authority_end_ms = self.now_ms + (TIMINGS.authority_ms if former else 0.0)
        granter = Granter(TIMINGS, self.term, self.recorded_owners, authority_end_ms)
        self.daemons.append(GranterDaemon(self.term, granter, self.now_ms))

    def end_former_granters(self) -> None:
        """Stops all former granters and reports their end to the present one."""
        self.kill_former_granters()
        open_grants = [
            grant
            for daemon in self.daemons[:-1]
            for grant in daemon.granter.open_grants(self.now_ms)
        ]
        self.daemons[-1].granter.observe_open_grants(open_grants)

    def kill_former_granters(self) -> None:
        """Stops all former granters; the present one knows when, and nothing else."""
        for daemon in self.daemons[:-1]:
            daemon.confirmed_ms = -1e18
            daemon.can_reach_store = False
        self.daemons[-1].granter.shorten_former_authority(self.now_ms)

    def advance(self, duration_ms: float) -> None:
        """Runs the simulation for a time and checks the leases after each step."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.step()
            self.check()

    def step(self) -> None:
        """Runs the simulation for `STEP_MS` without checking the leases."""
        self.now_ms += STEP_MS
        self._deliver_late_grants()
        for daemon in self.daemons:
            self._step_daemon(daemon)

    def check(self) -> None:
        """Asserts that no probed hash has more than one holder."""
        assert not self.find_shared_hashes(), self.now_ms

    def find_shared_hashes(self) -> dict[int, list[str]]:
        """Returns the probed hashes with more than one holder, and their holders."""
        holders = {
            key_hash: [
                server.name
                for server in self.servers.values()
                if server.holds_hash(key_hash, self.now_ms)
            ]
            for key_hash in PROBED_HASHES
        }
        return {key: names for key, names in holders.items() if len(names) > 1}

    def count_unheld(self) -> int:
        """Returns the number of probed hashes without a holder."""
        return sum(
            not any(s.holds_hash(key_hash, self.now_ms) for s in self.servers.values())
            for key_hash in PROBED_HASHES
        )

    def count_held_by(self, name: str) -> int:
        """Returns the number of probed hashes that a server holds."""
        server = self.servers[name]
        return sum(
            server.holds_hash(key_hash, self.now_ms) for key_hash in PROBED_HASHES
        )

    def restart(self, name: str) -> None:
        """Starts a new incarnation of a server."""
        start_ms = int(self.now_ms) + 2
        self.servers[name] = Server(name, start_ms)

    def _step_daemon(self, daemon: GranterDaemon) -> None:
        is_latest = daemon is self.daemons[-1]
        if daemon.can_reach_store:
            daemon.confirmed_ms = self.now_ms
            if not is_latest:
                return
        if self.now_ms - daemon.confirmed_ms > TIMINGS.authority_ms:
            return
        owners = self.instances_seen_by(daemon)
        if not owners:
            return
        actions = daemon.granter.step(
            owners, self.now_ms, confirmed_ms=daemon.confirmed_ms
        )
        if daemon.granter.has_unassigned_hashes() or self.random.random() < 0.1:
            daemon.granter.rebalance(self.distribution, True)
        actions += daemon.granter.step(
            owners, self.now_ms, confirmed_ms=daemon.confirmed_ms
        )
        if self.random.random() < 0.1:
            daemon.granter.merge_adjacent_ranges(self.now_ms)
        for action in actions:
            self._execute(daemon, action)

    def instances_seen_by(self, daemon: GranterDaemon) -> dict[str, KeyedInstance]:
        """Returns the servers as the daemon has listed them, as input of a granter."""
        if self.now_ms >= daemon.listing_due_ms:
            daemon.listing_due_ms = self.now_ms + self.listing_interval_ms
            daemon.listing = self._list_servers(daemon)
        return daemon.listing

    def _list_servers(self, daemon: GranterDaemon) -> dict[str, KeyedInstance]:
        return {
            server.name: KeyedInstance(
                server.name,
                server.name,
                server.start_ms,
                server.name not in daemon.unreachable | self.pinned,
                can_keep_keys=server.name not in daemon.unreachable,
            )
            for server in self.servers.values()
            if server.is_listed
        }

    def _execute(self, daemon: GranterDaemon, action) -> None:
        if isinstance(action, RecordOwners):
            is_recorded = daemon is self.daemons[-1] and daemon.can_reach_store
            if is_recorded:
                self.recorded_owners = OwnerTable(action.ranges)
            daemon.granter.handle_recorded(is_recorded)
            return
        server = self.servers[action.instance]
        outcome = "silent"
        if action.instance in daemon.refusing:
            outcome = "refused"
        elif action.instance in daemon.unreachable or not server.is_up:
            outcome = "unsent"
        elif server.is_silent:
            outcome = "silent"
        elif isinstance(action, GrantCall):
            outcome = self._deliver_grant(server, action)
        else:
            server.release(action.first, action.last, action.fence)
            daemon.release_count += 1
            outcome = "done"
        is_sent = outcome not in ("unsent", "refused")
        if is_sent and self.random.random() < self.lost_response_ratio:
            outcome = "silent"
        daemon.granter.handle_result(CallResult(action.call_id, outcome), self.now_ms)

    def _deliver_grant(self, server: Server, call: GrantCall) -> str:
        if self.random.random() < self.late_grant_ratio:
            at_ms = self.now_ms + self.random.uniform(*LATE_GRANT_DELAY_MS)
            self.late.append((at_ms, self.now_ms, server, server.start_ms, call))
            return "silent"
        return server.grant(call, self.now_ms, self.now_ms)

    def _deliver_late_grants(self) -> None:
        due = [item for item in self.late if item[0] <= self.now_ms]
        self.late = [item for item in self.late if item[0] > self.now_ms]
        for _, arrived_ms, server, _, call in due:
            server.grant(call, arrived_ms, self.now_ms)
