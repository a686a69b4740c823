"""Names of header fields and the rules for forwarding them."""

from __future__ import annotations

from typing import Iterable

KEY = "Skylark-Key"
TENANT = "Skylark-Tenant"
DEADLINE = "Skylark-Deadline-Ms"
IDEMPOTENCY_KEY = "Idempotency-Key"
REQUEST_ID = "Skylark-Request-Id"
FENCE = "Skylark-Fence"
HOME_TERM = "Skylark-Home-Term"
OUTCOME = "Skylark-Outcome"
FORWARDED = "Skylark-Forwarded"
NOT_RUN = "not-run"
UNKNOWN = "unknown"

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "trailers",
        "transfer-encoding",
        "upgrade",
    )
)
INTERNAL_REQUEST_FIELDS = frozenset(
    name.lower()
    for name in (DEADLINE, REQUEST_ID, FENCE, HOME_TERM, OUTCOME, FORWARDED)
)
REWRITTEN_FIELDS = frozenset(("content-length", "host"))

Fields = list[tuple[str, str]]


def _names_in_connection_field(fields: Fields) -> set[str]:
    return {
        token.strip().lower()
        for name, value in fields
        if name.lower() == "connection"
        for token in value.split(",")
    }


def _drop_fields(fields: Fields, names: Iterable[str]) -> Fields:
    dropped = HOP_BY_HOP | _names_in_connection_field(fields) | set(names)
    return [(name, value) for name, value in fields if name.lower() not in dropped]


def filter_request_fields(fields: Fields) -> Fields:
    """Returns the header fields of a request that are forwarded to a backend."""
    return _drop_fields(fields, INTERNAL_REQUEST_FIELDS | REWRITTEN_FIELDS)


def filter_response_fields(fields: Fields) -> Fields:
    """Returns the header fields of a response that are forwarded to the caller."""
    return _drop_fields(fields, (REQUEST_ID.lower(), OUTCOME.lower(), "content-length"))
