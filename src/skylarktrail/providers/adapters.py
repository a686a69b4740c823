"""Imports all adapters of this package, which registers them."""

from __future__ import annotations

from . import http_grants, http_log, http_reports, http_vms

__all__ = ["http_grants", "http_log", "http_reports", "http_vms"]
