"""Tests of how the load interprets refusals and generates calls."""

from __future__ import annotations

import pytest

from demo.calls import Attempt, Outcome
from demo.load import CallGenerator, can_infer_not_run
from skylarktrail.errors.idempotency import KEY_FORGOTTEN

FILE = {
    "tenants": [{"name": "shops", "weight": 1}],
    "services": [
        {"name": "catalogo", "kind": "keyed", "path_prefix": "/catalogo/"},
        {
            "name": "carga",
            "kind": "stateless",
            "path_prefix": "/carga/",
            "methods": ["POST"],
        },
    ],
}
CALL_COUNT = 400


def attempt(outcome, code=0):
    return Attempt("router-1", 0.0, 1.0, outcome, status=409, code=code)


def attempt_with_forgotten_key():
    return attempt(Outcome.UNKNOWN, KEY_FORGOTTEN.number)


@pytest.mark.parametrize(
    ("earlier", "can_infer"),
    [
        ((), True),
        ((attempt(Outcome.NOT_RUN), attempt(Outcome.UNSENT)), True),
        ((attempt(Outcome.UNKNOWN),), False),
        ((attempt(Outcome.NOT_RUN), attempt(Outcome.UNKNOWN)), False),
    ],
)
def test_caller_infers_not_run_from_its_earlier_attempts(earlier, can_infer):
    assert can_infer_not_run(earlier, attempt_with_forgotten_key()) is can_infer


def test_other_unknown_outcomes_stay_unknown():
    assert not can_infer_not_run((), attempt(Outcome.UNKNOWN, 5002))


def test_generated_calls_cover_services_methods_and_keys():
    generator = CallGenerator(FILE, key_count=8)
    calls = [generator.draw_call(0.0) for _ in range(CALL_COUNT)]
    kinds = {(call.service, call.method) for call in calls}
    assert kinds == {("catalogo", "GET"), ("catalogo", "POST"), ("carga", "POST")}
    assert len({call.tag for call in calls}) == CALL_COUNT
    assert {call.key for call in calls} - {""} == {f"key-{n}" for n in range(8)}
    for call in calls:
        assert bool(call.idempotency_key) == (call.method == "POST")
        assert call.path == f"/{call.service}/{call.key or 'item'}"
