"""Numbered result codes, declared in one module per domain, and their registry."""

from __future__ import annotations

from . import (
    caller,
    idempotency,
    log,
    ownership,
    peer,
    platform,
    settings,
    tool,
    upstream,
)
from .code import CODES, Code, Fault

__all__ = [
    "CODES",
    "Code",
    "Fault",
    "caller",
    "idempotency",
    "log",
    "ownership",
    "peer",
    "platform",
    "settings",
    "tool",
    "upstream",
]
