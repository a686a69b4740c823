"""Tests of a small site of real processes without daemons."""

from __future__ import annotations

import psutil
import pytest
import urllib3

from demo.deployment import Deployment, Service
from demo.site import Options, Site
from standins.relay import Mode

SMALL = Deployment(
    "small",
    ("heredia", "alajuela"),
    (Service("catalogo", True, 1), Service("carga", False, 2)),
    routers=0,
)
OPTIONS = Options(service_ms=1, cold_ms=0, vm_lag_ms=0, relayed=frozenset({"carga-2"}))


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with Site(SMALL, tmp_path_factory.mktemp("site"), OPTIONS) as site:
        yield site


def post_booking(site, name, timeout_s=5.0):
    url = f"http://{site.vms[name].address}/carga/book"
    headers = {"Idempotency-Key": name}
    return urllib3.request("POST", url, headers=headers, timeout=timeout_s)


def test_vm_list_contains_the_vms_with_their_zones(site):
    vms = site.get_json(site.vms_address, "/vms")["vms"]
    assert [(vm["id"], vm["role"], vm["zone"]) for vm in vms] == [
        ("catalogo-1", "server", "heredia"),
        ("carga-1", "upstream", "heredia"),
        ("carga-2", "upstream", "alajuela"),
    ]


def test_executions_outlive_a_killed_process(site):
    assert post_booking(site, "carga-1").status == 200
    site.kill("carga-1")
    listed = site.get_json(site.vms_address, "/vms")["vms"]
    assert "carga-1" not in [vm["id"] for vm in listed]
    keys = [execution.idempotency_key for execution in site.executions()]
    assert keys.count("carga-1") == 1
    site.restart("carga-1")
    site.wait_for(
        "response of the restarted backend",
        lambda: bool(site.get_json(*_health(site, "carga-1"))),
    )


def _health(site, name):
    return site.vms[name].control_address, "/health"


def test_relay_interrupts_and_restores_the_path_to_a_backend(site):
    assert post_booking(site, "carga-2").status == 200
    site.set_relay_mode("carga-2")
    with pytest.raises(urllib3.exceptions.HTTPError):
        post_booking(site, "carga-2", timeout_s=0.1)
    site.set_relay_mode("carga-2", Mode.PASS)
    assert post_booking(site, "carga-2").status == 200


def test_stop_leaves_no_process(tmp_path):
    site = Site(SMALL, tmp_path, OPTIONS)
    with site:
        pids = [vm.process.pid for vm in site.vms.values()]
        assert all(psutil.pid_exists(pid) for pid in pids)
        site.freeze("catalogo-1")
    assert not any(psutil.pid_exists(pid) for pid in pids)


def test_failed_start_leaves_no_process(tmp_path, monkeypatch):
    site = Site(SMALL, tmp_path, OPTIONS)

    def fail():
        raise KeyboardInterrupt

    monkeypatch.setattr(site, "put_vms", fail)
    with pytest.raises(KeyboardInterrupt), site:
        pass
    pids = [vm.process.pid for vm in site.vms.values()]
    assert all(pids) and not any(psutil.pid_exists(pid) for pid in pids)
