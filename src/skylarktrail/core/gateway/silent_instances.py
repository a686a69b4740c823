"""Instances that are listed but have answered no lease call for long."""

from __future__ import annotations

from typing import Mapping

from .lease_calls import KeyedInstance

# Calls that must have ended without an answer, as single ones are lost.
MIN_CALL_COUNT = 6
RETRY_AFTER_MS = 20_000.0  # A recovered instance gets keys again after this time.
ANSWERS = frozenset(("done", "fenced", "replaced"))


class SilentInstances:
    """Tracks instances that accept lease calls and do not answer them.

    Such an instance holds no lease any more, although its entry is renewed.

    Args:
        patience_ms: Time without an answer after which an instance loses its keys.
    """

    def __init__(self, patience_ms: float) -> None:
        self._patience_ms = patience_ms
        self._first_silent_ms: dict[str, float] = {}
        self._call_counts: dict[str, int] = {}
        self._starts_ms: dict[str, int] = {}

    def record(self, instance: str, outcome: str, now_ms: float) -> None:
        """Records the outcome of a lease call."""
        if outcome in ANSWERS:
            self._forget(instance)
        elif outcome == "silent":
            self._first_silent_ms.setdefault(instance, now_ms)
            self._call_counts[instance] = self._call_counts.get(instance, 0) + 1

    def exclude(
        self, owners: Mapping[str, KeyedInstance], now_ms: float
    ) -> dict[str, KeyedInstance]:
        """Returns the instances; silent ones may neither get nor keep keys.

        If half of the instances or more are silent, the links of this daemon are a more
        likely cause, and none loses its keys.
        """
        for name in list(self._first_silent_ms):
            is_outdated = now_ms > self._end_ms(name)
            if is_outdated or self._has_other_process(name, owners.get(name)):
                self._forget(name)
        silent = {name for name in owners if self._is_silent(name, now_ms)}
        if 2 * len(silent) >= len(owners):
            return dict(owners)
        excluded = {
            name: owners[name]._replace(can_receive_keys=False, can_keep_keys=False)
            for name in silent
        }
        return {**owners, **excluded}

    def _end_ms(self, instance: str) -> float:
        return self._first_silent_ms[instance] + self._patience_ms + RETRY_AFTER_MS

    def _has_other_process(self, instance: str, owner: KeyedInstance | None) -> bool:
        """Returns whether the silent process of an instance is not listed any more."""
        if owner is None:
            return True
        return self._starts_ms.setdefault(instance, owner.start_ms) != owner.start_ms

    def _is_silent(self, instance: str, now_ms: float) -> bool:
        first_ms = self._first_silent_ms.get(instance)
        if first_ms is None or self._call_counts[instance] < MIN_CALL_COUNT:
            return False
        return now_ms >= first_ms + self._patience_ms

    def _forget(self, instance: str) -> None:
        self._first_silent_ms.pop(instance, None)
        self._call_counts.pop(instance, None)
        self._starts_ms.pop(instance, None)
