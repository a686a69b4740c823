"""Codec of the platform's header fields in requests and responses."""

from __future__ import annotations

import re
from typing import Mapping

from ..core.gateway.checks import MAX_COLD_MS, MAX_EXACT_NUMBER
from ..core.gateway.model import InstanceEntry, LoadReport
from ..gateway.exchange import CallerMetadata, ResponseMetadata

REQUEST_ID = "Request-Id"
DEADLINE = "Deadline-Ms"
KEY_HASH = "Shard-Key"
TARGET = "Target-Instance"
SIGNATURE = "response-signature"
NOT_EXECUTED = "not-executed"
LOAD = "instance-load"
INSTANCE = "instance-id"
COLD = "cold-ms"
RATE_LIMIT = "server-limit"
LEAVING = "server-leaving"
LEAVING_VALUE = "1"
API_KEY = "Authorization"
CUSTOMER = "Tenant"
# Two fields, which the HTTP server joins with a comma, are malformed.
BEARER = re.compile(r"bearer +([!-+\--~]+)", re.I)
HASH_COUNT = 1 << 16
MAX_NUMBER_CHARACTERS = 32
NUMBER = re.compile(r"\s*[+-]?([0-9]+(\.[0-9]*)?|\.[0-9]+)(e[+-]?[0-9]+)?\s*", re.I)
MAX_LOAD_FIGURE = 1 << 20  # Requests at one instance, or its work time in percent.
USUAL_WORK_TIME_PERCENT = 100.0  # The fourth load figure is a percentage.
REPLACED_FIELDS = frozenset((DEADLINE.lower(), TARGET.lower()))
CUSTOMER_FIELDS = frozenset((API_KEY.lower(), CUSTOMER.lower()))


def decode_caller(headers: Mapping[str, str]) -> CallerMetadata:
    """Decodes the metadata of a caller's request; field names are in lower case."""
    deadline_ms = _parse_number(headers.get(DEADLINE.lower()))
    key_hash = _parse_number(headers.get(KEY_HASH.lower()))
    is_in_range = key_hash is not None and 0 <= key_hash < HASH_COUNT
    return CallerMetadata(
        headers.get(REQUEST_ID.lower(), ""),
        deadline_ms if deadline_ms and deadline_ms > 0 else None,
        int(key_hash) if is_in_range and key_hash is not None else None,
        _parse_api_key(headers.get(API_KEY.lower(), "")),
    )


def encode_for_instance(
    entry: InstanceEntry, remaining_ms: float, customer: str = ""
) -> list[tuple[str, str]]:
    """Returns the header fields that the daemon adds to a request."""
    added = [(DEADLINE, str(max(1, int(remaining_ms)))), (TARGET, entry.instance)]
    return [*added, (CUSTOMER, customer)] if customer else added


def encode_for_daemon(api_key: str | None) -> list[tuple[str, str]]:
    """Returns the header field with the API key, for a daemon that checks it again."""
    return [] if api_key is None else [(API_KEY, f"Bearer {api_key}")]


def decode_response(headers: Mapping[str, str]) -> ResponseMetadata:
    """Decodes the metadata of a response; field names are in lower case."""
    return ResponseMetadata(
        request_id=headers.get(REQUEST_ID.lower(), ""),
        is_signed=SIGNATURE in headers,
        is_not_run=NOT_EXECUTED in headers,
        instance=headers.get(INSTANCE, ""),
        load=decode_load(headers.get(LOAD, "")),
        cold_ms=_parse_cold_ms(headers.get(COLD)),
        rate_limit_per_s=_parse_rate(headers.get(RATE_LIMIT)),
        is_leaving=says_leaving(headers),
    )


def says_leaving(headers: Mapping[str, str]) -> bool:
    """Returns whether the fields of a response say that the instance leaves."""
    return headers.get(LEAVING, "").strip() == LEAVING_VALUE


def decode_load(text: str) -> LoadReport | None:
    """Decodes load figures.

    Args:
        text: Comma-separated numbers: running requests, waiting requests, slots and
            optionally the work time in percent of the usual one.

    Returns:
        The report, or None if the text is invalid.
    """
    numbers = [_parse_number(item) for item in text.split(",")]
    if len(numbers) < 3 or any(item is None for item in numbers):
        return None
    figures = [item for item in numbers if item is not None]
    if not all(0 <= item <= MAX_LOAD_FIGURE for item in figures[:4]):
        return None
    slowdown_ratio = (
        figures[3] / USUAL_WORK_TIME_PERCENT
        if len(figures) > 3 and figures[3] > 0
        else 1.0
    )
    return LoadReport(int(figures[0]), int(figures[1]), int(figures[2]), slowdown_ratio)


def _parse_rate(text: str | None) -> float | None:
    number = _parse_number(text)
    return number if number is not None and number >= 0 else None


def _parse_cold_ms(text: str | None) -> float | None:
    number = _parse_number(text)
    is_time = number is not None and number <= MAX_COLD_MS
    return max(0.0, number) if is_time and number is not None else None


def _parse_api_key(text: str) -> str | None:
    found = BEARER.fullmatch(text.strip())
    return found[1] if found else None


def _parse_number(text: str | None) -> float | None:
    """Returns a decimal number within `MAX_EXACT_NUMBER`; None for anything else."""
    if text is None or len(text) > MAX_NUMBER_CHARACTERS or not NUMBER.fullmatch(text):
        return None
    number = float(text)
    return number if abs(number) <= MAX_EXACT_NUMBER else None
