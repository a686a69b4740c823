"""Tests of the state that a daemon keeps of instances."""

from __future__ import annotations

from skylarktrail.core.gateway.fleet import MAX_OUTDATED_MS, OUTAGE_GRACE_MS, Fleet
from skylarktrail.core.gateway.instance import Instance
from skylarktrail.core.gateway.model import LoadReport


def changes_of(changes):
    return [(item.instance, item.change) for item in changes]


def test_instances_join_drain_and_leave(make_entry):
    fleet = Fleet()
    assert changes_of(fleet.merge([make_entry()], 0.0)) == [("i-1", "joined")]
    leaving = make_entry(is_draining=True, sequence=2)
    assert changes_of(fleet.merge([leaving], 1.0)) == [("i-1", "draining")]
    assert changes_of(fleet.merge([], 2.0)) == [("i-1", "gone")]
    assert fleet.find_by_service("stock") == []


def test_a_new_incarnation_starts_with_new_state(make_entry):
    fleet = Fleet()
    fleet.merge([make_entry(sequence=90)], 0.0)
    fleet.find("i-1").in_flight = 2
    reborn = make_entry(sequence=1, start_ms=5000)
    assert changes_of(fleet.merge([reborn], 1.0)) == [("i-1", "reborn")]
    assert fleet.find("i-1").in_flight == 0


def test_an_entry_of_an_earlier_incarnation_is_ignored(make_entry):
    fleet = Fleet()
    fleet.merge([make_entry(start_ms=5000)], 0.0)
    fleet.merge([make_entry(start_ms=1000, sequence=99)], 1.0)
    assert fleet.find("i-1").entry.start_ms == 5000


def test_an_earlier_entry_of_an_incarnation_is_ignored_for_a_while(make_entry):
    """A store that returns to an older copy serves it until the instance writes."""
    fleet = Fleet()
    fleet.merge([make_entry(sequence=90)], 0.0)
    draining = make_entry(sequence=80, is_draining=True)
    assert fleet.merge([draining], 1000.0) == []
    assert fleet.merge([make_entry(sequence=91)], 2000.0) == []
    assert fleet.merge([draining], 3000.0 + MAX_OUTDATED_MS - 1) == []
    assert fleet.find("i-1").entry.sequence == 91


def test_a_sequence_of_another_writer_does_not_hide_an_instance_for_good(make_entry):
    """A shutdown that it announces would never be seen."""
    fleet = Fleet()
    fleet.merge([make_entry(sequence=1 << 42)], 0.0)
    for second in range(1, 5):
        assert fleet.merge([make_entry(sequence=second)], second * 1000.0) == []
    draining = make_entry(sequence=9, is_draining=True)
    changes = fleet.merge([draining], 1000.0 + MAX_OUTDATED_MS)
    assert changes_of(changes) == [("i-1", "draining")]


def test_entries_lost_during_an_outage_of_the_store_are_kept_until_they_return(
    make_entry,
):
    fleet = Fleet()
    fleet.merge([make_entry()], 0.0)
    fleet.record_store_outage(1000.0)
    assert fleet.merge([], 1000.0 + OUTAGE_GRACE_MS - 1) == []
    assert changes_of(fleet.merge([], 1000.0 + OUTAGE_GRACE_MS)) == [("i-1", "gone")]


def test_cold_time_counts_from_the_first_read_of_an_entry(make_entry):
    fleet = Fleet()
    fleet.merge([make_entry(cold_ms=3000.0)], 0.0)
    instance = fleet.find("i-1")
    fleet.merge([make_entry(cold_ms=3000.0)], 900.0)
    assert instance.is_cold(2999.0)
    assert not instance.is_cold(3000.0)


def test_load_of_other_daemons_decays(make_entry):
    instance = Instance(make_entry(), 0.0)
    instance.in_flight = 1
    instance.record_load_report(LoadReport(3, 2, 3, 2.0), 100.0)
    assert instance.occupancy(100.0) == 5
    assert instance.slowdown_ratio(100.0) == 2.0
    assert 1 < instance.occupancy(1000.0) < 2
    assert instance.slowdown_ratio(2000.0) < 1.01


def test_suspensions_grow_and_end_with_a_response(make_entry):
    instance = Instance(make_entry(), 0.0)
    instance.suspend(0.0)
    assert instance.is_suspended(399.0) and not instance.is_suspended(400.0)
    instance.suspend(400.0)
    assert instance.is_suspended(1199.0)
    instance.record_success(1.0)
    assert not instance.is_suspended(1199.0)


def test_samples_are_returned_once(make_entry):
    instance = Instance(make_entry(), 0.0)
    instance.record_success(1.5)
    instance.record_failure()
    assert instance.pop_samples() == (1, 1.5, 1)
    assert not instance.has_new_samples()
