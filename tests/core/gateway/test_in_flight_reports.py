"""Tests of the sums of in-flight requests and their use by the daemons."""

from __future__ import annotations

from skylarktrail.core.gateway.in_flight_reports import (
    REPORT_TTL_MS,
    InFlightReports,
    find_overloaded,
)
from skylarktrail.core.gateway.instance import OWN_REPORT_TTL_MS, Instance
from skylarktrail.core.gateway.model import LoadReport

DAEMONS = [f"d{number}" for number in range(17)]
SLOTS = {"i-1": 3, "i-2": 3}


def test_one_request_of_each_daemon_fills_an_instance(make_entry):
    """Many daemons have one request each in flight to a hot owner."""
    reports = InFlightReports()
    for daemon in DAEMONS:
        reports.record(daemon, {"i-1": 1}, 100.0)
    busy = find_overloaded(reports.totals(200.0), SLOTS)
    instance = Instance(make_entry(), 0.0)
    instance.begin(0.0)
    instance.record_in_flight_total(busy["i-1"], 200.0)
    assert instance.occupancy(200.0) == len(DAEMONS)
    assert instance.occupancy(900.0) > 3


def test_instances_with_free_slots_are_not_overloaded():
    reports = InFlightReports()
    for daemon in DAEMONS[:2]:
        reports.record(daemon, {"i-1": 1, "i-2": 2, "gone": 9}, 0.0)
    assert find_overloaded(reports.totals(0.0), SLOTS) == {"i-2": 4}


def test_a_report_replaces_the_previous_one_and_expires():
    reports = InFlightReports()
    reports.record("d1", {"i-1": 5}, 0.0)
    reports.record("d1", {"i-1": 4}, 10.0)
    assert reports.totals(10.0 + REPORT_TTL_MS) == {"i-1": 4}
    assert not reports.totals(11.0 + REPORT_TTL_MS)


def test_a_recent_load_report_takes_precedence_over_totals(make_entry):
    instance = Instance(make_entry(), 0.0)
    instance.record_load_report(LoadReport(1, 0, 3), 100.0)
    instance.record_in_flight_total(9, 99.0 + OWN_REPORT_TTL_MS)
    assert instance.occupancy(100.0) == 1
    instance.record_in_flight_total(9, 101.0 + OWN_REPORT_TTL_MS)
    assert instance.occupancy(101.0 + OWN_REPORT_TTL_MS) == 9


def test_an_instance_that_is_no_longer_overloaded_has_a_free_slot(make_entry):
    instance = Instance(make_entry(), 0.0)
    instance.record_in_flight_total(9, 1000.0)
    instance.record_not_overloaded()
    assert instance.occupancy(1000.0) == instance.entry.slots - 1


def test_a_load_report_is_kept_when_no_total_is_broadcast(make_entry):
    instance = Instance(make_entry(), 0.0)
    instance.record_load_report(LoadReport(3, 4, 3), 1000.0)
    instance.record_not_overloaded()
    assert instance.occupancy(1000.0) == 7
