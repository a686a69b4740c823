"""Tests of overloads by requests of several priorities at the same service."""

from __future__ import annotations

import pytest

from .overload_model import Kind, OverloadReplay, Site

LEDGER = Site(82, 32, 4)
SEEDS = (1, 2)


@pytest.fixture
def kinds(make_route):
    """Returns kinds of requests by name, as the new deployments have them."""

    def make(name, priority, work_ms, target_ms, deadline_ms, timeout_ms):
        route = make_route(
            name=name, priority=priority, target_ms=target_ms, timeout_ms=timeout_ms
        )
        return Kind(route, work_ms, 0.5, deadline_ms)

    return {
        "confirmation": make("confirmation", 0, 151.0, 524.0, 2603.0, 1200.0),
        "read": make("read", 2, 886.0, 5029.0, 10_017.0, 5000.0),
    }


@pytest.fixture
def replay_burst(kinds, make_entry):
    """Returns a function that replays reads beside confirmations.

    For five seconds there are several times as many reads as usual.
    """

    def replay(confirmations_per_s, usual_per_s, burst_per_s, seed):
        simulation = OverloadReplay(LEDGER, make_entry, seed)
        simulation.counted_from_ms = 4000.0
        reads = kinds["read"]
        if confirmations_per_s:
            simulation.send_requests(
                kinds["confirmation"], confirmations_per_s, 0.0, 12_000.0
            )
        simulation.send_requests(reads, usual_per_s, 0.0, 4000.0)
        simulation.send_requests(reads, burst_per_s, 4000.0, 9000.0)
        simulation.send_requests(reads, usual_per_s, 9000.0, 12_000.0)
        simulation.run(24_000.0)
        return simulation

    return replay


@pytest.mark.parametrize("seed", SEEDS)
def test_a_burst_of_long_reads_leaves_room_for_confirmations(replay_burst, kinds, seed):
    """Guards against slots and queues that less urgent requests fill.

    Before, 0.3 to 0.4 of the confirmations were in time and 0.96 of the reads.
    """
    simulation = replay_burst(89.1, 89.1, 178.0, seed)
    confirmation, read = kinds["confirmation"].route, kinds["read"].route
    confirmed = simulation.part(confirmation, "in time", "late")
    assert confirmed >= simulation.part(read, "in time", "late")
    assert simulation.part(confirmation, "in time") > 0.75
    assert simulation.part(read, "in time") > 0.7


def test_few_urgent_requests_cost_a_service_little(replay_burst, kinds):
    """Guards against a third of the capacity kept free for hardly any requests."""
    read = kinds["read"].route
    alone = replay_burst(0.0, 110.0, 150.0, 1).part(read, "in time")
    beside = replay_burst(3.0, 110.0, 150.0, 1).part(read, "in time")
    assert beside > alone - 0.1
