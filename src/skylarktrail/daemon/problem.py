"""Refusals to callers as problem details (RFC 9457)."""

from __future__ import annotations

import json
import math
from typing import NamedTuple

from ..errors import Code
from . import fields

MEDIA_TYPE = "application/problem+json"


class Problem(NamedTuple):
    """A refusal.

    Attributes:
        code: The numbered code; its status is the HTTP status.
        outcome: `not-run` or `unknown`; for a request with an idempotency key it
            covers every attempt with that key.
        detail: Description of this occurrence; "" for the remedy of the code.
        retry_after_ms: Delay before a retry; None if a retry is pointless.
        allowed_methods: Methods of the path if the method was refused.
        has_fractional_retry_after: Whether Retry-After carries fractions of a second.
        attempt: `not-run` if this attempt did not run, regardless of the outcome of
            earlier attempts with its key; else "".
        added_headers: Further header fields of the response.
    """

    code: Code
    outcome: str
    detail: str = ""
    retry_after_ms: float | None = None
    allowed_methods: tuple[str, ...] = ()
    attempt: str = ""
    has_fractional_retry_after: bool = False
    added_headers: tuple[tuple[str, str], ...] = ()

    def headers(self) -> fields.Fields:
        """Returns the header fields of the response."""
        headers = [("Content-Type", MEDIA_TYPE), (fields.OUTCOME, self.outcome)]
        if self.retry_after_ms is not None:
            headers.append(("Retry-After", self._retry_after()))
        if self.allowed_methods:
            headers.append(("Allow", ", ".join(self.allowed_methods)))
        return [*headers, *self.added_headers]

    def _retry_after(self) -> str:
        seconds = (self.retry_after_ms or 0.0) / 1000
        if self.has_fractional_retry_after:
            return f"{seconds:.3f}"
        return str(max(1, math.ceil(seconds)))

    def body(self) -> bytes:
        """Returns the JSON body of the response."""
        members = {
            "type": "about:blank",
            "title": self.code.summary,
            "status": self.code.status,
            "detail": self.detail or self.code.remedy,
            "code": self.code.number,
            "outcome": self.outcome,
        }
        if self.attempt:
            members["attempt"] = self.attempt
        if self.retry_after_ms is not None:
            members["retry_after_ms"] = round(self.retry_after_ms)
        return json.dumps(members).encode()
