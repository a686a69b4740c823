"""The actor that owns the state of the site and runs the ownership core."""

from __future__ import annotations

from typing import Any, Callable, NamedTuple, TypeVar

import pykka

from ..core.checkpoints import (
    CheckpointSchedule,
    LogWindow,
    Retention,
    make_checkpoint,
)
from ..core.follower import AppliedRecord, LogFollower
from ..core.hashing import key_from_text
from ..core.membership import Membership
from ..core.ownership import Identity, Ownership, OwnershipStatus
from ..core.ownership import messages as core_messages
from ..core.records import Checkpoint, Envelope, Leave, Record
from ..core.state import Member, State, service_of
from ..errors import Fault
from ..errors import log as log_codes
from ..errors import platform as platform_codes
from ..errors.code import Code
from ..peer import messages as peer
from ..providers.interface import Vm
from ..providers.record_codec import encode
from .clock import now_ms
from .loads import LoadMeters
from .messages import (
    AppendRecord,
    DrainRequested,
    GrantCompleted,
    GrantRequested,
    InstanceAgesRequested,
    KeyExplanationRequested,
    LogReadFailed,
    LogReadSucceeded,
    PeerAlive,
    PeerMessageReceived,
    PeerSendRequested,
    PromiseReceived,
    PromiseRequested,
    RecordFolded,
    SetPeerAddresses,
    SetReadOffset,
    SnapshotReceived,
    SnapshotRequested,
    StatusRequested,
    VmListRead,
)
from .metrics import Metrics
from .publisher import Publisher
from .status import KeyExplanation, LogStatus, MemberStatus, StatusSnapshot
from .status_collector import ChangeLog, Readiness
from .summaries import (
    explain_key,
    summarize_groups,
    summarize_servers,
    summarize_zones,
)
from .ticker import Tick

PEER_SILENCE_LIMIT_MS = 2_000
LOAD_REPORT_PERIOD_MS = 5_000
AGES_REQUEST_INTERVAL_MS = 500
AGES_WAIT_LIMIT_MS = 3_000
HandlerT = TypeVar("HandlerT", bound=Callable[..., Any])
_MESSAGE_HANDLERS: dict[type, Callable[..., None]] = {}
_COMMAND_HANDLERS: dict[type, Callable[..., None]] = {}


def handles_message(cls: type) -> Callable[[HandlerT], HandlerT]:
    """Registers the handler of a type of message."""

    def register(method: HandlerT) -> HandlerT:
        _MESSAGE_HANDLERS[cls] = method
        return method

    return register


def handles_command(cls: type) -> Callable[[HandlerT], HandlerT]:
    """Registers the handler of a type of command of the ownership core."""

    def register(method: HandlerT) -> HandlerT:
        _COMMAND_HANDLERS[cls] = method
        return method

    return register


class ControllerActors(NamedTuple):
    """The actors to which the controller sends messages.

    Attributes:
        reader: Reads the log.
        writer: Appends to the log.
        grants: Sends grants to servers.
        peers: Sends messages to other daemons.
    """

    reader: pykka.ActorRef
    writer: pykka.ActorRef
    grants: pykka.ActorRef
    peers: pykka.ActorRef


class Controller(pykka.ThreadingActor):
    """Folds the log, passes events to the ownership core and runs its commands.

    Args:
        identity: This daemon process.
        peer_address: `host:port` of the peer socket.
        state: State of the site; only this actor changes it.
        ownership: The ownership core, which reads the same state.
        retention: How long the platform retains records.
        publisher: Publishes changes to the callers' threads.
        loads: Measures the load of the keyed services.
        readiness: Updated when a file is in force or the name was taken over.
        changes: Records each change of state.
        metrics: Counts records and grants.
    """

    use_daemon_thread = True

    def __init__(
        self,
        identity: Identity,
        peer_address: str,
        state: State,
        ownership: Ownership,
        retention: Retention,
        publisher: Publisher,
        loads: LoadMeters,
        readiness: Readiness,
        changes: ChangeLog,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._identity = identity
        self._state = state
        self._publisher = publisher
        self._membership = Membership(
            identity.daemon, identity.incarnation, identity.zone, peer_address
        )
        self._ownership = ownership
        self._loads = loads
        self._next_load_report_ms = now_ms() + LOAD_REPORT_PERIOD_MS
        self._next_ages_request_ms = 0.0
        self._ages_requested_since_ms: float | None = None
        self._readiness = readiness
        self._changes = changes
        self._metrics = metrics
        self._actors: ControllerActors | None = None
        self._follower = LogFollower(state)
        self._checkpoints = CheckpointSchedule(identity.daemon, retention, now_ms())
        self._last_checkpoint_offset = 0
        self._revision = 0
        self._is_history_lost = False
        self._last_seq = 0
        self._append_tokens: dict[int, int] = {}
        self._addresses: dict[str, str] = {}
        self._vms: list[Vm] = []
        self._last_heard_ms: dict[str, float] = {}
        self._promise_replies: dict[int, Callable[[peer.Message], Any]] = {}
        self._last_ask_id = 0
        self._folded_seq = 0
        self._recorded_terms: dict[str, int] = {}
        self._is_log_down = False
        self._is_draining = False
        self._has_appended_leave = False

    def on_receive(self, message: Any) -> Any:
        """Handles one message; returns the reply to one that expects a reply."""
        if isinstance(message, ControllerActors):
            self._actors = message
            return None
        return _MESSAGE_HANDLERS[type(message)](self, message)

    # The log.

    @handles_message(LogReadSucceeded)
    def _handle_log_read(self, read: LogReadSucceeded) -> None:
        self._update_log_down(False)
        window = LogWindow(read.start, read.end)
        result = self._follower.handle_read(read.from_offset, window, read.records)
        if result.next_read_offset is not None:
            self._actors.reader.tell(SetReadOffset(result.next_read_offset))
        self._update_history_lost(result.is_history_lost)
        for applied in result.applied:
            self._record_applied(applied)
        if result.applied or result.has_loaded_checkpoint:
            self._publisher.publish_rosters(self._state, result)
            self._publish()
            self._record_terms()
        if result.is_at_end:
            self._handle_end_of_log(read)

    def _record_applied(self, applied: AppliedRecord) -> None:
        offset, envelope, code = applied
        kind = envelope.body.kind if envelope else "malformed"
        self._metrics.count_record(kind, code)
        if code is log_codes.CHECKPOINT_MISMATCH:
            self._changes.record("checkpoint_mismatch", offset=offset)
        if envelope is None:
            return
        if isinstance(envelope.body, Checkpoint):
            self._checkpoints.record_checkpoint(envelope.body.end_offset, now_ms())
        if (envelope.writer, envelope.incarnation) == self._identity[:2]:
            self._confirm_append(envelope.seq, code)

    def _publish(self) -> None:
        state = self._state
        if state.revision != self._revision:
            self._revision = state.revision
            self._readiness.has_file = True
            self._changes.record("file_in_force", revision=state.revision)
        self._publisher.publish_state(state, self._vms)

    def _confirm_append(self, seq: int, code: Code) -> None:
        self._actors.writer.tell(RecordFolded(seq))
        self._folded_seq = max(self._folded_seq, seq)
        token = self._append_tokens.pop(seq, None)
        if token is not None:
            self._pass_to_core(core_messages.Settled(token, code))

    def _handle_end_of_log(self, read: LogReadSucceeded) -> None:
        current_ms = now_ms()
        join = self._membership.join(current_ms, self._state)
        if join is not None and not self._is_draining:
            self._append(join)
        if self._membership.is_joined(self._state):
            self._pass_to_core(core_messages.LogRead(read.started_ms))
            self._append_due_checkpoint(current_ms)
        if self._membership.is_replaced(self._state):
            self._record_name_taken_over()

    def _append_due_checkpoint(self, current_ms: float) -> None:
        state = self._state
        is_due = self._checkpoints.is_due(
            current_ms, self._follower.window, state.next_offset, state.members
        )
        if is_due and state.next_offset != self._last_checkpoint_offset:
            self._last_checkpoint_offset = state.next_offset
            self._append(make_checkpoint(state))

    def _record_name_taken_over(self) -> None:
        if not self._readiness.is_replaced:
            self._readiness.is_replaced = True
            self._changes.record("name_taken_over")

    @handles_message(LogReadFailed)
    def _handle_log_read_failure(self, message: LogReadFailed) -> None:
        self._update_log_down(True)
        if self._state.next_offset == 1 and self._vms:
            self._actors.peers.tell(SnapshotRequested())

    @handles_message(SnapshotReceived)
    def _load_snapshot(self, received: SnapshotReceived) -> None:
        """Loads a peer's state if the log has never been read.

        The ownership core is not informed: it gets events about the log only after
        the daemon has joined.
        """
        if self._state.next_offset > 1 or not self._is_log_down:
            return
        self._state.load(received.state)
        self._actors.reader.tell(SetReadOffset(self._state.next_offset))
        self._changes.record("snapshot_loaded", next_offset=self._state.next_offset)
        self._publish()

    def _update_history_lost(self, is_lost: bool) -> None:
        if is_lost != self._is_history_lost:
            self._is_history_lost = is_lost
            self._changes.record("history_lost" if is_lost else "history_recovered")

    def _update_log_down(self, is_down: bool) -> None:
        if is_down != self._is_log_down:
            self._is_log_down = is_down
            self._changes.record("log_down" if is_down else "log_up")

    def _append(self, body: Record, token: int | None = None) -> None:
        self._last_seq += 1
        seq = self._last_seq
        if token is not None:
            self._append_tokens[seq] = token
        envelope = Envelope(
            self._identity.daemon, self._identity.incarnation, seq, body
        )
        self._actors.writer.tell(AppendRecord(seq, encode(envelope)))

    # Time, VMs and servers.

    @handles_message(Tick)
    def _handle_tick(self, message: Tick) -> None:
        self._pass_to_core(core_messages.Tick())
        current_ms = now_ms()
        reachable = {
            daemon
            for daemon, heard_ms in self._last_heard_ms.items()
            if current_ms - heard_ms < PEER_SILENCE_LIMIT_MS
        }
        leave = self._membership.evict(current_ms, self._state, reachable)
        if leave is not None:
            self._changes.record("member_evicted", daemon=leave.daemon)
            self._append(leave)
        if not self._readiness.has_capacity:
            self._check_capacity(current_ms)
        if current_ms >= self._next_load_report_ms:
            self._next_load_report_ms = current_ms + LOAD_REPORT_PERIOD_MS
            self._send_load_reports()

    def _check_capacity(self, current_ms: float) -> None:
        """Checks for capacity; requests the instances' ages while they are unknown."""
        if (
            self._publisher.needs_instance_ages
            and current_ms >= self._next_ages_request_ms
        ):
            self._next_ages_request_ms = current_ms + AGES_REQUEST_INTERVAL_MS
            self._actors.peers.tell(InstanceAgesRequested())
        if self._publisher.needs_instance_ages:
            self._ages_requested_since_ms = self._ages_requested_since_ms or current_ms
            if current_ms - self._ages_requested_since_ms > AGES_WAIT_LIMIT_MS:
                self._publisher.set_instance_ages(())
        if self._publisher.has_capacity():
            self._readiness.has_capacity = True
            self._changes.record("capacity_found")

    @handles_message(peer.Ages)
    def _handle_ages(self, message: peer.Ages) -> None:
        self._publisher.set_instance_ages(message.ages)

    def _send_load_reports(self) -> None:
        """Reports the busiest slices and keys of each keyed service to its granters."""
        for report in self._loads.collect_reports():
            self._pass_to_core(report)
            message = _to_slice_loads_message(report)
            for daemon in self._find_granters(report.service) - {self._identity.daemon}:
                self._metrics.count_message(message.kind, "sent")
                self._actors.peers.tell(PeerSendRequested(daemon, message))

    def _find_granters(self, service: str) -> set[str]:
        return {
            granter_term.granter
            for group, granter_term in self._state.granter_terms.items()
            if service_of(group) == service and not granter_term.resigned
        }

    @handles_message(VmListRead)
    def _handle_vm_list(self, read: VmListRead) -> None:
        self._vms = read.vms
        self._addresses = {vm.id: vm.address for vm in read.vms}
        routers = {vm.id: vm for vm in read.vms if vm.role == "router"}
        servers = {
            vm.id: core_messages.ServerVm(vm.service, vm.zone, vm.address, vm.leaving)
            for vm in read.vms
            if vm.role == "server"
        }
        names = frozenset(routers)
        self._membership.update_vm_list(now_ms(), self._state, names)
        self._pass_to_core(core_messages.VmsListed(names, servers))
        peers = {name: m.peer_address for name, m in self._state.members.items()}
        peers |= {vm.id: vm.peer_address for vm in routers.values()}
        peers.pop(self._identity.daemon, None)
        self._actors.peers.tell(SetPeerAddresses(peers))
        self._publisher.publish_instances(self._state, self._vms)

    @handles_message(GrantCompleted)
    def _handle_grant_result(self, completed: GrantCompleted) -> None:
        server, group, sent_ms, answer = completed
        self._metrics.count_grant(_grant_outcome(answer))
        if answer is None:
            self._pass_to_core(core_messages.GrantFailed(server, group, sent_ms))
        else:
            self._pass_to_core(
                core_messages.GrantAnswered(server, group, answer, sent_ms)
            )

    # Peers.

    @handles_message(PeerMessageReceived)
    def _handle_peer_message(self, received: PeerMessageReceived) -> None:
        daemon, message, reply = received
        self._metrics.count_message(message.kind, "received")
        self._last_heard_ms[daemon] = now_ms()
        self._pass_to_core(core_messages.PeerHeard(daemon))
        if isinstance(message, peer.PromiseRequest):
            self._last_ask_id += 1
            self._promise_replies[self._last_ask_id] = reply
            ask = core_messages.PromiseAsked(
                daemon, message.group, message.term, self._last_ask_id
            )
            self._pass_to_core(ask)
            self._promise_replies.pop(self._last_ask_id, None)
        elif isinstance(message, peer.Placements):
            self._publisher.add_provisional_owners(message)
        elif isinstance(message, peer.SliceLoads):
            self._pass_to_core(self._to_loads_reported(daemon, message))
        elif isinstance(message, peer.AgesRequest):
            reply(self._publisher.make_ages_message())
        elif isinstance(message, peer.SnapshotRequest):
            is_confirmed = self._membership.is_joined(self._state)
            reply(peer.Snapshot(self._state.dump() if is_confirmed else {}))

    def _to_loads_reported(
        self, daemon: str, message: peer.SliceLoads
    ) -> core_messages.LoadsReported:
        table = self._state.tables.get(message.service)
        hot_keys: dict[int, list[tuple[int, float]]] = {}
        for rate in message.keys if table else ():
            start = table.find(rate.key_hash).start
            hot_keys.setdefault(start, []).append((rate.key_hash, rate.requests_per_s))
        loads = tuple(
            core_messages.SliceLoad(start, per_s, tuple(hot_keys.get(start, ())))
            for start, per_s in message.slices
        )
        return core_messages.LoadsReported(daemon, message.service, loads)

    @handles_message(PeerAlive)
    def _handle_peer_alive(self, alive: PeerAlive) -> None:
        self._last_heard_ms[alive.daemon] = now_ms()
        self._pass_to_core(core_messages.PeerHeard(alive.daemon))

    @handles_message(PromiseReceived)
    def _handle_promise(self, promise: PromiseReceived) -> None:
        self._pass_to_core(core_messages.PromiseGiven(*promise))

    # Shutdown.

    @handles_message(DrainRequested)
    def _handle_drain(self, message: DrainRequested) -> None:
        self._is_draining = True
        self._pass_to_core(core_messages.Drain())

    # Commands of the ownership core.

    def _pass_to_core(self, event: core_messages.Event) -> None:
        """Passes an event to the ownership core and runs the commands it returns."""
        for command in self._ownership.handle(now_ms(), event):
            _COMMAND_HANDLERS[type(command)](self, command)
        if (
            self._is_draining
            and self._ownership.drained
            and not self._has_appended_leave
        ):
            self._has_appended_leave = True
            self._append(Leave(self._identity.daemon, self._identity.incarnation))

    @handles_command(core_messages.Append)
    def _append_core_record(self, command: core_messages.Append) -> None:
        self._append(command.body, command.token)

    @handles_command(core_messages.SendGrant)
    def _send_grant(self, command: core_messages.SendGrant) -> None:
        address = self._addresses.get(command.server)
        if address is None:
            failed = GrantCompleted(
                command.server, command.grant.group, command.sent_ms, None
            )
            self.actor_ref.tell(failed)
            return
        requested = GrantRequested(
            command.server, address, command.grant, command.sent_ms
        )
        self._actors.grants.tell(requested)

    @handles_command(core_messages.AskPromise)
    def _request_promise(self, command: core_messages.AskPromise) -> None:
        self._metrics.count_message(peer.PromiseRequest.kind, "sent")
        self._actors.peers.tell(PromiseRequested(*command))

    @handles_command(core_messages.GivePromise)
    def _give_promise(self, command: core_messages.GivePromise) -> None:
        reply = self._promise_replies.pop(command.ask_id, None)
        if reply is not None:
            reply(peer.Promise(command.group, command.term, True))

    @handles_command(core_messages.BroadcastPlacements)
    def _broadcast_placements(self, command: core_messages.BroadcastPlacements) -> None:
        placements = tuple(
            peer.ProvisionalPlacement(*placement) for placement in command.placements
        )
        message = peer.Placements(command.group, command.term, placements)
        self._metrics.count_message(message.kind, "sent")
        self._publisher.add_provisional_owners(message)
        for daemon in self._state.members:
            if daemon != self._identity.daemon:
                self._actors.peers.tell(PeerSendRequested(daemon, message))

    @handles_command(core_messages.ReadLog)
    def _ignore_read_log(self, command: core_messages.ReadLog) -> None:
        """Does nothing, since the log reader reads continuously."""

    # Status.

    def _record_terms(self) -> None:
        for group, granter_term in self._state.granter_terms.items():
            if self._recorded_terms.get(group) == granter_term.term:
                continue
            self._recorded_terms[group] = granter_term.term
            self._changes.record(
                "tenure",
                group=group,
                term=granter_term.term,
                granter=granter_term.granter,
                heir=granter_term.heir,
            )

    @handles_message(StatusRequested)
    def _make_status(self, message: StatusRequested) -> StatusSnapshot:
        current_ms, state = now_ms(), self._state
        ownership = self._ownership.status(current_ms)
        return StatusSnapshot(
            daemon=self._identity.daemon,
            incarnation=self._identity.incarnation,
            zone=self._identity.zone,
            uptime_ms=0.0,
            is_ready=self._readiness.is_ready(),
            is_draining=self._is_draining,
            is_confirmed=self._membership.is_joined(state),
            revision=state.revision,
            next_offset=state.next_offset,
            log=self._make_log_status(ownership),
            zones=summarize_zones(state),
            members=self._make_member_statuses(current_ms),
            groups=summarize_groups(state, ownership),
            servers=summarize_servers(state, {vm.id: vm.zone for vm in self._vms}),
            changes=self._changes.latest(),
        )

    def _make_log_status(self, ownership: OwnershipStatus) -> LogStatus:
        is_up = not self._is_log_down
        fault = "" if is_up else str(Fault(platform_codes.PLATFORM_NO_ANSWER))
        return LogStatus(
            is_up, ownership.log_age_ms, self._last_seq - self._folded_seq, fault
        )

    def _make_member_statuses(self, current_ms: float) -> tuple[MemberStatus, ...]:
        return tuple(
            self._make_member_status(current_ms, name, member)
            for name, member in sorted(self._state.members.items())
        )

    def _make_member_status(
        self, current_ms: float, name: str, member: Member
    ) -> MemberStatus:
        if name == self._identity.daemon:
            return MemberStatus(name, member.zone, member.incarnation, True, 0.0)
        heard_ms = self._last_heard_ms.get(name)
        silence_ms = None if heard_ms is None else current_ms - heard_ms
        is_linked = silence_ms is not None and silence_ms < PEER_SILENCE_LIMIT_MS
        return MemberStatus(
            name, member.zone, member.incarnation, is_linked, silence_ms
        )

    @handles_message(KeyExplanationRequested)
    def _explain_key(self, requested: KeyExplanationRequested) -> KeyExplanation | None:
        key = key_from_text(requested.key)
        provisional = self._publisher.provisional(self._state, requested.service, key)
        return explain_key(self._state, requested.service, key, provisional)


def _grant_outcome(answer: core_messages.GrantAnswer | None) -> str:
    if answer is None:
        return "failed"
    return "accepted" if answer.accepted else "refused"


def _to_slice_loads_message(report: core_messages.LoadsReported) -> peer.SliceLoads:
    slices = tuple(
        peer.SliceRate(load.start, load.requests_per_s) for load in report.loads
    )
    keys = tuple(
        peer.KeyRate(key_hash, rate)
        for load in report.loads
        for key_hash, rate in load.hot_hashes
    )
    return peer.SliceLoads(report.service, slices, keys)
