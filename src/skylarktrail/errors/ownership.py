"""Codes 3000-3999, terms, grants and leases."""

from __future__ import annotations

from .code import declare

OWNER_NONE = declare(
    3000,
    "OWNER_NONE",
    "No server owns the key at the moment.",
    "Try again after the time given.",
    status=503,
)
OWNER_CHANGED = declare(
    3001,
    "OWNER_CHANGED",
    "The server no longer owns the key and a newer owner is not known yet.",
    "Try again after the time given.",
    status=503,
)
