"""Tests that clients which hold connections keep no caller out of `daemon/`.

The limit of connections is lowered, so that a small crowd shows the fault, and ordinary
requests come on new connections. None checks times.
"""

from __future__ import annotations

import time

import pytest

from demo.client import Client

from .conftest import OPTIONS
from .connection_crowds import HOLDINGS, ConnectionCrowd, is_healthy
from .crowds import count_descriptors, read_peak_mb

DAEMON = "router-1"
CONNECTIONS = 100
CROWD = 300
MEMORY_MB = 256  # Of a process whose settings name none.
DESCRIPTORS = 1024
SETTLE_S = 2.0
ATTEMPTS = 3
CLOSE = {"Connection": "close"}


@pytest.fixture(scope="module")
def options():
    return OPTIONS._replace(limits={"connections": CONNECTIONS})


def is_served(site):
    """Returns whether a request on a new connection is answered."""
    client = Client(site, "shops")
    statuses = [client.send(DAEMON, "GET", "/carga/x", CLOSE).status]
    while statuses[-1] != 200 and len(statuses) < ATTEMPTS:
        statuses.append(client.send(DAEMON, "GET", "/carga/x", CLOSE).status)
    return statuses[-1] == 200


def check_daemon(site):
    """Checks that the daemon lives, within its limits, and serves new connections."""
    time.sleep(SETTLE_S)
    vm = site.vms[DAEMON]
    used = count_descriptors(vm.process.pid)
    served = is_served(site)
    healthy = is_healthy(vm.operator_address)
    peak_mb = read_peak_mb(vm.process.pid)
    print(f"{used} descriptors, peak {peak_mb:.0f} MB, {served=}, {healthy=}")
    assert vm.process.is_running
    assert used <= DESCRIPTORS
    assert peak_mb <= MEMORY_MB
    assert served
    assert healthy


@pytest.mark.parametrize("kind", HOLDINGS)
def test_held_connections_keep_no_caller_out(site, kind):
    """Guards against a daemon that accepts no caller while it is idle."""
    with ConnectionCrowd(site.vms[DAEMON].address, CROWD, HOLDINGS[kind]):
        check_daemon(site)


@pytest.mark.parametrize("kind", ["nothing sent", "a head byte by byte"])
@pytest.mark.parametrize("name", ["operator_address", "peer_address"])
def test_held_connections_of_other_addresses(site, name, kind):
    """Guards against an address whose connections take those of all others."""
    address = getattr(site.vms[DAEMON], name)
    with ConnectionCrowd(address, CROWD, HOLDINGS[kind]):
        check_daemon(site)
