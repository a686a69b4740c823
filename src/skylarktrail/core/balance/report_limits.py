"""Bounds of the load reports between daemons."""

from __future__ import annotations

MAX_REPORTED_SLICES = 64
MAX_REPORTED_KEYS = 32
