"""Actor that claims the granter role and grants key ranges while it holds it."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import Any, Callable, Sequence

import cbor2
import pykka
from result import Err

from ..core.gateway.capacities import limit_capacities
from ..core.gateway.former_granters import FormerGranters
from ..core.gateway.granter import Granter
from ..core.gateway.instance import Instance
from ..core.gateway.key_load import KeyLoad
from ..core.gateway.lease_calls import (
    MAX_GRANT_DELIVERY_MS,
    CallResult,
    GrantCall,
    KeyedInstance,
    LeaseTimings,
    RecordOwners,
    ReleaseCall,
)
from ..core.gateway.model import ServiceSpec
from ..core.gateway.ranges import OwnedRange, OwnerTable
from ..core.gateway.shared_state import (
    GRANTER_KEY,
    OWNERS_PREFIX,
    GranterRecord,
    encode_granter,
    encode_owners,
)
from ..core.gateway.speeds import Speeds
from ..daemon.ticker import Tick
from ..errors import platform as codes
from ..errors.code import Fault
from ..peer.gateway_messages import GatewayLoad, GatewayOpenGrants, OpenGrantReport
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
    PendingWrite,
    RoleOfferReceived,
    SharedRecordsRead,
    SupersedingTerm,
    WriteCompleted,
)
from .lease_call_queue import Lane, LeaseCallQueue
from .metrics import GatewayMetrics
from .open_grants import EndedTerms, select_open_grants
from .send_window import SendWindow
from .site_state import SiteState
from .site_store import SiteStore

REBALANCE_INTERVAL_MS = 1000.0  # Shortest time between moves for load alone.
MERGE_INTERVAL_MS = 3000.0
WRITE_RETRY_MS = 200.0  # Delay before a write of unknown outcome is retried.
CALL_THREADS = 48
# Calls wait longer only for an instance that hangs. Sent then, they would prolong the
# wait until its leases have expired.
MAX_QUEUE_MS = 500.0
# Equals the lifetime of a candidacy in the store: after it the store may have chosen
# another candidate.
CANDIDACY_VALID_MS = 1500.0
# All daemons receive a listing from a new granter within this time.
SUCCESSOR_GRACE_MS = 2000.0
# The granter offers its role to another daemon after its next failed read, at least
# 0.5 s later.
ROLE_OFFER_VALID_MS = 1000.0
FIRST_LISTING_WAIT_MS = 2500.0  # Instances of a new site are listed within this time.


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
        superseding_term: Highest term whose granter asked this daemon to stop granting.
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
        superseding_term: SupersedingTerm,
    ) -> None:
        super().__init__()
        self._is_granter_alive = is_granter_alive
        self._request_term_end = request_term_end
        self._request_open_grants = request_open_grants
        self._open_grants: list[OpenGrantReport] = []
        self._ended_terms = EndedTerms()
        # Daemons of earlier releases send until their authority ends.
        self._former_granters = FormerGranters(
            timings.authority_ms + MAX_GRANT_DELIVERY_MS
        )
        self._fenced_at_ms = -1e18
        self._on_unanswered_call = on_unanswered_call
        self._superseding_term = superseding_term
        self._on_owners_written = on_owners_written
        self._site = site
        self._process = process
        self._store = store
        self._lease_client = lease_client
        self._timings = timings
        self._log = log
        self._metrics = metrics
        self._call_queue = LeaseCallQueue(CALL_THREADS)
        self._send_window = SendWindow()
        self._writer = ThreadPoolExecutor(1, "writer")
        self._candidate_at_ms = -1e18
        self._succeeded_at_ms = -1e18
        self._role_offer = RoleOfferReceived(0, -1e18)
        self._position = -1
        self._term_confirmed_ms = -1e18
        self._term = 0
        self._known_term: int | None = None
        self._granters: dict[str, Granter] = {}
        self._loads: dict[str, KeyLoad] = {}
        self._speeds = Speeds()
        self._term_started_ms = 0.0
        self._writes: list[PendingWrite] = []
        self._next_rebalance_ms: dict[str, float] = {}
        self._next_merge_ms: dict[str, float] = {}
        self.is_granter = False

    @property
    def pending_write(self) -> PendingWrite | None:
        """Returns the write whose outcome must be known before the next is sent."""
        return self._writes[0] if self._writes else None

    def on_receive(self, message: Any) -> None:
        """Handles one message.

        After an exception, a granter ends its term, as its state may be inconsistent.
        """
        try:
            self._handle(message)
        except Exception as error:
            kind = type(message).__name__
            self._log.state("granter_failed", message=kind, error=repr(error))
            if self.is_granter:
                self._end_term(self._site.shared.granter)

    def _handle(self, message: Any) -> None:
        if isinstance(message, Tick):
            self._step()
        elif isinstance(message, CandidacyUpdate):
            self._candidate_at_ms = now_ms() if message.is_candidate else -1e18
            self._step()
        elif isinstance(message, RoleOfferReceived):
            self._role_offer = message
        elif isinstance(message, SharedRecordsRead):
            self._handle_shared_read(message)
        elif isinstance(message, FormerTermEnded):
            self._handle_former_term_ended(message)
        elif isinstance(message, OpenGrantsReceived):
            self._handle_open_grants(message)
        elif isinstance(message, OpenGrantsRequested):
            self._report_open_grants(message)
        elif isinstance(message, LeaseCallCompleted):
            self._handle_call_completed(message)
        elif isinstance(message, WriteCompleted):
            self._handle_write_completed(message)
        elif isinstance(message, LoadReceived):
            self._handle_load(message.report)

    def on_stop(self) -> None:
        """Stops the threads for lease calls and writes."""
        self._call_queue.stop()
        self._writer.shutdown(wait=False, cancel_futures=True)

    def _step(self) -> None:
        at_ms = now_ms()
        if self.is_granter:
            if self._may_grant(at_ms):
                self._step_granters(at_ms)
        elif self._may_claim_role():
            self._claim_role()
        self._send_write(at_ms)

    def _may_grant(self, at_ms: float) -> bool:
        """Returns whether this daemon may still grant in its term."""
        is_superseded = self._superseding_term.term > self._term
        return self._send_window.allows(self._term, at_ms) and not is_superseded

    def _update_send_window(self) -> None:
        """Sets until when calls may be sent.

        The last call arrives before the authority ends. An instance that refuses a
        grant as fenced may have been reached by a newer granter. The daemon then grants
        again only after a read that began later and shows no newer term.
        """
        is_fenced = self._term_confirmed_ms <= self._fenced_at_ms
        if not self.is_granter or is_fenced:
            self._send_window.close()
            return
        authority_end_ms = self._term_confirmed_ms + self._timings.authority_ms
        self._send_window.open(self._term, authority_end_ms - MAX_GRANT_DELIVERY_MS)

    def _may_claim_role(self) -> bool:
        """Returns whether to claim the granter role.

        A granter that sends listings keeps its role, and a new one gets time to send
        its first. An expired candidacy does not count, as the store may have chosen
        another candidate during an outage.
        """
        at_ms = now_ms()
        is_candidate = at_ms - self._candidate_at_ms <= CANDIDACY_VALID_MS
        is_new = at_ms - self._succeeded_at_ms <= SUCCESSOR_GRACE_MS
        if not is_candidate or is_new or self._position < 0 or self._writes:
            return False
        return not self._is_granter_alive()

    def _claim_role(self) -> None:
        term = self._site.shared.granter.term + 1
        record = GranterRecord(self._site.daemon, self._process, term)
        self._writes.append(PendingWrite(GRANTER_KEY, encode_granter(record), ""))

    def _handle_shared_read(self, read: SharedRecordsRead) -> None:
        self._position = max(self._position, read.position)
        self._term_confirmed_ms = max(self._term_confirmed_ms, read.started_ms)
        granter = self._site.shared.granter
        self._record_successor(granter)
        self._former_granters.observe(granter, now_ms())
        is_own_record = granter.process == self._process
        if self.is_granter and (not is_own_record or granter.term != self._term):
            self._end_term(granter)
        self._update_send_window()
        self._resolve_pending_write()
        if self.is_granter:
            self._shorten_former_authority()
        if is_own_record and not self.is_granter:
            self._start_term(granter.term)
        if self._may_accept_offer(read):
            self._role_offer = RoleOfferReceived(0, -1e18)
            self._claim_role()
        self._step()

    def _may_accept_offer(self, read: SharedRecordsRead) -> bool:
        """Returns whether to claim the role that the granter offers.

        The read must have begun after the offer. It shows that the store serves this
        daemon; the store may refuse some daemons and serve others.
        """
        if self.is_granter or self._writes:
            return False
        is_after_offer = (
            read.started_ms >= self._role_offer.at_ms >= now_ms() - ROLE_OFFER_VALID_MS
        )
        return (
            is_after_offer and self._role_offer.term == self._site.shared.granter.term
        )

    def _record_successor(self, granter: GranterRecord) -> None:
        """Records the time when another daemon became granter."""
        known, self._known_term = self._known_term, granter.term
        is_new_term = known is not None and granter.term > known
        if is_new_term and granter.process != self._process:
            self._succeeded_at_ms = now_ms()

    def _resolve_pending_write(self) -> None:
        """Completes the pending write if the records read show its outcome."""
        if not self._writes or not self._writes[0].is_sent:
            return
        write = self._writes[0]
        if self._position <= write.expected_position or write.retry_at_ms == 0.0:
            return
        is_applied = self._read_value(write) == write.value
        self._complete_write(write, is_applied)

    def _read_value(self, write: PendingWrite) -> bytes:
        """Returns the value that was last read for the key of a write."""
        if write.key == GRANTER_KEY:
            return encode_granter(self._site.shared.granter)
        table = self._site.shared.owners.get(write.service)
        return encode_owners(table.ranges) if table else b""

    def _start_term(self, term: int) -> None:
        self._term = term
        self._term_started_ms = now_ms()
        self.is_granter = True
        record = GranterRecord(self._site.daemon, self._process, term)
        self._former_granters.observe(record, self._term_started_ms)
        for daemon in self._former_granters.daemons_to_ask(self._site.daemon):
            self._request_term_end(
                daemon, term, self._make_term_ended_callback(daemon, term)
            )
            self._request_open_grants(
                daemon, term, self._make_open_grants_callback(term)
            )
        self._granters = {}
        self._open_grants = []
        self._update_send_window()
        self._log.state("granter_begins", term=term, position=self._position)
        self._step()

    def _make_term_ended_callback(self, daemon: str, term: int) -> Callable[[], None]:
        tell = self.actor_ref.tell
        return lambda: tell(FormerTermEnded(daemon, term, now_ms()))

    def _make_open_grants_callback(
        self, term: int
    ) -> Callable[[GatewayOpenGrants], None]:
        tell = self.actor_ref.tell
        return lambda reply: tell(OpenGrantsReceived(term, reply))

    def _handle_open_grants(self, received: OpenGrantsReceived) -> None:
        if not self.is_granter or received.term != self._term:
            return
        self._open_grants += received.reply.grants
        self._former_granters.record_report(received.reply.process)
        self._share_open_grants()

    def _share_open_grants(self) -> None:
        """Passes the reports of all former granters on, once they are complete."""
        max_lease_ms = Granter.max_lease_ms(self._timings.lease_ms)
        if not self._former_granters.have_all_reported(now_ms() - max_lease_ms):
            return
        for service, granter in self._granters.items():
            granter.observe_open_grants(select_open_grants(self._open_grants, service))

    def _report_open_grants(self, request: OpenGrantsRequested) -> None:
        grants = self._ended_terms.make_reports(self._granters, now_ms())
        request.reply(GatewayOpenGrants(self._process, grants))

    def _handle_former_term_ended(self, ended: FormerTermEnded) -> None:
        if not self.is_granter or ended.term != self._term:
            return
        self._former_granters.record_end(
            ended.daemon, ended.at_ms + MAX_GRANT_DELIVERY_MS
        )
        self._log.state("former_granter_ended", former=ended.daemon, term=ended.term)
        self._shorten_former_authority()

    def _shorten_former_authority(self) -> None:
        members = self._site.shared.members
        processes = {name: member.process for name, member in members.items()}
        self._former_granters.update_processes(processes, now_ms())
        end_ms = self._former_granters.authority_end_ms(self._site.daemon)
        for granter in self._granters.values():
            granter.shorten_former_authority(end_ms)
        self._share_open_grants()

    def _end_term(self, granter: GranterRecord) -> None:
        self.is_granter = False
        self._ended_terms.add(self._granters, now_ms())
        self._granters = {}
        self._writes = []
        self._update_send_window()
        self._log.state(
            "granter_ends", term=self._term, successor=granter.daemon, by=granter.term
        )

    def _send_write(self, at_ms: float) -> None:
        if not self._writes or self._position < 0:
            return
        write = self._writes[0]
        if write.is_sent and (not write.retry_at_ms or at_ms < write.retry_at_ms):
            return
        if not write.is_sent:
            write.expected_position = self._position
        write.is_sent = True
        write.retry_at_ms = 0.0
        store, key, value, position = (
            self._store,
            write.key,
            write.value,
            write.expected_position,
        )
        self._submit(
            self._writer.submit,
            lambda: WriteCompleted(write, store.share(key, value, position)),
            WriteCompleted(write, Err(Fault(codes.STORE_SILENT, key))),
        )

    def _handle_write_completed(self, completed: WriteCompleted) -> None:
        write, result = completed
        if write is not self.pending_write:
            return
        if result.is_ok():
            self._metrics.count("store_calls", "share", "done")
            self._position = max(self._position, result.unwrap())
            if write.ranges:
                self._on_owners_written(
                    write.service, write.ranges, write.expected_position
                )
            self._complete_write(write, True)
            return
        code = result.unwrap_err().code
        self._metrics.count("store_calls", "share", code.name)
        write.retry_at_ms = now_ms() + WRITE_RETRY_MS
        if code is codes.STORE_CONFLICT:
            self._resolve_pending_write()

    def _complete_write(self, write: PendingWrite, is_applied: bool) -> None:
        self._writes = [item for item in self._writes if item is not write]
        if write.key == GRANTER_KEY:
            term = self._decode_claimed_term(write)
            is_superseded = self._site.shared.granter.term > term
            if is_applied and not is_superseded and not self.is_granter:
                self._start_term(term)
            return
        granter = self._granters.get(write.service)
        if granter is not None:
            granter.handle_recorded(is_applied)
        self._log.state("owners_recorded", service=write.service, landed=is_applied)
        self._step()

    @staticmethod
    def _decode_claimed_term(write: PendingWrite) -> int:
        return GranterRecord(*cbor2.loads(write.value)).term

    def _step_granters(self, at_ms: float) -> None:
        for spec in list(self._site.scheduler.services.values()):
            if spec.is_keyed:
                self._step_service(spec, at_ms)

    def _step_service(self, spec: ServiceSpec, at_ms: float) -> None:
        granter = self._granters.get(spec.name)
        if granter is None:
            recorded = self._site.shared.owners.get(spec.name, OwnerTable())
            authority_end_ms = self._former_granters.authority_end_ms(self._site.daemon)
            granter = Granter(self._timings, self._term, recorded, authority_end_ms)
            self._granters[spec.name] = granter
            self._share_open_grants()
            self._log.state(
                "granting_begins",
                service=spec.name,
                term=self._term,
                ranges=len(recorded.ranges),
                former_authority_left_ms=round(authority_end_ms - at_ms),
            )
        owners = self._list_keyed_instances(spec.name, at_ms)
        if not owners:
            return
        with self._site.lock:
            instances = self._site.fleet.instances
            addresses = {i.entry.address: name for name, i in instances.items()}
        actions = granter.step(owners, at_ms, addresses, self._term_confirmed_ms)
        self._plan_moves(spec.name, granter, at_ms)
        actions += granter.step(owners, at_ms, addresses, self._term_confirmed_ms)
        self._log_lost_ranges(spec.name, granter)
        for action in actions:
            self._execute(spec.name, action)

    def _log_lost_ranges(self, service: str, granter: Granter) -> None:
        for lost in granter.pop_lost_ranges():
            self._log.write(
                "range_lost", service=service, term=self._term, **lost._asdict()
            )

    def _plan_moves(self, service: str, granter: Granter, at_ms: float) -> None:
        load = self._loads.setdefault(service, KeyLoad())
        is_new_service = service not in self._site.shared.owners
        if is_new_service and at_ms < self._term_started_ms + FIRST_LISTING_WAIT_MS:
            return
        is_rebalance_due = at_ms >= self._next_rebalance_ms.get(service, 0.0)
        if not is_rebalance_due and not granter.has_unassigned_hashes():
            return
        if is_rebalance_due:
            self._next_rebalance_ms[service] = at_ms + REBALANCE_INTERVAL_MS
        moves = granter.rebalance(load.distribution(at_ms), is_rebalance_due)
        for move in moves:
            self._metrics.count("moved_ranges", service)
            self._log.write(
                "range_moves",
                service=service,
                first=move.first,
                last=move.last,
                owner=move.owner,
                term=self._term,
            )
        if at_ms >= self._next_merge_ms.get(service, 0.0):
            self._next_merge_ms[service] = at_ms + MERGE_INTERVAL_MS
            granter.merge_adjacent_ranges(at_ms)

    def _list_keyed_instances(
        self, service: str, at_ms: float
    ) -> dict[str, KeyedInstance]:
        """Returns the instances of a service as input of its granter.

        Draining, evacuated and unreachable instances may not keep their keys, nor may
        cold ones while there is a warm one. A suspended instance gets no more keys.
        """
        with self._site.lock:
            instances = list(self._site.fleet.find_by_service(service))
            zones_out = set(self._site.zones_out)
            is_cut = self._site.is_cut
        staying = {
            id(i) for i in instances if _may_keep_ranges(i, zones_out, is_cut, at_ms)
        }
        warm = {id(i) for i in instances if id(i) in staying and not i.is_cold(at_ms)}
        kept = warm or staying
        capacities = self._capacities(service, instances, at_ms)
        return {
            i.entry.instance: KeyedInstance(
                i.entry.instance,
                i.entry.address,
                i.entry.start_ms,
                id(i) in kept and not i.is_suspended(at_ms),
                capacities[i.entry.instance],
                id(i) in kept,
            )
            for i in instances
        }

    def _capacities(
        self, service: str, instances: list[Instance], at_ms: float
    ) -> dict[str, float]:
        """Returns the capacity of each instance, relative to the others."""
        capacities = {
            i.entry.instance: self._speeds.capacity(i.entry.instance) for i in instances
        }
        limits = {
            i.entry.instance: i.rate_limit.per_s
            for i in instances
            if i.rate_limit.is_limited
        }
        load = self._loads.get(service)
        total_per_s = load.rate_per_s(at_ms) if load and limits else 0.0
        return limit_capacities(capacities, limits, total_per_s)

    def _execute(
        self, service: str, action: GrantCall | ReleaseCall | RecordOwners
    ) -> None:
        if isinstance(action, RecordOwners):
            value = encode_owners(action.ranges)
            write = PendingWrite(OWNERS_PREFIX + service, value, service, action.ranges)
            self._writes.append(write)
            self._send_write(now_ms())
            return
        is_grant = isinstance(action, GrantCall)
        send = self._lease_client.grant if is_grant else self._lease_client.release
        term = self._term
        queued_ms = now_ms()

        def send_call() -> LeaseCallCompleted:
            at_ms = now_ms()
            is_superseded = self._superseding_term.term > term
            is_outdated = at_ms - queued_ms > MAX_QUEUE_MS
            is_allowed = self._send_window.allows(term, at_ms) and not is_superseded
            if is_outdated or not is_allowed:
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

    def _handle_call_completed(self, completed: LeaseCallCompleted) -> None:
        outcome = completed.result.outcome
        self._metrics.count("lease_calls", completed.service, outcome)
        granter = self._granters.get(completed.service)
        if granter is None:
            return
        granter.handle_result(completed.result, now_ms())
        if outcome == "fenced":
            self._fenced_at_ms = now_ms()
            self._update_send_window()
        elif outcome in ("replaced", "refused", "unsent"):
            self._site.record_unreachable(completed.call.instance, now_ms())
        if outcome in ("silent", "refused", "unsent"):
            self._on_unanswered_call(completed.call.instance)
        if outcome != "done":
            lease_call = completed.call
            self._log.write(
                "lease_call_failed",
                service=completed.service,
                outcome=outcome,
                kind=type(lease_call).__name__,
                instance=lease_call.instance,
                first=lease_call.first,
                last=lease_call.last,
                fence=lease_call.fence,
            )
        if granter.has_ungranted_ranges():
            self._step()

    def _handle_load(self, report: GatewayLoad) -> None:
        if not self.is_granter:
            return
        counts: dict[str, dict[int, int]] = {}
        for item in report.key_counts:
            counts.setdefault(item.service, {})[item.key_hash] = item.count
        for service, count_by_hash in counts.items():
            self._loads.setdefault(service, KeyLoad()).add(count_by_hash, now_ms())
        for sample in report.response_samples:
            self._speeds.add(*sample)


def _may_keep_ranges(
    instance: Instance, zones_out: set[str], is_cut: bool, at_ms: float
) -> bool:
    """Returns whether an instance may keep its ranges.

    A granter that is cut off from all instances cannot tell which of them are lost.
    """
    if instance.entry.is_draining or instance.entry.zone in zones_out:
        return False
    return is_cut or not instance.is_unreachable(at_ms)
