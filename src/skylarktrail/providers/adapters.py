"""The adapters that ship with the daemon; importing them fills the registries."""

from __future__ import annotations

from . import http_grants, http_log, http_reports, http_vms

__all__ = ["http_grants", "http_log", "http_reports", "http_vms"]
