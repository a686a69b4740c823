"""Positions in the logs of the store, ordered also when it returns to an older copy.

A store that comes back from an older copy gives offsets out again, and is then in a
later era. A position consists of the era and the offset, so that each position of a
later era follows all of an earlier one.
"""

from __future__ import annotations

OFFSET_BITS = 40  # Enough for years of records.
_OFFSET_MASK = (1 << OFFSET_BITS) - 1


def make_position(era: int, offset: int) -> int:
    """Returns the position of an offset in an era; 0 if the store names none.

    Negative offsets, which mean that a position is not known, stay as they are.
    """
    return (era << OFFSET_BITS) | offset if offset >= 0 else offset


def era_of(position: int) -> int:
    """Returns the era of a position."""
    return position >> OFFSET_BITS


def offset_of(position: int) -> int:
    """Returns the offset of a position within its era; negative ones stay."""
    return position & _OFFSET_MASK if position >= 0 else position
