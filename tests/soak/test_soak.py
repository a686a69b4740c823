"""A short seeded run of the soak, and proof that its checks find what they look for."""

from __future__ import annotations

import random
from types import SimpleNamespace

import pytest

from demo.gateway_site import KINDS, Reply
from soak.checks import Seen, check_owners, check_reply, check_runs
from soak.faults import FAULTS
from soak.run import Run

STOCK, BOOKING = KINDS

# Seeds that once failed, the instances of each service, and the cause.
FAILED_SEEDS = {
    # SIGHUP ended a daemon before its first line, and nothing started it again.
    305: 4,
}


def seen(kind=BOOKING, status=200, body="r1 by carga-1", is_signed=True):
    return Seen(kind, Reply("r1", status, body, is_signed, 1.0))


def test_a_whole_and_own_answer_is_no_finding():
    assert check_reply(seen()) == ""
    assert check_runs([seen()], {"r1": [1.0]}) == []


@pytest.mark.parametrize(
    "found", [seen(is_signed=False), seen(body="r2 by carga-1"), seen(body="")]
)
def test_answers_that_are_not_the_callers_are_found(found):
    assert check_reply(found)


@pytest.mark.parametrize(
    ("found", "times"),
    [(seen(), [1.0, 2.0]), (seen(status=503), [1.0]), (seen(), [])],
)
def test_wrong_runs_are_found(found, times):
    assert check_runs([found], {"r1": times})


def test_an_idempotent_request_may_run_twice():
    assert check_runs([seen(STOCK)], {"r1": [1.0, 2.0]}) == []


def test_two_owners_are_found():
    assert check_owners({1: ["a"], 2: ["a", "b"]}) == ["key 2 is held by ['a', 'b']"]


@pytest.mark.parametrize(
    ("seed", "seconds", "instances"),
    [(1, 6.0, 3), *((seed, 12.0, count) for seed, count in FAILED_SEEDS.items())],
)
def test_run_finds_nothing(seed, seconds, instances):
    outcome = Run(seed, seconds, gateways=3, instances=instances).play()
    assert outcome.findings == []
    assert outcome.served > 0.3 * outcome.requests


class StubProcess:
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
    process = StubProcess(has_printed)
    site = SimpleNamespace(gateways={"d1": process})
    undo = FAULTS["gateway_told_to_reload"](site, None, random.Random(1))
    undo()
    assert process.starts == starts
