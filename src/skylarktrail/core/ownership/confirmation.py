"""How long a granter may act."""

from __future__ import annotations


class Confirmation:
    """Evidence that no other daemon acts in the group yet.

    Each confirmation counts from the moment before it was asked for.
    """

    def __init__(self, authority_ms: float) -> None:
        self._authority_ms = authority_ms
        self._read_valid_until_ms = 0.0
        self._promise_valid_until_ms = 0.0
        self._ask_times_ms: dict[int, float] = {}

    def record_log_read(self, started_ms: float) -> None:
        """Counts a read of the log that returned no higher term."""
        until_ms = started_ms + self._authority_ms
        self._read_valid_until_ms = max(self._read_valid_until_ms, until_ms)

    def record_ask(self, ask_id: int, asked_ms: float) -> None:
        """Remembers when a promise was asked for and forgets lapsed asks."""
        oldest_ms = asked_ms - self._authority_ms
        recent = {key: at for key, at in self._ask_times_ms.items() if at > oldest_ms}
        self._ask_times_ms = recent | {ask_id: asked_ms}

    def record_promise(self, ask_id: int) -> None:
        """Counts a promise of the heir in the term in force."""
        asked_ms = self._ask_times_ms.pop(ask_id, None)
        if asked_ms is not None:
            until_ms = asked_ms + self._authority_ms
            self._promise_valid_until_ms = max(self._promise_valid_until_ms, until_ms)

    def clear_promises(self) -> None:
        """Drops promises: they are worth nothing after a claim or a new term."""
        self._promise_valid_until_ms = 0.0
        self._ask_times_ms.clear()

    def is_valid(self, now_ms: float) -> bool:
        """Tells whether the granter may act."""
        return now_ms < max(self._read_valid_until_ms, self._promise_valid_until_ms)

    def is_promised(self, now_ms: float) -> bool:
        """Tells whether the granter may act on a promise alone."""
        return now_ms < self._promise_valid_until_ms
