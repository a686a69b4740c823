"""Tests of the VM list stand-in through the daemon's VM list client."""

from __future__ import annotations

from skylarktrail.providers.http_vms import HttpVmListClient
from standins.vms import LaggingList, make_application

SERVER = {
    "id": "catalogo-1",
    "role": "server",
    "service": "catalogo",
    "zone": "heredia",
    "address": "127.0.0.1:1",
    "peer_address": "",
    "state": "leaving",
}


def test_list_without_lag_is_current(serve, send):
    address = serve(make_application(LaggingList(), 0))
    assert send("PUT", address, "/vms", json={"vms": [SERVER]}).status == 200
    (vm,) = HttpVmListClient(address).fetch().unwrap()
    assert (vm.id, vm.service, vm.leaving) == ("catalogo-1", "catalogo", True)


def test_change_is_visible_after_the_lag(serve, send):
    address = serve(make_application(LaggingList(), 3_600_000))
    client = HttpVmListClient(address)
    send("PUT", address, "/vms", json={"vms": [SERVER]})
    assert client.fetch().unwrap() == []
    send("POST", address, "/control", json={"lag_ms": 0})
    assert len(client.fetch().unwrap()) == 1


def test_outage_refuses_reads(serve, send):
    address = serve(make_application(LaggingList(), 0))
    send("POST", address, "/control", json={"outage": True})
    assert HttpVmListClient(address).fetch().is_err()
