"""What callers and instances must see, whatever the faults."""

from __future__ import annotations

from typing import Iterable, Mapping, NamedTuple

from demo.gateway_site import Kind, Reply

PROMISES = frozenset((408, 421, 429, 503))  # Statuses that mean "not run".


class Seen(NamedTuple):
    """A request of a client and its reply."""

    kind: Kind
    reply: Reply


def check_reply(seen: Seen) -> str:
    """Returns what is wrong with one reply; empty if nothing is."""
    reply = seen.reply
    if reply.status != 200:
        return ""
    if not reply.is_signed:
        return f"{reply.request_id}: a success that no instance made"
    if not reply.body.startswith(f"{reply.request_id} by "):
        return f"{reply.request_id}: an answer to another request: {reply.body[:60]}"
    return ""


def check_runs(seen: Iterable[Seen], runs: Mapping[str, list[float]]) -> list[str]:
    """Returns requests that ran too often, or though they were said not to run."""
    findings = []
    for kind, reply in seen:
        times = runs.get(reply.request_id, [])
        if kind.is_idempotent:
            continue
        if len(times) > 1:
            findings.append(f"{reply.request_id}: ran {len(times)} times")
        if reply.status in PROMISES and times:
            findings.append(f"{reply.request_id}: told {reply.status}, yet it ran")
        if reply.status == 200 and not times:
            findings.append(f"{reply.request_id}: answered, yet it never ran")
    return findings


def check_owners(holders: Mapping[int, list[str]]) -> list[str]:
    """Returns keys that two instances hold."""
    return [f"key {key} is held by {n}" for key, n in holders.items() if len(n) > 1]
