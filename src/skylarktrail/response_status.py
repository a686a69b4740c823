"""Which statuses of HTTP are those of a response, for all readers of responses.

A server in trouble may send any number. What has no status of a known class is no
response: neither is it passed on, nor does it show whether the request has run.
"""

from __future__ import annotations

SWITCHING_PROTOCOLS = 101
MAX_INTERIM_RESPONSES = 8  # Before the final one.


def is_final(status: int) -> bool:
    """Returns whether a status is that of a response."""
    return 200 <= status <= 599


def is_interim(status: int) -> bool:
    """Returns whether a response follows the head with this status.

    None follows a switch to another protocol, which no reader asks for.
    """
    return 100 <= status <= 199 and status != SWITCHING_PROTOCOLS
