"""One process of a simulated daemon: its view of the site, and its granter role.

It uses the granter, the former granters, the fleet and the shared state of the product.
The code around them follows `gateway/granter_actor.py`, `gateway/watchers.py`,
`gateway/messenger.py` and `gateway/lease_call_queue.py`; each method names what it
follows, and has to change with it.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING, Callable, NamedTuple

from skylarktrail.core.gateway.fleet import Fleet
from skylarktrail.core.gateway.former_granters import FormerGranters
from skylarktrail.core.gateway.granter import Granter
from skylarktrail.core.gateway.lease_calls import (
    CallResult,
    GrantCall,
    GranterAction,
    KeyedInstance,
    LeaseTimings,
    RecordOwners,
    ReleaseCall,
)
from skylarktrail.core.gateway.model import InstanceEntry
from skylarktrail.core.gateway.ranges import OwnedRange, OwnerTable
from skylarktrail.core.gateway.shared_state import (
    GRANTER_KEY,
    MEMBER_PREFIX,
    OWNERS_PREFIX,
    GranterRecord,
    Member,
    SharedState,
    encode_granter,
    encode_member,
    encode_owners,
)

from .lease_world_store import SNAPSHOT, TRIMMED, SharedRead

if TYPE_CHECKING:
    from .lease_world import LeaseWorld

TIMINGS = LeaseTimings()
SERVICE = "stock"
NEVER_MS = -1e18

# The constants of gateway/granter_actor.py.
TICK_MS = 100.0
REBALANCE_INTERVAL_MS = 1000.0
MERGE_INTERVAL_MS = 3000.0
WRITE_RETRY_MS = 200.0
MAX_GRANT_DELIVERY_MS = 1000.0
CANDIDACY_VALID_MS = 1500.0
SUCCESSOR_GRACE_MS = 2000.0
ROLE_OFFER_VALID_MS = 1000.0
FIRST_LISTING_WAIT_MS = 2500.0
# The constants of gateway/lease_call_queue.py, gateway/watchers.py,
# gateway/messenger.py and gateway/reach_monitor.py.
MAX_RUNNING_PER_LANE = 3
LONG_POLL_MS = 2000.0
FOLLOWER_WAIT_MS = 300.0
BATCHING_PAUSE_MS = 400.0
TERM_CONFIRM_INTERVAL_MS = 1000.0
FAILURE_BACKOFF_MS = 250.0
MAX_FAILURE_BACKOFF_MS = 1500.0
STORE_LOST_FAILURES = 2
CANDIDACY_INTERVAL_MS = 600.0
CANDIDACY_TTL_MS = 1500.0
LISTING_FRESH_MS = 1300.0
TERM_END_TIMEOUT_MS = 3000.0
CUT_REPEAT_MS = 500.0
# Requests of callers show this often which instances a daemon reaches.
TRAFFIC_INTERVAL_MS = 250.0


class DaemonSettings(NamedTuple):
    """Delays of one daemon, which differ between the daemons.

    Attributes:
        listing_interval_ms: How often it reads the listing of instances.
        listing_lag_ms: Age of a listing when it is applied.
        read_lag_ms: Age of a read of the shared records when it is applied.
    """

    listing_interval_ms: float = 700.0
    listing_lag_ms: float = 5.0
    read_lag_ms: float = 5.0


class PendingWrite:
    """A write whose outcome is not known; follows `granter_messages.PendingWrite`."""

    def __init__(
        self, key: str, value: bytes, ranges: tuple[OwnedRange, ...] = ()
    ) -> None:
        self.key = key
        self.value = value
        self.ranges = ranges
        self.expected_position = -1
        self.is_sent = False
        self.retry_at_ms = 0.0


class CallQueue:
    """Limits the running calls per instance and kind; follows `LeaseCallQueue`."""

    def __init__(self) -> None:
        self._running: dict[tuple[str, str], int] = {}
        self._waiting: dict[tuple[str, str], deque[Callable[[], None]]] = {}

    def submit(self, lane: tuple[str, str], task: Callable[[], None]) -> None:
        """Runs a task as soon as the limit of its lane allows."""
        if self._running.get(lane, 0) >= MAX_RUNNING_PER_LANE:
            self._waiting.setdefault(lane, deque()).append(task)
            return
        self._running[lane] = self._running.get(lane, 0) + 1
        task()

    def finish(self, lane: tuple[str, str]) -> None:
        """Handles the end of a task, and runs the next one of its lane."""
        waiting = self._waiting.get(lane)
        if waiting:
            waiting.popleft()()
            return
        self._running[lane] -= 1


class DaemonProcess:
    """One process of a daemon.

    Attributes:
        name: Name of the daemon.
        process: Identifier of the process.
        settings: Its delays.
        ended_ms: When it was killed; infinite while it runs.
        frozen_until_ms: Until when it runs nothing.
        thawed_ms: When it was thawed last.
        is_granter: Whether it holds the role, by what it knows.
        term: Its term.
        connections: Process that accepted the kept connection to each address.
        stray_answers: Addresses whose kept connection has an unread answer.
    """

    def __init__(
        self, world: LeaseWorld, name: str, process: str, settings: DaemonSettings
    ) -> None:
        self.world = world
        self.name = name
        self.process = process
        self.settings = settings
        self.ended_ms = math.inf
        self.frozen_until_ms = NEVER_MS
        self.thawed_ms = NEVER_MS
        self.connections: dict[str, object] = {}
        self.stray_answers: set[str] = set()
        self.shared = SharedState()
        self.fleet = Fleet()
        self.is_granter = False
        self.term = 0
        self.granter: Granter | None = None
        self.is_cut = False
        self._cut_repeated_ms = NEVER_MS
        self._former = FormerGranters(TIMINGS.authority_ms)
        self._superseding_term = 0
        self._term_confirmed_ms = NEVER_MS
        self._fenced_at_ms = NEVER_MS
        self._term_started_ms = NEVER_MS
        self._succeeded_at_ms = NEVER_MS
        self._known_term: int | None = None
        self._candidate_at_ms = NEVER_MS
        self._offer = (0, NEVER_MS)
        self._offer_count = 0
        self._position = SNAPSHOT
        self._read_position = SNAPSHOT
        self._is_reading = False
        self._is_read_wanted = False
        self._read_failures = 0
        self._listing_position = -1
        self._listing_sender = ""
        self._listing_received_ms = NEVER_MS
        self._writes: list[PendingWrite] = []
        self._granter_count = 0
        self._is_writing = False
        self._queued_writes: deque[PendingWrite] = deque()
        self._next_rebalance_ms = 0.0
        self._next_merge_ms = 0.0
        self._calls = CallQueue()

    def start(self) -> None:
        """Starts its periodic tasks."""
        uniform = self.world.random.uniform
        self._repeat(self._tick, uniform(0, TICK_MS))
        self._repeat(self._read_listing, 0.0)
        self._repeat(self._renew_candidacy, uniform(0, CANDIDACY_INTERVAL_MS))
        self._repeat(self._observe_traffic, uniform(0, TRAFFIC_INTERVAL_MS))
        self.after(0.0, self._read_shared)

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Runs an action later, unless the process ends; a freeze defers it."""

        def run() -> None:
            if self.ended_ms < math.inf:
                return
            left_ms = self.frozen_until_ms - self.world.now_ms
            if left_ms > 0:
                self.world.schedule(left_ms, run)
                return
            action()

        self.world.schedule(delay_ms, run)

    def freeze(self, duration_ms: float) -> None:
        """Stops the process for a time."""
        self.frozen_until_ms = self.world.now_ms + duration_ms
        self.thawed_ms = self.frozen_until_ms

    def _repeat(self, task: Callable[[], float], delay_ms: float) -> None:
        """Runs a task again and again; it returns the time until its next run."""

        def run() -> None:
            self.after(task(), run)

        self.after(delay_ms, run)

    def _log(self, text: str) -> None:
        self.world.log(f"{self.name}/{self.process}: {text}")

    # Reads, as in watchers.LogReader and watchers.SharedWatcher.

    def _read_shared(self) -> None:
        """Follows `run_once` of both classes."""
        if self._is_reading:
            return
        if self.shared.granter.process == self.process:
            wait_ms = 0.0 if self._is_read_wanted else TERM_CONFIRM_INTERVAL_MS
            self._begin_read_after(wait_ms)
        elif self._read_position != SNAPSHOT and self.is_granter_alive():
            if self._is_read_wanted:
                self._begin_read(0.0)
            else:
                self.after(FOLLOWER_WAIT_MS, self._read_shared)
        else:
            self._begin_read(0.0 if self._read_failures else LONG_POLL_MS)

    def _begin_read_after(self, wait_ms: float) -> None:
        if wait_ms == 0.0:
            self._begin_read(0.0)
            return
        due_ms = self.world.now_ms + wait_ms

        def check() -> None:
            if self._is_reading:
                return
            if self._is_read_wanted or self.world.now_ms >= due_ms:
                self._begin_read(0.0)
            else:
                self.after(50.0, check)

        self.after(50.0, check)

    def trigger_read(self) -> None:
        """Follows `SharedWatcher.trigger_read`."""
        self._is_read_wanted = True

    def _begin_read(self, wait_ms: float) -> None:
        self._is_reading = True
        self._is_read_wanted = False
        started_ms = self.world.now_ms
        position = self._read_position

        def complete(read: SharedRead | str | None) -> None:
            self._is_reading = False
            if isinstance(read, SharedRead):
                self._read_failures = 0
                self._apply_read(read, position, started_ms)
            else:
                self._handle_read_failure(read)

        self.world.read_store(self, position, wait_ms, complete)

    def _handle_read_failure(self, fault: str | None) -> None:
        """Follows `_record_read_result` of both classes."""
        self._read_failures += 1
        if fault == TRIMMED:
            self._read_position = SNAPSHOT
        self._is_read_wanted = True
        is_granter = self.shared.granter.process == self.process
        if is_granter and self._read_failures >= STORE_LOST_FAILURES:
            self._offer_role()
        pause_ms = min(MAX_FAILURE_BACKOFF_MS, FAILURE_BACKOFF_MS * self._read_failures)
        self.after(pause_ms, self._read_shared)

    def _apply_read(self, read: SharedRead, position: int, started_ms: float) -> None:
        """Follows `LogReader._read` and `SharedWatcher._finish_read`."""
        if self._read_position == position:
            self._read_position = read.position
            self.shared.apply(read.records, read.is_snapshot)
        is_granter = self.shared.granter.process == self.process
        if is_granter and position != SNAPSHOT and read.records:
            self.world.broadcast(
                self,
                lambda peer: peer.receive_records(self.name, position, read),
            )
        self._handle_shared_read(read.position, started_ms)
        self._register_member()
        is_urgent = is_granter or self._is_candidate()
        pause_ms = BATCHING_PAUSE_MS if read.records and not is_urgent else 0.0
        self.after(pause_ms, self._read_shared)

    def _register_member(self) -> None:
        member = Member(self.process, self.name)
        if self.shared.members.get(self.name) != member:
            key = MEMBER_PREFIX + self.name
            self.world.append_to_store(
                self, key, encode_member(member), None, lambda result: None
            )

    def receive_records(self, daemon: str, base: int, read: SharedRead) -> None:
        """Follows `Messenger._handle_message` and `LogReader.apply_broadcast`."""
        if daemon != self.shared.granter.daemon:
            return
        if self._read_position == base:
            self._read_position = read.position
            self.shared.apply(read.records, False)
        elif read.position > self._read_position:
            self.trigger_read()

    def receive_owners(self, ranges: tuple[OwnedRange, ...], position: int) -> None:
        """Follows `SharedWatcher.apply_owner_changes`."""
        if self._read_position == position:
            self._read_position = position + 1
            self.shared.owners[SERVICE] = OwnerTable(ranges)
        elif self._read_position < position:
            self.trigger_read()

    # Listings, as in watchers.InstanceWatcher and messenger.Messenger.

    def is_granter_alive(self) -> bool:
        """Returns whether the current granter has sent a listing recently."""
        is_same = self._listing_sender == self.shared.granter.daemon
        age_ms = self.world.now_ms - self._listing_received_ms
        return is_same and age_ms < LISTING_FRESH_MS

    def _read_listing(self) -> float:
        is_granter = self.shared.granter.process == self.process
        if not is_granter and self.is_granter_alive():
            return 100.0

        def complete(read: tuple[list[InstanceEntry], int] | None) -> None:
            if read is None:
                self.fleet.record_store_outage(self.world.now_ms)
                return
            entries, position = read
            self._apply_listing(entries, position)
            if self.shared.granter.process == self.process:
                self.world.broadcast(
                    self,
                    lambda peer: peer.receive_listing(self.name, entries, position),
                )

        self.world.read_listing(self, complete)
        return self.settings.listing_interval_ms

    def _apply_listing(self, entries: list[InstanceEntry], position: int) -> None:
        """Follows `SiteState.apply_listing`."""
        if position < self._listing_position:
            return
        self._listing_position = position
        for change in self.fleet.merge(entries, self.world.now_ms):
            if self.is_granter:
                self._log(f"lists {change.instance} as {change.change}")

    def receive_listing(
        self, daemon: str, entries: list[InstanceEntry], position: int
    ) -> None:
        """Follows `Messenger._handle_listing`."""
        if daemon != self.shared.granter.daemon:
            return
        self._listing_sender = daemon
        self._listing_received_ms = self.world.now_ms
        if self.world.now_ms >= self.world.listing_held_until_ms.get(self.name, 0.0):
            self._apply_listing(entries, position)

    # The granter role, as in granter_actor.GranterActor.

    def _tick(self) -> float:
        self._step()
        return TICK_MS

    def _step(self) -> None:
        at_ms = self.world.now_ms
        if self.is_granter:
            if self._may_grant(at_ms):
                self._step_service(at_ms)
        elif self._may_claim_role():
            self._claim_role()
        self._send_write()

    def _may_grant(self, at_ms: float) -> bool:
        is_confirmed = at_ms - self._term_confirmed_ms <= TIMINGS.authority_ms
        is_fenced = self._term_confirmed_ms <= self._fenced_at_ms
        is_superseded = self._superseding_term > self.term
        return is_confirmed and not is_fenced and not is_superseded

    def _is_candidate(self) -> bool:
        return self.world.now_ms - self._candidate_at_ms <= CANDIDACY_VALID_MS

    def _may_claim_role(self) -> bool:
        is_new = self.world.now_ms - self._succeeded_at_ms <= SUCCESSOR_GRACE_MS
        if not self._is_candidate() or is_new or self._position < 0 or self._writes:
            return False
        return not self.is_granter_alive()

    def _claim_role(self) -> None:
        record = GranterRecord(self.name, self.process, self.shared.granter.term + 1)
        self._writes.append(PendingWrite(GRANTER_KEY, encode_granter(record)))

    def _renew_candidacy(self) -> float:
        """Follows `CandidacyRenewer.run_once`."""
        if self.is_granter_alive() or self.is_cut:
            return CANDIDACY_INTERVAL_MS

        def complete(is_chosen: bool | None) -> None:
            if is_chosen is None:
                return
            self._candidate_at_ms = self.world.now_ms if is_chosen else NEVER_MS
            self._step()

        self.world.renew_candidacy(self, CANDIDACY_TTL_MS, complete)
        return CANDIDACY_INTERVAL_MS

    def _handle_shared_read(self, position: int, started_ms: float) -> None:
        now_ms = self.world.now_ms
        self._position = max(self._position, position)
        self._term_confirmed_ms = max(self._term_confirmed_ms, started_ms)
        granter = self.shared.granter
        self._record_successor(granter)
        self._former.observe(granter, now_ms)
        is_own_record = granter.process == self.process
        if self.is_granter and (not is_own_record or granter.term != self.term):
            self._end_term(granter)
        self._resolve_pending_write()
        if self.is_granter:
            self._shorten_former_authority()
        if is_own_record and not self.is_granter:
            self._start_term(granter.term)
        if self._may_accept_offer(started_ms):
            self._offer = (0, NEVER_MS)
            self._claim_role()
        self._step()

    def _may_accept_offer(self, started_ms: float) -> bool:
        if self.is_granter or self._writes:
            return False
        term, at_ms = self._offer
        is_after = started_ms >= at_ms >= self.world.now_ms - ROLE_OFFER_VALID_MS
        return is_after and term == self.shared.granter.term

    def _record_successor(self, granter: GranterRecord) -> None:
        known, self._known_term = self._known_term, granter.term
        is_new_term = known is not None and granter.term > known
        if is_new_term and granter.process != self.process:
            self._succeeded_at_ms = self.world.now_ms

    def _resolve_pending_write(self) -> None:
        if not self._writes or not self._writes[0].is_sent:
            return
        write = self._writes[0]
        if self._position <= write.expected_position or write.retry_at_ms == 0.0:
            return
        self._complete_write(write, self._read_value(write) == write.value)

    def _read_value(self, write: PendingWrite) -> bytes:
        if write.key == GRANTER_KEY:
            return encode_granter(self.shared.granter)
        table = self.shared.owners.get(SERVICE)
        return encode_owners(table.ranges) if table else b""

    def _start_term(self, term: int) -> None:
        now_ms = self.world.now_ms
        self.term = term
        self._term_started_ms = now_ms
        self.is_granter = True
        self._former.observe(GranterRecord(self.name, self.process, term), now_ms)
        for daemon in self._former.daemons_to_ask(self.name):
            self._request_term_end(daemon, term)
        self.granter = None
        self._log(f"term {term} begins")
        self._step()

    def _request_term_end(self, daemon: str, term: int) -> None:
        """Follows `Messenger.request_term_end`."""
        timeout_ms = self.world.now_ms + TERM_END_TIMEOUT_MS

        def confirm() -> None:
            is_current = self.is_granter and self.term == term
            if is_current and self.world.now_ms <= timeout_ms:
                self._former.record_end(
                    daemon, self.world.now_ms + MAX_GRANT_DELIVERY_MS
                )
                self._log(f"{daemon} has ended its term")
                self._shorten_former_authority()

        def ask(peer: DaemonProcess) -> None:
            peer.receive_term_end_request(term)
            self.world.send_peer(peer, self.name, lambda _: confirm(), self.process)

        self.world.send_peer(self, daemon, ask)

    def receive_term_end_request(self, term: int) -> None:
        """Stops grants of lower terms at once."""
        self._superseding_term = max(self._superseding_term, term)

    def _shorten_former_authority(self) -> None:
        processes = {name: item.process for name, item in self.shared.members.items()}
        self._former.update_processes(processes, self.world.now_ms)
        end_ms = self._former.authority_end_ms(self.name)
        if self.granter is not None:
            self.granter.shorten_former_authority(end_ms)

    def _end_term(self, granter: GranterRecord) -> None:
        self.is_granter = False
        self.granter = None
        self._writes = []
        self._log(f"term {self.term} ends, {granter.daemon} has term {granter.term}")

    def _send_write(self) -> None:
        if not self._writes or self._position < 0:
            return
        write = self._writes[0]
        is_waiting = not write.retry_at_ms or self.world.now_ms < write.retry_at_ms
        if write.is_sent and is_waiting:
            return
        if not write.is_sent:
            write.expected_position = self._position
        write.is_sent = True
        write.retry_at_ms = 0.0
        self._queued_writes.append(write)
        self._run_writer()

    def _run_writer(self) -> None:
        """Sends one write at a time, as the writer thread does."""
        if self._is_writing or not self._queued_writes:
            return
        self._is_writing = True
        write = self._queued_writes.popleft()

        def complete(result: int | str) -> None:
            self._is_writing = False
            self._handle_write_completed(result)
            self._run_writer()

        self.world.append_to_store(
            self, write.key, write.value, write.expected_position, complete
        )

    def _handle_write_completed(self, result: int | str) -> None:
        if not self._writes:
            return
        write = self._writes[0]
        if isinstance(result, int):
            self._position = max(self._position, result)
            if write.ranges:
                self.receive_owners(write.ranges, write.expected_position)
                self.world.broadcast(
                    self,
                    lambda peer: peer.receive_owners(
                        write.ranges, write.expected_position
                    ),
                )
            self._complete_write(write, True)
            return
        write.retry_at_ms = self.world.now_ms + WRITE_RETRY_MS
        if result == "conflict":
            self._resolve_pending_write()

    def _complete_write(self, write: PendingWrite, is_applied: bool) -> None:
        self._writes = [item for item in self._writes if item is not write]
        if write.key == GRANTER_KEY:
            if is_applied and not self.is_granter:
                self._start_term(self.shared_term_of(write))
            return
        if self.granter is not None:
            self.granter.handle_recorded(is_applied)
        self._step()

    @staticmethod
    def shared_term_of(write: PendingWrite) -> int:
        """Returns the term of a claim."""
        state = SharedState()
        state.apply([(GRANTER_KEY, write.value)], False)
        return state.granter.term

    def _step_service(self, at_ms: float) -> None:
        if self.granter is None:
            recorded = self.shared.owners.get(SERVICE, OwnerTable())
            end_ms = self._former.authority_end_ms(self.name)
            self.granter = Granter(TIMINGS, self.term, recorded, end_ms)
            self._granter_count += 1
            self._log(
                f"granting begins, {len(recorded.ranges)} ranges, "
                f"former authority left {end_ms - at_ms:.0f} ms"
            )
        granter = self.granter
        owners = self._list_keyed_instances(at_ms)
        if not owners:
            return
        addresses = {i.entry.address: n for n, i in self.fleet.instances.items()}
        actions = granter.step(owners, at_ms, addresses)
        self._plan_moves(granter, at_ms)
        actions += granter.step(owners, at_ms, addresses)
        for lost in granter.pop_lost_ranges():
            self._log(
                f"{lost.first}-{lost.last} left {lost.owner}: {lost.reason}"
                + (", call pending" if lost.is_call_pending else "")
                + (", grant unanswered" if lost.is_grant_unanswered else "")
            )
        for action in actions:
            self._execute(action)

    def _plan_moves(self, granter: Granter, at_ms: float) -> None:
        is_new_service = SERVICE not in self.shared.owners
        if is_new_service and at_ms < self._term_started_ms + FIRST_LISTING_WAIT_MS:
            return
        is_rebalance_due = at_ms >= self._next_rebalance_ms
        if not is_rebalance_due and not granter.has_unassigned_hashes():
            return
        if is_rebalance_due:
            self._next_rebalance_ms = at_ms + REBALANCE_INTERVAL_MS
        for move in granter.rebalance(self.world.distribution, is_rebalance_due):
            self._log(f"plans {move.first}-{move.last} for {move.owner}")
        if at_ms >= self._next_merge_ms:
            self._next_merge_ms = at_ms + MERGE_INTERVAL_MS
            granter.merge_adjacent_ranges(at_ms)

    def _list_keyed_instances(self, at_ms: float) -> dict[str, KeyedInstance]:
        """Follows `_list_keyed_instances` and `_may_keep_ranges`."""
        keyed = {}
        for name, instance in self.fleet.instances.items():
            entry = instance.entry
            can_keep = self.is_cut or not instance.is_unreachable(at_ms)
            can_keep = can_keep and not entry.is_draining
            can_receive = can_keep and not instance.is_suspended(at_ms)
            keyed[name] = KeyedInstance(
                name, entry.address, entry.start_ms, can_receive, 1.0, can_keep
            )
        return keyed

    def _execute(self, action: GranterAction) -> None:
        if isinstance(action, RecordOwners):
            key = OWNERS_PREFIX + SERVICE
            self._writes.append(
                PendingWrite(key, encode_owners(action.ranges), action.ranges)
            )
            self._send_write()
            return
        issuer = f"{self.process}, granter {self._granter_count}"
        self.world.record_fence(action.fence, issuer)
        lane = (action.instance, type(action).__name__)
        term = self.term
        self._calls.submit(lane, lambda: self._begin_call(action, lane, term))

    def _begin_call(
        self, call: GrantCall | ReleaseCall, lane: tuple[str, str], term: int
    ) -> None:
        """Follows `send_call`: checks before the call is sent, in another thread.

        The process may be frozen between the check and the call.
        """

        def complete(outcome: str) -> None:
            self._calls.finish(lane)
            self._handle_call_completed(call, outcome)

        if self._superseding_term > term:
            self.after(0.0, lambda: complete("unsent"))
            return
        delay_ms = self.world.random.uniform(0.0, 2.0)
        self.after(delay_ms, lambda: self.world.send_call(self, call, complete))

    def _handle_call_completed(
        self, call: GrantCall | ReleaseCall, outcome: str
    ) -> None:
        now_ms = self.world.now_ms
        if outcome != "done":
            self._log(
                f"{outcome}: {type(call).__name__} {call.first}-{call.last} "
                f"fence {self.world.name_fence(call.fence)} to {call.instance}"
            )
        if self.granter is None:
            return
        self.granter.handle_result(CallResult(call.call_id, outcome), now_ms)
        if outcome == "fenced":
            self._fenced_at_ms = now_ms
        elif outcome in ("refused", "unsent"):
            found = self.fleet.find(call.instance)
            if found is not None:
                found.suspend(now_ms)
        if self.granter.has_ungranted_ranges():
            self._step()

    # Offers of the role, as in role_transfer.RoleTransfer and service.GatewayService.

    def _offer_role(self) -> None:
        names = [name for name in sorted(self.world.daemons) if name != self.name]
        if not names:
            return
        name = names[self._offer_count % len(names)]
        self._offer_count += 1
        term = self.shared.granter.term
        self._log(f"offers the role to {name}")
        self.world.send_peer(self, name, lambda peer: peer.receive_offer(self, term))

    def receive_offer(self, sender: DaemonProcess, term: int) -> None:
        """Follows `GatewayService._on_role_offer`."""
        granter = self.shared.granter
        if term == granter.term and sender.name == granter.daemon and not self.is_cut:
            self._offer = (term, self.world.now_ms)
            self.trigger_read()

    # Requests of callers, which show whether instances are reached.

    def _observe_traffic(self) -> float:
        """Stands for the requests of callers and for `reach_monitor.ReachMonitor`."""
        now_ms = self.world.now_ms
        is_reached = {
            name: self.world.can_connect(self, instance.entry.address)
            for name, instance in self.fleet.instances.items()
        }
        is_cut = len(is_reached) >= 2 and not any(is_reached.values())
        if is_cut != self.is_cut:
            self.is_cut = is_cut
            for instance in self.fleet.instances.values():
                instance.end_suspension()
        for name, instance in self.fleet.instances.items():
            if is_reached[name]:
                instance.record_success(1.0)
            elif not is_cut and not instance.is_suspended(now_ms):
                instance.suspend(now_ms)
        is_granter = self.shared.granter.process == self.process
        if is_cut and is_granter and now_ms - self._cut_repeated_ms >= CUT_REPEAT_MS:
            self._cut_repeated_ms = now_ms
            self._offer_role()
        return TRAFFIC_INTERVAL_MS
