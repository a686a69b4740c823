"""Tests that the report passes only if all checks are met."""

from __future__ import annotations

import pytest

from demo.calls import Attempt, Call, CallResult, Outcome
from demo.report import Evidence, PhaseSpan, format_report, make_report
from standins.backend import Execution

SPANS = [PhaseSpan("steady", "", 0, 1000), PhaseSpan("zone out", "out", 1000, 9000)]


def make_result(outcome=Outcome.ANSWERED, begin_ms=100.0, end_ms=120.0):
    call = Call("1", 90.0, "catalogo", "GET", "/catalogo/k", "k", "", "", "")
    return CallResult(call, (Attempt("router-1", begin_ms, end_ms, outcome),))


def make_execution(instance="catalogo-1", begin_ms=105.0, **changes):
    execution = Execution(
        instance,
        "GET",
        "/catalogo/k",
        "call=1",
        "k",
        "1",
        "r",
        "",
        begin_ms,
        begin_ms + 5,
    )
    return execution._replace(**changes)


def make_evidence(**changes):
    evidence = Evidence(
        SPANS, [make_result()], 0, [make_execution()], {"catalogo-2"}, 1500, 9000, 0, []
    )
    return evidence._replace(**changes)


def failed_checks(evidence):
    report = make_report("pecera", 100.0, evidence)
    assert report["is_passed"] == all(check["is_met"] for check in report["checks"])
    return [check["name"] for check in report["checks"] if not check["is_met"]]


def test_run_without_faults_passes():
    report = make_report("pecera", 100.0, make_evidence())
    assert report["is_passed"]
    steady, zone_out = report["phases"]
    assert (steady["sent"], steady["answered"], steady["p50_ms"]) == (1, 1, 30)
    assert zone_out["sent"] == 0
    assert format_report(report).endswith("passed")


DOUBLED = [make_execution(idempotency_key="x"), make_execution(idempotency_key="x")]
CONFLICTS = [make_execution(), make_execution("catalogo-3")]
UNSERVED = [
    make_result(Outcome.NOT_RUN, 100, 110)._replace(
        call=make_result().call._replace(tag="2")
    ),
    make_result(begin_ms=5101, end_ms=5111),
]


@pytest.mark.parametrize(
    ("check", "changes"),
    [
        ("doubled", {"executions": DOUBLED}),
        ("two owners at once", {"executions": CONFLICTS}),
        ('"not run" that ran', {"results": [make_result(Outcome.NOT_RUN)]}),
        ("answered but not run", {"executions": []}),
        ("answer to another call", {"results": [make_result(Outcome.FOREIGN)]}),
        ("neither answer nor refusal", {"results": [make_result(Outcome.FAILED)]}),
        ("calls without an outcome", {"open_calls": 1}),
        ("processes that ended by themselves", {"crashed": ["router-1"]}),
        ("key unserved, ms", {"results": UNSERVED}),
        (
            "last work in the zone out, ms",
            {"executions": [make_execution(), make_execution("catalogo-2", 6501.0)]},
        ),
    ],
)
def test_each_fault_fails_its_check(check, changes):
    assert check in failed_checks(make_evidence(**changes))
