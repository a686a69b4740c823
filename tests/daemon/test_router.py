"""Outcomes that the router reports for requests with an idempotency key."""

from __future__ import annotations

import json
import uuid

import pytest

from skylarktrail.core.idempotency import verdicts
from skylarktrail.core.idempotency.keys import key_timestamp_ms, parse_key
from skylarktrail.core.owner_directory import OwnerDirectory
from skylarktrail.daemon.clock import now_ms, wall_ms
from skylarktrail.daemon.dispatch import DispatchResult
from skylarktrail.daemon.home_client import verdict_to_reply
from skylarktrail.daemon.loads import LoadMeters
from skylarktrail.daemon.metrics import Metrics
from skylarktrail.daemon.problem import Problem
from skylarktrail.daemon.response import Response
from skylarktrail.daemon.router import Router
from skylarktrail.daemon.routes import CallerRequest, RouteTable
from skylarktrail.errors import caller as codes

KEY = str(uuid.UUID(int=1_700_000_000_000 << 80 | 7 << 76 | 2 << 62 | 1))
FILE = {
    "tenants": [{"name": "shops", "weight": 1}],
    "default_tenant": None,
    "services": [
        {
            "name": "carga",
            "kind": "stateless",
            "path_prefix": "/carga/",
            "methods": ["GET", "POST"],
            "idempotent_methods": ["GET"],
            "max_body_bytes": 4,
        }
    ],
}


class FakeDispatcher:
    """A dispatcher that responds to every request and counts the requests."""

    def __init__(self) -> None:
        self.sent = 0

    def dispatch(self, outbound):
        self.sent += 1
        return DispatchResult(Response(200, [], b""), None, False)


class FakeHomeClient:
    """A home client that lets every request run."""

    def run_once(self, key_field, digest, deadline_ms, dispatch):
        return dispatch([]).reply


@pytest.fixture
def dispatcher() -> FakeDispatcher:
    return FakeDispatcher()


@pytest.fixture
def router(dispatcher) -> Router:
    made = Router(
        OwnerDirectory(), dispatcher, FakeHomeClient(), Metrics(8), LoadMeters("d1")
    )
    made.set_routes(RouteTable(FILE))
    return made


def make_request(path="/carga/1", method="POST", body=b"", **headers):
    fields = {"skylark-tenant": "shops", "idempotency-key": KEY}
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    present = {name: value for name, value in fields.items() if value is not None}
    return CallerRequest(method, path, "", present, body, now_ms())


REFUSED = [
    (make_request("/nowhere"), codes.ROUTE_UNKNOWN),
    (make_request(method="DELETE"), codes.METHOD_REFUSED),
    (make_request(body=b"12345"), codes.BODY_TOO_LARGE),
    (make_request(skylark_tenant="other"), codes.TENANT_UNKNOWN),
    (make_request(skylark_deadline_ms="0"), codes.DEADLINE_MALFORMED),
]


@pytest.mark.parametrize("request_, code", REFUSED)
def test_refusal_before_the_home_was_asked_is_unknown_for_the_key(
    router, dispatcher, request_, code
):
    """An earlier attempt may have run while another operator file was in force."""
    refusal = router.handle(request_)
    assert (refusal.code, refusal.outcome) == (code, "unknown")
    assert refusal.attempt == "not-run"
    assert refusal.retry_after_ms > 0
    assert not dispatcher.sent


@pytest.mark.parametrize("request_, code", REFUSED)
@pytest.mark.parametrize("key", [None, "order-1"])
def test_refusal_without_a_well_formed_key_is_not_run(router, request_, code, key):
    headers = {**request_.headers, "idempotency-key": key}
    if key is None:
        del headers["idempotency-key"]
    refusal = router.handle(request_._replace(headers=headers))
    assert (refusal.code, refusal.outcome) == (code, "not-run")


def test_idempotent_request_with_a_key_is_not_run(router):
    refusal = router.handle(make_request(method="GET", skylark_tenant="other"))
    assert (refusal.code, refusal.outcome) == (codes.TENANT_UNKNOWN, "not-run")


def drain(router: Router) -> None:
    router.is_draining = True


def drop_file(router: Router) -> None:
    router.set_routes(RouteTable({}))


@pytest.mark.parametrize(
    "change, code", [(drain, codes.DRAINING), (drop_file, codes.NOT_CONFIGURED)]
)
@pytest.mark.parametrize("key, outcome", [(KEY, "unknown"), (None, "not-run")])
def test_refusal_of_a_daemon_that_accepts_no_requests(
    router, change, code, key, outcome
):
    change(router)
    refusal = router.handle(make_request(idempotency_key=key))
    assert (refusal.code, refusal.outcome) == (code, outcome)
    assert refusal.retry_after_ms > 0


VERDICTS_ON_THIS_ATTEMPT_ONLY = [
    verdicts.NotHome(),
    verdicts.NoHomes(),
    verdicts.Unreachable(),
    verdicts.AllowedTooLate(),
    verdicts.ClockBehind(),
]


@pytest.mark.parametrize(
    "verdict", VERDICTS_ON_THIS_ATTEMPT_ONLY, ids=lambda each: each.kind
)
def test_verdict_that_covers_no_earlier_attempt_is_unknown(verdict):
    refusal = verdict_to_reply(verdict)
    assert isinstance(refusal, Problem)
    assert refusal.outcome == "unknown"
    assert refusal.retry_after_ms > 0
    assert "same key" in refusal.code.remedy


@pytest.mark.parametrize(
    "verdict", [verdicts.Malformed(), verdicts.RequestMismatch(), verdicts.FromFuture()]
)
def test_definite_refusal_of_a_key_is_not_run(verdict):
    assert verdict_to_reply(verdict).outcome == "not-run"


def test_minted_keys_carry_the_time_of_the_daemon(router):
    before_ms = int(wall_ms())
    answers = [router.handle(make_request("/idempotency-keys")) for _ in range(2)]
    keys = [parse_key(json.loads(reply.body)["key"]) for reply in answers]
    assert [reply.status for reply in answers] == [201, 201]
    assert ("Cache-Control", "no-store") in answers[0].headers
    assert len(set(keys)) == 2
    assert all(before_ms <= key_timestamp_ms(key) for key in keys)


@pytest.mark.parametrize(
    "request_, allowed",
    [
        (make_request("/idempotency-keys", "GET"), ("POST",)),
        (make_request(method="DELETE"), ("GET", "POST")),
    ],
)
def test_refused_method_names_those_allowed(router, request_, allowed):
    refusal = router.handle(request_)
    assert refusal.code == codes.METHOD_REFUSED
    assert ("Allow", ", ".join(allowed)) in refusal.headers()
