"""What a caller makes of refusals."""

from __future__ import annotations

import pytest

from demo.calls import Outcome, Attempt
from demo.load import Mix, can_infer_not_run
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
CALLS = 400


def attempt(outcome, code=0):
    return Attempt("router-1", 0.0, 1.0, outcome, status=409, code=code)


def unknown_key():
    return attempt(Outcome.UNKNOWN, KEY_FORGOTTEN.number)


@pytest.mark.parametrize(
    ("earlier", "is_known"),
    [
        ((), True),
        ((attempt(Outcome.NOT_RUN), attempt(Outcome.UNSENT)), True),
        ((attempt(Outcome.UNKNOWN),), False),
        ((attempt(Outcome.NOT_RUN), attempt(Outcome.UNKNOWN)), False),
    ],
)
def test_caller_knows_of_its_earlier_attempts(earlier, is_known):
    assert can_infer_not_run(earlier, unknown_key()) is is_known


def test_other_unknown_outcomes_stay_unknown():
    assert not can_infer_not_run((), attempt(Outcome.UNKNOWN, 5002))


def test_mix_covers_services_methods_and_keys():
    mix = Mix(FILE, keys=8)
    calls = [mix.draw(0.0) for _ in range(CALLS)]
    kinds = {(call.service, call.method) for call in calls}
    assert kinds == {("catalogo", "GET"), ("catalogo", "POST"), ("carga", "POST")}
    assert len({call.tag for call in calls}) == CALLS
    assert {call.key for call in calls} - {""} == {f"key-{n}" for n in range(8)}
    for call in calls:
        assert bool(call.idempotency_key) == (call.method == "POST")
        assert call.path == f"/{call.service}/{call.key or 'item'}"
