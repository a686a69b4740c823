"""Computes the figures of each role at the target size from measured slopes."""

from __future__ import annotations

from typing import Callable, NamedTuple

from skylarktrail.config.settings import LimitSettings, TimingSettings
from skylarktrail.daemon import report_watcher, vm_watcher
from skylarktrail.daemon.controller import LOAD_REPORT_PERIOD_MS
from skylarktrail.daemon.service import TICK_MS, make_timings
from skylarktrail.peer.codec import MAX_MESSAGE_BYTES
from skylarktrail.peer.hub import HEARTBEAT_MS

from .capacity_meter import Figure, fit_slopes

DAEMON_COUNT = 460
SERVER_COUNT = 750
UPSTREAM_COUNT = 750
INSTANCE_COUNT = SERVER_COUNT + UPSTREAM_COUNT
VM_COUNT = INSTANCE_COUNT + DAEMON_COUNT
SLICE_COUNT = 16_384
GROUP_COUNT = 460
REQUESTS_PER_S = 6_600_000
FILE_CHANGES_PER_DAY = 2_200
SERVICE_COUNT = 100
SLOT_COUNT = 3
CONNECTION_COUNT = 110
KEY_RETENTION_S = 600
IDEMPOTENCY_KEY_RATIO = 0.01
DAY_S = 86_400
ZONE_COUNT = 7
VM_FAILURES_PER_DAY = 2
VM_RESTARTS_PER_DAY = 29
RECORDS_PER_DAEMON_LOSS = 4
RECORDS_PER_RESTART = 12
ZONE_LOSS_WRITE_LIMIT_S = 2.5

CPU_LIMIT_US_PER_S = 36_000
MEMORY_LIMIT_BYTES = 64 * 1024 * 1024
WIRE_LIMIT_BYTES_PER_S = 4_096
APPEND_LIMIT_PER_S = 300
STALL_LIMIT_US = 16_000

CPU_UNIT = "us/s of a core"
WIRE_UNIT = "bytes/s"
MEMORY_UNIT = "bytes"


class Row(NamedTuple):
    """One figure at the target.

    Attributes:
        role: Role of the daemon.
        what: Description of the figure.
        value: The figure, in `unit`.
        unit: Unit of the value.
        limit: Highest acceptable value, in `unit`; None if the figure has no limit.
    """

    role: str
    what: str
    value: float
    unit: str
    limit: float | None

    @property
    def verdict(self) -> str:
        """Says whether the figure is within its limit; "" if it has none."""
        if self.limit is None:
            return ""
        if self.value <= self.limit:
            return "holds"
        return f"misses by {self.value / self.limit:.1f}x"


ValueAt = Callable[[str, float], float]


def make_value_lookup(figures: list[Figure]) -> ValueAt:
    """Returns a function that looks up the value of a quantity at a size.

    The function returns the measured value for a size that was measured, and the value
    of the fitted line for any other size. A quantity that was measured at one size only
    is treated as a constant, and is looked up with that size.
    """
    lines = {slope.quantity: slope for slope in fit_slopes(figures)}
    measured = {(figure.quantity, figure.size): figure.value for figure in figures}

    def value_at(quantity: str, size: float = 1) -> float:
        line = lines.get(quantity)
        if line is None or (quantity, size) in measured:
            return measured[quantity, size]
        return line.at_zero + line.per_unit * size

    return value_at


def _log_rows(value_at: ValueAt) -> list[Row]:
    role = "reader of the log"
    polls_per_s = 1000 / TimingSettings().log_poll_ms
    changes_per_s = FILE_CHANGES_PER_DAY / DAY_S
    check_us = value_at("operator file, check", SERVICE_COUNT)
    file_bytes = value_at("operator file, size", SERVICE_COUNT)
    record_us = value_at("LogFollower.handle_read, each record, time", DAEMON_COUNT)
    burst_us = APPEND_LIMIT_PER_S * record_us
    publish_us = value_at("OwnerDirectory.update after one Assign, time", SLICE_COUNT)
    state_bytes = value_at("state loaded from a checkpoint, memory", SLICE_COUNT)
    directory_bytes = value_at("OwnerDirectory, memory", SLICE_COUNT)
    poll_us = polls_per_s * value_at("empty read of the log, time")
    poll_bytes = polls_per_s * value_at("empty read of the log, HTTP bytes")
    rows = [
        Row(role, "state", state_bytes, MEMORY_UNIT, MEMORY_LIMIT_BYTES),
        Row(role, "directory", directory_bytes, MEMORY_UNIT, MEMORY_LIMIT_BYTES),
        Row(role, "empty reads", poll_us, CPU_UNIT, CPU_LIMIT_US_PER_S),
        Row(role, "empty reads", poll_bytes, WIRE_UNIT, WIRE_LIMIT_BYTES_PER_S),
        Row(role, "reads at the log service", polls_per_s * DAEMON_COUNT, "1/s", None),
        Row(
            role,
            "checks of files",
            changes_per_s * check_us,
            CPU_UNIT,
            CPU_LIMIT_US_PER_S,
        ),
        Row(
            role, "files", changes_per_s * file_bytes, WIRE_UNIT, WIRE_LIMIT_BYTES_PER_S
        ),
        Row(
            role, "fold of 300 records a second", burst_us, CPU_UNIT, CPU_LIMIT_US_PER_S
        ),
        Row(role, "new directory after a record", publish_us, "us", STALL_LIMIT_US),
    ]
    checkpoint_bytes = value_at("checkpoint, size", SLICE_COUNT)
    rows.append(Row(role, "snapshot", checkpoint_bytes, MEMORY_UNIT, MAX_MESSAGE_BYTES))
    return rows


def _granter_rows(value_at: ValueAt) -> list[Row]:
    role = "granter of a group"
    grants_per_s = value_at("grants sent, 750 servers", GROUP_COUNT)
    core_us = value_at("Ownership, all events, 750 servers", GROUP_COUNT)
    send_us = grants_per_s * value_at("renewal, time")
    wire_bytes = grants_per_s * value_at("renewal, HTTP bytes")
    renewals_per_server = grants_per_s * GROUP_COUNT / SERVER_COUNT
    state_bytes = value_at("state and core, memory, 750 servers", GROUP_COUNT)
    return [
        Row(role, "ownership core", core_us, CPU_UNIT, CPU_LIMIT_US_PER_S),
        Row(role, "sending of renewals", send_us, CPU_UNIT, CPU_LIMIT_US_PER_S),
        Row(role, "renewals", wire_bytes, WIRE_UNIT, WIRE_LIMIT_BYTES_PER_S),
        Row(role, "renewals sent", grants_per_s, "1/s", None),
        Row(role, "renewals at each server", renewals_per_server, "1/s", None),
        Row(role, "state and core", state_bytes, MEMORY_UNIT, MEMORY_LIMIT_BYTES),
    ]


def _heir_rows(value_at: ValueAt) -> list[Row]:
    timings = make_timings(TimingSettings())
    requests_per_s = 1000 / timings.promise_ms
    wire_bytes = requests_per_s * (value_at("promise_ask") + value_at("promise"))
    return [
        Row("heir", "promises, log down", wire_bytes, WIRE_UNIT, WIRE_LIMIT_BYTES_PER_S)
    ]


def _peer_rows(value_at: ValueAt) -> list[Row]:
    role = "peer links"
    heartbeats_per_s = (DAEMON_COUNT - 1) * 1000 / HEARTBEAT_MS
    wire_bytes = 2 * heartbeats_per_s * value_at("heartbeat on the wire")
    terms_us = value_at("Controller._record_terms, each event, time", DAEMON_COUNT)
    handle_us = heartbeats_per_s * (terms_us + value_at("tell to an actor, time"))
    ticks_per_s = 1000 / TICK_MS
    alive_us = ticks_per_s * value_at(
        "Peering._report_alive, each tick, time", DAEMON_COUNT
    )
    links_us = value_at("links, processor time", DAEMON_COUNT)
    links_bytes = value_at("links, memory", DAEMON_COUNT)
    return [
        Row(role, "heartbeats", links_us, CPU_UNIT, CPU_LIMIT_US_PER_S),
        Row(
            role,
            "heartbeats reported to the controller",
            handle_us,
            CPU_UNIT,
            CPU_LIMIT_US_PER_S,
        ),
        Row(
            role,
            "check of each peer on each tick",
            alive_us,
            CPU_UNIT,
            CPU_LIMIT_US_PER_S,
        ),
        Row(role, "heartbeats", wire_bytes, WIRE_UNIT, WIRE_LIMIT_BYTES_PER_S),
        Row(role, "links", links_bytes, MEMORY_UNIT, MEMORY_LIMIT_BYTES),
    ]


def _load_rows(value_at: ValueAt) -> list[Row]:
    role = "load reports"
    sent_per_s = (DAEMON_COUNT - 1) * 1000 / LOAD_REPORT_PERIOD_MS
    wire_bytes = 2 * sent_per_s * value_at("load report, size", SLICE_COUNT)
    stall_us = value_at("load report, time", SLICE_COUNT)
    return [
        Row(
            role,
            "reports, sent and received",
            wire_bytes,
            WIRE_UNIT,
            WIRE_LIMIT_BYTES_PER_S,
        ),
        Row(role, "one report, under a lock", stall_us, "us", STALL_LIMIT_US),
    ]


def _list_rows(value_at: ValueAt) -> list[Row]:
    lists_per_s = 1000 / vm_watcher.POLL_INTERVAL_MS
    make_instances_us = value_at("make_instances, 460 daemons", INSTANCE_COUNT)
    list_us = lists_per_s * (value_at("VM list, time", VM_COUNT) + make_instances_us)
    list_bytes = lists_per_s * value_at("VM list, HTTP bytes", VM_COUNT)
    polls_per_s = 1000 / report_watcher.POLL_INTERVAL_MS
    report_us = (
        value_at("health, time")
        + value_at("load, time")
        + value_at("Traffic.record_load_report, 460 daemons", INSTANCE_COUNT)
    )
    report_bytes = value_at("health, HTTP bytes") + value_at("load, HTTP bytes")
    reports_per_s = polls_per_s * INSTANCE_COUNT
    requests_per_s = 2 * polls_per_s * DAEMON_COUNT
    watchers = "reader of VM list", "reader of health and load"
    return [
        Row(watchers[0], "lists", list_us, CPU_UNIT, CPU_LIMIT_US_PER_S),
        Row(watchers[0], "lists", list_bytes, WIRE_UNIT, WIRE_LIMIT_BYTES_PER_S),
        Row(
            watchers[1],
            "reports",
            reports_per_s * report_us,
            CPU_UNIT,
            CPU_LIMIT_US_PER_S,
        ),
        Row(
            watchers[1],
            "reports",
            reports_per_s * report_bytes,
            WIRE_UNIT,
            WIRE_LIMIT_BYTES_PER_S,
        ),
        Row(watchers[1], "requests at each instance", requests_per_s, "1/s", None),
        Row(
            watchers[1],
            "daemons at each instance",
            DAEMON_COUNT,
            "peers",
            CONNECTION_COUNT,
        ),
    ]


def _traffic_rows(value_at: ValueAt) -> list[Row]:
    role = "traffic policy"
    requests_per_s = REQUESTS_PER_S / DAEMON_COUNT
    name = "admit, start, finish, close of one request, 460 daemons"
    change_us = value_at(
        "Traffic.configure, one daemon gone, 460 daemons", INSTANCE_COUNT
    )
    request_us = requests_per_s * value_at(name, INSTANCE_COUNT)
    state_bytes = value_at("policy and instances, memory", INSTANCE_COUNT)
    subset_size = value_at("instances in the subset, 460 daemons", INSTANCE_COUNT)
    daemons_per_instance = min(DAEMON_COUNT, CONNECTION_COUNT)
    mean_ms = INSTANCE_COUNT * SLOT_COUNT / REQUESTS_PER_S * 1000
    return [
        Row(role, "decisions on requests", request_us, CPU_UNIT, None),
        Row(role, "change of the roster", change_us, "us", STALL_LIMIT_US),
        Row(role, "policy and instances", state_bytes, MEMORY_UNIT, MEMORY_LIMIT_BYTES),
        Row(role, "instances in the subset", subset_size, "instances", None),
        Row(
            role,
            "daemons that share an instance",
            daemons_per_instance,
            "peers",
            CONNECTION_COUNT,
        ),
        Row(
            role,
            "daemons for each slot",
            daemons_per_instance / SLOT_COUNT,
            "peers",
            None,
        ),
        Row(
            role,
            "daemons that may reach a server",
            DAEMON_COUNT,
            "peers",
            CONNECTION_COUNT,
        ),
        Row(role, "mean service time that the slots allow", mean_ms, "ms", None),
    ]


def _home_rows(value_at: ValueAt) -> list[Row]:
    role = "home of idempotency keys"
    keys_per_s = REQUESTS_PER_S / DAEMON_COUNT * IDEMPOTENCY_KEY_RATIO
    keys = keys_per_s * KEY_RETENTION_S
    messages = ("home_begin", "home_verdict, run", "home_finish, 400 byte answer")
    wire_bytes = 2 * keys_per_s * sum(value_at(name) for name in messages)
    table_us = keys_per_s * value_at("begin and finish", keys)
    limits = LimitSettings()
    keys_within_bytes = limits.idempotency_bytes / value_at("estimate of a key", keys)
    max_keys = min(limits.idempotency_entries, keys_within_bytes)
    return [
        Row(role, "keys held", keys, "keys", max_keys),
        Row(role, "table", value_at("home table, memory", keys), MEMORY_UNIT, 64 << 20),
        Row(role, "begin and finish", table_us, CPU_UNIT, CPU_LIMIT_US_PER_S),
        Row(
            role,
            "messages, sent and received",
            wire_bytes,
            WIRE_UNIT,
            WIRE_LIMIT_BYTES_PER_S,
        ),
    ]


def _writer_rows() -> list[Row]:
    """Counts log records by the rules of docs/design/ownership.md."""
    role = "log writer"
    restarts_per_day = VM_FAILURES_PER_DAY + VM_RESTARTS_PER_DAY
    records_per_day = restarts_per_day * RECORDS_PER_RESTART + FILE_CHANGES_PER_DAY
    lost_daemons = DAEMON_COUNT / ZONE_COUNT
    zone_records = lost_daemons * RECORDS_PER_DAEMON_LOSS + GROUP_COUNT
    start_records = DAEMON_COUNT + 2 * GROUP_COUNT + GROUP_COUNT
    return [
        Row(role, "records a day", records_per_day, "records", None),
        Row(
            role,
            "records a second, mean",
            records_per_day / DAY_S,
            "1/s",
            APPEND_LIMIT_PER_S,
        ),
        Row(role, "records after the loss of a zone", zone_records, "records", None),
        Row(
            role,
            "time to write them",
            zone_records / APPEND_LIMIT_PER_S,
            "s",
            ZONE_LOSS_WRITE_LIMIT_S,
        ),
        Row(role, "records of a first start", start_records, "records", None),
        Row(
            role, "time of a first start", start_records / APPEND_LIMIT_PER_S, "s", None
        ),
    ]


def _sum_row(rows: list[Row], unit: str, limit: float, base_value: float) -> Row:
    values = (
        row.value
        for row in rows
        if row.unit == unit
        and row.limit is not None
        and row.what not in ("snapshot", "state", "promises, log down")
        and not row.what.startswith("fold of")
    )
    return Row("every daemon", f"sum, {unit}", base_value + sum(values), unit, limit)


def target_rows(figures: list[Figure]) -> list[Row]:
    """Returns the figures of every role, then the sums for a daemon with all roles.

    The sums count the state only once, together with the ownership core.
    """
    value_at = make_value_lookup(figures)
    rows = [
        *_log_rows(value_at),
        *_granter_rows(value_at),
        *_heir_rows(value_at),
        *_writer_rows(),
        *_peer_rows(value_at),
        *_load_rows(value_at),
        *_list_rows(value_at),
        *_traffic_rows(value_at),
        *_home_rows(value_at),
    ]
    process_bytes = value_at("imported daemon, memory")
    totals = [
        _sum_row(rows, CPU_UNIT, CPU_LIMIT_US_PER_S, 0.0),
        _sum_row(rows, MEMORY_UNIT, MEMORY_LIMIT_BYTES, process_bytes),
        _sum_row(rows, WIRE_UNIT, WIRE_LIMIT_BYTES_PER_S, 0.0),
    ]
    process = "process"
    imported = Row(process, "imports", process_bytes, MEMORY_UNIT, MEMORY_LIMIT_BYTES)
    return [*rows, imported, *totals]
