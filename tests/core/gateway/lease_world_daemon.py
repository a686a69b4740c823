"""One process of a simulated daemon: its view of the site, and its granter role.

It uses the granter, its role, the fleet and the shared state of the product. The code
around them follows `service_stepper.py`, `granter_actor.py`, `log_reader.py`,
`shared_watcher.py`, `messenger.py` and `lease_call_queue.py` of `gateway/`; each method
names what it follows, and has to change with it.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING, Callable, NamedTuple

from skylarktrail.core.gateway.fleet import Fleet
from skylarktrail.core.gateway.granter import Granter
from skylarktrail.core.gateway.granter_role import GranterRole
from skylarktrail.core.gateway.lease_call_gate import LeaseCallGate
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
from skylarktrail.core.gateway.open_grants import OpenGrantReport
from skylarktrail.core.gateway.pending_write import PendingWrite
from skylarktrail.core.gateway.positions import era_of
from skylarktrail.core.gateway.ranges import OwnedRange, OwnerTable
from skylarktrail.core.gateway.role_vacancy import NEVER_MS
from skylarktrail.core.gateway.shared_state import (
    MEMBER_PREFIX,
    GranterRecord,
    Member,
    SharedState,
    encode_member,
)
from skylarktrail.gateway.candidacy import (
    CANDIDACY_INTERVAL_MS,
    CANDIDACY_POLL_MS,
    CANDIDACY_TTL_MS,
)
from skylarktrail.gateway.instance_watcher import FOLLOWER_POLL_MS
from skylarktrail.gateway.lease_call_queue import MAX_RUNNING_PER_LANE
from skylarktrail.gateway.log_reader import (
    BATCHING_PAUSE_MS,
    FOLLOWER_WAIT_MS,
    LONG_POLL_MS,
)
from skylarktrail.gateway.messenger import LISTING_FRESH_MS
from skylarktrail.gateway.service_stepper import (
    FIRST_LISTING_WAIT_MS,
    MERGE_INTERVAL_MS,
    REBALANCE_INTERVAL_MS,
)
from skylarktrail.gateway.shared_watcher import (
    STORE_LOST_FAILURES,
    TERM_CONFIRM_INTERVAL_MS,
)
from skylarktrail.gateway.store_monitor import (
    FAILURE_BACKOFF_MS,
    MAX_FAILURE_BACKOFF_MS,
)

from .lease_world_store import SNAPSHOT, TRIMMED, SharedRead

if TYPE_CHECKING:
    from .lease_world import LeaseWorld

TIMINGS = LeaseTimings()
SERVICE = "stock"
TICK_MS = 100.0
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
        timings: Durations of leases.
    """

    listing_interval_ms: float = 700.0
    listing_lag_ms: float = 5.0
    read_lag_ms: float = 5.0
    timings: LeaseTimings = TIMINGS


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
        role: Its granter role.
        connections: Process that accepted the kept connection to each address.
        stray_answers: Addresses whose kept connection has an unread answer.
    """

    def __init__(
        self,
        world: LeaseWorld,
        name: str,
        process: str,
        settings: DaemonSettings,
        is_first_start: bool,
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
        self._gate = LeaseCallGate()
        self.role = GranterRole(
            name,
            process,
            settings.timings,
            self.shared,
            self._gate,
            self,
            self.is_granter_alive,
            world.now_ms if is_first_start else None,
        )
        self.is_cut = False
        self._cut_repeated_ms = NEVER_MS
        self._offer_count = 0
        self._read_position = SNAPSHOT
        self._is_reading = False
        self._is_read_wanted = False
        self._read_failures = 0
        self._is_candidate = False
        self._listing_position = -1
        self._listing_sender = ""
        self._listing_received_ms = NEVER_MS
        self._is_writing = False
        self._queued_writes: deque[PendingWrite] = deque()
        self._next_rebalance_ms = 0.0
        self._next_merge_ms = 0.0
        self._calls = CallQueue()

    @property
    def is_granter(self) -> bool:
        """Returns whether it holds the role, by what it knows."""
        return self.role.is_granter

    @property
    def term(self) -> int:
        """Returns its term; 0 if it had none."""
        return self.role.term

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
        self._is_read_wanted = True
        if fault == TRIMMED:
            self._read_position = SNAPSHOT
            self.after(0.0, self._read_shared)
            return
        self._read_failures += 1
        is_granter = self.shared.granter.process == self.process
        if is_granter and self._read_failures >= STORE_LOST_FAILURES:
            self._offer_role()
        pause_ms = min(MAX_FAILURE_BACKOFF_MS, FAILURE_BACKOFF_MS * self._read_failures)
        self.after(pause_ms, self._read_shared)

    def _apply_read(self, read: SharedRead, position: int, started_ms: float) -> None:
        """Follows `LogReader._read` and `SharedWatcher._finish_read`."""
        if self._read_position == position:
            self._read_position = read.position
            era = era_of(read.position)
            self.shared.apply(read.records, read.is_snapshot, era)
        is_granter = self.shared.granter.process == self.process
        if is_granter and position != SNAPSHOT and read.records:
            self.world.broadcast(
                self,
                lambda peer: peer.receive_records(self.name, position, read),
            )
        if read.has_more:
            self._is_read_wanted = True
            self.after(0.0, self._read_shared)
            return
        self.role.handle_read(read.position, started_ms, self.world.now_ms)
        self._step()
        self._register_member()
        is_urgent = is_granter or self._is_candidate
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
            self.shared.apply(read.records, False, era_of(read.position))
            self.role.handle_broadcast(read.position, self.world.now_ms)
        elif read.position > self._read_position:
            self.trigger_read()

    def receive_owners(self, ranges: tuple[OwnedRange, ...], position: int) -> None:
        """Follows `SharedWatcher.apply_owner_changes`."""
        is_base_known = not self.shared.are_owners_uncertain(SERVICE)
        if self._read_position == position and is_base_known:
            self._read_position = position + 1
            self.shared.record_owners(SERVICE, OwnerTable(ranges))
            self.role.handle_broadcast(position + 1, self.world.now_ms)
        elif self._read_position <= position:
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
            return FOLLOWER_POLL_MS

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

    # What the granter's actor does around the role.

    def _tick(self) -> float:
        self._step()
        return TICK_MS

    def _step(self) -> None:
        """Follows `GranterActor._step`."""
        now_ms = self.world.now_ms
        if self.role.may_grant(now_ms):
            self._step_service(now_ms)
        self.role.step(now_ms)

    def _renew_candidacy(self) -> float:
        """Follows `CandidacyRenewer.run_once`."""
        if self.is_granter_alive() or self.is_cut:
            self._is_candidate = False
            return CANDIDACY_POLL_MS

        def complete(is_chosen: bool | None) -> None:
            if is_chosen is None:
                return
            self._is_candidate = is_chosen
            self.role.handle_candidacy(is_chosen, self.world.now_ms)
            self._step()

        self.world.renew_candidacy(self, CANDIDACY_TTL_MS, complete)
        return CANDIDACY_INTERVAL_MS

    def send_write(self, write: PendingWrite) -> None:
        """Sends a write, as the writer thread does."""
        self._queued_writes.append(write)
        self._run_writer()

    def _run_writer(self) -> None:
        """Sends one write at a time."""
        if self._is_writing or not self._queued_writes:
            return
        self._is_writing = True
        write = self._queued_writes.popleft()

        def complete(result: int | str) -> None:
            self._is_writing = False
            self._handle_write_completed(write, result)
            self._run_writer()

        self.world.append_to_store(
            self, write.key, write.value, write.expected_position, complete
        )

    def _handle_write_completed(self, write: PendingWrite, result: int | str) -> None:
        """Follows `GranterActor._handle_write_completed`."""
        now_ms = self.world.now_ms
        if isinstance(result, str):
            self.role.handle_write_failed(write, result == "conflict", now_ms)
        else:
            if write.ranges and write is self.role.pending_write:
                self._publish_owners(write)
            self.role.handle_write_applied(write, result, now_ms)
        self._step()

    def _publish_owners(self, write: PendingWrite) -> None:
        """Follows `GatewayService._publish_owners`."""
        self.receive_owners(write.ranges, write.expected_position)
        self.world.broadcast(
            self,
            lambda peer: peer.receive_owners(write.ranges, write.expected_position),
        )

    def request_read(self) -> None:
        """Lets the shared records be read at once."""
        self.trigger_read()

    def ask_former_granter(self, daemon: str, term: int) -> None:
        """Follows `Messenger.request_term_end` and `request_open_grants`."""
        timeout_ms = self.world.now_ms + TERM_END_TIMEOUT_MS

        def confirm(process: str, grants: list[OpenGrantReport]) -> None:
            now_ms = self.world.now_ms
            if now_ms > timeout_ms:
                return
            if self.role.handle_former_term_ended(daemon, term, now_ms, now_ms):
                self._log(f"{daemon} has ended its term")
            self.role.handle_open_grants(term, process, grants, now_ms)

        def ask(peer: DaemonProcess) -> None:
            grants = peer.receive_term_end_request(term)
            self.world.send_peer(
                peer, self.name, lambda _: confirm(peer.process, grants), self.process
            )

        self.world.send_peer(self, daemon, ask)

    def receive_term_end_request(self, term: int) -> list[OpenGrantReport]:
        """Stops grants of lower terms at once; returns the open ones."""
        self._gate.supersede(term)
        return list(self.role.list_open_grants(self.world.now_ms))

    def on_term_started(self, term: int, position: int) -> None:
        """Logs that a term has begun."""
        self._log(f"term {term} begins")

    def on_term_ended(self, term: int, successor: GranterRecord) -> None:
        """Logs that the term has ended."""
        self._log(f"term {term} ends, {successor.daemon} has {successor.term}")

    def on_owners_recorded(self, service: str, is_recorded: bool) -> None:
        """Logs the outcome of a write of owners."""
        self._log(f"owners are {'recorded' if is_recorded else 'not recorded'}")

    def on_record_replaced(self, key: str, term: int) -> None:
        """Logs that a record of the term is not valid any more, and is repeated."""
        self._log(f"the record {key} is replaced")

    def _step_service(self, at_ms: float) -> None:
        """Follows `ServiceStepper.step`."""
        granter = self.role.find_granter(SERVICE, at_ms)
        owners = self._list_keyed_instances(at_ms)
        if granter is None or not owners:
            return
        confirmed_ms = self.role.confirmed_ms
        actions = granter.step(owners, at_ms, confirmed_ms)
        self._plan_moves(granter, at_ms)
        actions += granter.step(owners, at_ms, confirmed_ms)
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
        if is_new_service and at_ms < self.role.started_ms + FIRST_LISTING_WAIT_MS:
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
            can_keep = can_keep and not instance.is_leaving
            can_receive = can_keep and not instance.is_suspended(at_ms)
            keyed[name] = KeyedInstance(
                name,
                entry.address,
                entry.start_ms,
                can_receive,
                1.0,
                can_keep,
                instance.is_leaving,
            )
        return keyed

    def _execute(self, action: GranterAction) -> None:
        """Follows `GranterActor._execute`."""
        now_ms = self.world.now_ms
        if isinstance(action, RecordOwners):
            self.role.record_owners(SERVICE, action.ranges, now_ms)
            return
        self.world.record_fence(action.fence, self.process)
        lane = (action.instance, type(action).__name__)
        term = self.term
        self._calls.submit(lane, lambda: self._begin_call(action, lane, term, now_ms))

    def _begin_call(
        self,
        call: GrantCall | ReleaseCall,
        lane: tuple[str, str],
        term: int,
        queued_ms: float,
    ) -> None:
        """Follows `send_call`: checks before the call is sent, in another thread.

        The process may be frozen between the check and the call.
        """

        def complete(outcome: str) -> None:
            self._calls.finish(lane)
            self._handle_call_completed(call, outcome)

        if not self._gate.allows(term, queued_ms, self.world.now_ms):
            self.after(0.0, lambda: complete("withheld"))
            return
        delay_ms = self.world.random.uniform(0.0, 2.0)
        self.after(delay_ms, lambda: self.world.send_call(self, call, complete))

    def _handle_call_completed(
        self, call: GrantCall | ReleaseCall, outcome: str
    ) -> None:
        """Follows `GranterActor._handle_call_completed`."""
        now_ms = self.world.now_ms
        if outcome != "done":
            self._log(
                f"{outcome}: {type(call).__name__} {call.first}-{call.last} "
                f"fence {self.world.name_fence(call.fence)} to {call.instance}"
            )
        granter = self.role.granters.get(SERVICE)
        if granter is None:
            return
        granter.handle_result(CallResult(call.call_id, outcome), now_ms)
        if outcome == "fenced":
            self.role.handle_fenced(now_ms)
        elif outcome in ("replaced", "refused", "unsent"):
            found = self.fleet.find(call.instance)
            if found is not None:
                found.suspend(now_ms)
        if granter.has_ungranted_ranges():
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
            self.role.handle_offer(term, self.world.now_ms)
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
