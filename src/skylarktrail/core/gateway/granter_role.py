"""Claims the granter role, and keeps what the authority of a term rests on.

A daemon becomes granter by a conditional write of the granter's record. It may grant
for a limited time after its last read that showed this record. When the store returns
to an older copy, the granter in office claims a new term and records all owners again.
Until that is done the recorded owners may be wrong, or missing; `owner_records` says
when they may be relied on.
"""

from __future__ import annotations

from typing import Callable, Iterable, Protocol, Sequence

from .former_granters import FormerGranters
from .granter import Granter
from .lease_call_gate import LeaseCallGate
from .lease_calls import MAX_GRANT_DELIVERY_MS, LeaseTimings
from .open_grants import EndedTerms, OpenGrantReport, select_open_grants
from .owner_records import OwnerRecords
from .pending_write import PendingWrite, make_owners_write
from .positions import era_of
from .ranges import OwnedRange, OwnerTable
from .role_vacancy import NEVER_MS, RoleVacancy
from .shared_state import (
    ERA_KEY,
    GRANTER_KEY,
    OWNERS_PREFIX,
    GranterRecord,
    SharedState,
    decode_granter,
    encode_era,
    encode_granter,
)
from .terms import first_term_in


class RoleEffects(Protocol):
    """What the role asks of its daemon; no method may block."""

    def send_write(self, write: PendingWrite) -> None:
        """Sends a write to the store; its result is to be handed to the role."""

    def request_read(self) -> None:
        """Lets the shared records be read at once."""

    def ask_former_granter(self, daemon: str, term: int) -> None:
        """Asks a former granter to stop granting, and for its open grants."""

    def on_term_started(self, term: int, position: int) -> None:
        """Handles that a term has begun, after a position of the shared records."""

    def on_term_ended(self, term: int, successor: GranterRecord) -> None:
        """Handles that the term has ended."""

    def on_owners_recorded(self, service: str, is_recorded: bool) -> None:
        """Handles the outcome of a write of owners."""

    def on_record_replaced(self, key: str, term: int) -> None:
        """Handles that a record of the term is not valid any more, and is repeated."""


class GranterRole:
    """The granter role as seen by one process of a daemon.

    Args:
        daemon: Name of the daemon.
        process: Identifier of the process.
        timings: Durations of leases.
        shared: Records that the daemons share, as last read.
        gate: Is opened while calls of the term may be sent.
        effects: What the role asks of its daemon.
        is_granter_alive: Returns whether the current granter sends listings.
        first_start_ms: When the process started, if that was the first start of the
            whole site; else None.

    Attributes:
        is_granter: Whether this process holds the role, by what it knows.
        term: Term of this process; 0 if it had none.
        started_ms: When the term began.
        confirmed_ms: When the last read began that confirmed the term.
        granters: Granters of the present term by service.
        knows_all_owners: Whether no instance can hold a lease that this granter does
            not know of.
    """

    def __init__(
        self,
        daemon: str,
        process: str,
        timings: LeaseTimings,
        shared: SharedState,
        gate: LeaseCallGate,
        effects: RoleEffects,
        is_granter_alive: Callable[[], bool],
        first_start_ms: float | None = None,
    ) -> None:
        self._daemon = daemon
        self._process = process
        self._timings = timings
        self._shared = shared
        self._gate = gate
        self._effects = effects
        self._vacancy = RoleVacancy(process, is_granter_alive)
        # Daemons of earlier releases send until their authority ends.
        self._former_granters = FormerGranters(
            timings.authority_ms + MAX_GRANT_DELIVERY_MS
        )
        self._owner_records = OwnerRecords(shared, first_start_ms)
        self._open_grants: list[OpenGrantReport] = []
        self._ended_terms = EndedTerms()
        self._fenced_at_ms = NEVER_MS
        self._has_lost_records = False
        self._position = -1
        self._writes: list[PendingWrite] = []
        self.is_granter = False
        self.term = 0
        self.started_ms = 0.0
        self.confirmed_ms = NEVER_MS
        self.granters: dict[str, Granter] = {}
        self.knows_all_owners = False

    @property
    def pending_write(self) -> PendingWrite | None:
        """Returns the write whose outcome must be known before the next is sent."""
        return self._writes[0] if self._writes else None

    def handle_candidacy(self, is_candidate: bool, now_ms: float) -> None:
        """Handles whether the store chose this daemon as the next granter."""
        self._vacancy.record_candidacy(is_candidate, now_ms)
        self.step(now_ms)

    def handle_offer(self, term: int, at_ms: float) -> None:
        """Handles that the granter of a term offers its role to this daemon."""
        self._vacancy.record_offer(term, at_ms)

    def handle_read(self, position: int, started_ms: float, now_ms: float) -> None:
        """Handles that a read of the shared records was applied.

        Args:
            position: Position that the read reached.
            started_ms: When the read began.
            now_ms: Present time.
        """
        if position < self._position:
            return  # Served before a write of this process; it tells of a past state.
        if self._owner_records.observe_read(position, now_ms):
            self._former_granters.begin_at(first_term_in(position))
        self._observe_records(position, started_ms, now_ms)
        if self._may_accept_offer(started_ms, now_ms):
            self._claim_role()
        self.step(now_ms)

    def handle_broadcast(self, position: int, now_ms: float) -> None:
        """Handles that records up to a position, sent by the granter, were applied.

        They confirm no term. A later claim needs the position: a daemon that hears all
        records from the granter does not read the store.
        """
        if position >= self._position:
            self._observe_records(position, NEVER_MS, now_ms)
            self.step(now_ms)

    def handle_write_applied(
        self, write: PendingWrite, position: int, now_ms: float
    ) -> None:
        """Handles that a write was applied, and the position after it."""
        if write is self.pending_write:
            self._position = max(self._position, position)
            self._complete_write(write, True, now_ms)

    def handle_write_failed(
        self, write: PendingWrite, is_conflict: bool, now_ms: float
    ) -> None:
        """Handles that a write was refused, or that its outcome is not known.

        Args:
            write: The write.
            is_conflict: Whether the log does not end at the expected position, which
                may be due to the write itself.
            now_ms: Present time.
        """
        if write is not self.pending_write:
            return
        if not is_conflict:
            write.record_failure(now_ms)
            return
        write.record_conflict()
        self._resolve_pending_write(now_ms)
        if write is self.pending_write:
            self._effects.request_read()

    def handle_former_term_ended(
        self, daemon: str, term: int, at_ms: float, now_ms: float
    ) -> bool:
        """Handles that a former granter sends no more grants.

        Returns:
            Whether this process still holds the term that asked for it.
        """
        if not self.is_granter or term != self.term:
            return False
        self._former_granters.record_end(daemon, at_ms + MAX_GRANT_DELIVERY_MS)
        self._shorten_former_authority(now_ms)
        return True

    def handle_open_grants(
        self,
        term: int,
        process: str,
        grants: Iterable[OpenGrantReport],
        now_ms: float,
    ) -> None:
        """Handles the open grants that a former granter reports to this one."""
        if not self.is_granter or term != self.term:
            return
        self._open_grants += grants
        self._former_granters.record_report(process)
        self._share_open_grants(now_ms)

    def handle_fenced(self, now_ms: float) -> None:
        """Handles that an instance has seen a higher fence than that of a grant.

        A newer granter may have reached it. This daemon grants again only after a read
        that began later and shows no newer term.
        """
        self._fenced_at_ms = now_ms
        self._update_gate()

    def list_open_grants(self, now_ms: float) -> list[OpenGrantReport]:
        """Returns the open grants of the present and the ended terms."""
        return self._ended_terms.make_reports(self.granters, now_ms)

    def may_grant(self, now_ms: float) -> bool:
        """Returns whether this daemon may still grant in its term."""
        return self.is_granter and self._gate.is_open(self.term, now_ms)

    def step(self, now_ms: float) -> None:
        """Claims the role if it is vacant, and sends the write that is due."""
        if not self.is_granter and self._may_claim_role(now_ms):
            self._claim_role()
        self._update_owner_knowledge(now_ms)
        if self._is_era_due():
            era = era_of(self._position)
            self._writes.append(PendingWrite(ERA_KEY, encode_era(era)))
        write = self.pending_write
        if write is None or self._position < 0 or not write.is_due(now_ms):
            return
        write.name_term(self.term)
        write.record_sending(self._position, now_ms)
        self._effects.send_write(write)

    def record_owners(
        self, service: str, ranges: Sequence[OwnedRange], now_ms: float
    ) -> None:
        """Writes the owners of a service."""
        self._writes.append(make_owners_write(service, ranges, self.term))
        self.step(now_ms)

    def find_granter(self, service: str, now_ms: float) -> Granter | None:
        """Returns the granter of a service, which begins with the recorded owners.

        While the recorded owners may be wrong or missing there is none until all leases
        of former granters have expired.
        """
        if service in self.granters:
            return self.granters[service]
        authority_end_ms = self.former_authority_end_ms()
        are_complete = self._owner_records.are_complete(self._position)
        is_certain = are_complete and not self._shared.are_owners_uncertain(service)
        if not is_certain and now_ms < self.former_leases_end_ms():
            return None
        recorded = self._shared.owners.get(service, OwnerTable())
        granter = Granter(self._timings, self.term, recorded, authority_end_ms)
        self.granters[service] = granter
        self._repair_owners()
        self._share_open_grants(now_ms)
        return granter

    def former_authority_end_ms(self) -> float:
        """Returns the time until which grants of former granters may arrive."""
        return self._former_granters.authority_end_ms(self._daemon)

    def former_leases_end_ms(self) -> float:
        """Returns when all leases of former granters have expired."""
        max_lease_ms = Granter.max_lease_ms(self._timings.outage_lease_ms)
        return self.former_authority_end_ms() + max_lease_ms

    def end_term(self, now_ms: float) -> None:
        """Ends the term of this process."""
        self.is_granter = False
        self.knows_all_owners = False
        self._has_lost_records = False
        self._ended_terms.add(self.granters, now_ms)
        self.granters = {}
        self._writes = []
        self._update_gate()
        self._effects.on_term_ended(self.term, self._shared.granter)

    def _observe_records(
        self, position: int, confirmed_ms: float, now_ms: float
    ) -> None:
        is_restored = 0 <= self._position and era_of(self._position) < era_of(position)
        self._position = position
        if is_restored:
            self._handle_restored_store(now_ms)
        granter = self._shared.granter
        self._vacancy.record_granter(granter, now_ms)
        self._former_granters.observe(granter, now_ms)
        self._compare_with_record(granter, now_ms)
        if not self.is_granter or granter.term == self.term:
            self.confirmed_ms = max(self.confirmed_ms, confirmed_ms)
        self._update_gate()
        self._resolve_pending_write(now_ms)
        if self.is_granter:
            self._shorten_former_authority(now_ms)
            self._repair_owners()
        elif self._is_own_claim(granter):
            self._start_term(granter.term, now_ms)

    def _is_own_claim(self, granter: GranterRecord) -> bool:
        """Returns whether a record of the granter is a claim of this process.

        One that was meant for an earlier era is void: its term may be that of another
        process, whose record the store has lost.
        """
        is_new = granter.process == self._process and granter.term > self.term
        return is_new and granter.term >= first_term_in(self._position)

    def _compare_with_record(self, granter: GranterRecord, now_ms: float) -> None:
        """Ends the term, or claims another one, if the record names another granter.

        The record is older than the term where the store has lost that of the term.
        """
        if not self.is_granter:
            return
        if granter.term > self.term:
            if granter.process == self._process:
                self._continue_in_term(granter.term, now_ms)
            else:
                self.end_term(now_ms)
        elif self._is_claim_lost() and not self._writes:
            if self._shared.is_granter_replaced:
                self._effects.on_record_replaced(GRANTER_KEY, self.term)
            self._claim_role()
        elif granter.term < self.term and not self._has_lost_records:
            self.end_term(now_ms)

    def _is_claim_lost(self) -> bool:
        """Returns whether the record of this term is lost, or was replaced."""
        return self._has_lost_records or self._shared.is_granter_replaced

    def _handle_restored_store(self, now_ms: float) -> None:
        """Handles that the store has lost the last records that it acknowledged.

        The granter in office knows all owners. It claims a term of the new era, as its
        own may not be on record, and records the owners again. A granter that has seen
        a higher fence than its own, or was asked to end its term, is not in office: its
        successor's record is lost.
        """
        self._vacancy.record_restored_store(now_ms)
        is_fenced = self.confirmed_ms <= self._fenced_at_ms
        if self.is_granter and (is_fenced or self._gate.is_superseded(self.term)):
            self.end_term(now_ms)
        self._has_lost_records = self.is_granter
        for write in self._writes:
            if write.service in self.granters:
                self.granters[write.service].handle_recorded(False)
        self._writes = []

    def _update_gate(self) -> None:
        """Sets until when calls may be sent.

        The last call arrives before the authority ends.
        """
        is_fenced = self.confirmed_ms <= self._fenced_at_ms
        if not self.is_granter or is_fenced:
            self._gate.close()
            return
        authority_end_ms = self.confirmed_ms + self._timings.authority_ms
        self._gate.open(self.term, authority_end_ms - MAX_GRANT_DELIVERY_MS)

    def _may_claim_role(self, now_ms: float) -> bool:
        """Returns whether the role is vacant, and the records allow to claim it."""
        if self._shared.is_granter_missed or self._position < 0 or self._writes:
            return False
        return self._vacancy.is_vacant(now_ms)

    def _may_accept_offer(self, started_ms: float, now_ms: float) -> bool:
        """Returns whether to claim the role that the granter offers."""
        if self.is_granter or self._shared.is_granter_missed or self._writes:
            return False
        return self._vacancy.take_offer(self._shared.granter.term, started_ms, now_ms)

    def _claim_role(self) -> None:
        last_term = max(self._shared.last_term, self.term)
        term = max(last_term + 1, first_term_in(self._position))
        record = GranterRecord(self._daemon, self._process, term)
        self._writes = [PendingWrite(GRANTER_KEY, encode_granter(record))]

    def _resolve_pending_write(self, now_ms: float) -> None:
        """Completes the pending write if the records read show its outcome."""
        write = self.pending_write
        if write is None or not write.is_sent or write.is_in_flight:
            return
        if self._position > write.expected_position:
            self._complete_write(write, write.is_on_record(self._shared), now_ms)

    def _complete_write(
        self, write: PendingWrite, is_applied: bool, now_ms: float
    ) -> None:
        self._writes = [item for item in self._writes if item is not write]
        if write.key == GRANTER_KEY:
            self._complete_claim(write, is_applied, now_ms)
            return
        if write.service in self.granters:
            self.granters[write.service].handle_recorded(is_applied)
            self._effects.on_owners_recorded(write.service, is_applied)
        self.step(now_ms)

    def _complete_claim(
        self, write: PendingWrite, is_applied: bool, now_ms: float
    ) -> None:
        term = decode_granter(write.value).term
        is_superseded = self._shared.granter.term > term
        if not is_applied or is_superseded or term <= self.term:
            return
        self.confirmed_ms = max(self.confirmed_ms, write.sent_ms)
        if self.is_granter:
            self._continue_in_term(term, now_ms)
        else:
            self._start_term(term, now_ms)

    def _start_term(self, term: int, now_ms: float) -> None:
        self.term = term
        self.started_ms = now_ms
        self.is_granter = True
        record = GranterRecord(self._daemon, self._process, term)
        self._former_granters.observe(record, now_ms)
        for daemon in self._former_granters.daemons_to_ask(self._daemon):
            self._effects.ask_former_granter(daemon, term)
        self.granters = {}
        self._open_grants = []
        self._update_gate()
        self._update_owner_knowledge(now_ms)
        self._effects.on_term_started(term, self._position)
        self.step(now_ms)

    def _continue_in_term(self, term: int, now_ms: float) -> None:
        """Goes on as granter in a later term, with what is known of all leases."""
        self.term = term
        self._has_lost_records = False
        record = GranterRecord(self._daemon, self._process, term)
        self._former_granters.observe(record, now_ms)
        for service, granter in self.granters.items():
            granter.continue_in_term(term, self._shared.recorded_owners(service))
        self._update_gate()
        self._effects.on_term_started(term, self._position)

    def _update_owner_knowledge(self, now_ms: float) -> None:
        """Records as soon as this granter knows of all leases; it goes on to know."""
        if not self.is_granter or self.knows_all_owners:
            return
        are_complete = self._owner_records.are_complete(self._position)
        have_ended = now_ms >= self.former_leases_end_ms()
        self.knows_all_owners = are_complete or have_ended

    def _is_era_due(self) -> bool:
        """Returns whether to record that all owners are recorded in this era."""
        if not self.knows_all_owners or self._has_lost_records or self._writes:
            return False
        if self._owner_records.is_era_recorded(self._position):
            return False
        if self._shared.has_uncertain_owners():
            return False
        services = set(self._shared.owners) | set(self.granters)
        granters = [self.granters.get(service) for service in services]
        return all(item is not None and item.is_recorded for item in granters)

    def _share_open_grants(self, now_ms: float) -> None:
        """Passes the reports of all former granters on, once they are complete."""
        max_lease_ms = Granter.max_lease_ms(self._timings.outage_lease_ms)
        if not self._former_granters.have_all_reported(now_ms - max_lease_ms):
            return
        for service, granter in self.granters.items():
            granter.observe_open_grants(select_open_grants(self._open_grants, service))

    def _repair_owners(self) -> None:
        """Lets owners be recorded again that may not be on record."""
        for service, granter in self.granters.items():
            is_pending = any(write.service == service for write in self._writes)
            if self._shared.are_owners_uncertain(service) and not is_pending:
                granter.record_again()
                self._effects.on_record_replaced(OWNERS_PREFIX + service, self.term)

    def _shorten_former_authority(self, now_ms: float) -> None:
        members = self._shared.members
        processes = {name: member.process for name, member in members.items()}
        self._former_granters.update_processes(processes, now_ms)
        end_ms = self.former_authority_end_ms()
        for granter in self.granters.values():
            granter.shorten_former_authority(end_ms)
        self._share_open_grants(now_ms)
