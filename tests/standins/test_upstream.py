"""Tests of the upstream stand-in over HTTP."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3

from skylarktrail.providers.http_reports import HttpReportClient
from standins import backend as backend_module
from standins.upstream import ColdStart, Upstream

THREAD_COUNT = 20


@pytest.fixture
def start(serve, parse_arguments):
    def start(*words):
        return serve(Upstream(parse_arguments(*words)).backend.application)

    return start


def post_booking(send, address, **headers):
    return send("POST", address, "/carga/book", body=b"box", headers=headers)


def executed(send, address):
    return send("GET", address, "/executed").json()["executed"]


@pytest.fixture
def execution_gate(monkeypatch):
    """Blocks all executions until the event is set."""
    execution_gate = threading.Event()

    class Time:
        @staticmethod
        def sleep(seconds):
            execution_gate.wait(10)

    monkeypatch.setattr(backend_module, "time", Time)
    yield execution_gate
    execution_gate.set()


def wait_for_load(address, in_flight):
    client = HttpReportClient()
    for _ in range(1000):
        if client.fetch_load(address, 5000).unwrap().in_flight == in_flight:
            return
        threading.Event().wait(0.005)
    raise AssertionError("the expected in-flight count was not reported")


def test_response_echoes_the_request(start, send):
    address = start()
    response = post_booking(send, address, **{"Idempotency-Key": "id"}).json()
    assert (response["path"], response["body"]) == ("/carga/book", "box")
    assert response["instance"] == "one"
    assert len(executed(send, address)) == 1


def test_requests_beyond_slots_and_queue_are_not_run(start, send, execution_gate):
    address = start("--slots", "1", "--queue-limit", "2")
    with ThreadPoolExecutor(THREAD_COUNT) as pool:
        calls = [pool.submit(post_booking, send, address) for _ in range(6)]
        refused = [call for call in calls if _is_done_among_first(call, calls, 3)]
        execution_gate.set()
        answers = [call.result() for call in calls]
    assert len(refused) == 3
    assert sorted(response.status for response in answers) == [200] * 3 + [503] * 3
    assert len(executed(send, address)) == 3


def _is_done_among_first(call, calls, count):
    while sum(other.done() for other in calls) < count:
        threading.Event().wait(0.005)
    return call.done()


def test_request_whose_deadline_passes_in_the_queue_is_not_run(
    start, send, execution_gate
):
    address = start("--slots", "1")
    with ThreadPoolExecutor(2) as pool:
        first = pool.submit(post_booking, send, address)
        wait_for_load(address, 1)
        late = post_booking(send, address, **{"Skylark-Deadline-Ms": "20"})
        execution_gate.set()
        assert first.result().status == 200
    assert late.status == 503
    assert late.headers["Skylark-Outcome"] == "not-run"
    assert len(executed(send, address)) == 1


def test_cancel_of_a_queued_request(start, send, execution_gate):
    address = start("--slots", "1")
    client = HttpReportClient()
    with ThreadPoolExecutor(2) as pool:
        first = pool.submit(post_booking, send, address, **{"Skylark-Request-Id": "a"})
        wait_for_load(address, 1)
        queued = pool.submit(post_booking, send, address, **{"Skylark-Request-Id": "b"})
        assert client.cancel(address, "b", 5000).unwrap()
        assert queued.result().headers["Skylark-Outcome"] == "not-run"
        assert not client.cancel(address, "a", 5000).unwrap()
        execution_gate.set()
        assert first.result().status == 200
    assert [item["request_id"] for item in executed(send, address)] == ["a"]


def test_cancel_that_arrives_before_its_request(start, send):
    address = start()
    assert HttpReportClient().cancel(address, "a", 5000).unwrap()
    assert post_booking(send, address, **{"Skylark-Request-Id": "a"}).status == 503
    assert executed(send, address) == []


def test_cancel_of_a_finished_request_is_too_late(start, send):
    address = start()
    post_booking(send, address, **{"Skylark-Request-Id": "a"})
    assert not HttpReportClient().cancel(address, "a", 5000).unwrap()


def test_cold_upstream_is_overloaded_beyond_its_limit(start, send, execution_gate):
    address = start("--cold-ms", "3600000", "--cold-limit", "1")
    with ThreadPoolExecutor(1) as pool:
        first = pool.submit(post_booking, send, address)
        wait_for_load(address, 1)
        assert post_booking(send, address).status == 503
        assert send("GET", address, "/overloads").json() == {"overloads": 1}
        execution_gate.set()
        assert first.result().status == 200
    assert post_booking(send, address).status == 503
    assert send("GET", address, "/overloads").json() == {"overloads": 1}


def test_cold_limit_ends_and_applies_again_after_a_restart(monkeypatch):
    clock = [0.0]
    monkeypatch.setattr("standins.upstream.now_ms", lambda: clock[0])
    cold_start = ColdStart(cold_limit=1, cold_ms=100)
    assert cold_start.try_accept(0) and not cold_start.try_accept(1)
    clock[0] = 2100.0
    assert cold_start.try_accept(50)
    cold_start.restart()
    assert cold_start.try_accept(0) and not cold_start.try_accept(1)


def test_draining_upstream_refuses_new_requests_and_finishes_running_ones(
    start, send, execution_gate
):
    address = start()
    with ThreadPoolExecutor(1) as pool:
        first = pool.submit(post_booking, send, address)
        wait_for_load(address, 1)
        send("POST", address, "/control", json={"drain": True})
        assert post_booking(send, address).headers["Skylark-Outcome"] == "not-run"
        assert HttpReportClient().fetch_health(address, 5000).unwrap() == (True, True)
        execution_gate.set()
        assert first.result().status == 200


def test_shedding_upstream_runs_nothing(start, send):
    address = start()
    send("POST", address, "/control", json={"shed": True})
    assert post_booking(send, address).headers["Skylark-Outcome"] == "not-run"
    assert executed(send, address) == []


def test_truncated_response_is_never_complete(start, send):
    address = start()
    send("POST", address, "/control", json={"break_answers": 1})
    with pytest.raises(urllib3.exceptions.ProtocolError):
        post_booking(send, address)
    assert post_booking(send, address).status == 200
    assert len(executed(send, address)) == 2


def test_request_without_a_response_was_executed(start, send):
    address = start()
    send("POST", address, "/control", json={"silent_answers": 1})
    manager = urllib3.PoolManager(retries=False)
    with pytest.raises(urllib3.exceptions.ReadTimeoutError):
        manager.request("POST", f"http://{address}/carga/book", timeout=0.2)
    assert len(executed(send, address)) == 1


def test_load_report_lags(start, send, execution_gate):
    address = start()
    with ThreadPoolExecutor(1) as pool:
        first = pool.submit(post_booking, send, address)
        wait_for_load(address, 1)
        send("POST", address, "/control", json={"report_lag_ms": 3_600_000})
        report = HttpReportClient().fetch_load(address, 5000).unwrap()
        execution_gate.set()
        first.result()
    assert (report.in_flight, report.age_ms) == (0, 3_600_000)


def test_reported_readiness_does_not_affect_requests(start, send):
    address = start()
    send("POST", address, "/control", json={"report_ready": False})
    assert HttpReportClient().fetch_health(address, 5000).unwrap() == (False, False)
    assert post_booking(send, address).status == 200
