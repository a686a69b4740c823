"""A short seeded run of the soak, and proof that its checks find what they look for."""

from __future__ import annotations

import random
from types import SimpleNamespace

import pytest

from demo.gateway_site import REQUEST_KINDS, GatewayResponse
from soak.checks import RequestRecord, check_response, find_shared_keys, find_wrong_runs
from soak.faults import FAULTS
from soak.run import SoakRun

STOCK, BOOKING = REQUEST_KINDS

# Seeds that once failed, the instances of each service, and the cause.
FAILED_SEEDS = {
    # SIGHUP ended a daemon before its first line, and nothing started it again.
    305: 4,
}


def make_record(kind=BOOKING, status=200, body="r1 by carga-1", is_signed=True):
    return RequestRecord(kind, GatewayResponse("r1", status, body, is_signed, 1.0))


def test_a_whole_and_own_answer_is_no_finding():
    assert check_response(make_record()) == ""
    assert find_wrong_runs([make_record()], {"r1": [1.0]}) == []


@pytest.mark.parametrize(
    "found",
    [
        make_record(is_signed=False),
        make_record(body="r2 by carga-1"),
        make_record(body=""),
    ],
)
def test_answers_that_are_not_the_callers_are_found(found):
    assert check_response(found)


@pytest.mark.parametrize(
    ("found", "times"),
    [
        (make_record(), [1.0, 2.0]),
        (make_record(status=503), [1.0]),
        (make_record(), []),
    ],
)
def test_wrong_runs_are_found(found, times):
    assert find_wrong_runs([found], {"r1": times})


def test_an_idempotent_request_may_run_twice():
    assert find_wrong_runs([make_record(STOCK)], {"r1": [1.0, 2.0]}) == []


def test_two_owners_are_found():
    assert find_shared_keys({1: ["a"], 2: ["a", "b"]}) == [
        "key 2 is held by ['a', 'b']"
    ]


@pytest.mark.parametrize(
    ("seed", "seconds", "instances"),
    [(1, 6.0, 3), *((seed, 12.0, count) for seed, count in FAILED_SEEDS.items())],
)
def test_run_finds_nothing(seed, seconds, instances):
    outcome = SoakRun(seed, seconds, gateways=3, instances=instances).execute()
    assert outcome.findings == []
    assert outcome.served > 0.3 * outcome.requests


class FakeProcess:
    """A daemon of a site without processes."""

    def __init__(self, has_printed):
        self.has_printed = has_printed
        self.is_running = True
        self.starts = 0

    def send_signal(self, number):
        self.is_running = False

    def start(self):
        self.starts += 1


@pytest.mark.parametrize(("has_printed", "starts"), [(False, 1), (True, 0)])
def test_only_a_daemon_that_had_not_begun_is_started_again(has_printed, starts):
    process = FakeProcess(has_printed)
    site = SimpleNamespace(gateways={"d1": process})
    undo = FAULTS["gateway_told_to_reload"](site, None, random.Random(1))
    undo()
    assert process.starts == starts
