"""Tests of requests through separate daemons to separate servers and upstreams."""

from __future__ import annotations

import pytest

from demo import audit

DAEMONS = ["router-1", "router-2", "router-3"]
KEYS = [f"key-{index}" for index in range(12)]


@pytest.mark.parametrize("daemon", DAEMONS)
def test_keyed_request_reaches_the_owner_of_its_key(site, client, daemon):
    for key in KEYS:
        response = client.send_until_answered(daemon, "GET", f"/catalogo/{key}?a=1")
        assert (response.body["key"], response.body["query"]) == (key, "a=1")
    owners = {
        (execution.key, execution.fence, execution.instance)
        for execution in site.executions()
        if execution.key
    }
    assert len(owners) == len({(key, fence) for key, fence, _ in owners})
    assert audit.find_owner_conflicts(site.executions()) == []


@pytest.mark.parametrize("daemon", DAEMONS)
def test_body_reaches_the_upstream(client, daemon):
    _, response = client.send_with_new_key(daemon, "/carga/book", b"six discus")
    assert response.body["body"] == "six discus"


def test_retry_through_another_daemon_gets_the_first_response(site, client):
    key, first = client.send_with_new_key("router-1", "/carga/repeat", b"one box")
    repeat = client.send_until_answered(
        "router-2", "POST", "/carga/repeat", {"Idempotency-Key": key}, b"one box"
    )
    assert repeat.body == first.body
    executions = [item for item in site.executions() if item.idempotency_key == key]
    assert len(executions) == 1


def test_retry_with_another_body_is_refused_and_does_not_run(site, client):
    key, _ = client.send_with_new_key("router-1", "/carga/other", b"one box")
    other = client.send(
        "router-2", "POST", "/carga/other", {"Idempotency-Key": key}, b"two boxes"
    )
    assert (other.status, other.body["code"]) == (422, 6002)
    executions = [item for item in site.executions() if item.idempotency_key == key]
    assert len(executions) == 1


def test_truncated_response_is_not_forwarded_as_complete(site, client):
    for name in site.running_vms("upstream"):
        site.control(name, break_answers=1)
    response = client.send("router-1", "POST", "/carga/broken", body=b"box")
    for name in site.running_vms("upstream"):
        site.control(name, break_answers=0)
    assert response.status in (0, 502)
    assert response.outcome in ("", "unknown")
    ran = [item for item in site.executions() if item.path == "/carga/broken"]
    assert len(ran) == 1


@pytest.mark.parametrize(
    ("path", "headers", "code"),
    [
        ("/nowhere/x", {}, 4001),
        ("/catalogo/", {}, 4002),
        ("/catalogo/k", {"Skylark-Deadline-Ms": "soon"}, 4004),
        ("/catalogo/k", {"Skylark-Tenant": "nobody"}, 4010),
    ],
)
def test_bad_request_is_refused_and_not_forwarded(site, client, path, headers, code):
    before = len(site.executions())
    response = client.send("router-1", "GET", path, headers)
    assert 400 <= response.status < 500
    assert response.body["code"] == code
    assert len(site.executions()) == before
