"""Terms of granters: each one belongs to an era of the store, and rises with it.

A term of a later era exceeds all of an earlier one, also those that the store has lost.
So a record that names its granter's term says for which era it was written.
"""

from __future__ import annotations

from .positions import era_of

TERMS_PER_ERA = 1 << 16


def first_term_of(era: int) -> int:
    """Returns the lowest term of an era."""
    return max(1, era * TERMS_PER_ERA)


def first_term_in(position: int) -> int:
    """Returns the lowest term of the era of a position."""
    return first_term_of(era_of(position))
