"""Tests of gateway processes with stand-ins for the store and the instances."""

from __future__ import annotations

import json
import signal
import socket
import time

import pytest

from demo.gateway_site import HOST_NAME, REQUEST_KINDS, GatewaySite
from skylarktrail.gateway.service import FLUSH_S, UNREADY_NOTICE_MS

STOCK, BOOKING = REQUEST_KINDS
MAX_UNSERVED_S = 5.0  # Target: a key is served again within 5 s of a failure.
ZONE_EVACUATION_S = 5.0
MAX_CONFIG_DELAY_S = 2.0


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with GatewaySite(tmp_path_factory.mktemp("gateways")) as site:
        wait_until(lambda: site.request(STOCK, "d1").status == 200)
        yield site


def wait_until(condition, timeout_s=15.0):
    end = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end, "the condition did not hold in time"
        time.sleep(0.05)


def is_served_by_all(site, kind):
    return all(site.request(kind, name).status == 200 for name in site.gateways)


def find_granter(site):
    events = site.events("granter_begins")
    return max(events, key=lambda item: item["term"])["daemon"] if events else None


def test_every_key_is_served_by_every_daemon(site):
    for key in range(0, 1 << 16, 8191):
        for name in site.gateways:
            response = site.request(STOCK, name, key)
            assert response.status == 200 and response.is_signed
            assert response.body.startswith(response.request_id)


def test_each_key_has_one_owner(site):
    wait_until(
        lambda: all(len(names) == 1 for names in site.find_holders_by_key().values())
    )


def test_non_idempotent_request_runs_once(site):
    responses = [site.request(BOOKING, "d1") for _ in range(20)]
    runs = site.runs()
    assert [runs[response.request_id] for response in responses] == [1] * 20


def test_unknown_paths_are_refused(site):
    address = site.caller_addresses["d1"]
    assert site.get(address, "/nothing/").status == 404


def test_new_configuration_is_in_force_everywhere_within_the_target(site):
    site.publish(hosts=[])
    wait_until(lambda: site.request(STOCK, "d2").status == 404, MAX_CONFIG_DELAY_S)
    site.publish()
    wait_until(lambda: is_served_by_all(site, STOCK), MAX_CONFIG_DELAY_S)


def test_metrics_are_served(site):
    text = site.get(site.ready_addresses["d1"], "/metrics").body
    assert "skylarktrail_answers_total" in text
    assert "skylarktrail_request_seconds_bucket" in text


def test_each_request_has_a_log_line(site):
    response = site.request(STOCK, "d1", 77)
    wait_until(
        lambda: any(
            item["request"] == response.request_id
            for item in site.events("request_answered")
        )
    )
    line = [
        item
        for item in site.events("request_answered")
        if item["request"] == response.request_id
    ][0]
    assert line["key_hash"] == 77 and line["attempts"][0]["outcome"] == "ANSWERED"


def test_zone_that_is_taken_out_gets_no_requests(site):
    site.set_zone_out("alajuela", True)
    wait_until(lambda: is_served_by_all(site, STOCK), ZONE_EVACUATION_S)
    time.sleep(ZONE_EVACUATION_S)
    before = {n: last_run_ms(site, n) for n in site.instances if n.endswith(("2", "4"))}
    for _ in range(30):
        assert site.request(STOCK, "d1").status == 200
        assert site.request(BOOKING, "d2").status == 200
    assert before == {n: last_run_ms(site, n) for n in before}
    site.set_zone_out("alajuela", False)


def last_run_ms(site, name):
    return json.loads(site.get(site.instance_addresses[name], "/last").body)["at_ms"]


def test_keys_of_a_killed_server_are_served_again_within_the_target(site):
    site.instances["catalogo-1"].kill()
    time.sleep(MAX_UNSERVED_S)
    for key in range(0, 1 << 16, 2039):
        assert site.request(STOCK, "d1", key).status == 200
    site.instances["catalogo-1"].start()


def test_work_goes_on_when_the_granter_is_killed(site):
    granter = find_granter(site)
    site.gateways[granter].kill()
    others = [name for name in site.gateways if name != granter]
    wait_until(lambda: find_granter(site) != granter, MAX_UNSERVED_S)
    for key in range(0, 1 << 16, 4099):
        assert site.request(STOCK, others[0], key).status == 200
    site.gateways[granter].start()
    site.wait_for(site.ready_addresses[granter], "/ready")


def test_requests_are_served_while_the_store_is_away(site):
    site.control(site.store_address, mode="silent")
    time.sleep(3.0)
    statuses = {
        site.request(kind, "d1").status for kind in REQUEST_KINDS for _ in range(10)
    }
    site.control(site.store_address, mode="up")
    assert statuses == {200}
    wait_until(lambda: is_served_by_all(site, STOCK))


def test_shutdown_interrupts_no_request(site):
    process = site.gateways["d3"]
    process.send_signal(signal.SIGTERM)
    started = time.monotonic()
    responses = []
    while process.is_running and time.monotonic() < started + 8:
        responses.append(site.request(BOOKING, "d3"))
    assert process.wait(1.0) == 0
    interrupted = [response for response in responses if response.status == 0]
    runs = site.runs()
    assert not [response for response in interrupted if runs.get(response.request_id)]
    assert len(responses) > 10
    assert site.get(site.ready_addresses["d3"], "/ready").status != 200
    process.start()
    site.wait_for(site.ready_addresses["d3"], "/ready")


def test_shutdown_answers_a_request_that_is_being_received(site):
    """A caller on a slow link has sent the half of its request at SIGTERM."""
    process = site.gateways["d3"]
    host, _, port = site.caller_addresses["d3"].rpartition(":")
    with socket.create_connection((host, int(port)), 5.0) as connection:
        head = "POST /booking/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %016x\r\n"
        fields = "Deadline-Ms: 4000\r\nContent-Length: 4\r\n\r\n"
        connection.sendall((head % (HOST_NAME, 77) + fields + "ab").encode())
        time.sleep(0.2)
        process.send_signal(signal.SIGTERM)
        time.sleep(UNREADY_NOTICE_MS / 1000 + FLUSH_S + 0.5)
        connection.sendall(b"cd")
        response = connection.recv(1 << 16)
    assert response.startswith((b"HTTP/1.1 200 ", b"HTTP/1.1 503 "))
    assert process.wait(5.0) == 0
    process.start()
    site.wait_for(site.ready_addresses["d3"], "/ready")


def test_invalid_settings_are_refused_with_the_code_of_the_fault(tmp_path):
    from demo.process import Process

    path = tmp_path / "bad.json"
    path.write_text(json.dumps({"kind": "gateway", "daemon": "d1"}))
    process = Process("bad", "skylarktrail", ["--settings", str(path)], tmp_path)
    process.start()
    assert process.wait(10.0) == 1
    assert "FIELD_MISSING" in process.output()
