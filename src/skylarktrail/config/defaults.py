"""Defaults of the optional fields of a service in the operator file."""

from __future__ import annotations

from typing import Any

SERVICE_DEFAULTS: dict[str, Any] = {
    "default_deadline_ms": 2000,
    "max_deadline_ms": 30_000,
    "max_body_bytes": 1 << 20,
}


def with_defaults(service: dict[str, Any]) -> dict[str, Any]:
    """Returns a service with its defaults filled in, except those of its policy."""
    return SERVICE_DEFAULTS | service
