"""Tests that clients which send or read badly do not use up a daemon's memory.

Each test lowers `memory_mb` of one daemon, so that a small crowd shows the fault. None
checks times or how many of the crowd are served.
"""

from __future__ import annotations

import http.client
import json
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from demo.gateway_site import DEADLINE_MS, HOST_NAME, REQUEST_KINDS, GatewaySite

from .crowds import CHUNKED, Crowd, CrowdSession, count_descriptors, read_peak_mb

BOOKING = REQUEST_KINDS[1]
GATEWAY = "d1"
MEMORY_MB = 160
PAIR_MEMORY_MB = 300  # Memory of a daemon that two bodies of 60 MiB ended.
DESCRIPTORS = 1024
SETTLE_S = 15.0
ANSWER_S = 20.0
LARGEST_BODY_BYTES = 64 << 20
PAIR_BODY_BYTES = 60 << 20
LARGE_CHUNK = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
SMALL_CHUNK = b"1\r\nx\r\n"
CROWDS = {
    "large bodies that stop one byte short": Crowd(
        12, "Content-Length: 30000000", 29_999_999
    ),
    "large bodies in small pieces": Crowd(
        8, "Content-Length: 30000000", 29_999_999, piece_bytes=1400
    ),
    "large chunks without an end": Crowd(12, CHUNKED, 30_000_000, LARGE_CHUNK),
    "small chunks without an end": Crowd(12, CHUNKED, 2_000_000, SMALL_CHUNK),
    "bodies that are declared over the limit": Crowd(
        12, "Content-Length: 4000000000", 100_000_000
    ),
    "bodies over the limit behind Expect": Crowd(
        5, "Expect: 100-continue\r\nContent-Length: 4000000000", 100_000_000
    ),
    "chunks that grow over the limit": Crowd(5, CHUNKED, 100_000_000, LARGE_CHUNK),
    "many bodies of medium size": Crowd(400, "Content-Length: 400000", 399_999),
    "a trailer without an end": Crowd(
        5, CHUNKED, 40_000_000, b"0\r\n" + b"A: b\r\n" * 10_000
    ),
}
UNREAD_RESPONSES = Crowd(24, "Content-Length: 0", 0)
UNREAD_RESPONSE_BYTES = 8_000_000


def start_site(tmp_path, memory_mb):
    """Returns a site whose daemon may use so much memory, with requests served."""
    site = GatewaySite(tmp_path, gateways=1, instances=4)
    settings = site.gateway_settings[GATEWAY] | {
        "memory_mb": memory_mb,
        "descriptors": DESCRIPTORS,
    }
    site.settings_path(GATEWAY).write_text(json.dumps(settings))
    return site


def wait_for_answer(site, timeout_s):
    """Waits until an ordinary request is answered; returns whether one was."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if site.request(BOOKING, GATEWAY, keep_alive=False).status == 200:
            return True
        time.sleep(0.05)
    return False


def check_daemon(site, memory_mb):
    """Checks that the daemon lives, within its memory, and answers."""
    process = site.gateways[GATEWAY]
    assert process.is_running
    peak_mb = read_peak_mb(process.pid)
    descriptors = count_descriptors(process.pid)
    print(f"peak {peak_mb:.0f} MB, {descriptors} descriptors")
    assert descriptors <= DESCRIPTORS
    is_answered = wait_for_answer(site, ANSWER_S)
    peak_mb = read_peak_mb(process.pid)
    print(f"peak {peak_mb:.0f} MB, {'an' if is_answered else 'no'} answer")
    assert peak_mb <= memory_mb
    assert is_answered
    assert process.is_running


@pytest.fixture
def site(tmp_path):
    with start_site(tmp_path, MEMORY_MB) as site:
        assert wait_for_answer(site, SETTLE_S)
        yield site


@pytest.fixture
def pair_site(tmp_path):
    with start_site(tmp_path, PAIR_MEMORY_MB) as site:
        assert wait_for_answer(site, SETTLE_S)
        yield site


def post(site, body_bytes):
    """Sends a whole body; returns the status, or 0 without one."""
    host, _, port = site.caller_addresses[GATEWAY].rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=ANSWER_S)
    headers = {"Host": HOST_NAME, "Request-Id": "p", "Deadline-Ms": str(DEADLINE_MS)}
    try:
        connection.request("POST", "/booking/x", b"x" * body_bytes, headers)
        return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()


@pytest.mark.parametrize("kind", CROWDS)
def test_bodies_that_do_not_end_stay_within_the_memory(site, kind):
    """Guards against a daemon that keeps whatever its callers send."""
    with CrowdSession(site.caller_addresses[GATEWAY], CROWDS[kind]):
        check_daemon(site, MEMORY_MB)


def test_bodies_at_the_forward_address_stay_within_the_memory(site):
    """Guards against a bound for the callers' address alone."""
    crowd = CROWDS["large bodies that stop one byte short"]
    address = site.gateway_settings[GATEWAY]["forward_address"]
    with CrowdSession(address, crowd):
        check_daemon(site, MEMORY_MB)


def test_responses_that_are_not_read_stay_within_the_memory(site):
    """Guards against complete responses that pile up for slow callers."""
    for name, address in site.instance_addresses.items():
        if name.startswith(BOOKING.service):
            site.control(address, response_bytes=UNREAD_RESPONSE_BYTES)
    with CrowdSession(site.caller_addresses[GATEWAY], UNREAD_RESPONSES, 4096):
        time.sleep(2.0)  # The instances answer meanwhile.
        for name, address in site.instance_addresses.items():
            if name.startswith(BOOKING.service):
                site.control(address, response_bytes=0)
        check_daemon(site, MEMORY_MB)


def test_the_largest_body_is_served_within_the_memory(site):
    """Guards against copies of a body on its way, and against too small a bound."""
    assert post(site, LARGEST_BODY_BYTES) == 200
    check_daemon(site, MEMORY_MB)


def test_two_large_bodies_at_once_stay_within_the_memory(pair_site):
    """Guards against the loss of a daemon to two clients within the limits."""
    with ThreadPoolExecutor(2) as pool:
        list(pool.map(lambda _: post(pair_site, PAIR_BODY_BYTES), range(2)))
    check_daemon(pair_site, PAIR_MEMORY_MB)
