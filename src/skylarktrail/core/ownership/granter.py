"""The granter of a group: assigns slices to servers under leases.

A new granter first fences the servers, so that they refuse grants of its predecessor,
and adopts the slices that they hold. It assigns slices only after every lease of its
predecessor has ended. From then on it renews leases, reassigns slices of lost servers
and moves slices between servers.
"""

from __future__ import annotations

from typing import Callable, Iterable, Mapping, NamedTuple

from ...errors.code import Code
from ..hashing import rank_candidates
from ..records import Assign, Merge, Placement, Record, Split
from ..slices import FENCE_TERM_SHIFT, Slice, SliceTable, make_fence
from ..state import GranterTerm, State, service_of
from .messages import (
    BroadcastPlacements,
    Command,
    FencedPlacement,
    GrantAnswer,
    GrantedSlice,
    ReadLog,
    SendGrant,
    ServerVm,
)
from .server_lease import ServerLease
from .status import ServerStatus
from .timings import Timings

MAX_SERVERS_PER_GROUP = 64
MAX_CONCURRENT_MOVES = 4
MOVE_COOLDOWN_PLANS = 6
RECONCILE_INTERVAL_MS = 200
BROADCAST_INTERVAL_MS = 1000
PROBE_TIMEOUT_MS = 150

AppendRecord = Callable[[Record], int]


class Authority(NamedTuple):
    """What the granter may do at the time of a step.

    Attributes:
        confirmed: Whether the granter may act.
        is_promised: Whether a promise of the heir alone lets it act.
        is_log_stale: Whether the last complete read of the log is too old.
    """

    confirmed: bool
    is_promised: bool
    is_log_stale: bool


class PendingAssignment(NamedTuple):
    """An assignment that was appended and has not been read back.

    Attributes:
        token: Token of the `Append` command.
        server: VM identifier of the new owner.
        fence: Fence of the assignment.
    """

    token: int
    server: str
    fence: int


class Granter:
    """Assigns the slices of one group while this process is its granter."""

    def __init__(
        self, group: str, timings: Timings, state: State, append: AppendRecord
    ) -> None:
        """Creates the granter; `begin_term` has to be called next.

        Args:
            group: Granter group.
            timings: Durations of the protocol.
            state: The folded state.
            append: Queues a record for the log and returns its token.
        """
        self._group = group
        self._service = service_of(group)
        self._timings = timings
        self._state = state
        self._append = append
        self._servers: Mapping[str, ServerVm] = {}
        self._table: SliceTable | None = None
        self._seq = 0
        self._plan: list[tuple[int, str]] = []
        self._loads: Mapping[int, float] = {}

    def begin_term(self, now_ms: float, granter_term: GranterTerm, first: bool) -> None:
        """Starts without knowledge of the grants of the former granter.

        Args:
            now_ms: Time at which the claim was read back, or later.
            term: Term of this granter.
            first: Whether no other process can have been granter of the group.
        """
        wait_ms = granter_term.longest_authority_ms + granter_term.longest_lease_ms
        self._former_leases_end_ms = (
            now_ms if first else now_ms + self._timings.add_drift_margin(wait_ms)
        )
        self._first_term = granter_term.term
        self._longest_lease_ms = granter_term.longest_lease_ms
        self._leases: dict[str, ServerLease] = {}
        # By first hash of the slice: the server with a lease on it, its assignment
        # that was not read back, the lowest fence of its next grant, the target of its
        # move ("" for any server), and when it was moved last.
        self._holders: dict[int, str] = {}
        self._pending: dict[int, PendingAssignment] = {}
        self._min_fences: dict[int, int] = {}
        self._moving: dict[int, str] = {}
        self._moved_ms: dict[int, float] = {}
        # By token: the slices of splits and merges that were not read back; the tokens
        # of the merges among them.
        self._reshaping: dict[int, frozenset[int]] = {}
        self._merging: set[int] = set()
        self._slices: list[Slice] = []
        self._slices_by_start: dict[int, Slice] = {}
        self._synced_version = (0, -1)
        self._next_reconcile_ms = 0.0
        self._next_broadcast_ms = 0.0
        self._is_probing = True
        self._probing_since_ms: float | None = None
        self._table = self._state.tables.get(self._service)

    def begin_next_term(self) -> None:
        """Continues in the next term, which this granter has claimed itself.

        The leases are kept; the servers are fenced again for the new term.
        """
        self._pending.clear()
        self._reshaping.clear()
        self._merging.clear()
        self._seq = 0
        for lease in self._leases.values():
            lease.begin_term()
        self._next_reconcile_ms = 0.0

    def update_servers(self, servers: Mapping[str, ServerVm]) -> None:
        """Replaces the list of servers in the platform's VM list."""
        self._servers = servers
        self._next_reconcile_ms = 0.0

    def set_move_plan(
        self, moves: Iterable[tuple[int, str]], loads: Mapping[int, float]
    ) -> None:
        """Replaces the plan of moves that balance the load.

        Args:
            moves: First hash of each slice to move and its new server.
            loads: Requests per second by first hash of the slice.
        """
        self._plan = list(moves)
        self._loads = loads
        self._next_reconcile_ms = 0.0

    def handle_settled(self, token: int, code: Code) -> None:
        """Drops an append that was read back; the state contains its effect, if any."""
        self._pending = {
            start: pending
            for start, pending in self._pending.items()
            if pending.token != token
        }
        self._reshaping.pop(token, None)
        self._merging.discard(token)
        self._next_reconcile_ms = 0.0

    def handle_grant_failure(self, server: str, sent_ms: float, now_ms: float) -> None:
        """Schedules the retry of a grant that got no answer."""
        lease = self._leases.get(server)
        if lease is not None:
            lease.handle_failure(sent_ms, now_ms)

    def handle_grant_answer(
        self, server: str, answer: GrantAnswer, sent_ms: float, now_ms: float
    ) -> list[Command]:
        """Handles the answer to a grant.

        Adopts the slices of the server while leases of the former granter may be
        valid. Returns a request to read the log when the server has accepted a higher
        term than the state has.
        """
        lease = self._leases.get(server)
        if lease is None:
            return []
        self._next_reconcile_ms = 0.0
        accepted = lease.handle_answer(answer, sent_ms, now_ms)
        if accepted and answer.held is not None and self._awaits_former_leases(now_ms):
            self._adopt_slices(lease, answer.held)
        if answer.reason == "term" and answer.term > self._granter_term().term:
            return [ReadLog(self._group)]
        return []

    def step(self, now_ms: float, authority: Authority) -> list[Command]:
        """Returns the commands that are due now; none without confirmation."""
        if not authority.confirmed or not self._update_slices(now_ms):
            return []
        commands: list[Command] = []
        self._discard_expired(now_ms)
        if now_ms >= self._next_reconcile_ms:
            self._next_reconcile_ms = now_ms + RECONCILE_INTERVAL_MS
            self._reconcile(now_ms, authority)
        commands += self._broadcast_provisional(now_ms)
        commands += self._send_grants(now_ms)
        return commands

    def _granter_term(self) -> GranterTerm:
        return self._state.granter_terms[self._group]

    def _awaits_former_leases(self, now_ms: float) -> bool:
        """Tells whether a lease of the former granter may still be valid."""
        return now_ms < self._former_leases_end_ms

    # Slice table

    def _update_slices(self, now_ms: float) -> bool:
        """Updates the slices of the group from the state when they have changed.

        Returns:
            Whether the service has a slice table.
        """
        table = self._state.tables.get(self._service)
        if table is None:
            return False
        # The table is another object after the service was removed and added again, or
        # after a checkpoint was loaded.
        if table is not self._table:
            self.begin_term(now_ms, self._granter_term(), first=False)
        granter_term = self._granter_term()
        version = (granter_term.term, granter_term.seq)
        if version == self._synced_version:
            return True
        self._synced_version = version
        self._next_reconcile_ms = 0.0
        self._slices = [current for current in table if current.group == self._group]
        before = list(self._slices_by_start.values())
        bounds = {(current.start, current.end) for current in before}
        self._slices_by_start = {current.start: current for current in self._slices}
        reshaped = [
            current
            for current in self._slices
            if (current.start, current.end) not in bounds
        ]
        if reshaped:
            self._inherit_min_fences(reshaped, before)
            self._reshape_leases()
        return True

    def _inherit_min_fences(self, reshaped: list[Slice], before: list[Slice]) -> None:
        """Carries minimum fences over to slices that were split or merged.

        A server may have been granted the whole slice after its split was appended
        and before the split was read back. The recorded fence of the parts is older
        than the fence of that grant.
        """
        for current in reshaped:
            min_fences = [
                self._min_fences.get(former.start, 0)
                for former in before
                if former.start < current.end and current.start < former.end
            ]
            min_fence = max(min_fences, default=0)
            own_min_fence = self._min_fences.get(current.start, 0)
            self._min_fences[current.start] = max(min_fence, own_min_fence)

    def _reshape_leases(self) -> None:
        """Adapts the leases to slices that were split or merged."""
        for lease in self._leases.values():
            before = list(lease.slices.values())
            if all(self._matches_slice(granted) for granted in before):
                continue
            covered = [
                (find_covering_fence(before, current), current)
                for current in self._slices
            ]
            after = [
                GrantedSlice(current.start, current.end, fence)
                for fence, current in covered
                if fence is not None
            ]
            for granted in before:
                del self._holders[granted.start]
            lease.replace_slices(after)
            for granted in after:
                self._holders[granted.start] = lease.server

    def _matches_slice(self, granted: GrantedSlice) -> bool:
        """Tells whether the bounds of a granted slice are those of the table."""
        current = self._slices_by_start.get(granted.start)
        return current is not None and current.end == granted.end

    # Takeover

    def _adopt_slices(self, lease: ServerLease, held: tuple[GrantedSlice, ...]) -> None:
        """Adopts the slices that a server holds under a lease of the former granter.

        Their fences are not raised while leases of the former granter may be valid: a
        server that reboots in that time may accept a delayed grant of the former
        granter with the older fences, and its fences would fall.
        """
        for current in self._slices:
            if current.start in self._holders:
                continue
            fence = find_covering_fence(held, current)
            if fence is None:
                continue
            if current.server == lease.server or fence > current.fence:
                self._set_holder(lease, current, fence)
                self._next_broadcast_ms = 0.0

    def _set_holder(self, lease: ServerLease, current: Slice, fence: int) -> None:
        """Adds a slice to the lease of a server."""
        lease.add_slice(GrantedSlice(current.start, current.end, fence))
        self._holders[current.start] = lease.server
        self._moving.pop(current.start, None)
        min_fence = self._min_fences.get(current.start, 0)
        self._min_fences[current.start] = max(min_fence, fence)

    def _discard_expired(self, now_ms: float) -> None:
        """Takes the slices from servers whose lease has ended."""
        for lease in self._leases.values():
            if lease.slices and lease.has_expired(now_ms):
                for granted in lease.discard_slices():
                    self._holders.pop(granted.start, None)
                self._next_reconcile_ms = 0.0

    # Assignment

    def _reconcile(self, now_ms: float, authority: Authority) -> None:
        """Assigns unassigned slices, starts moves and probes servers as needed."""
        usable = self._usable_servers(now_ms)
        self._drop_recorded()
        busy = self._unavailable_slices(now_ms)
        unassigned = []
        unrecorded = []
        for current in self._slices:
            holder = self._holders.get(current.start)
            if self._awaits_former_leases(now_ms):
                continue
            if holder is not None:
                if not self._raise_fence_to_record(current, holder):
                    unrecorded.append(Placement(current.start, holder))
            elif current.start not in busy:
                unassigned.append(current)
        if unassigned and not self._has_probed(now_ms, usable):
            unassigned = [
                current
                for current in unassigned
                if self._preferred_server(current) in usable
            ]
        self._assign_slices(unassigned, usable, authority, unrecorded)
        leaving = self._slices_to_evacuate()
        if usable and not self._awaits_former_leases(now_ms):
            self._begin_moves(now_ms, leaving, usable)
        self._open_leases()
        self._update_probing(now_ms, self._needs_targets(now_ms, bool(leaving)))

    def _has_probed(self, now_ms: float, usable: set[str]) -> bool:
        """Tells whether all servers have answered or had enough time to answer."""
        listed = {server for server in self._leases if self._may_own(server)}
        if not listed or self._probing_since_ms is None:
            return False
        return usable >= listed or now_ms - self._probing_since_ms >= PROBE_TIMEOUT_MS

    def _update_probing(self, now_ms: float, is_probing: bool) -> None:
        """Sets whether servers without slices are sent fencing grants, too."""
        self._is_probing = is_probing
        if not is_probing:
            self._probing_since_ms = None
        elif self._probing_since_ms is None and self._leases:
            self._probing_since_ms = now_ms
            self._next_reconcile_ms = now_ms + PROBE_TIMEOUT_MS

    def _needs_targets(self, now_ms: float, leaving: bool) -> bool:
        """Tells whether slices may soon have to be assigned to other servers."""
        if leaving or self._plan or self._awaits_former_leases(now_ms):
            return True
        if len(self._holders) < len(self._slices):
            return True
        leases = self._leases.values()
        return any(
            lease.slices and not lease.is_ready_for_lease(now_ms) for lease in leases
        )

    def _usable_servers(self, now_ms: float) -> set[str]:
        """Returns the servers to which slices can be granted now."""
        return {
            server
            for server, lease in self._leases.items()
            if lease.is_ready_for_lease(now_ms) and self._may_own(server)
        }

    def _may_own(self, server: str) -> bool:
        """Tells whether a server is listed, stays and is in a zone in use."""
        vm = self._servers.get(server)
        if vm is None or vm.leaving or vm.service != self._service:
            return False
        return vm.zone not in find_zones_out(self._state.file)

    def _drop_recorded(self) -> None:
        """Drops pending assignments that the state contains or supersedes."""
        for start, pending in list(self._pending.items()):
            current = self._slices_by_start.get(start)
            if current is None or current.fence >= pending.fence:
                del self._pending[start]

    def _unavailable_slices(self, now_ms: float) -> set[int]:
        """Returns slices that a server may still serve or that are being merged.

        A slice that is being split may be assigned: the assignment has a higher
        sequence number, so the split is refused if it is folded later.
        """
        busy = {start for token in self._merging for start in self._reshaping[token]}
        for lease in self._leases.values():
            for granted in lease.releasing(now_ms):
                busy.update(self._overlapping(granted))
        return busy

    def _overlapping(self, granted: GrantedSlice) -> list[int]:
        if self._matches_slice(granted):
            return [granted.start]
        return [
            current.start
            for current in self._slices
            if current.start < granted.end and granted.start < current.end
        ]

    def _raise_fence_to_record(self, current: Slice, holder: str) -> bool:
        """Raises the fence of a granted slice to the recorded one.

        Returns:
            Whether the holder is recorded in the log, or its assignment is pending.
        """
        if current.start in self._pending:
            return True
        lease = self._leases[holder]
        fence = lease.slices[current.start].fence
        if current.server != holder or current.fence < fence:
            return False
        if current.fence > fence:
            self._set_holder(lease, current, current.fence)
        return True

    def _assign_slices(
        self,
        unassigned: list[Slice],
        usable: set[str],
        authority: Authority,
        placements: list[Placement],
    ) -> None:
        """Assigns slices to servers.

        A new owner is recorded in the log before the slice is granted to it, except
        as described at `_grant_provisionally`.

        Args:
            unassigned: Slices without a holder.
            usable: Servers to which slices can be assigned.
            authority: What the granter may do now.
            placements: Holders that are not recorded yet; recorded along with the
                new owners.
        """
        counts = self._count_slices() if unassigned else {}
        for current in unassigned:
            pending = self._pending.get(current.start)
            if pending is not None:
                self._grant_provisionally(current, pending, usable, authority)
            elif self._is_recorded_fence_highest(current) and current.server in usable:
                self._set_holder(self._leases[current.server], current, current.fence)
            else:
                server = self._choose_server(current, usable, counts)
                if server:
                    counts[server] = counts.get(server, 0) + 1
                    placements.append(Placement(current.start, server))
        if placements:
            self._append_assignment(placements)
            if authority.is_log_stale:
                self._next_reconcile_ms = 0.0

    def _is_recorded_fence_highest(self, current: Slice) -> bool:
        """Tells whether no higher fence than the recorded one can have been granted."""
        if current.fence >> FENCE_TERM_SHIFT < self._first_term:
            return False
        return current.fence >= self._min_fences.get(current.start, 0)

    def _grant_provisionally(
        self,
        current: Slice,
        pending: PendingAssignment,
        usable: set[str],
        authority: Authority,
    ) -> None:
        """Grants a slice before its assignment is read back, during a log outage.

        The promise of the heir ensures that no other granter assigns the slice.
        """
        if not authority.is_log_stale or not authority.is_promised:
            return
        if pending.server in usable:
            self._set_holder(self._leases[pending.server], current, pending.fence)
            self._next_broadcast_ms = 0.0
        else:
            del self._pending[current.start]

    def _count_slices(self) -> dict[str, int]:
        """Returns the number of recorded and pending slices of each server."""
        counts = dict(self._table.count_by_server())
        for start, pending in self._pending.items():
            counts[pending.server] = counts.get(pending.server, 0) + 1
        return counts

    def _choose_server(
        self, current: Slice, usable: set[str], counts: Mapping[str, int]
    ) -> str:
        """Returns the server to assign a slice to; "" when there is none.

        The target of a move or the recorded owner comes first, then the server with
        the fewest slices; ties are broken by rendezvous hashing.
        """
        preferred = self._preferred_server(current)
        if preferred in usable:
            return preferred
        if not usable:
            return ""
        ranked = rank_candidates(f"{self._service}:{current.start}", usable)
        return min(ranked, key=lambda server: counts.get(server, 0))

    def _preferred_server(self, current: Slice) -> str:
        """Returns the server that gets a slice if it is usable."""
        return self._moving.get(current.start, current.server)

    def _append_assignment(self, placements: list[Placement]) -> None:
        term, seq = self._next_seq()
        token = self._append(Assign(self._group, term, seq, tuple(placements)))
        fence = make_fence(term, seq)
        for placement in placements:
            pending = PendingAssignment(token, placement.server, fence)
            self._pending[placement.start] = pending

    def _next_seq(self) -> tuple[int, int]:
        granter_term = self._granter_term()
        self._seq = max(self._seq, granter_term.seq) + 1
        return granter_term.term, self._seq

    # Moves

    def _slices_to_evacuate(self) -> list[int]:
        """Returns the slices of servers that must not own any, highest load first."""
        starts = [
            start
            for start, holder in self._holders.items()
            if not self._may_own(holder) and self._is_steady(start)
        ]
        return sorted(starts, key=lambda start: (-self._loads.get(start, 0.0), start))

    def _begin_moves(self, now_ms: float, leaving: list[int], usable: set[str]) -> None:
        """Revokes slices that have to move, `MAX_CONCURRENT_MOVES` at a time.

        Slices of servers that must not own any come first, then the planned moves.
        """
        for start in leaving:
            if len(self._moving) >= MAX_CONCURRENT_MOVES:
                return
            self._revoke_slice(start, "")
        planned, self._plan = self._plan, []
        for start, target in planned:
            if len(self._moving) >= MAX_CONCURRENT_MOVES or target not in usable:
                self._plan.append((start, target))
            elif self._is_movable(start, target):
                self._moved_ms[start] = now_ms
                self._revoke_slice(start, target)
        self._plan = [move for move in self._plan if self._is_movable(*move)]

    def _is_movable(self, start: int, target: str) -> bool:
        holder = self._holders.get(start)
        if holder is None or holder == target or not self._may_own(target):
            return False
        return start not in self._pending and not self._is_reshaping(start)

    def _revoke_slice(self, start: int, target: str) -> None:
        """Revokes a slice from its holder.

        Args:
            start: First hash of the slice.
            target: Server that gets the slice next; "" for any.
        """
        lease = self._leases[self._holders.pop(start)]
        self._min_fences[start] = lease.slices[start].fence + 1
        lease.remove_slice(start)
        self._moving[start] = target

    def split(self, start: int, new_starts: tuple[int, ...]) -> None:
        """Appends a record that splits a slice; ignored for an unsteady slice.

        Args:
            start: First hash of the slice.
            new_starts: First hashes of the new slices, ascending.
        """
        if self._is_steady(start):
            term, seq = self._next_seq()
            token = self._append(Split(self._group, term, seq, start, new_starts))
            self._reshaping[token] = frozenset((start,))

    def merge(self, start: int) -> None:
        """Appends a record that merges a slice into the one before it.

        Ignored unless both slices are steady and have the same holder.
        """
        found = self._slices_by_start.get(start)
        if found is None or start == 0:
            return
        before = self._table.find(start - 1)
        if not self._is_steady(start) or not self._is_steady(before.start):
            return
        if self._holders[start] != self._holders[before.start]:
            return
        term, seq = self._next_seq()
        token = self._append(Merge(self._group, term, seq, start))
        self._reshaping[token] = frozenset((start, before.start))
        self._merging.add(token)

    def _is_steady(self, start: int) -> bool:
        """Tells whether the holder of a slice is recorded and no change is pending."""
        current = self._slices_by_start.get(start)
        if current is None or start in self._pending or self._is_reshaping(start):
            return False
        return current.server == self._holders.get(start)

    def _is_reshaping(self, start: int) -> bool:
        """Tells whether a split or merge of a slice has not been read back."""
        return any(start in starts for starts in self._reshaping.values())

    # Messages

    def _open_leases(self) -> None:
        """Creates leases for servers that own slices or may get some.

        Removes idle leases of all other servers.
        """
        listed = [name for name in self._servers if self._may_own(name)]
        if len(listed) > MAX_SERVERS_PER_GROUP:
            listed = rank_candidates(self._group, listed)[:MAX_SERVERS_PER_GROUP]
        needed = {current.server for current in self._slices if current.server}
        needed.update(listed)
        for server in sorted(needed - set(self._leases)):
            self._leases[server] = ServerLease(
                server, self._timings, self._longest_lease_ms
            )
        self._close_idle_leases(needed)

    def _close_idle_leases(self, needed: set[str]) -> None:
        for server in set(self._leases) - needed:
            if self._leases[server].is_idle():
                del self._leases[server]

    def _send_grants(self, now_ms: float) -> list[Command]:
        term = self._granter_term().term
        return [
            SendGrant(server, lease.make_grant(self._group, term, now_ms), now_ms)
            for server, lease in self._leases.items()
            if self._needs_grant(lease, now_ms) and lease.is_due(now_ms)
        ]

    def _needs_grant(self, lease: ServerLease, now_ms: float) -> bool:
        return self._is_probing or bool(lease.slices or lease.releasing(now_ms))

    def provisional(self) -> tuple[FencedPlacement, ...]:
        """Returns the holders that are not recorded in the log yet."""
        found = []
        for start, holder in self._holders.items():
            fence = self._leases[holder].slices[start].fence
            current = self._slices_by_start.get(start)
            if current is not None and fence > current.fence:
                found.append(FencedPlacement(start, holder, fence))
        return tuple(found)

    def _broadcast_provisional(self, now_ms: float) -> list[Command]:
        if now_ms < self._next_broadcast_ms:
            return []
        self._next_broadcast_ms = now_ms + BROADCAST_INTERVAL_MS
        placements = self.provisional()
        if not placements:
            return []
        return [BroadcastPlacements(self._group, self._granter_term().term, placements)]

    def count_waiting(self) -> int:
        """Returns the number of slices without a holder."""
        return len(self._slices) - len(self._holders)

    def steady_slices(self, now_ms: float) -> list[Slice]:
        """Returns the slices that a plan may move.

        Their holders are recorded, and they were not moved within the last
        `MOVE_COOLDOWN_PLANS` plans.
        """
        cooldown_ms = MOVE_COOLDOWN_PLANS * self._timings.balance_ms
        self._moved_ms = {
            start: at_ms
            for start, at_ms in self._moved_ms.items()
            if now_ms - at_ms < cooldown_ms
        }
        return [
            current
            for current in self._slices
            if current.start not in self._moved_ms and self._is_steady(current.start)
        ]

    def eligible_servers(self) -> set[str]:
        """Returns the known servers that may own slices of this group."""
        return {server for server in self._leases if self._may_own(server)}

    def status(self, now_ms: float) -> tuple[ServerStatus, ...]:
        """Returns the leases of the servers in use for the status page."""
        return tuple(
            lease.status(now_ms)
            for _, lease in sorted(self._leases.items())
            if not lease.is_idle()
        )


def find_covering_fence(held: Iterable[GrantedSlice], current: Slice) -> int | None:
    """Returns the highest fence among granted slices that cover a slice.

    Returns:
        The fence; None if the granted slices do not cover the whole slice.
    """
    reached = current.start
    highest = 0
    for part in sorted(held):
        if part.end <= reached or part.start > reached:
            continue
        reached = part.end
        highest = max(highest, part.fence)
        if reached >= current.end:
            return highest
    return None


def find_zones_out(file: Mapping) -> set[str]:
    """Returns the availability zones that the operator file marks as out."""
    return {zone["name"] for zone in file.get("zones", []) if zone["state"] == "out"}
