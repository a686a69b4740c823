"""Limits of the load reports that daemons send to granters."""

from __future__ import annotations

MAX_REPORTED_SLICES = 64
MAX_REPORTED_KEYS = 32
