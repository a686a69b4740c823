"""The answer of a back end, as it is passed on to the caller."""

from __future__ import annotations

from typing import NamedTuple

from . import fields


class Answer(NamedTuple):
    """A whole answer of a back end."""

    status: int
    headers: fields.Fields
    body: bytes
