"""Tests of the time for which former granters may still send grants."""

from __future__ import annotations

import pytest

from skylarktrail.core.gateway.former_granters import FormerGranters
from skylarktrail.core.gateway.lease_calls import MAX_GRANT_DELIVERY_MS
from skylarktrail.core.gateway.shared_state import GranterRecord

AUTHORITY_MS = 8000.0


@pytest.fixture
def former():
    former = FormerGranters(AUTHORITY_MS)
    former.observe(GranterRecord("d1", "p1", 1), 0.0)
    former.observe(GranterRecord("d2", "p2", 2), 1000.0)
    former.observe(GranterRecord("d3", "p3", 3), 2000.0)
    return former


def test_authority_ends_after_the_record_of_the_successor(former):
    assert former.authority_end_ms("d3") == 2000.0 + AUTHORITY_MS
    assert former.daemons_to_ask("d3") == ["d1", "d2"]


def test_a_granter_that_reports_its_end_is_not_waited_for(former):
    former.record_end("d2", 2500.0)
    assert former.authority_end_ms("d3") == 1000.0 + AUTHORITY_MS
    former.record_end("d1", 2600.0)
    assert former.authority_end_ms("d3") == 2600.0


def test_a_replaced_process_has_ended(former):
    former.update_processes({"d1": "p1", "d2": "p3"}, 2100.0)
    assert former.authority_end_ms("d3") == 1000.0 + AUTHORITY_MS


def test_own_earlier_terms_are_not_waited_for(former):
    former.observe(GranterRecord("d2", "p9", 4), 3000.0)
    former.record_end("d1", 0.0)
    former.record_end("d3", 3100.0)
    assert former.authority_end_ms("d2") == 3100.0


def test_terms_before_the_start_of_a_daemon_are_waited_for():
    former = FormerGranters(AUTHORITY_MS)
    former.observe(GranterRecord("d1", "p1", 5), 100.0)
    assert former.authority_end_ms("d2") == 100.0 + AUTHORITY_MS


def test_a_new_site_has_no_former_granters():
    former = FormerGranters(AUTHORITY_MS)
    former.observe(GranterRecord("d1", "p1", 1), 100.0)
    assert former.authority_end_ms("d1") == 0.0


def test_an_earlier_process_of_this_daemon_granted_until_this_one_started():
    former = FormerGranters(AUTHORITY_MS)
    former.observe(GranterRecord("d1", "p1", 1), 500.0)
    former.observe(GranterRecord("d1", "p2", 2), 2000.0)
    assert former.authority_end_ms("d1") == 500.0 + MAX_GRANT_DELIVERY_MS


def test_a_granter_whose_record_was_not_seen_is_waited_for():
    """Two changes of the granter come with one read."""
    former = FormerGranters(AUTHORITY_MS)
    former.observe(GranterRecord("d1", "p1", 1), 0.0)
    former.observe(GranterRecord("d3", "p3", 3), 2000.0)
    former.record_end("d1", 0.0)
    assert former.authority_end_ms("d3") == 2000.0 + AUTHORITY_MS


def test_an_earlier_process_that_is_still_on_record_has_not_replaced_a_granter(former):
    former.update_processes({"d2": "p1"}, 2100.0)
    assert former.authority_end_ms("d3") == 2000.0 + AUTHORITY_MS


def test_a_process_that_replaced_an_earlier_granter_is_waited_for(former):
    """Both processes of a daemon were granter; the second one still runs."""
    former.observe(GranterRecord("d2", "p9", 4), 3000.0)
    former.observe(GranterRecord("d5", "p5", 5), 4000.0)
    former.update_processes({"d2": "p9"}, 4100.0)
    assert former.authority_end_ms("d5") == 4000.0 + AUTHORITY_MS


def test_a_call_of_a_replaced_process_may_still_be_under_way(former):
    former.record_end("d1", 0.0)
    former.update_processes({"d2": "p9"}, 2100.0)
    assert former.authority_end_ms("d3") == 2100.0 + MAX_GRANT_DELIVERY_MS


def test_each_granter_of_many_short_terms_is_waited_for():
    former = FormerGranters(AUTHORITY_MS)
    for term in range(1, 20):
        former.observe(GranterRecord(f"d{term}", f"p{term}", term), term * 100.0)
    for term in range(2, 20):
        former.record_end(f"d{term}", 0.0)
    assert former.authority_end_ms("d19") == 200.0 + AUTHORITY_MS


def test_reports_are_complete_once_each_former_process_has_reported(former):
    former.observe(GranterRecord("d2", "p9", 4), 3000.0)
    for process in ("p1", "p3", "p9"):
        former.record_report(process)
    assert not former.have_all_reported(0.0)
    former.record_report("p2")
    assert former.have_all_reported(0.0)


def test_granters_whose_leases_have_expired_need_not_report(former):
    former.record_end("d1", 100.0)
    former.record_report("p2")
    assert not former.have_all_reported(50.0)
    assert former.have_all_reported(100.0)
