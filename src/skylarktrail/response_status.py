"""Tells final, interim and invalid HTTP statuses apart, for all readers of responses.

The load is a failing server that sends any number as status. A response with an invalid
status is not passed on, and does not show whether the request has run.
"""

from __future__ import annotations

SWITCHING_PROTOCOLS = 101
MAX_INTERIM_RESPONSES = 8  # Before the final one.


def is_final(status: int) -> bool:
    """Returns whether a status is that of a final response."""
    return 200 <= status <= 599


def is_interim(status: int) -> bool:
    """Returns whether a status is interim, so that another response follows.

    None follows a switch to another protocol, which no reader asks for.
    """
    return 100 <= status <= 199 and status != SWITCHING_PROTOCOLS
