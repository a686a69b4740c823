"""Tests with killed and paused processes, a zone taken out, and racing operators."""

from __future__ import annotations

import copy
from collections import Counter

import pytest

from demo import audit
from demo.phases import find_daemon_with_most_groups
from demo.site import SiteError

KEYS = [f"key-{index}" for index in range(16)]


def serve_all_keys(site, client):
    """Reads every key through every running daemon."""
    for daemon in site.running_vms("router"):
        for key in KEYS:
            client.send_until_answered(daemon, "GET", f"/catalogo/{key}")


def find_owner(client):
    """Returns the server that owns most of the keys."""
    owners = Counter(
        client.send_until_answered("router-1", "GET", f"/catalogo/{key}").body[
            "instance"
        ]
        for key in KEYS
    )
    return owners.most_common(1)[0][0]


def have_all_heirs(site):
    """Returns whether each group has an heir, which takes over in an outage."""
    groups = site.status("router-1")["groups"]
    return all(group["heir"] for group in groups)


@pytest.fixture(autouse=True)
def check_owner_conflicts(site, client):
    """Reads all keys before and after a test, then checks for owner conflicts."""
    site.wait_for("an heir of each group", lambda: have_all_heirs(site))
    serve_all_keys(site, client)
    yield
    serve_all_keys(site, client)
    assert audit.find_owner_conflicts(site.executions()) == []


def test_keys_of_a_killed_server_move_to_other_servers(site, client):
    server = find_owner(client)
    site.kill(server)
    serve_all_keys(site, client)
    site.restart(server)


def test_frozen_server_does_not_serve_moved_keys(site, client):
    server = find_owner(client)
    site.freeze(server)
    serve_all_keys(site, client)
    site.resume(server)


def test_heir_takes_over_the_groups_of_a_killed_granter(site, client):
    daemon = find_daemon_with_most_groups(site)
    site.kill(daemon)
    serve_all_keys(site, client)
    site.restart(daemon)
    site.wait_until_ready()


def test_frozen_granter_causes_no_owner_conflict_when_it_resumes(site, client):
    daemon = find_daemon_with_most_groups(site)
    site.freeze(daemon)
    for key in KEYS:
        for other in set(site.running_vms("router")) - {daemon}:
            client.send_until_answered(other, "GET", f"/catalogo/{key}")
    site.resume(daemon)
    site.wait_until_ready()


def test_keys_of_a_server_killed_during_a_log_outage_move(site, client):
    server = find_owner(client)
    site.control_log(outage=True)
    site.kill(server)
    serve_all_keys(site, client)
    site.control_log(outage=False)
    site.restart(server)


def test_zone_out_gets_no_new_requests(site, client, file):
    out = copy.deepcopy(file)
    out["zones"][0]["state"] = "out"
    site.publish(out)
    instances = set(site.vms_in_zone(out["zones"][0]["name"]))

    def is_empty():
        owners = site.status("router-1")["servers"]
        return not any(item["slices"] for item in owners if item["server"] in instances)

    site.wait_for("no slices in the zone", is_empty)
    before = len(site.executions())
    serve_all_keys(site, client)
    for _ in KEYS:
        client.send_until_answered("router-2", "GET", "/carga/item")
    late = site.executions()
    assert len(late) > before
    seen = {item.instance for item in late if item.begin_ms > _end_of_nth(late, before)}
    assert not seen & instances
    site.publish(file)


def _end_of_nth(executions, count):
    """Returns the end of the `count`-th execution by end time."""
    return sorted(item.end_ms for item in executions)[count - 1]


def test_second_of_two_racing_operators_gets_a_conflict(site, file):
    first = copy.deepcopy(file)
    first["tenants"][0]["weight"] += 1
    base = site.revision
    revision = site.publish(first)
    site.revision = base
    with pytest.raises(SiteError, match="conflict"):
        site.publish(file)
    site.revision = revision
    site.wait_for(
        "the file in force everywhere",
        lambda: all(
            site.status(name)["revision"] == revision
            for name in site.running_vms("router")
        ),
    )
