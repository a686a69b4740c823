"""Tests of when a daemon claims the granter role, and of what it may do in its term."""

from __future__ import annotations

import pytest

from skylarktrail.core.gateway.granter_role import GranterRole
from skylarktrail.core.gateway.lease_call_gate import LeaseCallGate
from skylarktrail.core.gateway.lease_calls import (
    LeaseTimings,
)
from skylarktrail.core.gateway.ranges import OwnedRange
from skylarktrail.core.gateway.shared_state import (
    GRANTER_KEY,
    OWNERS_PREFIX,
    GranterRecord,
    SharedState,
    encode_granter,
    encode_owners,
)

TIMINGS = LeaseTimings()
SERVICE = "stock"
OWNERS = (OwnedRange(0, 65535, "i-1", 1),)


class Daemon:
    """A daemon that keeps what its granter role asks for.

    Attributes:
        role: The role.
        shared: The shared records.
        writes: The writes that were sent and have no result yet.
        now_ms: Present time.
    """

    def __init__(self) -> None:
        self.shared = SharedState()
        self.writes = []
        self.now_ms = 10_000.0
        self.gate = LeaseCallGate()
        self.role = GranterRole(
            "d1", "p1", TIMINGS, self.shared, self.gate, self, lambda: False
        )

    def send_write(self, write):
        """Keeps a write."""
        self.writes.append(write)

    def ask_former_granter(self, daemon, term):
        """Gets no reply."""

    def on_term_started(self, term, position):
        """Needs no handling."""

    def on_term_ended(self, term, successor):
        """Needs no handling."""

    def on_owners_recorded(self, service, is_recorded):
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


@pytest.fixture
def daemon():
    return Daemon()


def granter_record(daemon, process, term):
    return (GRANTER_KEY, encode_granter(GranterRecord(daemon, process, term)))


def owners_record(ranges):
    return (OWNERS_PREFIX + SERVICE, encode_owners(ranges))


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
