"""Checks that a value from another process can be used wherever it may go.

An identifier goes into header fields, an address is connected to, and all of them are
sent on to other daemons.
"""

from __future__ import annotations

import re
from typing import Any

from .model import InstanceEntry

MAX_EXACT_NUMBER = 1 << 53  # Whole numbers up to this one are exact as floats, too.
MAX_COLD_MS = 86_400_000  # A day; the start of an instance takes seconds.
# The year 2109. A later start would make all true starts seem to be earlier ones.
MAX_START_MS = 1 << 42
MAX_SEQUENCE = 1 << 42  # A higher number would hide all true ones of the incarnation.
MAX_NAME_BYTES = 255
MAX_SLOTS = 1 << 16  # More would draw the requests of a whole site to one instance.
MAX_HOST_CHARACTERS = 253
MAX_PORT = 65535
_IDENTIFIER = re.compile(r"[!-~]{1,255}")  # Visible ASCII characters.
_LABEL = r"[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"
_HOST = rf"{_LABEL}(?:\.{_LABEL})*|\[[0-9A-Fa-f:.]{{2,45}}\]"
_ADDRESS = re.compile(rf"(?P<host>{_HOST}):(?P<port>[0-9]{{1,5}})")


def is_count(value: Any) -> bool:
    """Returns whether a value is a whole number from 0 to `MAX_EXACT_NUMBER`."""
    return type(value) is int and 0 <= value <= MAX_EXACT_NUMBER


def is_name(value: Any) -> bool:
    """Returns whether a value is a printable text of bounded length, or empty."""
    if not isinstance(value, str) or not value.isprintable():
        return False
    return len(value.encode()) <= MAX_NAME_BYTES


def is_identifier(value: Any) -> bool:
    """Returns whether a value can identify an instance, in a header field too."""
    return isinstance(value, str) and _IDENTIFIER.fullmatch(value) is not None


def is_address(value: Any) -> bool:
    """Returns whether a value is `host:port`; says nothing about who is there."""
    found = _ADDRESS.fullmatch(value) if isinstance(value, str) else None
    if found is None or len(found["host"]) > MAX_HOST_CHARACTERS:
        return False
    return 1 <= int(found["port"]) <= MAX_PORT


def is_usable_entry(entry: InstanceEntry) -> bool:
    """Returns whether each value of an entry can be used wherever it may go."""
    return (
        is_identifier(entry.instance)
        and bool(entry.service)
        and is_name(entry.service)
        and is_name(entry.zone)
        and is_address(entry.address)
        and 1 <= entry.slots <= MAX_SLOTS
        and 0 <= entry.cold_ms <= MAX_COLD_MS
        and 0 <= entry.start_ms <= MAX_START_MS
        and 0 <= entry.sequence <= MAX_SEQUENCE
    )
