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
    registered = Metrics(label_values=4)
    registered.register_labels(["shops"], ["catalogo"])
    return registered


def samples(metrics, status):
    body, _ = metrics.render(status)
    lines = [
        line for line in body.decode().splitlines() if line and not line.startswith("#")
    ]
    return dict(line.rsplit(" ", 1) for line in lines)


def series(name, **labels):
    label_text = ",".join(f'{key}="{labels[key]}"' for key in sorted(labels))
    return f"skylarktrail_{name}{{{label_text}}}"


def test_latencies_are_cumulative_buckets_in_seconds(metrics, status):
    for latency_ms in (1, 15, 20_000):
        metrics.observe_request("shops", "catalogo", "answered", latency_ms)
    rendered = samples(metrics, status)
    labels = {"tenant": "shops", "service": "catalogo", "outcome": "answered"}
    buckets = {
        bound: float(rendered[series("request_seconds_bucket", le=bound, **labels)])
        for bound in ("0.001", "0.01", "0.02", "10.0", "+Inf")
    }
    assert buckets == {"0.001": 1, "0.01": 1, "0.02": 2, "10.0": 2, "+Inf": 3}
    assert float(rendered[series("request_seconds_count", **labels)]) == 3
    assert float(rendered[series("request_seconds_sum", **labels)]) == 20.016


def test_unknown_tenants_and_services_share_one_series(metrics, status):
    for number in range(1000):
        name = f'x{number}"}}\n'
        metrics.observe_request(name, name, "not-run", 1)
        metrics.count_refusal(name, caller.ROUTE_UNKNOWN)
    rendered = samples(metrics, status)
    counts = [name for name in rendered if name.startswith("skylarktrail_request")]
    labels = {"tenant": "other", "service": "other", "outcome": "not-run"}
    assert float(rendered[series("request_seconds_count", **labels)]) == 1000
    assert len(counts) == len(module.LATENCY_BUCKETS_S) + 3
    refusals = series("refusals_total", service="other", code="ROUTE_UNKNOWN")
    assert rendered[refusals] == "1000"


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
    rendered = samples(metrics, status)
    events = [name for name in rendered if "state_changes" in name]
    assert len(events) == 4
    assert rendered[series("state_changes_total", event="other")] == "7"


def test_every_counter_and_gauge_is_rendered(metrics, status):
    metrics.count_attempt("catalogo", "first", "answered")
    metrics.count_record("join", log.RECORD_ACCEPTED)
    metrics.count_message("heartbeat", "sent")
    metrics.count_grant("accepted")
    metrics.count_state_change("ready")
    metrics.count_caller_end("stalled")
    metrics.add_gauge("caller_bytes", "Bytes held for callers.", lambda: 12.0)
    metrics.count_refusal("catalogo", caller.KEY_MISSING)
    rendered = samples(metrics, status)
    names = {re.match("skylarktrail_([a-z_]+)", name)[1] for name in rendered}
    expected = {f"{name}_total" for name in module.COUNTERS} | set(GAUGES)
    assert expected <= names
    assert rendered["skylarktrail_revision"] == "7"
    assert rendered["skylarktrail_caller_bytes"] == "12.0"


def test_repeated_scrape_returns_the_same_counts(metrics, status):
    metrics.count_grant("accepted")
    assert samples(metrics, status) == samples(metrics, status)


def test_no_count_is_lost_when_threads_count_during_a_scrape(metrics, status):
    def record_requests(thread_number):
        for request_number in range(2000):
            metrics.observe_request("shops", "catalogo", "answered", 1)
            metrics.count_attempt(
                "catalogo", f"kind-{thread_number}-{request_number % 50}", "answered"
            )

    threads = [Thread(target=record_requests, args=(number,)) for number in range(4)]
    for thread in threads:
        thread.start()
    while any(thread.is_alive() for thread in threads):
        metrics.render(status)
    assert metrics.tenant_counts() == {"shops": {"answered": 8000}}
    rendered = samples(metrics, status)
    assert sum(int(v) for name, v in rendered.items() if "tries_total" in name) == 8000
