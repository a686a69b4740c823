"""Counters and histograms of a daemon, rendered by aioprometheus."""

from __future__ import annotations

from threading import Lock
from typing import Any, Callable, Iterable, NamedTuple

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from aioprometheus.histogram import Histogram as LatencySeries

from ..errors.code import Code
from .metric_names import LATENCY_BUCKETS_S, METRIC_PREFIX, OTHER_LABEL
from .status import StatusSnapshot

MAX_SERIES = 5000
REQUEST_LABELS = ("tenant", "service", "outcome")


class CounterSpec(NamedTuple):
    """A counter and its labels.

    Attributes:
        doc: HELP text, which says what it counts.
        labels: Names of its labels.
    """

    doc: str
    labels: tuple[str, ...]


COUNTERS: dict[str, CounterSpec] = {
    "refusals": CounterSpec("Requests refused, by code.", ("service", "code")),
    "tries": CounterSpec(
        "Attempts at back ends; the kind is first, retry or hedge.",
        ("service", "kind", "outcome"),
    ),
    "records": CounterSpec("Records folded, by verdict.", ("kind", "verdict")),
    "messages": CounterSpec(
        "Messages with other daemons; the direction is sent, received or dropped.",
        ("kind", "direction"),
    ),
    "grants": CounterSpec("Grants sent to servers, by outcome.", ("outcome",)),
    "caller_ends": CounterSpec(
        "Callers' requests and connections ended by the daemon: budget (no memory), "
        "stalled (nothing sent), unread (answer not read), connections (a new "
        "caller needs the connection), draining (too slow for a planned stop).",
        ("reason",),
    ),
    "state_changes": CounterSpec("Changes of state.", ("event",)),
}

GaugeReader = Callable[[StatusSnapshot], float]
GAUGES: dict[str, tuple[str, GaugeReader]] = {}


def gauge(name: str, doc: str) -> Callable[[GaugeReader], GaugeReader]:
    """Registers a gauge that is read from the status at each scrape."""

    def register(read: GaugeReader) -> GaugeReader:
        GAUGES[name] = (doc, read)
        return read

    return register


@gauge("ready", "1 while the daemon takes requests.")
def _ready(status: StatusSnapshot) -> float:
    return int(status.is_ready)


@gauge("draining", "1 while the daemon shuts down.")
def _draining(status: StatusSnapshot) -> float:
    return int(status.is_draining)


@gauge("confirmed", "1 when the daemon's state comes from the log.")
def _confirmed(status: StatusSnapshot) -> float:
    return int(status.is_confirmed)


@gauge("revision", "Revision of the operator file in force.")
def _revision(status: StatusSnapshot) -> float:
    return status.revision


@gauge("next_offset", "Offset of the first record not folded.")
def _next_offset(status: StatusSnapshot) -> float:
    return status.next_offset


@gauge("log_up", "1 when the last read of the log was answered.")
def _log_up(status: StatusSnapshot) -> float:
    return int(status.log.is_up)


@gauge("log_read_age_seconds", "Time since the last complete read of the log.")
def _log_read_age(status: StatusSnapshot) -> float:
    age_ms = status.log.read_age_ms
    return float("nan") if age_ms is None else age_ms / 1000


@gauge("members", "Daemons in the roster.")
def _members(status: StatusSnapshot) -> float:
    return len(status.members)


@gauge("groups_granted", "Granter groups that this daemon may act for.")
def _groups_granted(status: StatusSnapshot) -> float:
    granted = (
        group.role == "granter" and group.is_confirmed for group in status.groups
    )
    return sum(granted)


@gauge("unserved_slices", "Slices of this daemon's groups that nobody may serve.")
def _unserved_slices(status: StatusSnapshot) -> float:
    return sum(group.unserved_slices for group in status.groups)


@gauge("in_flight", "Attempts in flight.")
def _in_flight(status: StatusSnapshot) -> float:
    return sum(service.in_flight for service in status.services)


@gauge("waiting", "Requests in queues.")
def _waiting(status: StatusSnapshot) -> float:
    return sum(service.waiting for service in status.services)


class BoundedLabel:
    """Limits the values of one label; values that were not added become `other`.

    Values are never removed, so that the samples of one value stay in one series.
    """

    def __init__(self, max_values: int) -> None:
        self._max_values = max_values
        self._known: set[str] = set()

    def add_values(self, values: Iterable[str]) -> None:
        """Adds values in order until the limit is reached."""
        for value in values:
            if len(self._known) >= self._max_values:
                return
            self._known.add(value)

    def value_or_other(self, value: str) -> str:
        """Returns the value if it was added, else `other`."""
        return value if value in self._known else OTHER_LABEL


class Metrics:
    """Metrics of one daemon; any thread may call the methods.

    Args:
        label_values: Maximum number of tenants, and of services, with own series.
    """

    def __init__(self, label_values: int) -> None:
        self._lock = Lock()
        self._registry = Registry()
        self._tenants = BoundedLabel(label_values)
        self._services = BoundedLabel(label_values)
        self._latencies = Histogram(
            f"{METRIC_PREFIX}_request_seconds",
            "Time from a caller's request to its answer.",
            registry=self._registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self._latency_series: dict[tuple[str, ...], Any] = {}
        self._counts: dict[str, dict[tuple[str, ...], int]] = {
            name: {} for name in COUNTERS
        }
        self._counters = {
            name: Counter(
                f"{METRIC_PREFIX}_{name}_total", spec.doc, registry=self._registry
            )
            for name, spec in COUNTERS.items()
        }
        self._gauges = {
            name: Gauge(f"{METRIC_PREFIX}_{name}", doc, registry=self._registry)
            for name, (doc, _) in GAUGES.items()
        }
        self._read_gauges: dict[str, tuple[Gauge, Callable[[], float]]] = {}

    def add_gauge(self, name: str, doc: str, read: Callable[[], float]) -> None:
        """Adds a gauge that is read at each scrape and not from the status."""
        gauge = Gauge(f"{METRIC_PREFIX}_{name}", doc, registry=self._registry)
        self._read_gauges[name] = (gauge, read)

    def register_labels(self, tenants: Iterable[str], services: Iterable[str]) -> None:
        """Adds tenants and services that get their own series."""
        with self._lock:
            self._tenants.add_values(tenants)
            self._services.add_values(services)

    def observe_request(
        self, tenant: str, service: str, outcome: str, latency_ms: float
    ) -> None:
        """Records one request of a caller.

        Args:
            tenant: Tenant that sent it.
            service: Service that it was sent to.
            outcome: `answered`, `not-run` or `unknown`.
            latency_ms: Time from its arrival to its response.
        """
        with self._lock:
            labels = (
                self._tenants.value_or_other(tenant),
                self._services.value_or_other(service),
                outcome,
            )
            series = self._latency_series.get(labels)
            if series is None:
                series = self._add_series(labels)
            series.observe(latency_ms / 1000)

    def _add_series(self, labels: tuple[str, ...]) -> Any:
        """Caches the library's series, so that its labels are encoded only once."""
        labels_by_name = dict(zip(REQUEST_LABELS, labels))
        series = LatencySeries(*LATENCY_BUCKETS_S)
        self._latencies.set_value(labels_by_name, series)
        self._latency_series[labels] = series
        return series

    def count_refusal(self, service: str, code: Code) -> None:
        """Counts one refused request."""
        with self._lock:
            self._increment(
                "refusals", (self._services.value_or_other(service), code.name)
            )

    def count_attempt(self, service: str, kind: str, outcome: str) -> None:
        """Counts one attempt; the kind is `first`, `retry` or `hedge`."""
        with self._lock:
            self._increment(
                "tries", (self._services.value_or_other(service), kind, outcome)
            )

    def count_record(self, kind: str, verdict: Code) -> None:
        """Counts one folded record of the log."""
        with self._lock:
            self._increment("records", (kind, verdict.name))

    def count_message(self, kind: str, direction: str) -> None:
        """Counts one message; the direction is `sent`, `received` or `dropped`."""
        with self._lock:
            self._increment("messages", (kind, direction))

    def count_grant(self, outcome: str) -> None:
        """Counts one grant; the outcome is `accepted`, `refused` or `failed`."""
        with self._lock:
            self._increment("grants", (outcome,))

    def count_caller_end(self, reason: str) -> None:
        """Counts one request or connection of a caller that was ended."""
        with self._lock:
            self._increment("caller_ends", (reason,))

    def count_state_change(self, event: str) -> None:
        """Counts one change of state."""
        with self._lock:
            self._increment("state_changes", (event,))

    def _increment(self, name: str, labels: tuple[str, ...]) -> None:
        counts = self._counts[name]
        if labels not in counts and len(counts) >= MAX_SERIES:
            labels = (OTHER_LABEL,) * len(labels)
        counts[labels] = counts.get(labels, 0) + 1

    def counts(self, name: str) -> dict[tuple[str, ...], int]:
        """Returns the counts of one of `COUNTERS` by label values."""
        with self._lock:
            return dict(self._counts[name])

    def tenant_counts(self) -> dict[str, dict[str, int]]:
        """Returns the number of requests by tenant and outcome."""
        totals: dict[str, dict[str, int]] = {}
        with self._lock:
            for (tenant, _, outcome), series in self._latency_series.items():
                outcomes = totals.setdefault(tenant, {})
                outcomes[outcome] = outcomes.get(outcome, 0) + series.observations
        return totals

    def render(self, status: StatusSnapshot) -> tuple[bytes, dict[str, str]]:
        """Returns all metrics as text, and the header fields of the HTTP response."""
        for name, (_, read) in GAUGES.items():
            self._gauges[name].set({}, read(status))
        for own_gauge, read_value in self._read_gauges.values():
            own_gauge.set({}, read_value())
        with self._lock:
            self._copy_counts()
            return render(self._registry, [])

    def _copy_counts(self) -> None:
        for name, counts in self._counts.items():
            names = COUNTERS[name].labels
            for labels, value in counts.items():
                self._counters[name].set(dict(zip(names, labels)), value)
