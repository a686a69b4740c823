"""Tests of SIGTERM: the daemon becomes unready, drains and hands over its roles."""

from __future__ import annotations

import signal
import threading

import pytest

from demo.client import Client

STOP_TIMEOUT_S = 25.0
SLOW_FACTOR = 750.0


@pytest.fixture(scope="module")
def drained(site):
    """Drains router-1 with a request in flight; returns exit code and response."""
    client = Client(site, "shops")
    client.send_until_answered("router-1", "GET", "/carga/warm")
    for name in site.running_vms("upstream"):
        site.control(name, slow_factor=SLOW_FACTOR)
    answers = []
    in_flight = threading.Thread(
        target=lambda: answers.append(client.send("router-1", "POST", "/carga/slow"))
    )
    in_flight.start()
    site.wait_for("a request in flight", lambda: _in_flight(site) == 1)
    process = site.vms["router-1"].process
    process.send_signal(signal.SIGTERM)
    site.wait_for("router-1 to become unready", lambda: not site.is_ready("router-1"))
    code = process.wait(STOP_TIMEOUT_S)
    in_flight.join()
    for name in site.running_vms("upstream"):
        site.control(name, slow_factor=1.0)
    return code, answers[0]


def _in_flight(site):
    addresses = [site.vms[name].address for name in site.running_vms("upstream")]
    return sum(site.get_json(address, "/load")["in_flight"] for address in addresses)


def test_exit_status_is_zero(drained):
    assert drained[0] == 0


def test_request_in_flight_is_answered(drained):
    assert drained[1].status == 200


def test_other_daemons_take_over_its_roles_and_serve(site, client, drained):
    def has_no_role():
        groups = site.status("router-2")["groups"]
        return all(group["granter"] != "router-1" for group in groups)

    site.wait_for("the handover of its roles", has_no_role)
    for index in range(8):
        client.send_until_answered("router-2", "GET", f"/catalogo/key-{index}")
