"""Rules on settings that JSON Schema cannot express, registered by decorator."""

from __future__ import annotations

from typing import Any, Callable, Iterator

from ..errors import settings as codes
from ..errors.code import Code, Fault
from .address import is_wildcard, parse_address

# Time within which a key must be served again after its server or granter failed.
MAX_RECOVERY_MS = 5000
# Part of it for recording the new owner, granting it and informing the daemons.
RECORD_AND_GRANT_MS = 500
# With three periods in a time limit, losing one message does not exceed the limit.
MIN_PERIODS_IN_LIMIT = 3
SOCKET_FIELDS = ("caller_address", "operator_address", "peer_address")

JsonObject = dict[str, Any]
Rule = Callable[[JsonObject], Iterator[Fault]]
RULES: list[Rule] = []


def rule(check: Rule) -> Rule:
    """Registers a rule.

    A rule finds None in place of each value that the schema refused.
    """
    RULES.append(check)
    return check


def find_rule_faults(document: JsonObject) -> list[Fault]:
    """Returns the faults that the registered rules find."""
    return [fault for check in RULES for fault in check(document)]


@rule
def _addresses_are_valid(document: JsonObject) -> Iterator[Fault]:
    for path, text in _list_addresses(document):
        if parse_address(text) is None:
            yield Fault(codes.ADDRESS_MALFORMED, path, f"found {text!r}")


def _list_addresses(document: JsonObject) -> Iterator[tuple[str, str]]:
    for name in SOCKET_FIELDS:
        if document.get(name):
            yield f"$.{name}", document[name]
    platform = document.get("platform") or {}
    log = platform.get("log") or {}
    for index, text in enumerate(log.get("addresses") or []):
        if text:
            yield f"$.platform.log.addresses[{index}]", text
    vms = platform.get("vms") or {}
    if vms.get("address"):
        yield "$.platform.vms.address", vms["address"]


@rule
def _socket_addresses_differ(document: JsonObject) -> Iterator[Fault]:
    seen: dict[str, str] = {}
    for name in SOCKET_FIELDS:
        text = document.get(name)
        if text and text in seen:
            detail = f"{text} is also {seen[text]}"
            yield Fault(codes.ADDRESS_REPEATED, f"$.{name}", detail)
        elif text:
            seen[text] = name


@rule
def _peer_address_is_reachable(document: JsonObject) -> Iterator[Fault]:
    address = parse_address(document.get("peer_address") or "")
    if address is not None and is_wildcard(address):
        yield Fault(codes.ADDRESS_WILDCARD, "$.peer_address", f"found {address.host}")


@rule
def _one_lost_message_is_tolerated(document: JsonObject) -> Iterator[Fault]:
    timings = document["timings"]
    yield from _check_at_most_third(
        timings, "renew_ms", "lease_ms", codes.RENEW_TOO_SLOW
    )
    yield from _check_at_most_third(
        timings, "heartbeat_ms", "suspect_ms", codes.HEARTBEAT_TOO_SLOW
    )
    yield from _check_at_most_third(
        timings, "log_poll_ms", "authority_ms", codes.LOG_POLL_TOO_SLOW
    )


def _check_at_most_third(
    timings: dict[str, int | None], period: str, limit: str, code: Code
) -> Iterator[Fault]:
    period_ms, limit_ms = timings[period], timings[limit]
    if period_ms is None or limit_ms is None:
        return
    if period_ms * MIN_PERIODS_IN_LIMIT > limit_ms:
        detail = f"found {period_ms}; {limit} is {limit_ms}"
        yield Fault(code, f"$.timings.{period}", detail)


@rule
def _heir_silence_is_at_least_suspect_time(document: JsonObject) -> Iterator[Fault]:
    timings = document["timings"]
    silence_ms, suspect_ms = timings["heir_silence_ms"], timings["suspect_ms"]
    if silence_ms is None or suspect_ms is None:
        return
    if silence_ms < suspect_ms:
        detail = f"found {silence_ms}; suspect_ms is {suspect_ms}"
        yield Fault(codes.HEIR_SILENCE_SHORT, "$.timings.heir_silence_ms", detail)


@rule
def _recovery_time_is_bounded(document: JsonObject) -> Iterator[Fault]:
    timings = document["timings"]
    names = ("suspect_ms", "authority_ms", "lease_ms", "drift_percent")
    values = [timings[name] for name in names]
    if any(value is None for value in values):
        return
    suspect_ms, authority_ms, lease_ms, drift_percent = values
    drift_ms = lease_ms * drift_percent / 100
    total_ms = suspect_ms + authority_ms + lease_ms + drift_ms + RECORD_AND_GRANT_MS
    if total_ms > MAX_RECOVERY_MS:
        detail = f"the sum is {total_ms:g}; at most {MAX_RECOVERY_MS}"
        yield Fault(codes.RECOVERY_TOO_SLOW, "$.timings", detail)
