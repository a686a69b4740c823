"""Tests with silent connections, an unreachable or slow log, and leaving upstreams."""

from __future__ import annotations

import copy

import pytest

from demo.site import Options
from standins.relay import Mode

from .conftest import OPTIONS

RELAYED_UPSTREAM = "carga-1"
MAX_FAILED_READS = 4


@pytest.fixture(scope="module")
def options() -> Options:
    """Options with a relay in front of one upstream."""
    return OPTIONS._replace(relayed=frozenset((RELAYED_UPSTREAM,)))


def read_items(client, daemon, count):
    """Sends `count` reads through one daemon and returns the responses."""
    return [client.send(daemon, "GET", "/carga/item") for _ in range(count)]


def test_silent_connections_to_an_upstream_are_replaced(site, client):
    """Idle connections lose requests; a few reads may fail on them, then none."""
    for daemon in site.running_vms("router"):
        read_items(client, daemon, 40)
    site.set_relay_mode(RELAYED_UPSTREAM, Mode.SILENCE)
    for daemon in site.running_vms("router"):
        answers = read_items(client, daemon, 60)
        failed = [response for response in answers if response.status != 200]
        assert len(failed) <= MAX_FAILED_READS
        assert all(
            response.status == 200 for response in read_items(client, daemon, 20)
        )
    site.set_relay_mode(RELAYED_UPSTREAM, Mode.PASS)


def test_writes_over_a_silent_path_run_once_and_are_answered(site, client):
    """A non-idempotent request uses a new connection, so no idle one loses it."""
    read_items(client, "router-1", 40)
    site.set_relay_mode(RELAYED_UPSTREAM, Mode.SILENCE)
    before = len(site.executions())
    answers = [client.send("router-1", "POST", "/carga/order") for _ in range(30)]
    site.set_relay_mode(RELAYED_UPSTREAM, Mode.PASS)
    assert [response.status for response in answers] == [200] * 30
    assert len(site.executions()) - before == 30


def test_daemon_without_the_log_serves_requests_and_catches_up(site, client, file):
    site.wait_for("an heir of each group", lambda: _have_heirs(site))
    site.set_log_outage_for(["router-1"])
    site.wait_for(
        "the outage in the status", lambda: not site.status("router-1")["log"]["is_up"]
    )
    changed = copy.deepcopy(file)
    changed["tenants"][0]["weight"] += 1
    revision = site.publish(changed)
    for index in range(16):
        client.send_until_answered("router-1", "GET", f"/catalogo/key-{index}")
        client.send_until_answered("router-2", "GET", f"/catalogo/key-{index}")
    assert site.status("router-1")["revision"] < revision
    site.set_log_outage_for([])
    site.wait_for(
        "the file in force", lambda: site.status("router-1")["revision"] == revision
    )


def test_slow_log_delays_an_operator_file_but_no_request(site, client, file):
    site.control_log(slow_ms=300)
    try:
        answers = [
            client.send_until_answered("router-2", "GET", f"/catalogo/key-{index}")
            for index in range(16)
        ]
        revision = site.publish(file)
        site.wait_for(
            "the file in force everywhere",
            lambda: all(
                site.status(name)["revision"] == revision
                for name in site.running_vms("router")
            ),
        )
    finally:
        site.control_log(slow_ms=0)
    assert {response.status for response in answers} == {200}


def test_leaving_upstream_gets_no_new_requests(site, client):
    leaving = "carga-2"
    site.mark_leaving(leaving)

    def is_known():
        states = [
            instance["state"]
            for name in site.running_vms("router")
            for service in site.status(name)["services"]
            for instance in service["instances"]
            if instance["id"] == leaving
        ]
        return set(states) == {"leaving"}

    site.wait_for("the state leaving in every status", is_known)
    before = _count_executions(site, leaving)
    for daemon in site.running_vms("router"):
        answers = read_items(client, daemon, 30)
        assert {response.status for response in answers} == {200}
    assert _count_executions(site, leaving) == before


def _count_executions(site, name):
    return sum(1 for item in site.executions() if item.instance == name)


def _have_heirs(site):
    return all(group["heir"] for group in site.status("router-1")["groups"])
