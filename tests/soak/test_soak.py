"""Tests of the soak's checks and faults, and short seeded runs of the soak."""

from __future__ import annotations

import random
from types import SimpleNamespace

import pytest

from demo.gateway_site import REQUEST_KINDS, GatewayResponse
from soak.checks import RequestRecord, check_response, find_shared_keys, find_wrong_runs
from soak.faults import FAULTS
from soak.further_faults import FURTHER_FAULTS
from soak.run import SoakRun

STOCK, BOOKING = REQUEST_KINDS

# Seeds that failed before, with the number of instances of each service.
FAILED_SEEDS = {
    # SIGHUP ended a daemon before its first log line, and nothing restarted it.
    305: 4,
}


def make_record(kind=BOOKING, status=200, body="r1 by carga-1", is_signed=True):
    return RequestRecord(kind, GatewayResponse("r1", status, body, is_signed, 1.0))


def test_complete_response_to_the_request_is_no_finding():
    assert check_response(make_record()) == ""
    assert find_wrong_runs([make_record()], {"r1": [1.0]}) == []


@pytest.mark.parametrize(
    "record",
    [
        make_record(is_signed=False),
        make_record(body="r2 by carga-1"),
        make_record(body=""),
    ],
)
def test_success_that_is_not_the_requests_own_is_found(record):
    assert check_response(record)


@pytest.mark.parametrize(
    ("record", "times"),
    [
        (make_record(), [1.0, 2.0]),
        (make_record(status=503), [1.0]),
        (make_record(), []),
    ],
)
def test_wrong_number_of_runs_is_found(record, times):
    assert find_wrong_runs([record], {"r1": times})


def test_idempotent_request_may_run_twice():
    assert find_wrong_runs([make_record(STOCK)], {"r1": [1.0, 2.0]}) == []


def test_key_held_by_two_instances_is_found():
    assert find_shared_keys({1: ["a"], 2: ["a", "b"]}) == [
        "key 2 is held by ['a', 'b']"
    ]


@pytest.mark.parametrize(
    ("seed", "seconds", "instances"),
    [(1, 6.0, 3), *((seed, 12.0, count) for seed, count in FAILED_SEEDS.items())],
)
def test_run_has_no_findings(seed, seconds, instances):
    outcome = SoakRun(seed, seconds, gateways=3, instances=instances).execute()
    assert outcome.findings == []
    assert outcome.served > 0.3 * outcome.requests


def test_run_with_gateways_cut_off_from_the_instances_has_no_findings():
    run = SoakRun(615, 10.0, gateways=4, instances=3, has_cuts=True)
    outcome = run.execute()
    assert "gateways_cut_off" in outcome.faults
    assert outcome.findings == []
    assert outcome.served > 0.3 * outcome.requests


def test_run_with_all_faults_has_no_findings():
    run = SoakRun(901, 12.0, gateways=3, instances=4, has_all_faults=True)
    outcome = run.execute()
    assert FURTHER_FAULTS.keys() & set(outcome.faults)
    assert outcome.findings == []
    assert outcome.served > 0.3 * outcome.requests


class FakeProcess:
    """Stands in for a daemon process; a signal ends it."""

    def __init__(self, has_printed):
        self.has_printed = has_printed
        self.is_running = True
        self.starts = 0

    def send_signal(self, number):
        self.is_running = False

    def start(self):
        self.starts += 1


@pytest.mark.parametrize(("has_printed", "starts"), [(False, 1), (True, 0)])
def test_reload_fault_restarts_only_a_daemon_that_had_not_started(has_printed, starts):
    process = FakeProcess(has_printed)
    site = SimpleNamespace(gateways={"d1": process})
    undo = FAULTS["gateway_told_to_reload"](site, None, random.Random(1))
    undo()
    assert process.starts == starts
