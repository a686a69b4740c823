"""Metrics: correct values, bounded series, thread safety."""

from __future__ import annotations

import re
from threading import Thread

import pytest

from skylarktrail.daemon import metrics as module
from skylarktrail.daemon.metrics import GAUGES, Metrics
from skylarktrail.daemon.status import LogStatus, StatusSnapshot
from skylarktrail.errors import caller, log


@pytest.fixture
def status():
    """The status of a daemon that has just started."""
    log_status = LogStatus(True, None, 0, "")
    return StatusSnapshot("d1", "i1", "z1", 0, True, False, True, 7, 9, log_status)


@pytest.fixture
def metrics():
    """Metrics with one tenant and one service registered."""
    found = Metrics(label_values=4)
    found.register_labels(["shops"], ["catalogo"])
    return found


def samples(metrics, status):
    body, _ = metrics.render(status)
    lines = [x for x in body.decode().splitlines() if x and not x.startswith("#")]
    return dict(line.rsplit(" ", 1) for line in lines)


def series(name, **labels):
    inside = ",".join(f'{key}="{labels[key]}"' for key in sorted(labels))
    return f"skylarktrail_{name}{{{inside}}}"


def test_latencies_are_cumulative_buckets_in_seconds(metrics, status):
    for latency_ms in (1, 15, 20_000):
        metrics.observe_request("shops", "catalogo", "answered", latency_ms)
    found = samples(metrics, status)
    labels = {"tenant": "shops", "service": "catalogo", "outcome": "answered"}
    buckets = {
        bound: float(found[series("request_seconds_bucket", le=bound, **labels)])
        for bound in ("0.001", "0.01", "0.02", "10.0", "+Inf")
    }
    assert buckets == {"0.001": 1, "0.01": 1, "0.02": 2, "10.0": 2, "+Inf": 3}
    assert float(found[series("request_seconds_count", **labels)]) == 3
    assert float(found[series("request_seconds_sum", **labels)]) == 20.016


def test_unknown_tenants_and_services_share_one_series(metrics, status):
    for number in range(1000):
        name = f'x{number}"}}\n'
        metrics.observe_request(name, name, "not-run", 1)
        metrics.count_refusal(name, caller.ROUTE_UNKNOWN)
    found = samples(metrics, status)
    counts = [name for name in found if name.startswith("skylarktrail_request")]
    labels = {"tenant": "other", "service": "other", "outcome": "not-run"}
    assert float(found[series("request_seconds_count", **labels)]) == 1000
    assert len(counts) == len(module.LATENCY_BUCKETS_S) + 3
    refusals = series("refusals_total", service="other", code="ROUTE_UNKNOWN")
    assert found[refusals] == "1000"


def test_known_values_are_bounded_and_stay_known(status):
    metrics = Metrics(label_values=2)
    metrics.register_labels(["a", "b", "c"], [])
    metrics.register_labels(["c"], [])
    for tenant in "abc":
        metrics.observe_request(tenant, "", "answered", 1)
    assert set(metrics.tenant_counts()) == {"a", "b", "other"}


def test_series_of_a_counter_are_bounded(metrics, status, monkeypatch):
    monkeypatch.setattr(module, "MAX_SERIES", 3)
    for number in range(10):
        metrics.count_state_change(f"event-{number}")
    found = samples(metrics, status)
    events = [name for name in found if "state_changes" in name]
    assert len(events) == 4
    assert found[series("state_changes_total", event="other")] == "7"


def test_every_counter_and_gauge_is_rendered(metrics, status):
    metrics.count_attempt("catalogo", "first", "answered")
    metrics.count_record("join", log.RECORD_ACCEPTED)
    metrics.count_message("heartbeat", "sent")
    metrics.count_grant("accepted")
    metrics.count_state_change("ready")
    metrics.count_refusal("catalogo", caller.KEY_MISSING)
    found = samples(metrics, status)
    names = {re.match("skylarktrail_([a-z_]+)", name)[1] for name in found}
    expected = {f"{name}_total" for name in module.COUNTERS} | set(GAUGES)
    assert expected <= names
    assert found["skylarktrail_revision"] == "7"


def test_repeated_scrape_returns_the_same_counts(metrics, status):
    metrics.count_grant("accepted")
    assert samples(metrics, status) == samples(metrics, status)


def test_no_count_is_lost_when_threads_count_during_a_scrape(metrics, status):
    def work(number):
        for turn in range(2000):
            metrics.observe_request("shops", "catalogo", "answered", 1)
            metrics.count_attempt("catalogo", f"kind-{number}-{turn % 50}", "answered")

    threads = [Thread(target=work, args=(number,)) for number in range(4)]
    for thread in threads:
        thread.start()
    while any(thread.is_alive() for thread in threads):
        metrics.render(status)
    assert metrics.tenant_counts() == {"shops": {"answered": 8000}}
    found = samples(metrics, status)
    assert sum(int(v) for name, v in found.items() if "tries_total" in name) == 8000
