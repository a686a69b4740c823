"""Tests that what is known of one process is not applied to another."""

from __future__ import annotations

from skylarktrail.core.gateway.granter import Granter
from skylarktrail.core.gateway.key_load import LoadDistribution
from skylarktrail.core.gateway.lease_calls import (
    CallResult,
    GrantCall,
    KeyedInstance,
    LeaseTimings,
    RecordOwners,
)
from skylarktrail.core.gateway.ranges import OwnedRange, OwnerTable

TIMINGS = LeaseTimings()
STEP_MS = 100.0
EVEN_LOAD = LoadDistribution({}, 1.0, 0.0)
START_MS = 100_000.0
RECOVERY_TARGET_MS = 5000.0
LISTING_MS = 2000.0  # Two listings, with one that is lost.


def instance(name, start_ms=1, address=""):
    return KeyedInstance(name, address or name, start_ms, True)


class Run:
    """Steps a granter; records land and calls are answered by the test.

    Attributes:
        owners: Listed instances.
        outcomes: Outcome of the calls to each instance; `done` if not named.
    """

    def __init__(self, recorded, owners) -> None:
        self.granter = Granter(TIMINGS, 2, OwnerTable(recorded), 0.0)
        self.owners = {owner.instance: owner for owner in owners}
        self.outcomes = {}
        self.now_ms = START_MS
        self.calls = []

    def advance(self, duration_ms, should_balance=False):
        """Lets the granter act."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            self._step()
            self.granter.rebalance(EVEN_LOAD, should_balance)
            self._step()

    def _step(self):
        for action in self.granter.step(self.owners, self.now_ms, self.now_ms):
            if isinstance(action, RecordOwners):
                self.granter.handle_recorded(True)
                continue
            self.calls.append(action)
            outcome = self.outcomes.get(action.instance, "done")
            result = CallResult(action.call_id, outcome)
            self.granter.handle_result(result, self.now_ms)

    def granted(self):
        """Returns the instances that were sent a grant since the last call."""
        calls, self.calls = self.calls, []
        return {call.instance for call in calls if isinstance(call, GrantCall)}


def test_keys_of_an_owner_that_stays_listed_as_an_older_process_are_granted():
    """The clock by which an instance states its start may have been set back."""
    run = Run(
        [OwnedRange(0, 65535, "s1", 2000)], [instance("s1", 1000), instance("s2")]
    )
    run.advance(LISTING_MS + TIMINGS.lease_ms + RECOVERY_TARGET_MS)
    assert run.granted(), "the range gets no grant, no release and no other owner"


def test_answers_at_the_former_address_are_no_proof_that_a_restarted_owner_ended():
    """It restarts elsewhere, and another process answers at its former address."""
    run = Run(
        [OwnedRange(0, 65535, "s1", 1000)],
        [instance("s1", 1000, "a1"), instance("s2")],
    )
    run.advance(1000)
    run.outcomes["s1"] = "replaced"
    run.advance(2 * TIMINGS.renew_ms)
    run.owners["s1"] = instance("s1", 2000, "b1")
    run.outcomes["s1"] = "silent"  # A call to it may still be carried out.
    run.advance(STEP_MS)
    run.granted()
    del run.owners["s1"]
    run.advance(1000)
    assert "s2" not in run.granted()


def test_answers_of_another_process_prove_that_an_unlisted_owner_has_ended():
    run = Run(
        [OwnedRange(0, 65535, "s1", 1000)], [instance("s1", 1000), instance("s2")]
    )
    run.advance(1000)
    del run.owners["s1"]
    run.outcomes["s1"] = "replaced"
    run.granted()
    run.advance(1000)
    assert "s2" in run.granted()


def test_another_instance_at_its_address_proves_no_end_of_an_unlisted_owner():
    """Its entry may be older than the owner's process."""
    run = Run(
        [OwnedRange(0, 65535, "s1", 1000)],
        [instance("s1", 1000, "a1"), instance("s2"), instance("x", 2000, "a1")],
    )
    run.advance(1000)
    del run.owners["s1"]
    run.outcomes["s1"] = "silent"
    run.granted()
    run.advance(1000)
    assert run.granted() <= {"s1"}


def test_a_new_process_of_an_instance_that_answered_nothing_gets_keys():
    run = Run(
        [OwnedRange(0, 32767, "s1", 1000), OwnedRange(32768, 65535, "s2", 1)],
        [instance("s1", 1000), instance("s2")],
    )
    run.advance(1000)
    run.outcomes["s1"] = "silent"
    run.advance(12_000)
    run.outcomes["s1"] = "done"
    run.owners["s1"] = instance("s1", 2000)
    run.granted()
    run.advance(RECOVERY_TARGET_MS, should_balance=True)
    assert "s1" in run.granted()
