"""Instances, granters and messages between them, in simulated time."""

from __future__ import annotations

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
SLOW_CLOCK = 1.02  # An instance's clock may run this much slow.
STEP_MS = 50.0
LATE_MS = (2000, 12_000)
EVEN = LoadDistribution({}, 1.0, 0.0)
PROBES = range(0, 1 << 16, 997)


class Server:
    """An instance that holds key ranges."""

    def __init__(self, name: str, start_ms: int) -> None:
        self.name = name
        self.start_ms = start_ms
        self.is_up = True
        self.is_listed = True
        self.holds: list[tuple[int, int, int, float]] = []
        self.fences: list[tuple[int, int, int]] = []

    def seen_fence(self, key_hash: int) -> int:
        """Returns the highest fence that it has seen for a hash."""
        fences = [f for first, last, f in self.fences if first <= key_hash <= last]
        return max(fences, default=0)

    def grant(self, call: GrantCall, arrived_ms: float, now_ms: float) -> str:
        """Takes a grant that arrived at a time, perhaps earlier."""
        overlapping = [
            f
            for first, last, f in self.fences
            if first <= call.last and last >= call.first
        ]
        if max(overlapping, default=0) > call.fence:
            return "fenced"
        self.fences.append((call.first, call.last, call.fence))
        end_ms = arrived_ms + call.lease_ms * SLOW_CLOCK
        if end_ms > now_ms:
            self.holds.append((call.first, call.last, call.fence, end_ms))
        return "done"

    def release(self, first: int, last: int, fence: int) -> None:
        """Stops holding a range that was granted with this fence or a lower one."""
        kept = []
        for low, high, held, end_ms in self.holds:
            if held > fence or high < first or low > last:
                kept.append((low, high, held, end_ms))
                continue
            if low < first:
                kept.append((low, first - 1, held, end_ms))
            if high > last:
                kept.append((last + 1, high, held, end_ms))
        self.holds = kept

    def holds_hash(self, key_hash: int, now_ms: float) -> bool:
        """Tells whether it serves a hash."""
        return self.is_up and any(
            first <= key_hash <= last and now_ms < end_ms
            for first, last, _, end_ms in self.holds
        )


class Seat:
    """A daemon that grants, with what it can reach."""

    def __init__(self, number: int, granter: Granter, now_ms: float) -> None:
        self.number = number
        self.granter = granter
        self.confirmed_ms = now_ms
        self.reaches_store = True
        self.unreached: set[str] = set()
        self.releases = 0


class World:
    """A keyed service under faults; checks that each hash has one holder."""

    def __init__(self, servers: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_ms = 0.0
        self.servers = {f"s{n}": Server(f"s{n}", 1) for n in range(servers)}
        self.record = OwnerTable()
        self.term = 0
        self.seats: list[Seat] = []
        self.late: list[tuple[float, float, Server, int, GrantCall]] = []
        self.distribution = EVEN
        self.resting: set[str] = set()
        self.lost_answers = 0.0
        self.late_share = 0.0
        self.take_over()

    def take_over(self) -> None:
        """Lets a new daemon become the granter by the record."""
        self.term += 1
        former = self.seats[-1] if self.seats else None
        authority_end_ms = self.now_ms + (TIMINGS.authority_ms if former else 0.0)
        granter = Granter(TIMINGS, self.term, self.record, authority_end_ms)
        self.seats.append(Seat(self.term, granter, self.now_ms))

    def hear_that_former_granters_ended(self) -> None:
        """Has all former granters stop and the latest one learn of it."""
        for seat in self.seats[:-1]:
            seat.confirmed_ms = -1e18
            seat.reaches_store = False
        self.seats[-1].granter.shorten_former_authority(self.now_ms)

    def advance(self, duration_ms: float) -> None:
        """Runs for a while and checks all the time."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            self._apply_late()
            for seat in self.seats:
                self._run(seat)
            self.check()

    def check(self) -> None:
        """Fails when two instances hold one hash."""
        for key_hash in PROBES:
            holders = [
                server.name
                for server in self.servers.values()
                if server.holds_hash(key_hash, self.now_ms)
            ]
            assert len(holders) <= 1, (self.now_ms, key_hash, holders)

    def unheld(self) -> int:
        """Returns how many of the probed hashes nobody holds."""
        return sum(
            not any(s.holds_hash(key_hash, self.now_ms) for s in self.servers.values())
            for key_hash in PROBES
        )

    def held_by(self, name: str) -> int:
        """Returns how many of the probed hashes a server holds."""
        server = self.servers[name]
        return sum(server.holds_hash(key_hash, self.now_ms) for key_hash in PROBES)

    def restart(self, name: str) -> None:
        """Starts a new life under an identifier."""
        start_ms = int(self.now_ms) + 2
        self.servers[name] = Server(name, start_ms)

    def _run(self, seat: Seat) -> None:
        is_latest = seat is self.seats[-1]
        if seat.reaches_store:
            seat.confirmed_ms = self.now_ms
            if not is_latest:
                return
        if self.now_ms - seat.confirmed_ms > TIMINGS.authority_ms:
            return
        owners = self.owners_seen_by(seat)
        if not owners:
            return
        actions = seat.granter.step(owners, self.now_ms)
        if seat.granter.has_unassigned_hashes() or self.random.random() < 0.1:
            seat.granter.rebalance(self.distribution, True)
        actions += seat.granter.step(owners, self.now_ms)
        if self.random.random() < 0.1:
            seat.granter.merge_adjacent_ranges(self.now_ms)
        for action in actions:
            self._do(seat, action)

    def owners_seen_by(self, seat: Seat) -> dict[str, KeyedInstance]:
        """Returns the listed servers as a granter sees them."""
        return {
            server.name: KeyedInstance(
                server.name,
                server.name,
                server.start_ms,
                server.name not in seat.unreached | self.resting,
                can_keep_keys=server.name not in seat.unreached,
            )
            for server in self.servers.values()
            if server.is_listed
        }

    def _do(self, seat: Seat, action) -> None:
        if isinstance(action, RecordOwners):
            is_recorded = seat is self.seats[-1] and seat.reaches_store
            if is_recorded:
                self.record = OwnerTable(action.ranges)
            seat.granter.handle_recorded(is_recorded)
            return
        server = self.servers[action.instance]
        outcome = "silent"
        if action.instance in seat.unreached or not server.is_up:
            outcome = "unsent"
        elif isinstance(action, GrantCall):
            outcome = self._deliver_grant(server, action)
        else:
            server.release(action.first, action.last, action.fence)
            seat.releases += 1
            outcome = "done"
        if outcome != "unsent" and self.random.random() < self.lost_answers:
            outcome = "silent"
        seat.granter.handle_result(CallResult(action.call_id, outcome), self.now_ms)

    def _deliver_grant(self, server: Server, call: GrantCall) -> str:
        if self.random.random() < self.late_share:
            at_ms = self.now_ms + self.random.uniform(*LATE_MS)
            self.late.append((at_ms, self.now_ms, server, server.start_ms, call))
            return "silent"
        return server.grant(call, self.now_ms, self.now_ms)

    def _apply_late(self) -> None:
        due = [item for item in self.late if item[0] <= self.now_ms]
        self.late = [item for item in self.late if item[0] > self.now_ms]
        for _, arrived_ms, server, _, call in due:
            server.grant(call, arrived_ms, self.now_ms)
