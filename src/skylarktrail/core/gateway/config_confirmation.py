"""Decides whether the configuration in force counts as confirmed as the newest one.

A daemon that reaches neither the store nor another daemon does not learn that an API
key was removed, and would serve its requests for good. It therefore admits keys only
for a while after the moment at which its configuration was known to be the newest.

Confirmations cost the granter a small message per daemon and interval, and the store
nothing while the granter replies. No request causes a message.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from .positions import era_of

# The rest of `revoke_ms` covers clocks that run 2% slow.
ADMITTED_RATIO = 0.8
# At 5,000 ms this is below the 2,500 ms after which no added key may be denied.
DENIED_RATIO = 0.48
# The granter's read waits for a fifth, so that an interval between two questions and
# one that is lost still leave time for a read of the store.
LONG_POLL_RATIO = 0.2
ASK_INTERVAL_RATIO = 1 / 6
# Beyond the granter's long poll and two questions to it, so that daemons read the store
# only if the granter does not confirm, and in time before keys are no longer admitted.
READ_RATIO = 0.55


class Freshness(NamedTuple):
    """What the configuration in force may decide.

    Attributes:
        may_admit: Whether it may admit the request of a known API key.
        may_deny: Whether it may deny a request because its API key is unknown.
    """

    may_admit: bool
    may_deny: bool


class Confirmation(NamedTuple):
    """A moment at which the configuration in force is known to have been the newest.

    Attributes:
        position: Position in the operators' log that was its end then; -1 for none.
        at_ms: The moment.
    """

    position: int
    at_ms: float


class ConfigConfirmation:
    """Latest confirmation of the configuration in force.

    Changes need a lock; the other methods do not.
    """

    def __init__(self) -> None:
        self._latest = Confirmation(-1, -math.inf)

    @property
    def latest(self) -> Confirmation:
        """Returns the latest confirmation."""
        return self._latest

    def record(self, position: int, at_ms: float) -> None:
        """Records that all records up to the end of the log were applied.

        Args:
            position: The end of the log.
            at_ms: When the request that named the end began.
        """
        era, latest_era = era_of(position), era_of(self._latest.position)
        if (era, at_ms) > (latest_era, self._latest.at_ms):
            self._latest = Confirmation(position, at_ms)

    def record_reply(
        self, position: int, age_ms: float, asked_ms: float, applied_position: int
    ) -> bool:
        """Records the confirmation of another daemon.

        Args:
            position: Position of its confirmation.
            age_ms: Age of its confirmation when it replied.
            asked_ms: When it was asked.
            applied_position: Position up to which this daemon has applied the records.

        Returns:
            False if records are missing here or the positions are of different eras.
        """
        is_same_era = era_of(position) == era_of(applied_position)
        if not is_same_era or applied_position < position:
            return False
        self.record(position, asked_ms - age_ms)
        return True

    def age_ms(self, now_ms: float) -> float:
        """Returns the age of the latest confirmation; infinite if there is none."""
        return now_ms - self._latest.at_ms

    def freshness(self, revoke_ms: float, now_ms: float) -> Freshness:
        """Returns what the configuration may decide now.

        Args:
            revoke_ms: Time after which a removed key admits no request; 0 for no bound.
            now_ms: The current time.
        """
        if not revoke_ms:
            return Freshness(True, True)
        age_ms = self.age_ms(now_ms)
        return Freshness(
            age_ms <= ADMITTED_RATIO * revoke_ms, age_ms <= DENIED_RATIO * revoke_ms
        )

    def needs_read(self, revoke_ms: float, now_ms: float) -> bool:
        """Returns whether the store is to be read, as others confirm too little."""
        return self.age_ms(now_ms) > READ_RATIO * revoke_ms
