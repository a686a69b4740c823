"""Invariants that hold for callers and instances under any fault."""

from __future__ import annotations

from typing import Iterable, Mapping, NamedTuple

from demo.gateway_site import GatewayResponse, RequestKind

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))  # The request was not executed.


class RequestRecord(NamedTuple):
    """Kind of a client's request and the response to it."""

    kind: RequestKind
    response: GatewayResponse


def check_response(record: RequestRecord) -> str:
    """Returns a finding if a success is not this request's own; else ""."""
    response = record.response
    if response.status != 200:
        return ""
    if not response.is_signed:
        return f"{response.request_id}: success without the signature of an instance"
    if not response.body.startswith(f"{response.request_id} by "):
        return (
            f"{response.request_id}: response to another request: {response.body[:60]}"
        )
    return ""


def find_wrong_runs(
    records: Iterable[RequestRecord], runs: Mapping[str, list[float]]
) -> list[str]:
    """Returns a finding for each non-idempotent request with a wrong number of runs.

    Such a request runs at most once, not at all if it was refused as not run, and
    once if it was answered with a success.

    Args:
        records: Requests and responses.
        runs: Times of the runs by request id.
    """
    findings = []
    for kind, response in records:
        run_times = runs.get(response.request_id, [])
        if kind.is_idempotent:
            continue
        if len(run_times) > 1:
            findings.append(f"{response.request_id}: ran {len(run_times)} times")
        if response.status in NOT_RUN_STATUSES and run_times:
            findings.append(
                f"{response.request_id}: refused with status {response.status} but ran"
            )
        if response.status == 200 and not run_times:
            findings.append(
                f"{response.request_id}: answered with status 200 but never ran"
            )
    return findings


def find_shared_keys(holders: Mapping[int, list[str]]) -> list[str]:
    """Returns a finding for each key that more than one instance holds.

    Args:
        holders: Names of the instances that hold each key.
    """
    return [f"key {key} is held by {n}" for key, n in holders.items() if len(n) > 1]
