"""Lost, paused and cut-off processes; zones out and back; racing operators."""

from __future__ import annotations

import copy
from collections import Counter

import pytest

from demo import audit
from demo.phases import find_daemon_with_most_groups
from demo.site import SiteError

KEYS = [f"key-{index}" for index in range(16)]


def serve_all_keys(site, client):
    """Asks for every key through every ready daemon."""
    for daemon in site.running_vms("router"):
        for key in KEYS:
            client.send_until_answered(daemon, "GET", f"/catalogo/{key}")


def find_owner(client):
    """Returns the server that answers for most of the keys."""
    owners = Counter(
        client.send_until_answered("router-1", "GET", f"/catalogo/{key}").body[
            "instance"
        ]
        for key in KEYS
    )
    return owners.most_common(1)[0][0]


def have_all_heirs(site):
    """Tells whether each group has an heir; without one no outage is survived."""
    groups = site.status("router-1")["groups"]
    return all(group["heir"] for group in groups)


@pytest.fixture(autouse=True)
def two_owners_never(site, client):
    """Serves all keys before and after, and checks what the servers recorded."""
    site.wait_for("an heir of each group", lambda: have_all_heirs(site))
    serve_all_keys(site, client)
    yield
    serve_all_keys(site, client)
    assert audit.find_owner_conflicts(site.executions()) == []


def test_keys_of_a_killed_server_move(site, client):
    server = find_owner(client)
    site.kill(server)
    serve_all_keys(site, client)
    site.restart(server)


def test_frozen_server_does_not_answer_for_moved_keys(site, client):
    server = find_owner(client)
    site.freeze(server)
    serve_all_keys(site, client)
    site.resume(server)


def test_groups_of_a_killed_granter_go_to_an_heir(site, client):
    daemon = find_daemon_with_most_groups(site)
    site.kill(daemon)
    serve_all_keys(site, client)
    site.restart(daemon)
    site.wait_until_ready()


def test_frozen_granter_does_no_harm_when_it_wakes(site, client):
    daemon = find_daemon_with_most_groups(site)
    site.freeze(daemon)
    for key in KEYS:
        for other in set(site.running_vms("router")) - {daemon}:
            client.send_until_answered(other, "GET", f"/catalogo/{key}")
    site.resume(daemon)
    site.wait_until_ready()


def test_server_lost_while_the_log_is_out(site, client):
    server = find_owner(client)
    site.control_log(outage=True)
    site.kill(server)
    serve_all_keys(site, client)
    site.control_log(outage=False)
    site.restart(server)


def test_zone_out_gets_no_new_work(site, client, file):
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
    seen = {item.instance for item in late if item.begin_ms > _newest(late, before)}
    assert not seen & instances
    site.publish(file)


def _newest(executions, count):
    """Returns when the last of the first `count` executions ended."""
    return sorted(item.end_ms for item in executions)[count - 1]


def test_second_of_two_racing_operators_is_told(site, file):
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
