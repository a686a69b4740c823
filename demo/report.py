"""The demo's report: one row a phase, the checks and their targets."""

from __future__ import annotations

from collections import Counter
from typing import Iterable, NamedTuple, TypedDict

from hdrh.histogram import HdrHistogram

from standins.backend import Execution

from . import audit
from .calls import CallResult, Outcome
from .load import count_outcomes

UNSERVED_TARGET_MS = 5_000
ZONE_OUT_TARGET_MS = 5_000
LOWEST_LATENCY_MS = 1
HIGHEST_LATENCY_MS = 60_000
HISTOGRAM_DIGITS = 3
EXAMPLES = 5
COLUMNS = {
    "phase": "phase",
    "sent": "sent",
    "answered": "answered",
    "not_run": "not-run",
    "unknown": "unknown",
    "failed": "failed",
    "doubled": "doubled",
    "wrong_owner": "wrong owner",
    "unserved_ms": "unserved ms",
    "p50_ms": "p50 ms",
    "p99_ms": "p99 ms",
}


class Span(NamedTuple):
    """One phase as it ran.

    Attributes:
        name: Its name.
        note: What was done at its begin.
        begin_ms: CLOCK_MONOTONIC at its begin.
        end_ms: CLOCK_MONOTONIC at its end.
    """

    name: str
    note: str
    begin_ms: float
    end_ms: float

    def holds(self, at_ms: float) -> bool:
        """Tells whether a moment lies in the phase."""
        return self.begin_ms <= at_ms < self.end_ms


class Row(TypedDict):
    """Figures of one phase; the calls are those that were due in it."""

    phase: str
    note: str
    sent: int
    answered: int
    not_run: int
    unknown: int
    failed: int
    doubled: int
    wrong_owner: int
    unserved_ms: int
    p50_ms: int
    p99_ms: int


class Check(TypedDict):
    """One measured value and its largest allowed one."""

    name: str
    value: int
    limit: int
    is_met: bool


class Report(TypedDict):
    """The whole report."""

    deployment: str
    rate_per_s: float
    phases: list[Row]
    checks: list[Check]
    cold_overloads: int
    refusals: dict[str, int]
    examples: list[str]
    is_passed: bool


class Evidence(NamedTuple):
    """What was seen.

    Attributes:
        spans: The phases.
        results: Finished calls.
        open_calls: Calls without a final outcome.
        executions: What the back ends executed.
        out_instances: Back ends of the zone that was taken out.
        zone_out_ms: When that began to be published.
        zone_back_ms: When its return began.
        cold_overloads: How often an upstream fell over while cold.
        crashed: VMs whose process ended although nobody killed it.
    """

    spans: list[Span]
    results: list[CallResult]
    open_calls: int
    executions: list[Execution]
    out_instances: set[str]
    zone_out_ms: float
    zone_back_ms: float
    cold_overloads: int
    crashed: list[str]


def make_report(deployment: str, rate_per_s: float, seen: Evidence) -> Report:
    """Builds the report from what was seen."""
    checks = _make_checks(seen)
    return Report(
        deployment=deployment,
        rate_per_s=rate_per_s,
        phases=[_make_row(span, seen) for span in seen.spans],
        checks=checks,
        cold_overloads=seen.cold_overloads,
        refusals=_count_refusals(seen.results),
        examples=_find_examples(seen),
        is_passed=all(check["is_met"] for check in checks),
    )


def _make_checks(seen: Evidence) -> list[Check]:
    counts = count_outcomes(seen.results)
    longest_ms = max(_unserved_ms(span, seen) for span in seen.spans)
    last_work_ms = audit.find_last_begin_ms(
        seen.executions, seen.out_instances, seen.zone_out_ms, seen.zone_back_ms
    )
    false_refusals = audit.find_false_refusals(seen.results, seen.executions)
    return [
        _check("doubled", len(audit.find_duplicate_executions(seen.executions)), 0),
        _check(
            "two owners at once", len(audit.find_owner_conflicts(seen.executions)), 0
        ),
        _check('"not run" that ran', len(false_refusals), 0),
        _check("answered but not run", len(_find_answered_without_execution(seen)), 0),
        _check("answer to another call", counts[Outcome.FOREIGN], 0),
        _check("neither answer nor refusal", counts[Outcome.FAILED], 0),
        _check("calls without an outcome", seen.open_calls, 0),
        _check("processes that ended by themselves", len(seen.crashed), 0),
        _check("key unserved, ms", round(longest_ms), UNSERVED_TARGET_MS),
        _check(
            "last work in the zone out, ms", round(last_work_ms), ZONE_OUT_TARGET_MS
        ),
    ]


def _check(name: str, value: int, limit: int) -> Check:
    return Check(name=name, value=value, limit=limit, is_met=value <= limit)


def _find_answered_without_execution(seen: Evidence) -> list[CallResult]:
    return audit.find_answered_without_execution(seen.results, seen.executions)


def _make_row(span: Span, seen: Evidence) -> Row:
    results = [item for item in seen.results if span.holds(item.call.due_ms)]
    counts = count_outcomes(results)
    doubled = audit.find_duplicate_executions(seen.executions).values()
    conflicts = audit.find_owner_conflicts(seen.executions)
    latencies = make_histogram(results)
    return Row(
        phase=span.name,
        note=span.note,
        sent=len(results),
        answered=counts[Outcome.ANSWERED],
        not_run=counts[Outcome.NOT_RUN],
        unknown=counts[Outcome.UNKNOWN],
        failed=counts[Outcome.FAILED] + counts[Outcome.FOREIGN],
        doubled=sum(span.holds(found[1].begin_ms) for found in doubled),
        wrong_owner=sum(span.holds(later.begin_ms) for _, later in conflicts),
        unserved_ms=round(_unserved_ms(span, seen)),
        p50_ms=latencies.get_value_at_percentile(50),
        p99_ms=latencies.get_value_at_percentile(99),
    )


def _unserved_ms(span: Span, seen: Evidence) -> float:
    """Returns the longest time that a key was unserved from a failure in the span."""
    lengths_ms = (
        interval.max_length_ms(span.begin_ms)
        for interval in audit.find_unserved_intervals(seen.results)
        if span.holds(interval.begin_ms)
    )
    return max(lengths_ms, default=0.0)


def make_histogram(results: Iterable[CallResult]) -> HdrHistogram:
    """Returns the latencies of the answered calls, in milliseconds."""
    histogram = HdrHistogram(LOWEST_LATENCY_MS, HIGHEST_LATENCY_MS, HISTOGRAM_DIGITS)
    for result in results:
        if result.outcome is Outcome.ANSWERED:
            histogram.record_value(max(round(result.latency_ms), LOWEST_LATENCY_MS))
    return histogram


def _count_refusals(results: Iterable[CallResult]) -> dict[str, int]:
    """Counts tries without an answer by outcome, status and code, or error."""
    counts = Counter(
        f"{item.outcome.value}: {item.detail or f'{item.status} {item.code}'}"
        for result in results
        for item in result.tries
        if item.outcome is not Outcome.ANSWERED
    )
    return dict(counts.most_common())


def _find_examples(seen: Evidence) -> list[str]:
    found = [f"ended by itself: {name}" for name in seen.crashed]
    doubled = audit.find_duplicate_executions(seen.executions)
    found += [f"doubled: {item}" for item in list(doubled.values())[:EXAMPLES]]
    conflicts = audit.find_owner_conflicts(seen.executions)
    found += [f"two owners: {item}" for item in conflicts[:EXAMPLES]]
    refusals = audit.find_false_refusals(seen.results, seen.executions)
    found += [f"not run but ran: {item}" for item in refusals[:EXAMPLES]]
    odd = (Outcome.FOREIGN, Outcome.FAILED)
    wrong = [item for item in seen.results if item.outcome in odd]
    found += [f"{item.outcome.value}: {item}" for item in wrong[:EXAMPLES]]
    intervals = audit.find_unserved_intervals(seen.results)
    intervals.sort(key=lambda interval: interval.begin_ms - interval.end_ms)
    found += [f"unserved: {interval}" for interval in intervals[:EXAMPLES]]
    return found


def format_report(report: Report) -> str:
    """Returns the report as text for people."""
    lines = format_table(
        [[str(row[name]) for name in COLUMNS] for row in report["phases"]]
    )
    lines += [f"{row['phase']}: {row['note']}" for row in report["phases"]]
    lines += ["", *map(_format_check, report["checks"])]
    lines.append(f"cold upstreams overloaded: {report['cold_overloads']}")
    lines += [f"tries {name}: {count}" for name, count in report["refusals"].items()]
    if not report["is_passed"]:
        lines += ["", *report["examples"]]
    lines += ["", "passed" if report["is_passed"] else "FAILED"]
    return "\n".join(lines)


def format_table(rows: list[list[str]]) -> list[str]:
    """Aligns rows under the names of the columns."""
    cells = [list(COLUMNS.values()), *rows]
    widths = [max(len(row[index]) for row in cells) for index in range(len(COLUMNS))]
    return [
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths))
        for row in cells
    ]


def _format_check(check: Check) -> str:
    verdict = "ok" if check["is_met"] else "MISSED"
    return f"{check['name']}: {check['value']} (at most {check['limit']}) {verdict}"
