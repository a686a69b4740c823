"""Tracks how long a granter may act."""

from __future__ import annotations


class Confirmation:
    """Evidence that no other daemon acts as granter of the group yet.

    A complete read of the log without a higher term is a confirmation, and so is a
    promise of the heir not to claim. Each is valid for `authority_ms` from the time
    before the read or the request was sent.
    """

    def __init__(self, authority_ms: float) -> None:
        self._authority_ms = authority_ms
        self._read_valid_until_ms = 0.0
        self._promise_valid_until_ms = 0.0
        self._ask_times_ms: dict[int, float] = {}

    def record_log_read(self, started_ms: float) -> None:
        """Records a read of the log that returned no higher term."""
        until_ms = started_ms + self._authority_ms
        self._read_valid_until_ms = max(self._read_valid_until_ms, until_ms)

    def record_ask(self, ask_id: int, asked_ms: float) -> None:
        """Records when a promise was asked for and drops expired requests."""
        oldest_ms = asked_ms - self._authority_ms
        recent = {key: at for key, at in self._ask_times_ms.items() if at > oldest_ms}
        self._ask_times_ms = recent | {ask_id: asked_ms}

    def record_promise(self, ask_id: int) -> None:
        """Records a promise of the heir in the current term."""
        asked_ms = self._ask_times_ms.pop(ask_id, None)
        if asked_ms is not None:
            until_ms = asked_ms + self._authority_ms
            self._promise_valid_until_ms = max(self._promise_valid_until_ms, until_ms)

    def clear_promises(self) -> None:
        """Drops all promises, which are invalid after a claim or in a new term."""
        self._promise_valid_until_ms = 0.0
        self._ask_times_ms.clear()

    def is_valid(self, now_ms: float) -> bool:
        """Tells whether the granter may act now."""
        return now_ms < max(self._read_valid_until_ms, self._promise_valid_until_ms)

    def is_promised(self, now_ms: float) -> bool:
        """Tells whether a promise of the heir alone lets the granter act now."""
        return now_ms < self._promise_valid_until_ms
