"""The upstream stand-in over HTTP: slots, cold start, drain, cancel, deadlines."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3

from skylarktrail.providers.http_reports import HttpReportClient
from standins import backend as backend_module
from standins.upstream import ColdStart, Upstream

CALLS = 20


@pytest.fixture
def start(serve, parse_arguments):
    def start(*words):
        return serve(Upstream(parse_arguments(*words)).backend.application)

    return start


def book(send, address, **headers):
    return send("POST", address, "/carga/book", body=b"box", headers=headers)


def executed(send, address):
    return send("GET", address, "/executed").json()["executed"]


@pytest.fixture
def gate(monkeypatch):
    """Holds all work until it is set."""
    gate = threading.Event()

    class Time:
        @staticmethod
        def sleep(seconds):
            gate.wait(10)

    monkeypatch.setattr(backend_module, "time", Time)
    yield gate
    gate.set()


def wait_for_load(address, in_flight):
    client = HttpReportClient()
    for _ in range(1000):
        if client.fetch_load(address, 5000).unwrap().in_flight == in_flight:
            return
        threading.Event().wait(0.005)
    raise AssertionError("the load never came")


def test_answer_echoes_the_request(start, send):
    address = start()
    response = book(send, address, **{"Idempotency-Key": "id"}).json()
    assert (response["path"], response["body"]) == ("/carga/book", "box")
    assert response["instance"] == "one"
    assert len(executed(send, address)) == 1


def test_beyond_slots_and_queue_is_not_run(start, send, gate):
    address = start("--slots", "1", "--queue-limit", "2")
    with ThreadPoolExecutor(CALLS) as pool:
        calls = [pool.submit(book, send, address) for _ in range(6)]
        refused = [call for call in calls if _ends_first(call, calls, 3)]
        gate.set()
        answers = [call.result() for call in calls]
    assert len(refused) == 3
    assert sorted(response.status for response in answers) == [200] * 3 + [503] * 3
    assert len(executed(send, address)) == 3


def _ends_first(call, calls, count):
    while sum(other.done() for other in calls) < count:
        threading.Event().wait(0.005)
    return call.done()


def test_request_whose_deadline_passes_in_the_queue_is_not_run(start, send, gate):
    address = start("--slots", "1")
    with ThreadPoolExecutor(2) as pool:
        first = pool.submit(book, send, address)
        wait_for_load(address, 1)
        late = book(send, address, **{"Skylark-Deadline-Ms": "20"})
        gate.set()
        assert first.result().status == 200
    assert late.status == 503
    assert late.headers["Skylark-Outcome"] == "not-run"
    assert len(executed(send, address)) == 1


def test_cancel_of_a_queued_request(start, send, gate):
    address = start("--slots", "1")
    client = HttpReportClient()
    with ThreadPoolExecutor(2) as pool:
        first = pool.submit(book, send, address, **{"Skylark-Request-Id": "a"})
        wait_for_load(address, 1)
        queued = pool.submit(book, send, address, **{"Skylark-Request-Id": "b"})
        assert client.cancel(address, "b", 5000).unwrap()
        assert queued.result().headers["Skylark-Outcome"] == "not-run"
        assert not client.cancel(address, "a", 5000).unwrap()
        gate.set()
        assert first.result().status == 200
    assert [item["request_id"] for item in executed(send, address)] == ["a"]


def test_cancel_that_overtakes_its_request(start, send):
    address = start()
    assert HttpReportClient().cancel(address, "a", 5000).unwrap()
    assert book(send, address, **{"Skylark-Request-Id": "a"}).status == 503
    assert executed(send, address) == []


def test_cancel_of_a_finished_request_is_too_late(start, send):
    address = start()
    book(send, address, **{"Skylark-Request-Id": "a"})
    assert not HttpReportClient().cancel(address, "a", 5000).unwrap()


def test_cold_upstream_falls_over_beyond_its_limit(start, send, gate):
    address = start("--cold-ms", "3600000", "--cold-limit", "1")
    with ThreadPoolExecutor(1) as pool:
        first = pool.submit(book, send, address)
        wait_for_load(address, 1)
        assert book(send, address).status == 503
        assert send("GET", address, "/overloads").json() == {"overloads": 1}
        gate.set()
        assert first.result().status == 200
    assert book(send, address).status == 503
    assert send("GET", address, "/overloads").json() == {"overloads": 1}


def test_warmth_ends_and_returns(monkeypatch):
    clock = [0.0]
    monkeypatch.setattr("standins.upstream.now_ms", lambda: clock[0])
    cold_start = ColdStart(cold_limit=1, cold_ms=100)
    assert cold_start.try_accept(0) and not cold_start.try_accept(1)
    clock[0] = 2100.0
    assert cold_start.try_accept(50)
    cold_start.restart()
    assert cold_start.try_accept(0) and not cold_start.try_accept(1)


def test_draining_upstream_takes_nothing_new_and_ends_its_work(start, send, gate):
    address = start()
    with ThreadPoolExecutor(1) as pool:
        first = pool.submit(book, send, address)
        wait_for_load(address, 1)
        send("POST", address, "/control", json={"drain": True})
        assert book(send, address).headers["Skylark-Outcome"] == "not-run"
        assert HttpReportClient().fetch_health(address, 5000).unwrap() == (True, True)
        gate.set()
        assert first.result().status == 200


def test_shedding_upstream_runs_nothing(start, send):
    address = start()
    send("POST", address, "/control", json={"shed": True})
    assert book(send, address).headers["Skylark-Outcome"] == "not-run"
    assert executed(send, address) == []


def test_answer_that_breaks_off_is_never_complete(start, send):
    address = start()
    send("POST", address, "/control", json={"break_answers": 1})
    with pytest.raises(urllib3.exceptions.ProtocolError):
        book(send, address)
    assert book(send, address).status == 200
    assert len(executed(send, address)) == 2


def test_silent_answer_was_run(start, send):
    address = start()
    send("POST", address, "/control", json={"silent_answers": 1})
    manager = urllib3.PoolManager(retries=False)
    with pytest.raises(urllib3.exceptions.ReadTimeoutError):
        manager.request("POST", f"http://{address}/carga/book", timeout=0.2)
    assert len(executed(send, address)) == 1


def test_load_report_lags(start, send, gate):
    address = start()
    with ThreadPoolExecutor(1) as pool:
        first = pool.submit(book, send, address)
        wait_for_load(address, 1)
        send("POST", address, "/control", json={"report_lag_ms": 3_600_000})
        report = HttpReportClient().fetch_load(address, 5000).unwrap()
        gate.set()
        first.result()
    assert (report.in_flight, report.age_ms) == (0, 3_600_000)


def test_health_can_mislead(start, send):
    address = start()
    send("POST", address, "/control", json={"report_ready": False})
    assert HttpReportClient().fetch_health(address, 5000).unwrap() == (False, False)
    assert book(send, address).status == 200
