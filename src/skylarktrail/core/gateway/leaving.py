"""Remembers which instances have said in an answer that they leave.

The entry of such an instance may stay as it was, lapse, or be out of reach with the
store, so what it has said outlives its entry. It holds for one incarnation.
"""

from __future__ import annotations

import math
from typing import NamedTuple

MAX_REMEMBERED = 4096  # More than the instances of a large site that leave in a day.


class LeavingNotice(NamedTuple):
    """An incarnation of an instance says that it leaves.

    Attributes:
        instance: Identifier of the instance.
        start_ms: Wall-clock time of the start of its incarnation.
    """

    instance: str
    start_ms: int


class LeavingInstances:
    """Incarnations that have said that they leave, and since when."""

    def __init__(self) -> None:
        self._since_ms: dict[LeavingNotice, float] = {}

    def record(self, notice: LeavingNotice, now_ms: float) -> bool:
        """Records a notice; returns whether it is the first of its incarnation."""
        if notice in self._since_ms:
            return False
        if len(self._since_ms) >= MAX_REMEMBERED:
            del self._since_ms[next(iter(self._since_ms))]
        self._since_ms[notice] = now_ms
        return True

    def since_ms(self, notice: LeavingNotice) -> float:
        """Returns when a notice was recorded first; infinite if it was not."""
        return self._since_ms.get(notice, math.inf)
