"""Tests of when a daemon claims the granter role, and of what it may do in its term."""

from __future__ import annotations

import pytest

from skylarktrail.core.gateway.granter import Granter
from skylarktrail.core.gateway.granter_role import GranterRole
from skylarktrail.core.gateway.lease_call_gate import LeaseCallGate
from skylarktrail.core.gateway.lease_calls import (
    MAX_GRANT_DELIVERY_MS,
    CallResult,
    KeyedInstance,
    LeaseTimings,
    RecordOwners,
)
from skylarktrail.core.gateway.positions import make_position
from skylarktrail.core.gateway.ranges import OwnedRange
from skylarktrail.core.gateway.role_vacancy import RESTORE_GRACE_MS
from skylarktrail.core.gateway.shared_state import (
    ERA_KEY,
    GRANTER_KEY,
    OWNERS_PREFIX,
    GranterRecord,
    SharedState,
    decode_granter,
    encode_era,
    encode_granter,
    encode_owners,
)

TIMINGS = LeaseTimings()
SERVICE = "stock"
OWNERS = (OwnedRange(0, 65535, "i-1", 1),)
MOVED_OWNERS = (OwnedRange(0, 65535, "i-2", 1),)
INSTANCES = {
    name: KeyedInstance(name, f"{name}:80", 1, True) for name in ("i-1", "i-2")
}
FORMER_LEASES_MS = (
    TIMINGS.authority_ms
    + MAX_GRANT_DELIVERY_MS
    + Granter.max_lease_ms(TIMINGS.outage_lease_ms)
)


class Daemon:
    """A daemon that keeps what its granter role asks for.

    Attributes:
        role: The role.
        shared: The shared records.
        writes: The writes that were sent and have no result yet.
        read_request_count: Reads that the role asked for.
        now_ms: Present time.

    Args:
        first_start_ms: When it started, if that was the first start of the site.
    """

    STARTED_MS = 10_000.0

    def __init__(self, first_start_ms: float | None = None) -> None:
        self.shared = SharedState()
        self.writes = []
        self.read_request_count = 0
        self.now_ms = self.STARTED_MS
        self.gate = LeaseCallGate()
        self.role = GranterRole(
            "d1",
            "p1",
            TIMINGS,
            self.shared,
            self.gate,
            self,
            lambda: False,
            first_start_ms,
        )

    def send_write(self, write):
        """Keeps a write."""
        self.writes.append(write)

    def request_read(self):
        """Counts the reads that the role asks for."""
        self.read_request_count += 1

    def ask_former_granter(self, daemon, term):
        """Gets no reply."""

    def on_term_started(self, term, position):
        """Needs no handling."""

    def on_term_ended(self, term, successor):
        """Needs no handling."""

    def on_owners_recorded(self, service, is_recorded):
        """Needs no handling."""

    def on_record_replaced(self, key, term):
        """Needs no handling."""

    def read(self, position, *records, is_snapshot=False):
        """Applies records and hands the read to the role."""
        self.shared.apply(records, is_snapshot)
        self.role.handle_read(position, self.now_ms, self.now_ms)

    def land(self):
        """Lets the oldest write without a result be applied; returns its key."""
        write = self.writes.pop(0)
        position = write.expected_position + 1
        self.shared.apply([(write.key, write.value)], False)
        self.role.handle_write_applied(write, position, self.now_ms)
        return write.key

    def become_granter(self, position, *records):
        """Reads records and claims the role."""
        self.read(position, *records)
        self.role.handle_candidacy(True, self.now_ms)
        assert self.land() == GRANTER_KEY
        assert self.role.is_granter

    def step_service(self):
        """Steps the service as its granter's actor does; returns the actions."""
        granter = self.role.find_granter(SERVICE, self.now_ms)
        if granter is None:
            return []
        confirmed_ms = self.role.confirmed_ms
        actions = granter.step(INSTANCES, self.now_ms, confirmed_ms=confirmed_ms)
        for action in actions:
            if isinstance(action, RecordOwners):
                self.role.record_owners(SERVICE, action.ranges, self.now_ms)
        return actions

    def answer_grants(self, actions):
        """Lets the instances accept all grants."""
        granter = self.role.granters[SERVICE]
        for action in actions:
            if not isinstance(action, RecordOwners):
                granter.handle_result(CallResult(action.call_id, "done"), self.now_ms)


@pytest.fixture
def daemon():
    return Daemon()


def granter_record(daemon, process, term):
    return (GRANTER_KEY, encode_granter(GranterRecord(daemon, process, term)))


def owners_record(ranges):
    return (OWNERS_PREFIX + SERVICE, encode_owners(ranges))


def era_record(era):
    return (ERA_KEY, encode_era(era))


def test_a_claim_names_the_position_of_the_last_broadcast(daemon):
    """A daemon that hears all records from the granter does not read the store.

    With the position of its last read, its claim is refused until a long poll ends.
    """
    daemon.read(5, granter_record("d2", "p2", 4))
    daemon.shared.apply([owners_record(OWNERS)], False)
    daemon.role.handle_broadcast(6, daemon.now_ms)
    daemon.role.handle_candidacy(True, daemon.now_ms)
    assert daemon.writes[0].expected_position == 6


def test_a_broadcast_confirms_no_term(daemon):
    daemon.become_granter(5, granter_record("d2", "p2", 4))
    daemon.now_ms += TIMINGS.authority_ms
    daemon.role.handle_broadcast(7, daemon.now_ms)
    assert not daemon.role.may_grant(daemon.now_ms)


def test_a_claim_confirms_its_term(daemon):
    """The last read of a daemon that hears the granter may be minutes old."""
    daemon.read(5, granter_record("d2", "p2", 4))
    daemon.now_ms += 60_000
    daemon.role.handle_candidacy(True, daemon.now_ms)
    daemon.land()
    assert daemon.role.may_grant(daemon.now_ms)


def test_a_granter_in_office_records_all_owners_again_in_a_new_era():
    """The store comes back without the last owners and the record of their granter."""
    daemon = Daemon(first_start_ms=Daemon.STARTED_MS)
    first = make_position(1, 5)
    former = granter_record("d2", "p2", 4)
    daemon.become_granter(first, former, owners_record(MOVED_OWNERS))
    daemon.answer_grants(daemon.step_service())
    daemon.now_ms += 100
    daemon.role.step(daemon.now_ms)
    assert daemon.land() == ERA_KEY
    daemon.now_ms += 1000
    former_term = daemon.role.term
    old_copy = [former, owners_record(OWNERS), era_record(1)]
    daemon.read(make_position(2, 4), *old_copy, is_snapshot=True)
    assert decode_granter(daemon.writes[0].value).term > former_term
    assert daemon.land() == GRANTER_KEY
    daemon.step_service()
    assert daemon.writes[0].ranges == MOVED_OWNERS
    assert daemon.land() == OWNERS_PREFIX + SERVICE
    daemon.role.step(daemon.now_ms)
    assert daemon.land() == ERA_KEY
    assert daemon.shared.era == 2


def test_a_granter_in_office_records_owners_that_a_new_era_lacks(daemon):
    """The store comes back from a copy that is older than the first record of owners.

    A daemon that starts later would know no owners, and trust the recorded era.
    """
    former = granter_record("d2", "p2", 4)
    records = [former, owners_record(OWNERS), era_record(1)]
    daemon.become_granter(make_position(1, 5), *records)
    daemon.answer_grants(daemon.step_service())
    daemon.now_ms += 1000
    daemon.read(make_position(2, 4), former, is_snapshot=True)
    assert daemon.land() == GRANTER_KEY
    daemon.step_service()
    assert daemon.land() == OWNERS_PREFIX + SERVICE
    daemon.role.step(daemon.now_ms)
    assert daemon.land() == ERA_KEY


def test_the_next_granter_trusts_no_owners_that_a_new_era_lacks(daemon):
    """It heard of them from the former granter, which ended with the earlier era."""
    former = granter_record("d2", "p2", 4)
    daemon.read(make_position(1, 5), former, owners_record(OWNERS))
    daemon.read(make_position(2, 4), former, is_snapshot=True)
    daemon.now_ms += RESTORE_GRACE_MS + 1
    daemon.role.handle_candidacy(True, daemon.now_ms)
    assert daemon.land() == GRANTER_KEY
    daemon.now_ms += FORMER_LEASES_MS + 1
    daemon.read(make_position(2, 6))
    daemon.step_service()
    assert daemon.land() == OWNERS_PREFIX + SERVICE


def test_leases_are_renewed_while_the_granter_claims_its_next_term(daemon):
    daemon.become_granter(make_position(1, 5), owners_record(OWNERS), era_record(1))
    daemon.answer_grants(daemon.step_service())
    daemon.read(make_position(2, 3), owners_record(OWNERS), is_snapshot=True)
    daemon.now_ms += TIMINGS.renew_ms
    assert daemon.role.may_grant(daemon.now_ms)
    assert daemon.step_service()


def test_terms_of_a_new_era_exceed_those_that_the_store_has_lost(daemon):
    """A daemon that started later knows only the records of the older copy."""
    records = [granter_record("d2", "p2", 4), era_record(1)]
    daemon.read(make_position(2, 5), *records)
    daemon.role.handle_candidacy(True, daemon.now_ms)
    assert decode_granter(daemon.writes[0].value).term > 1000


def test_owners_of_an_earlier_era_get_no_grants_before_all_leases_have_ended(daemon):
    """The keys may have moved by a record that the store has lost."""
    records = [granter_record("d2", "p2", 4), era_record(1)]
    daemon.become_granter(make_position(2, 5), *records, owners_record(OWNERS))
    assert not daemon.step_service()
    daemon.now_ms += FORMER_LEASES_MS - 1
    assert not daemon.step_service()
    daemon.now_ms += 2
    assert daemon.step_service()


def test_a_granter_in_office_has_time_to_claim_its_next_term(daemon):
    daemon.read(make_position(1, 5), granter_record("d2", "p2", 4))
    daemon.read(make_position(2, 3), granter_record("d3", "p3", 3), is_snapshot=True)
    daemon.role.handle_candidacy(True, daemon.now_ms)
    assert not daemon.writes
    daemon.now_ms += RESTORE_GRACE_MS + 1
    daemon.role.handle_candidacy(True, daemon.now_ms)
    assert daemon.writes


def test_owners_are_trusted_where_the_store_names_no_era(daemon):
    daemon.become_granter(5, granter_record("d2", "p2", 4), owners_record(OWNERS))
    assert daemon.step_service()
    assert not daemon.writes


def test_leases_are_longer_while_the_store_is_away(daemon):
    """They outlast the wait until a store that is away for long is read again."""
    daemon.become_granter(5, owners_record(OWNERS))
    (grant,) = daemon.step_service()
    assert grant.lease_ms == TIMINGS.lease_ms
    daemon.answer_grants([grant])
    daemon.now_ms += 3 * TIMINGS.renew_ms
    (renewal,) = daemon.step_service()
    assert renewal.lease_ms == TIMINGS.outage_lease_ms


def test_an_offer_from_before_a_return_of_the_store_is_not_taken(daemon):
    """The granter offered its role as its reads failed, and is still in office."""
    daemon.read(make_position(1, 5), granter_record("d2", "p2", 4))
    daemon.role.handle_offer(4, daemon.now_ms)
    daemon.read(make_position(2, 3), granter_record("d2", "p2", 4), is_snapshot=True)
    assert not daemon.writes


def test_a_refused_claim_is_not_sent_again_before_a_read(daemon):
    """Other daemons write their records while a site starts, so claims are refused."""
    daemon.read(5, granter_record("d2", "p2", 4))
    daemon.role.handle_candidacy(True, daemon.now_ms)
    daemon.role.handle_write_failed(daemon.writes.pop(), True, daemon.now_ms)
    assert daemon.read_request_count == 1
    daemon.now_ms += 500
    daemon.role.step(daemon.now_ms)
    assert not daemon.writes
    daemon.read(6)
    daemon.role.handle_candidacy(True, daemon.now_ms)
    assert daemon.writes[0].expected_position == 6


def test_a_refused_claim_that_was_applied_before_begins_a_term(daemon):
    """Its first answer was lost, and the same claim was sent again."""
    daemon.read(5, granter_record("d2", "p2", 4))
    daemon.role.handle_candidacy(True, daemon.now_ms)
    claim = daemon.writes.pop()
    daemon.role.handle_write_failed(claim, False, daemon.now_ms)
    daemon.now_ms += 500
    daemon.role.step(daemon.now_ms)
    assert daemon.writes == [claim]
    daemon.role.handle_write_failed(claim, True, daemon.now_ms)
    daemon.read(6, (claim.key, claim.value))
    assert daemon.role.is_granter


@pytest.mark.parametrize("sign", ("refused", "asked to end"))
def test_a_granter_with_a_successor_is_not_in_office_in_a_new_era(daemon, sign):
    """It was cut off, and the store has lost the record of its successor."""
    former = granter_record("d2", "p2", 4)
    records = [former, owners_record(OWNERS), era_record(1)]
    daemon.become_granter(make_position(1, 5), *records)
    daemon.answer_grants(daemon.step_service())
    daemon.now_ms += 1000
    if sign == "refused":
        daemon.role.handle_fenced(daemon.now_ms)
    else:
        daemon.gate.supersede(daemon.role.term + 1)
    daemon.now_ms += 1000
    own = granter_record("d1", "p1", daemon.role.term)
    old_copy = [own, owners_record(OWNERS)]
    daemon.writes.clear()
    daemon.read(make_position(2, 4), *old_copy, is_snapshot=True)
    assert not daemon.role.is_granter
    assert not daemon.writes
