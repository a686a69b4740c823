"""Tests the invariants of the ownership protocol under arbitrary faults."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from benchmarks.ownership_world import FAULTS, SIMULATION_TIMINGS, Simulation, run
from skylarktrail.core.ownership import Timings

FAULT_NAMES = [fault.__name__ for fault in FAULTS]
TIMINGS = (
    SIMULATION_TIMINGS,
    Timings(suspect_ms=300),
    Timings(lease_ms=4000, renew_ms=900),
)


class OwnershipMachine(RuleBasedStateMachine):
    """Injects faults in any order; the simulation itself checks the invariants."""

    @initialize(seed=st.integers(0, 999), timings=st.sampled_from(TIMINGS))
    def begin(self, seed: int, timings: Timings) -> None:
        self.simulation = Simulation(seed, timings)
        self.simulation.advance(5000)

    @rule(
        name=st.sampled_from(FAULT_NAMES),
        index=st.integers(0, 59),
        span_ms=st.integers(100, 6000),
    )
    def fault(self, name: str, index: int, span_ms: int) -> None:
        getattr(self.simulation, name)(index, span_ms)

    @rule(name=st.sampled_from(FAULT_NAMES), group=st.integers(0, 2))
    def fault_at_granter(self, name: str, group: int) -> None:
        getattr(self.simulation, name)(self.simulation.granter_of(group), 3000)

    @rule(name=st.sampled_from(FAULT_NAMES), group=st.integers(0, 2))
    def fault_at_heir(self, name: str, group: int) -> None:
        getattr(self.simulation, name)(self.simulation.heir_of(group), 3000)

    @rule(span_ms=st.integers(10, 2000))
    def advance(self, span_ms: int) -> None:
        self.simulation.advance(span_ms)

    def teardown(self) -> None:
        """Checks that everything is served again after the faults ended."""
        if hasattr(self, "simulation"):
            self.simulation.end_faults()


TestOwnershipMachine = OwnershipMachine.TestCase
TestOwnershipMachine.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=45,
    stateful_step_count=40,
)


@pytest.mark.parametrize("seed", range(1, 6))
def test_seeded_faults_violate_no_invariant(seed):
    assert run(Simulation(seed, TIMINGS[seed % len(TIMINGS)]), 400) == 400
