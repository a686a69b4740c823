"""Tests that a planned stop cuts no request that the daemon has passed on."""

from __future__ import annotations

import signal
import threading
import time

import pytest

from demo.gateway_site import HOST_NAME, REQUEST_KINDS, GatewaySite, make_configuration

BOOKING = REQUEST_KINDS[1]
WORK_MS = 2400.0
TIMEOUT_MS = 6000
GRACE_S = 6.0
SENT_FOR_S = 2.8
INTERVAL_S = 0.1
WARM_UP_COUNT = 12
MAX_REFUSAL_MS = 4000.0  # The time until then, which a request may wait for a slot.


@pytest.fixture
def site(tmp_path):
    """Returns a site with slow work, of which the daemons have seen some."""
    with GatewaySite(tmp_path, gateways=2, instances=2) as site:
        hosts = make_configuration(1)["hosts"]
        for path in hosts[0]["paths"]:
            path["timeoutMs"] = path["targetLatencyMs"] = TIMEOUT_MS
        site.publish(hosts=hosts)
        for name, address in site.instance_addresses.items():
            if name.startswith(BOOKING.service):
                assert site.control(address, work_ms=WORK_MS)
        time.sleep(2.0)  # The configuration is in force.
        warm_up(site)
        yield site


def book(site, gateway, request_id, answers):
    """Sends a booking whose caller waits longer than the grace."""
    headers = {
        "Host": HOST_NAME,
        "Request-Id": request_id,
        "Deadline-Ms": str(TIMEOUT_MS),
    }
    url = f"http://{site.caller_addresses[gateway]}/{BOOKING.name}/x"
    answers[request_id] = site._send("POST", url, headers, b"", TIMEOUT_MS / 1000 + 1)


def send_all(site, gateway, prefix, count, interval_s):
    """Sends bookings at intervals; returns the answers by id."""
    answers = {}
    threads = []
    for number in range(count):
        args = (site, gateway, f"{prefix}{number:04d}", answers)
        threads.append(threading.Thread(target=book, args=args))
        threads[-1].start()
        time.sleep(interval_s)
    for thread in threads:
        thread.join()
    return answers


def warm_up(site):
    for gateway in site.gateways:
        send_all(site, gateway, f"w{gateway}", WARM_UP_COUNT // 2, WORK_MS / 4000)


def test_requests_that_are_passed_on_in_the_grace_are_answered(site):
    """Guards against work that begins late in the grace and is cut at its end."""
    site.gateways["d1"].send_signal(signal.SIGTERM)
    count = int(SENT_FOR_S / INTERVAL_S)
    answers = send_all(site, "d1", "s", count, INTERVAL_S)
    site.gateways["d1"].wait(GRACE_S)
    runs = site.read_run_times()
    cut = {name for name, answer in answers.items() if answer.status == 0}
    assert not cut & set(runs)
    refused = {name for name, answer in answers.items() if answer.status == 503}
    assert not refused & set(runs)
    assert {answer.status for answer in answers.values()} <= {200, 503}
    assert any(answer.status == 200 for answer in answers.values())
    assert refused
    assert max(answers[name].took_ms for name in refused) < MAX_REFUSAL_MS
