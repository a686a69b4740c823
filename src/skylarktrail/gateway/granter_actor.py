"""Actor that claims the granter role and grants key ranges while it holds it."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import Any, Callable, Sequence

import pykka
from result import Err

from ..core.gateway.granter_role import GranterRole
from ..core.gateway.lease_call_gate import LeaseCallGate
from ..core.gateway.lease_calls import (
    CallResult,
    GrantCall,
    GranterAction,
    LeaseTimings,
    RecordOwners,
    ReleaseCall,
)
from ..core.gateway.pending_write import PendingWrite
from ..core.gateway.positions import era_of
from ..core.gateway.ranges import OwnedRange
from ..core.gateway.shared_state import GranterRecord
from ..daemon.ticker import Tick
from ..errors import platform as codes
from ..errors.code import Fault
from ..peer.gateway_messages import GatewayOpenGrants
from .clock import now_ms
from .event_log import EventLog
from .granter_messages import (
    CandidacyUpdate,
    FormerTermEnded,
    LeaseCallCompleted,
    LeaseClient,
    LoadReceived,
    OpenGrantsReceived,
    OpenGrantsRequested,
    RoleOfferReceived,
    SharedRecordsRead,
    SharedRecordsReceived,
    WriteCompleted,
)
from .lease_call_queue import Lane, LeaseCallQueue
from .metrics import GatewayMetrics
from .service_stepper import ServiceStepper
from .site_state import SiteState
from .site_store import SiteStore

CALL_THREADS = 48

# Methods of the actor by type of message; each returns whether a step is due.
_HANDLERS: dict[type, Callable[[GranterActor, Any], bool]] = {}


def _handles(kind: type) -> Callable[[Callable], Callable]:
    """Registers a method of the actor for a type of messages."""

    def register(method: Callable) -> Callable:
        _HANDLERS[kind] = method
        return method

    return register


class GranterActor(pykka.ThreadingActor):
    """Claims the granter role when it is vacant, and grants ranges during its term.

    Args:
        site: State of the site.
        process: Identifier of this process.
        store: Store client; used only by the actor's writer thread.
        lease_client: Sends grants and releases to instances.
        timings: Durations of leases.
        log: Receives a line for each decision.
        metrics: Counts store calls, lease calls and moves.
        on_owners_written: Called with the service, the owners and the position of
            each record of owners that was written.
        is_granter_alive: Returns whether the current granter sends listings.
        request_term_end: Asks a former granter to stop granting and calls back when
            it has stopped.
        request_open_grants: Asks a former granter for its open grants and calls back
            with its reply.
        on_unanswered_call: Called with an instance that did not respond to a call.
        trigger_read: Lets the shared records be read at once.
        gate: Checks each lease call before it is sent.
        first_start_ms: When the process started, if that was the first start of the
            whole site; else None.
    """

    use_daemon_thread = True

    def __init__(
        self,
        site: SiteState,
        process: str,
        store: SiteStore,
        lease_client: LeaseClient,
        timings: LeaseTimings,
        log: EventLog,
        metrics: GatewayMetrics,
        on_owners_written: Callable[[str, Sequence[OwnedRange], int], None],
        is_granter_alive: Callable[[], bool],
        request_term_end: Callable[[str, int, Callable[[], None]], None],
        request_open_grants: Callable[
            [str, int, Callable[[GatewayOpenGrants], None]], None
        ],
        on_unanswered_call: Callable[[str], None],
        trigger_read: Callable[[], None],
        gate: LeaseCallGate,
        first_start_ms: float | None = None,
    ) -> None:
        super().__init__()
        self._request_term_end = request_term_end
        self._request_open_grants = request_open_grants
        self._on_unanswered_call = on_unanswered_call
        self._trigger_read = trigger_read
        self._on_owners_written = on_owners_written
        self._site = site
        self._process = process
        self._store = store
        self._lease_client = lease_client
        self._log = log
        self._metrics = metrics
        self._gate = gate
        self._call_queue = LeaseCallQueue(CALL_THREADS)
        self._writer = ThreadPoolExecutor(1, "writer")
        self._role = GranterRole(
            site.daemon,
            process,
            timings,
            site.shared,
            gate,
            self,
            is_granter_alive,
            first_start_ms,
        )
        self._stepper = ServiceStepper(site, self._role, log, metrics)
        metrics.add_gauge(
            "granter_waits_for_leases",
            "1 while this granter grants no keys, as their owners may be unknown.",
            lambda: self._waits_for_leases(),
        )

    @property
    def is_granter(self) -> bool:
        """Returns whether this daemon is the granter, by what it knows."""
        return self._role.is_granter

    @property
    def pending_write(self) -> PendingWrite | None:
        """Returns the write whose outcome must be known before the next is sent."""
        return self._role.pending_write

    def on_receive(self, message: Any) -> None:
        """Handles one message.

        After an exception, a granter ends its term, as its state may be inconsistent.
        """
        try:
            self._handle(message)
        except Exception as error:
            kind = type(message).__name__
            self._log.state("granter_failed", message=kind, error=repr(error))
            if self._role.is_granter:
                self._role.end_term(now_ms())

    def _handle(self, message: Any) -> None:
        """Handles a message by the method of its type, then steps if that is due."""
        handle = _HANDLERS[type(message)]
        if handle(self, message):
            self._step()

    @_handles(Tick)
    def _handle_tick(self, message: Tick) -> bool:
        return True  # Only time has passed.

    @_handles(CandidacyUpdate)
    def _handle_candidacy(self, message: CandidacyUpdate) -> bool:
        self._role.handle_candidacy(message.is_candidate, now_ms())
        return True

    @_handles(RoleOfferReceived)
    def _handle_offer(self, message: RoleOfferReceived) -> bool:
        self._role.handle_offer(message.term, message.at_ms)
        return False

    @_handles(SharedRecordsRead)
    def _handle_read(self, message: SharedRecordsRead) -> bool:
        self._role.handle_read(message.position, message.started_ms, now_ms())
        return True

    @_handles(SharedRecordsReceived)
    def _handle_broadcast(self, message: SharedRecordsReceived) -> bool:
        self._role.handle_broadcast(message.position, now_ms())
        return True

    @_handles(OpenGrantsReceived)
    def _handle_open_grants(self, message: OpenGrantsReceived) -> bool:
        process, grants = message.reply
        self._role.handle_open_grants(message.term, process, grants, now_ms())
        return False

    @_handles(OpenGrantsRequested)
    def _report_open_grants(self, message: OpenGrantsRequested) -> bool:
        grants = tuple(self._role.list_open_grants(now_ms()))
        message.reply(GatewayOpenGrants(self._process, grants))
        return False

    @_handles(LoadReceived)
    def _handle_load(self, message: LoadReceived) -> bool:
        if self._role.is_granter:
            self._stepper.add_load(message.report, now_ms())
        return False

    def on_stop(self) -> None:
        """Stops the threads for lease calls and writes."""
        self._call_queue.stop()
        self._writer.shutdown(wait=False, cancel_futures=True)

    def _step(self) -> None:
        at_ms = now_ms()
        if self._role.may_grant(at_ms):
            for spec in self._stepper.keyed_services():
                for action in self._stepper.step(spec.name, at_ms):
                    self._execute(spec.name, action)
        self._role.step(at_ms)

    def _waits_for_leases(self) -> bool:
        """Returns whether this granter waits until unknown leases have expired."""
        return self._role.is_granter and not self._role.knows_all_owners

    # What the granter role asks of its daemon.

    def send_write(self, write: PendingWrite) -> None:
        """Sends a write to the store in the writer thread."""
        store, key, value = self._store, write.key, write.value
        position = write.expected_position
        self._submit(
            self._writer.submit,
            lambda: WriteCompleted(write, store.share(key, value, position)),
            WriteCompleted(write, Err(Fault(codes.STORE_SILENT, key))),
        )

    def request_read(self) -> None:
        """Lets the shared records be read at once."""
        self._trigger_read()

    def ask_former_granter(self, daemon: str, term: int) -> None:
        """Asks a former granter to stop granting, and for its open grants."""
        tell = self.actor_ref.tell
        self._request_term_end(
            daemon, term, lambda: tell(FormerTermEnded(daemon, term, now_ms()))
        )
        self._request_open_grants(
            daemon, term, lambda reply: tell(OpenGrantsReceived(term, reply))
        )

    def on_term_started(self, term: int, position: int) -> None:
        """Logs that a term has begun."""
        self._log.state(
            "granter_begins",
            term=term,
            position=position,
            era=era_of(position),
            knows_all_owners=self._role.knows_all_owners,
        )

    def on_term_ended(self, term: int, successor: GranterRecord) -> None:
        """Logs that the term has ended."""
        self._log.state(
            "granter_ends", term=term, successor=successor.daemon, by=successor.term
        )

    def on_owners_recorded(self, service: str, is_recorded: bool) -> None:
        """Logs the outcome of a write of owners."""
        self._log.state("owners_recorded", service=service, landed=is_recorded)

    def on_record_replaced(self, key: str, term: int) -> None:
        """Logs that a record of the term is not valid any more, and is repeated."""
        self._log.state("record_replaced", key=key, term=term)

    @_handles(FormerTermEnded)
    def _handle_former_term_ended(self, ended: FormerTermEnded) -> bool:
        is_current = self._role.handle_former_term_ended(
            ended.daemon, ended.term, ended.at_ms, now_ms()
        )
        if is_current:
            self._log.state(
                "former_granter_ended", former=ended.daemon, term=ended.term
            )
        return False

    @_handles(WriteCompleted)
    def _handle_write_completed(self, completed: WriteCompleted) -> bool:
        write, result = completed
        if result.is_ok():
            self._metrics.count("store_calls", "share", "done")
            if write.ranges and write is self._role.pending_write:
                self._on_owners_written(
                    write.service, write.ranges, write.expected_position
                )
            self._role.handle_write_applied(write, result.unwrap(), now_ms())
            return True
        code = result.unwrap_err().code
        self._metrics.count("store_calls", "share", code.name)
        is_conflict = code is codes.STORE_CONFLICT
        self._role.handle_write_failed(write, is_conflict, now_ms())
        return True

    def _execute(self, service: str, action: GranterAction) -> None:
        if isinstance(action, RecordOwners):
            self._role.record_owners(service, action.ranges, now_ms())
            return
        is_grant = isinstance(action, GrantCall)
        send = self._lease_client.grant if is_grant else self._lease_client.release
        term = self._role.term
        queued_ms = now_ms()

        def send_call() -> LeaseCallCompleted:
            if not self._gate.allows(term, queued_ms, now_ms()):
                result = CallResult(action.call_id, "withheld")
            else:
                result = send(action)
            return LeaseCallCompleted(service, action, result)

        lane = Lane(action.instance, type(action).__name__)
        unknown = CallResult(action.call_id, "silent")
        self._submit(
            partial(self._call_queue.submit, lane),
            send_call,
            LeaseCallCompleted(service, action, unknown),
        )

    def _submit(
        self,
        submit: Callable[[Callable[[], None]], Any],
        task: Callable[[], Any],
        unknown: LeaseCallCompleted | WriteCompleted,
    ) -> None:
        """Runs a task in a thread pool and sends its result to this actor.

        Args:
            submit: Submits a function to a thread pool.
            task: The task, which returns a message to this actor.
            unknown: Message for a task that raises an exception, so that its outcome
                is not known.
        """
        actor_ref = self.actor_ref

        def run() -> None:
            try:
                message = task()
            except Exception as error:
                self._log.state("order_failed", error=repr(error))
                message = unknown
            try:
                actor_ref.tell(message)
            except pykka.ActorDeadError:
                pass  # The actor was stopped with the daemon.

        try:
            submit(run)
        except RuntimeError as error:
            self._log.state("order_failed", error=repr(error))

    @_handles(LeaseCallCompleted)
    def _handle_call_completed(self, completed: LeaseCallCompleted) -> bool:
        """Handles the outcome of a call; returns whether a range can be granted now."""
        call, outcome = completed.call, completed.result.outcome
        self._metrics.count("lease_calls", completed.service, outcome)
        granter = self._role.granters.get(completed.service)
        if granter is None:
            return False
        granter.handle_result(completed.result, now_ms())
        if outcome == "fenced":
            self._role.handle_fenced(now_ms())
        elif outcome in ("replaced", "refused", "unsent"):
            self._site.record_unreachable(call.instance, now_ms())
        if outcome in ("silent", "refused", "unsent"):
            self._on_unanswered_call(call.instance)
        if outcome != "done":
            self._log_failed_call(completed.service, call, outcome)
        return granter.has_ungranted_ranges()

    def _log_failed_call(
        self, service: str, call: GrantCall | ReleaseCall, outcome: str
    ) -> None:
        self._log.write(
            "lease_call_failed",
            service=service,
            outcome=outcome,
            kind=type(call).__name__,
            instance=call.instance,
            first=call.first,
            last=call.last,
            fence=call.fence,
        )
