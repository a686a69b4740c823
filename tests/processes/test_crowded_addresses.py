"""Tests that clients which hold connections do not keep ordinary callers out.

Each test lowers the limit of connections of one daemon, so that a small crowd shows the
fault, and sends ordinary requests on new connections. None checks times.
"""

from __future__ import annotations

import json
import resource
import signal
import time
from contextlib import ExitStack

import pytest

from demo.gateway_site import REQUEST_KINDS, GatewaySite

from .connection_crowds import HOLDINGS, ConnectionCrowd, is_healthy
from .crowds import Crowd, CrowdSession, count_descriptors, read_peak_mb

BOOKING = REQUEST_KINDS[1]
GATEWAY = "d1"
MEMORY_MB = 160
DESCRIPTORS = 512
PAIR_DESCRIPTORS = 1024
CROWD = 400
PAIR_CROWD = 800
SETTLE_S = 2.0
READY_S = 15.0
ATTEMPTS = 3  # As the clients of the operators' pages, each on a new connection.
SLOW_WORK_MS = 1000.0
LARGE_BODIES = Crowd(12, "Content-Length: 30000000", 29_999_999)


@pytest.fixture
def descriptors(request):
    return getattr(request, "param", DESCRIPTORS)


@pytest.fixture
def site(tmp_path, descriptors):
    """Returns a site whose daemon has few descriptors, with requests served."""
    site = GatewaySite(tmp_path, gateways=1, instances=4)
    limits = {"memory_mb": MEMORY_MB, "descriptors": descriptors}
    settings = site.gateway_settings[GATEWAY] | limits
    site.settings_path(GATEWAY).write_text(json.dumps(settings))
    with site:
        end_s = time.monotonic() + READY_S
        while not is_served(site):
            assert time.monotonic() < end_s
        pid = site.gateways[GATEWAY].pid
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (descriptors, descriptors))
        yield site


def is_served(site):
    """Returns whether a request on a new connection is answered."""
    for _ in range(ATTEMPTS):
        if site.request(BOOKING, GATEWAY, keep_alive=False).status == 200:
            return True
    return False


def check_daemon(site, descriptors=DESCRIPTORS):
    """Checks that the daemon lives, within its limits, and serves new connections."""
    time.sleep(SETTLE_S)
    process = site.gateways[GATEWAY]
    used = count_descriptors(process.pid)
    served = is_served(site)
    healthy = is_healthy(site.ready_addresses[GATEWAY])
    peak_mb = read_peak_mb(process.pid)
    print(f"{used} descriptors, peak {peak_mb:.0f} MB, {served=}, {healthy=}")
    assert process.is_running
    assert used <= descriptors
    assert peak_mb <= MEMORY_MB
    assert served
    assert healthy


def addresses(site):
    """Returns the listening addresses of the daemon by name."""
    settings = site.gateway_settings[GATEWAY]
    return {
        "callers": settings["caller_address"],
        "forwarding": settings["forward_address"],
        "health": settings["ready_address"],
        "peers": settings["peer_address"],
    }


@pytest.mark.parametrize("kind", HOLDINGS)
def test_held_connections_keep_no_caller_out(site, kind):
    """Guards against a daemon that accepts no caller while it is idle."""
    with ConnectionCrowd(addresses(site)["callers"], CROWD, HOLDINGS[kind]):
        check_daemon(site)


@pytest.mark.parametrize("name", ["forwarding", "health", "peers"])
@pytest.mark.parametrize("kind", ["nothing sent", "a head byte by byte"])
def test_held_connections_of_each_address(site, name, kind):
    """Guards against an address whose connections take those of all others."""
    with ConnectionCrowd(addresses(site)[name], CROWD, HOLDINGS[kind]):
        check_daemon(site)


@pytest.mark.parametrize("descriptors", [PAIR_DESCRIPTORS], indirect=True)
@pytest.mark.parametrize("kind", ["nothing sent", "idle after an answer"])
def test_crowds_at_all_addresses_at_once(site, descriptors, kind):
    """Guards against limits of addresses whose sum exceeds the descriptors."""
    with ExitStack() as stack:
        for address in addresses(site).values():
            crowd = ConnectionCrowd(address, PAIR_CROWD, HOLDINGS[kind])
            stack.enter_context(crowd)
        check_daemon(site, descriptors)


def test_held_connections_while_the_store_is_away(site):
    """Guards against a crowd that takes the descriptors of the store's calls."""
    holding = HOLDINGS["a head without its body"]
    with ConnectionCrowd(addresses(site)["callers"], CROWD, holding):
        site.store.kill()
        check_daemon(site)
        site.store.start()
        check_daemon(site)


def test_held_connections_during_reloads(site):
    """Guards against limits that a reload of the settings drops."""
    with ConnectionCrowd(addresses(site)["callers"], CROWD, HOLDINGS["nothing sent"]):
        for _ in range(3):
            site.gateways[GATEWAY].send_signal(signal.SIGHUP)
            time.sleep(0.2)
        check_daemon(site)


def test_two_crowds_beside_slow_instances(site):
    """Guards against bounds of memory and of connections that defeat each other."""
    callers = addresses(site)["callers"]
    for name, address in site.instance_addresses.items():
        if name.startswith(BOOKING.service):
            assert site.control(address, work_ms=SLOW_WORK_MS)
    with CrowdSession(callers, LARGE_BODIES):
        with ConnectionCrowd(callers, CROWD, HOLDINGS["a body byte by byte"]):
            check_daemon(site)
            with CrowdSession(callers, LARGE_BODIES):
                check_daemon(site)
