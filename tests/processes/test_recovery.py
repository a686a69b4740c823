"""Tests that restarted daemons recover their state from peers and the log."""

from __future__ import annotations

import copy

import pytest

from demo.site import Options
from skylarktrail.core.records import Envelope, Leave
from skylarktrail.providers.http_log import HttpLogClient
from skylarktrail.providers.record_codec import encode

from .conftest import OPTIONS

RETAINED_RECORD_COUNT = 100


@pytest.fixture(scope="module")
def options() -> Options:
    """Options with a low log retention, so that checkpoints are frequent."""
    return OPTIONS._replace(retention_records=RETAINED_RECORD_COUNT)


@pytest.fixture
def log(site) -> HttpLogClient:
    """Client of the platform's log."""
    return HttpLogClient([site.log_address])


def append_ignored(log, count):
    """Appends records that every reader skips."""
    for number in range(count):
        record = Envelope("stranger", "i1", number, Leave("nobody", "i1"))
        assert log.append(encode(record)).is_ok()


def publish_again(site, file, times):
    """Publishes `times` changed files and returns the last revision."""
    for number in range(times):
        changed = copy.deepcopy(file)
        changed["tenants"][0]["weight"] = number + 2
        revision = site.publish(changed)
    return revision


def restart(site, name):
    """Restarts a daemon's process and waits until it is ready."""
    site.kill(name)
    site.restart(name)
    site.wait_for(f"the readiness of {name}", lambda: site.is_ready(name))


def test_file_in_force_survives_a_rolling_restart_of_all_daemons(site, file):
    revision = publish_again(site, file, 2)
    for name in site.running_vms("router"):
        restart(site, name)
        assert site.status(name)["revision"] == revision
    assert all(
        site.status(n)["revision"] == revision for n in site.running_vms("router")
    )


def test_restarted_daemon_serves_upstreams_during_a_log_outage(site, client):
    client.send_until_answered("router-2", "GET", "/carga/item")
    revision = site.status("router-2")["revision"]
    site.control_log(outage=True)
    try:
        restart(site, "router-1")
        status = site.status("router-1")
        assert (status["revision"], status["is_confirmed"]) == (revision, False)
        client.send_until_answered("router-1", "GET", "/carga/item")
        roles = {group["role"] for group in status["groups"]}
        assert "granter" not in roles
    finally:
        site.control_log(outage=False)
    site.wait_for("its join", lambda: site.status("router-1")["is_confirmed"])


def test_daemon_starts_from_a_checkpoint_if_older_records_are_dropped(
    site, log, client
):
    revision = site.status("router-3")["revision"]
    site.control_log(retain_records=RETAINED_RECORD_COUNT)
    append_ignored(log, RETAINED_RECORD_COUNT)
    start = log.read(1, 1, 0).ok_value.start
    assert start > revision
    restart(site, "router-3")
    site.wait_for("its join", lambda: site.status("router-3")["is_confirmed"])
    assert site.status("router-3")["revision"] == revision
    client.send_until_answered("router-3", "GET", "/catalogo/key-1")
