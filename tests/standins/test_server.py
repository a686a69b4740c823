"""Tests of the keyed server stand-in over HTTP."""

from __future__ import annotations

import json

import pytest

from skylarktrail.core.hashing import HASH_SPACE, hash_key
from skylarktrail.core.ownership.messages import Grant
from skylarktrail.providers.http_grants import HttpGrantClient
from standins.server import Server

KEY = "discus"
FENCE = 4294967297
LEASE_MS = 60_000


@pytest.fixture
def server(parse_arguments, tmp_path):
    return Server(parse_arguments("--journal", str(tmp_path / "journal")))


@pytest.fixture
def address(serve, server):
    return serve(server.backend.application)


def grant_lease(address, slices):
    client = HttpGrantClient()
    fencing = Grant("catalogo/0", 1, "", 0, 0, None)
    first = client.send(address, fencing, 5000).unwrap()
    until_ms = first.clock_ms + LEASE_MS
    lease = Grant("catalogo/0", 1, first.boot_id, until_ms, 1, slices)
    return client.send(address, lease, 5000).unwrap()


def call(send, address, method="GET", key=KEY, fence=FENCE, **headers):
    headers = {"Skylark-Key": key, "Skylark-Fence": str(fence)} | headers
    return send(method, address, f"/catalogo/{key}?x=1", headers=headers)


def test_owner_runs_a_request_and_records_it(address, send, tmp_path):
    hash_of_key = hash_key(KEY)
    assert grant_lease(address, ((hash_of_key, hash_of_key + 1, FENCE),)).accepted
    response = call(
        send, address, **{"Idempotency-Key": "id", "Skylark-Request-Id": "r"}
    )
    assert response.status == 200
    (executed,) = send("GET", address, "/executed").json()["executed"]
    assert (executed["key"], executed["idempotency_key"]) == (KEY, "id")
    assert executed["begin_ms"] <= executed["end_ms"]
    assert json.loads((tmp_path / "journal").read_text()) == executed


@pytest.mark.parametrize(
    "slices",
    [(), ((hash_key(KEY) + 1, HASH_SPACE, FENCE),), ((0, HASH_SPACE, FENCE + 1),)],
)
def test_server_without_a_matching_lease_refuses_and_runs_nothing(
    address, send, slices
):
    grant_lease(address, slices)
    response = call(send, address)
    assert response.status == 421
    assert response.headers["Skylark-Outcome"] == "not-run"
    assert send("GET", address, "/executed").json()["executed"] == []


def test_lease_that_expires_during_the_execution_leaves_no_effect(
    server, address, send
):
    grant_lease(address, ((0, HASH_SPACE, FENCE),))
    checks = iter([True, True, False])
    server.leases.allows = lambda key_hash, fence: next(checks)
    assert call(send, address).status == 421
    assert send("GET", address, "/executed").json()["executed"] == []


def test_grant_whose_response_is_lost_takes_effect(address, send):
    send("POST", address, "/control", json={"lose_grant_answers": 1})
    fencing = Grant("catalogo/0", 3, "", 0, 0, None)
    client = HttpGrantClient()
    assert client.send(address, fencing, 5000).is_err()
    late = client.send(address, fencing._replace(term=2), 5000).unwrap()
    assert (late.accepted, late.reason, late.term) == (False, "term", 3)


def test_refused_grant_changes_nothing(address, send):
    send("POST", address, "/control", json={"refuse_grants": 1})
    fencing = Grant("catalogo/0", 3, "", 0, 0, None)
    client = HttpGrantClient()
    assert client.send(address, fencing, 5000).is_err()
    assert client.send(address, fencing._replace(term=2), 5000).unwrap().accepted
