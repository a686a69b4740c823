"""What callers and instances must see, whatever the faults."""

from __future__ import annotations

from typing import Iterable, Mapping, NamedTuple

from demo.gateway_site import GatewayResponse, RequestKind

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))  # Statuses that mean "not run".


class RequestRecord(NamedTuple):
    """A request of a client and its reply."""

    kind: RequestKind
    response: GatewayResponse


def check_response(record: RequestRecord) -> str:
    """Returns what is wrong with one reply; empty if nothing is."""
    response = record.response
    if response.status != 200:
        return ""
    if not response.is_signed:
        return f"{response.request_id}: a success that no instance made"
    if not response.body.startswith(f"{response.request_id} by "):
        return (
            f"{response.request_id}: an answer to another request: {response.body[:60]}"
        )
    return ""


def find_wrong_runs(
    records: Iterable[RequestRecord], runs: Mapping[str, list[float]]
) -> list[str]:
    """Returns requests that ran too often, or though they were said not to run."""
    findings = []
    for kind, response in records:
        run_times = runs.get(response.request_id, [])
        if kind.is_idempotent:
            continue
        if len(run_times) > 1:
            findings.append(f"{response.request_id}: ran {len(run_times)} times")
        if response.status in NOT_RUN_STATUSES and run_times:
            findings.append(
                f"{response.request_id}: told {response.status}, yet it ran"
            )
        if response.status == 200 and not run_times:
            findings.append(f"{response.request_id}: answered, yet it never ran")
    return findings


def find_shared_keys(holders: Mapping[int, list[str]]) -> list[str]:
    """Returns keys that two instances hold."""
    return [f"key {key} is held by {n}" for key, n in holders.items() if len(n) > 1]
