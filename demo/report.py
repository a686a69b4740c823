"""The demo's report: one row per phase, and the checks with their limits."""

from __future__ import annotations

from collections import Counter
from typing import Iterable, NamedTuple, TypedDict

from hdrh.histogram import HdrHistogram

from standins.backend import Execution

from . import audit
from .calls import CallResult, Outcome
from .load import count_outcomes

MAX_UNSERVED_MS = 5_000
MAX_ZONE_OUT_WORK_MS = 5_000
MIN_LATENCY_MS = 1
MAX_LATENCY_MS = 60_000
HISTOGRAM_DIGITS = 3
MAX_EXAMPLES = 5
COLUMN_TITLES = {
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


class PhaseSpan(NamedTuple):
    """Time span of one phase.

    Attributes:
        name: Name of the phase.
        note: What the phase did at its start.
        begin_ms: CLOCK_MONOTONIC at its start.
        end_ms: CLOCK_MONOTONIC at its end.
    """

    name: str
    note: str
    begin_ms: float
    end_ms: float

    def contains(self, at_ms: float) -> bool:
        """Returns whether a moment lies in the phase."""
        return self.begin_ms <= at_ms < self.end_ms


class Row(TypedDict):
    """Figures of one phase, from the calls that were due in it."""

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
    """One measured value and its upper limit."""

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
    """Observations of one run of the demo.

    Attributes:
        spans: Time spans of the phases.
        results: Finished calls.
        open_calls: Number of calls without a final outcome.
        executions: Executions of all backends.
        zone_out_instances: VMs of the zone that was taken out.
        zone_out_ms: Start of the publication that took the zone out.
        zone_back_ms: Start of the publication that brought it back.
        cold_overloads: Number of overloads of cold upstreams.
        crashed: VMs whose process ended without being killed by the demo.
    """

    spans: list[PhaseSpan]
    results: list[CallResult]
    open_calls: int
    executions: list[Execution]
    zone_out_instances: set[str]
    zone_out_ms: float
    zone_back_ms: float
    cold_overloads: int
    crashed: list[str]


def make_report(deployment: str, rate_per_s: float, evidence: Evidence) -> Report:
    """Returns the report on a run."""
    checks = _make_checks(evidence)
    return Report(
        deployment=deployment,
        rate_per_s=rate_per_s,
        phases=[_make_row(span, evidence) for span in evidence.spans],
        checks=checks,
        cold_overloads=evidence.cold_overloads,
        refusals=_count_refusals(evidence.results),
        examples=_find_examples(evidence),
        is_passed=all(check["is_met"] for check in checks),
    )


def _make_checks(evidence: Evidence) -> list[Check]:
    counts = count_outcomes(evidence.results)
    longest_ms = max(
        _find_longest_unserved_ms(span, evidence) for span in evidence.spans
    )
    last_work_ms = audit.find_last_begin_ms(
        evidence.executions,
        evidence.zone_out_instances,
        evidence.zone_out_ms,
        evidence.zone_back_ms,
    )
    false_refusals = audit.find_false_refusals(evidence.results, evidence.executions)
    return [
        _check("doubled", len(audit.find_duplicate_executions(evidence.executions)), 0),
        _check(
            "two owners at once",
            len(audit.find_owner_conflicts(evidence.executions)),
            0,
        ),
        _check('"not run" that ran', len(false_refusals), 0),
        _check(
            "answered but not run", len(_find_answered_without_execution(evidence)), 0
        ),
        _check("answer to another call", counts[Outcome.FOREIGN], 0),
        _check("neither answer nor refusal", counts[Outcome.FAILED], 0),
        _check("calls without an outcome", evidence.open_calls, 0),
        _check("processes that ended by themselves", len(evidence.crashed), 0),
        _check("key unserved, ms", round(longest_ms), MAX_UNSERVED_MS),
        _check(
            "last work in the zone out, ms", round(last_work_ms), MAX_ZONE_OUT_WORK_MS
        ),
    ]


def _check(name: str, value: int, limit: int) -> Check:
    return Check(name=name, value=value, limit=limit, is_met=value <= limit)


def _find_answered_without_execution(evidence: Evidence) -> list[CallResult]:
    return audit.find_answered_without_execution(evidence.results, evidence.executions)


def _make_row(span: PhaseSpan, evidence: Evidence) -> Row:
    results = [item for item in evidence.results if span.contains(item.call.due_ms)]
    counts = count_outcomes(results)
    doubled = audit.find_duplicate_executions(evidence.executions).values()
    conflicts = audit.find_owner_conflicts(evidence.executions)
    latencies = make_histogram(results)
    return Row(
        phase=span.name,
        note=span.note,
        sent=len(results),
        answered=counts[Outcome.ANSWERED],
        not_run=counts[Outcome.NOT_RUN],
        unknown=counts[Outcome.UNKNOWN],
        failed=counts[Outcome.FAILED] + counts[Outcome.FOREIGN],
        doubled=sum(span.contains(repeats[1].begin_ms) for repeats in doubled),
        wrong_owner=sum(span.contains(later.begin_ms) for _, later in conflicts),
        unserved_ms=round(_find_longest_unserved_ms(span, evidence)),
        p50_ms=latencies.get_value_at_percentile(50),
        p99_ms=latencies.get_value_at_percentile(99),
    )


def _find_longest_unserved_ms(span: PhaseSpan, evidence: Evidence) -> float:
    """Returns the longest time that a key was unserved after a failure in the span."""
    lengths_ms = (
        interval.max_length_ms(span.begin_ms)
        for interval in audit.find_unserved_intervals(evidence.results)
        if span.contains(interval.begin_ms)
    )
    return max(lengths_ms, default=0.0)


def make_histogram(results: Iterable[CallResult]) -> HdrHistogram:
    """Returns the histogram of the answered calls' latencies in milliseconds."""
    histogram = HdrHistogram(MIN_LATENCY_MS, MAX_LATENCY_MS, HISTOGRAM_DIGITS)
    for result in results:
        if result.outcome is Outcome.ANSWERED:
            histogram.record_value(max(round(result.latency_ms), MIN_LATENCY_MS))
    return histogram


def _count_refusals(results: Iterable[CallResult]) -> dict[str, int]:
    """Counts unanswered attempts by outcome and by error or status and code."""
    counts = Counter(
        f"{item.outcome.value}: {item.detail or f'{item.status} {item.code}'}"
        for result in results
        for item in result.tries
        if item.outcome is not Outcome.ANSWERED
    )
    return dict(counts.most_common())


def _find_examples(evidence: Evidence) -> list[str]:
    found = [f"ended by itself: {name}" for name in evidence.crashed]
    doubled = audit.find_duplicate_executions(evidence.executions)
    found += [f"doubled: {item}" for item in list(doubled.values())[:MAX_EXAMPLES]]
    conflicts = audit.find_owner_conflicts(evidence.executions)
    found += [f"two owners: {item}" for item in conflicts[:MAX_EXAMPLES]]
    refusals = audit.find_false_refusals(evidence.results, evidence.executions)
    found += [f"not run but ran: {item}" for item in refusals[:MAX_EXAMPLES]]
    wrong_outcomes = (Outcome.FOREIGN, Outcome.FAILED)
    wrong = [item for item in evidence.results if item.outcome in wrong_outcomes]
    found += [f"{item.outcome.value}: {item}" for item in wrong[:MAX_EXAMPLES]]
    intervals = audit.find_unserved_intervals(evidence.results)
    intervals.sort(key=lambda interval: interval.begin_ms - interval.end_ms)
    found += [f"unserved: {interval}" for interval in intervals[:MAX_EXAMPLES]]
    return found


def format_report(report: Report) -> str:
    """Returns the report as human-readable text."""
    lines = format_table(
        [[str(row[name]) for name in COLUMN_TITLES] for row in report["phases"]]
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
    """Returns lines with the rows aligned under the column titles."""
    cells = [list(COLUMN_TITLES.values()), *rows]
    widths = [
        max(len(row[index]) for row in cells) for index in range(len(COLUMN_TITLES))
    ]
    return [
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths))
        for row in cells
    ]


def _format_check(check: Check) -> str:
    verdict = "ok" if check["is_met"] else "MISSED"
    return f"{check['name']}: {check['value']} (at most {check['limit']}) {verdict}"
