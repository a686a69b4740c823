"""Checks of the delivery guarantees against callers' results and executions."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from itertools import pairwise
from typing import Iterable, NamedTuple

from standins.backend import Execution

from .calls import NOT_RUN_OUTCOMES, CallResult, Outcome

NEVER_MS = float("inf")


class UnservedInterval(NamedTuple):
    """Time for which callers of a key got no response.

    Attributes:
        key: The key.
        answered_ms: End of the last answered attempt before it; `begin_ms` if none.
        begin_ms: Start of the first failed attempt.
        end_ms: End of the next answered attempt; of the last attempt if none.
    """

    key: str
    answered_ms: float
    begin_ms: float
    end_ms: float

    def max_length_ms(self, since_ms: float) -> float:
        """Returns the longest time that the key can have been unserved since a moment.

        It counts from the last answered attempt, because no attempt in between shows
        that the key was still served.
        """
        return self.end_ms - max(self.answered_ms, since_ms)


def find_duplicate_executions(
    executions: Iterable[Execution],
) -> dict[str, list[Execution]]:
    """Returns the executions of each request that ran more than once but must not.

    Only requests with an idempotency key count. They are identified by that key, and
    by the caller's tag in the query, which stays the same when a caller retries with
    a new key.
    """
    by_key: dict[str, list[Execution]] = defaultdict(list)
    by_call: dict[str, list[Execution]] = defaultdict(list)
    for execution in executions:
        if execution.idempotency_key:
            by_key[execution.idempotency_key].append(execution)
            by_call[execution.query].append(execution)
    doubled = {name: found for name, found in by_call.items() if len(found) > 1}
    for name, found in by_key.items():
        if len({execution.query for execution in found}) > 1:
            doubled[name] = found
    return doubled


def find_owner_conflicts(
    executions: Iterable[Execution],
) -> list[tuple[Execution, Execution]]:
    """Returns pairs of executions of one key that show two owners.

    Either two servers executed requests of the key at the same time, or a server
    accepted a lower fence after another one had accepted a higher fence.
    """
    by_key: dict[str, list[Execution]] = defaultdict(list)
    for execution in executions:
        if execution.key and execution.fence:
            by_key[execution.key].append(execution)
    return [
        conflict
        for found in by_key.values()
        for conflict in _find_owner_conflicts_of_key(found)
    ]


def _find_owner_conflicts_of_key(
    found: list[Execution],
) -> list[tuple[Execution, Execution]]:
    conflicts = []
    latest: dict[str, Execution] = {}
    for execution in sorted(found, key=lambda item: item.begin_ms):
        conflicts += [
            (other, execution)
            for other in latest.values()
            if other.instance != execution.instance
            and other.end_ms > execution.begin_ms
        ]
        before = latest.get(execution.instance)
        if before is None or before.end_ms < execution.end_ms:
            latest[execution.instance] = execution
    ordered = sorted(found, key=lambda item: item.end_ms)
    conflicts += [
        (earlier, later)
        for earlier, later in pairwise(ordered)
        if int(later.fence) < int(earlier.fence) and later.instance != earlier.instance
    ]
    return conflicts


def find_false_refusals(
    results: Iterable[CallResult], executions: Iterable[Execution]
) -> list[CallResult]:
    """Returns calls that ran although all attempts until then were "not run".

    An execution is a fault if it began before the first attempt that may have run.
    """
    first_ms: dict[str, float] = {}
    for execution in executions:
        earliest_ms = first_ms.get(execution.query, NEVER_MS)
        first_ms[execution.query] = min(earliest_ms, execution.begin_ms)
    return [
        result
        for result in results
        if first_ms.get(f"call={result.call.tag}", NEVER_MS)
        < _first_possible_run_ms(result)
    ]


def _first_possible_run_ms(result: CallResult) -> float:
    return next(
        (
            item.begin_ms
            for item in result.tries
            if item.outcome not in NOT_RUN_OUTCOMES
        ),
        NEVER_MS,
    )


def find_answered_without_execution(
    results: Iterable[CallResult], executions: Iterable[Execution]
) -> list[CallResult]:
    """Returns answered calls that no backend executed."""
    executed = {execution.query for execution in executions}
    return [
        result
        for result in results
        if result.outcome is Outcome.ANSWERED
        and f"call={result.call.tag}" not in executed
    ]


def find_unserved_intervals(results: Iterable[CallResult]) -> list[UnservedInterval]:
    """Returns the times for which a key of a keyed service was unserved."""
    by_key: dict[str, list[CallResult]] = defaultdict(list)
    for result in results:
        if result.call.key:
            by_key[result.call.key].append(result)
    return [
        interval
        for key, found in by_key.items()
        for interval in _find_unserved_intervals_of_key(key, found)
    ]


def _find_unserved_intervals_of_key(
    key: str, found: list[CallResult]
) -> list[UnservedInterval]:
    tries = [item for result in found for item in result.tries]
    answers_ms = sorted(
        item.end_ms for item in tries if item.outcome is Outcome.ANSWERED
    )
    last_ms = max(item.end_ms for item in tries)
    begins_ms: dict[float, float] = {}
    for item in tries:
        if item.outcome is Outcome.ANSWERED:
            continue
        # An attempt that still hangs does not extend the interval beyond the next
        # answered attempt of another caller.
        after = bisect_right(answers_ms, item.begin_ms)
        end_ms = answers_ms[after] if after < len(answers_ms) else last_ms
        begins_ms[end_ms] = min(begins_ms.get(end_ms, NEVER_MS), item.begin_ms)
    return [
        UnservedInterval(
            key, _last_answer_before(answers_ms, begin_ms), begin_ms, end_ms
        )
        for end_ms, begin_ms in begins_ms.items()
    ]


def _last_answer_before(answers_ms: list[float], begin_ms: float) -> float:
    before = bisect_right(answers_ms, begin_ms)
    return answers_ms[before - 1] if before else begin_ms


def find_last_begin_ms(
    executions: Iterable[Execution],
    instances: set[str],
    since_ms: float,
    until_ms: float,
) -> float:
    """Returns when the last execution of these instances began in a time span.

    Args:
        executions: Executions of all instances.
        instances: Names of the instances.
        since_ms: Start of the span.
        until_ms: End of the span (exclusive).

    Returns:
        Milliseconds after the start of the span; 0 without any execution.
    """
    begins = (
        execution.begin_ms - since_ms
        for execution in executions
        if execution.instance in instances and since_ms <= execution.begin_ms < until_ms
    )
    return max(begins, default=0.0)
