"""Decides when the granter role is vacant, or offered, for one daemon to claim."""

from __future__ import annotations

from typing import Callable

from .shared_state import GranterRecord

# Equals the lifetime of a candidacy in the store: after it the store may have chosen
# another candidate.
CANDIDACY_VALID_MS = 1000.0
# All daemons receive a listing from a new granter within this time.
SUCCESSOR_GRACE_MS = 2000.0
# The granter offers its role to another daemon after its next failed read, at least
# 0.5 s later.
ROLE_OFFER_VALID_MS = 1000.0
# A granter in office claims its next term within this time after the store is back.
RESTORE_GRACE_MS = 3000.0
NEVER_MS = -1e18


class RoleVacancy:
    """Whether a daemon may claim the granter role, by what it was told.

    Args:
        process: Identifier of the process.
        is_granter_alive: Returns whether the current granter sends listings.
    """

    def __init__(self, process: str, is_granter_alive: Callable[[], bool]) -> None:
        self._process = process
        self._is_granter_alive = is_granter_alive
        self._candidate_at_ms = NEVER_MS
        self._succeeded_at_ms = NEVER_MS
        self._restored_at_ms = NEVER_MS
        self._offered_term = 0
        self._offered_at_ms = NEVER_MS
        self._known_term: int | None = None

    def record_candidacy(self, is_candidate: bool, now_ms: float) -> None:
        """Records whether the store chose this daemon as the next granter."""
        self._candidate_at_ms = now_ms if is_candidate else NEVER_MS

    def record_offer(self, term: int, at_ms: float) -> None:
        """Records that the granter of a term offers its role to this daemon."""
        self._offered_term = term
        self._offered_at_ms = at_ms

    def record_restored_store(self, now_ms: float) -> None:
        """Records that the store has returned to an older copy."""
        self._restored_at_ms = now_ms

    def record_granter(self, granter: GranterRecord, now_ms: float) -> None:
        """Records the time when another process became granter."""
        known, self._known_term = self._known_term, granter.term
        is_new_term = known is not None and granter.term > known
        if is_new_term and granter.process != self._process:
            self._succeeded_at_ms = now_ms

    def is_vacant(self, now_ms: float) -> bool:
        """Returns whether this daemon may claim the role.

        A granter that sends listings keeps its role, and a new one gets time to send
        its first. An expired candidacy does not count, as the store may have chosen
        another candidate during an outage.
        """
        is_candidate = now_ms - self._candidate_at_ms <= CANDIDACY_VALID_MS
        is_new = now_ms - self._succeeded_at_ms <= SUCCESSOR_GRACE_MS
        if not is_candidate or is_new or self._is_just_restored(now_ms):
            return False
        return not self._is_granter_alive()

    def take_offer(self, term: int, started_ms: float, now_ms: float) -> bool:
        """Returns whether the granter of a term offers its role; the offer ends by it.

        Args:
            term: Term of the granter on record.
            started_ms: When the read of the record began. It must have begun after the
                offer. It shows that the store serves this daemon; the store may refuse
                some daemons and serve others.
            now_ms: Present time.
        """
        is_recent = self._offered_at_ms >= now_ms - ROLE_OFFER_VALID_MS
        is_after_offer = started_ms >= self._offered_at_ms
        is_current = self._offered_term == term and not self._is_just_restored(now_ms)
        is_offered = is_recent and is_after_offer and is_current
        if is_offered:
            self._offered_at_ms = NEVER_MS
        return is_offered

    def _is_just_restored(self, now_ms: float) -> bool:
        """Returns whether the granter in office still claims its next term."""
        return now_ms - self._restored_at_ms <= RESTORE_GRACE_MS
