"""The HTTP response of a backend, as it is forwarded to the caller."""

from __future__ import annotations

from typing import NamedTuple

from . import fields


class Response(NamedTuple):
    """A complete HTTP response of a backend.

    Attributes:
        status: HTTP status code.
        headers: Header fields.
        body: Complete body.
    """

    status: int
    headers: fields.Fields
    body: bytes
