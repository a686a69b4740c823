"""The tool's commands, one module each; importing them fills the registry."""

from __future__ import annotations

from . import check, diff, explain, fetch, publish, schema, status

__all__ = ["check", "diff", "explain", "fetch", "publish", "schema", "status"]
