"""Tests of overloads by requests of several priorities at the same service."""

from __future__ import annotations

import pytest

from .overload_model import Kind, OverloadReplay, Site

LEDGER = Site(82, 32, 4)
BALANCED = Site(82, 49, 3)  # Of 73 instances, those of one zone are out of service.
KEYED = Site(40, 12, 4, is_keyed=True)
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
        "customer": make("customer", 1, 260.0, 812.0, 2031.0, 2031.0),
        "stock": make("stock", 2, 200.0, 612.0, 1529.0, 1529.0),
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


@pytest.fixture
def replay_long_burst(kinds, make_entry):
    """Returns a function that replays 15 s of reads at 1.7 times the capacity."""

    def replay(is_shedding):
        simulation = OverloadReplay(BALANCED, make_entry, seed=1)
        simulation.is_shedding_service = is_shedding
        simulation.counted_from_ms = 4000.0
        simulation.send_requests(kinds["confirmation"], 45.0, 0.0, 20_000.0)
        simulation.send_requests(kinds["read"], 70.0, 0.0, 4000.0)
        simulation.send_requests(kinds["read"], 274.0, 4000.0, 19_000.0)
        simulation.run(28_000.0)
        return simulation

    return replay


def test_a_service_sheds_reads_before_confirmations_time_out(replay_long_burst, kinds):
    """Guards against full instances that daemons take for idle ones."""
    confirmation = kinds["confirmation"].route
    before, after = replay_long_burst(False), replay_long_burst(True)
    timed_out = after.part(confirmation, "timed out")
    assert timed_out < 0.7 * before.part(confirmation, "timed out")
    in_time = after.part(confirmation, "in time")
    assert in_time > before.part(confirmation, "in time") + 0.04
    assert after.part(confirmation, "refused") == 0


@pytest.fixture
def replay_keyed(kinds, make_entry):
    """Returns a function that replays two kinds of requests at owners of keys.

    From 3 to 11 s, there are more requests for the keys of some owners.
    """

    def replay(extra_stock_per_s, extra_customers_per_s, owners, seed):
        simulation = OverloadReplay(KEYED, make_entry, seed)
        simulation.counted_from_ms = 3000.0
        stock, customer = kinds["stock"], kinds["customer"]
        simulation.send_requests(stock, 110.0, 0.0, 11_000.0)
        simulation.send_requests(customer, 32.0, 0.0, 11_000.0)
        for kind, per_s in (
            (stock, extra_stock_per_s),
            (customer, extra_customers_per_s),
        ):
            if per_s:
                simulation.send_requests(kind, per_s, 3000.0, 11_000.0, owners)
        simulation.run(15_000.0)
        return simulation

    return replay


def test_an_overload_of_all_owners_is_refused_by_priority(replay_keyed, kinds):
    """Guards against urgent requests that are refused as often as others.

    All requests together need 1.6 times the slots, those of priority 1 half of them.
    Before, 0.5 to 0.6 of these were in time.
    """
    simulation = replay_keyed(154.0, 60.0, None, 1)
    simulation.outcomes += replay_keyed(154.0, 60.0, None, 2).outcomes
    customer, stock = kinds["customer"].route, kinds["stock"].route
    assert simulation.part(customer, "in time") > 0.68
    assert simulation.part(customer, "in time", "late") > 0.9
    assert simulation.part(stock, "in time") > 0.2
    assert simulation.part(customer, "timed out") < 0.01


@pytest.mark.parametrize("seed", SEEDS)
def test_a_hot_owner_refuses_by_priority(replay_keyed, kinds, seed):
    """One owner gets twice what it can serve; the others are at 0.7."""
    simulation = replay_keyed(20.0, 8.0, [0], seed)
    customer, stock = kinds["customer"].route, kinds["stock"].route
    assert simulation.part(customer, "in time") > simulation.part(stock, "in time")
    assert simulation.part(customer, "in time") > 0.85
    assert simulation.part(stock, "in time") > 0.72


def test_owners_below_their_capacity_refuse_hardly_any_requests(replay_keyed, kinds):
    simulation = replay_keyed(0.0, 0.0, None, 1)
    for name in ("customer", "stock"):
        assert simulation.part(kinds[name].route, "refused") < 0.02
        assert simulation.part(kinds[name].route, "in time") > 0.92
