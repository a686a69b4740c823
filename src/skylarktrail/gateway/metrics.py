"""Counters, gauges and latency histograms of the gateway (aioprometheus)."""

from __future__ import annotations

import threading
from typing import Callable, Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from ..daemon.metric_names import LATENCY_BUCKETS_S, METRIC_PREFIX, OTHER_LABEL
from ..errors.code import Code

MAX_SERIES = 2000  # Per metric; further label values are counted as "other".

COUNTERS = {
    "answers": ("Answers to callers, by route and status.", ("route", "status")),
    "refusals": ("Requests refused, by service and code.", ("service", "code")),
    "attempts": ("Attempts at instances, by outcome.", ("service", "outcome")),
    "quota_requests": (
        "Requests of customers with a quota, by customer and decision.",
        ("customer", "decision"),
    ),
    "quota_reports": ("Reports of usage sent to the granter.", ()),
    "store_calls": ("Calls to the store, by call and outcome.", ("call", "outcome")),
    "lease_calls": ("Grants and releases, by outcome.", ("kind", "outcome")),
    "forwards": (
        "Requests forwarded to another daemon, by its zone (same, other; empty if it "
        "was not served) and outcome.",
        ("zone", "outcome"),
    ),
    "forwarded_bytes": ("Bytes of forwarded bodies and their answers.", ("zone",)),
    "caller_ends": (
        "Callers' requests and connections ended by the daemon: budget (no memory), "
        "stalled (nothing sent), unread (answer not read), connections (a new "
        "caller needs the connection), draining (too slow for a planned stop).",
        ("reason",),
    ),
    "moved_ranges": ("Key ranges given to another owner.", ("service",)),
}


class GatewayMetrics:
    """Metrics of one daemon; all methods are thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._registry = Registry()
        self._counts: dict[str, dict[tuple[str, ...], int]] = {n: {} for n in COUNTERS}
        self._counters = {
            name: Counter(f"{METRIC_PREFIX}_{name}_total", doc, registry=self._registry)
            for name, (doc, _) in COUNTERS.items()
        }
        self._latency = Histogram(
            f"{METRIC_PREFIX}_request_seconds",
            "Time from a caller's request to its answer, by route.",
            registry=self._registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self._routes: set[str] = set()
        self._gauges: dict[str, tuple[Gauge, Callable[[], float]]] = {}
        self._labelled_gauges: list[
            tuple[Gauge, str, Callable[[], Mapping[str, float]]]
        ] = []

    def add_gauge(self, name: str, doc: str, read: Callable[[], float]) -> None:
        """Adds a gauge that is read at each scrape."""
        gauge = Gauge(f"{METRIC_PREFIX}_{name}", doc, registry=self._registry)
        self._gauges[name] = (gauge, read)

    def add_labelled_gauge(
        self, name: str, doc: str, label: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Adds a gauge that is read at each scrape, by the values of a label."""
        gauge = Gauge(f"{METRIC_PREFIX}_{name}", doc, registry=self._registry)
        self._labelled_gauges.append((gauge, label, read))

    def count(self, name: str, *labels: str, amount: int = 1) -> None:
        """Adds to a counter."""
        with self._lock:
            counts = self._counts[name]
            if labels not in counts and len(counts) >= MAX_SERIES:
                labels = (OTHER_LABEL,) * len(labels)
            counts[labels] = counts.get(labels, 0) + amount

    def count_refusal(self, service: str, code: Code) -> None:
        """Counts a refused request."""
        self.count("refusals", service, code.name)

    def observe(self, route: str, status: int, latency_ms: float) -> None:
        """Counts a reply to a caller and records its latency."""
        self.count("answers", route, str(status))
        with self._lock:
            if route not in self._routes and len(self._routes) >= MAX_SERIES:
                route = OTHER_LABEL
            self._routes.add(route)
            self._latency.observe({"route": route}, latency_ms / 1000)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Returns all metrics as text, with the header fields of the HTTP response."""
        for gauge, read in self._gauges.values():
            gauge.set({}, read())
        for gauge, label, read_all in self._labelled_gauges:
            for value, amount in read_all().items():
                gauge.set({label: value}, amount)
        with self._lock:
            for name, counts in self._counts.items():
                names = COUNTERS[name][1]
                for labels, value in counts.items():
                    self._counters[name].set(dict(zip(names, labels)), value)
            return render(self._registry, [])
