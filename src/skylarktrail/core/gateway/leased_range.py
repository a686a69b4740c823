"""A range of key hashes with its owner and the state of the owner's lease."""

from __future__ import annotations

import math
from copy import copy

from .ranges import OwnedRange

MAX_LISTING_AGE_MS = 3000.0  # A listing is replaced by a newer one within this time.
# Answers of another process at its address that prove that an unlisted owner has ended.
# Fencing grants and releases have connections of their own, so no answer is a copy.
PROOF_ANSWER_COUNT = 2


class LeasedRange:
    """A range of hashes, its owner and what the granter knows of the owner's lease.

    Attributes:
        owned: The range and its owner, the only instance that may hold a lease for it;
            in an inherited move the target may hold one too.
        process_start_ms: Start of the process that calls to the owner reach, as far as
            it is known: the owner's incarnation or a later one.
        process_observed_ms: When a later incarnation was listed. It has forgotten all
            fences, so only a granter that was confirmed after this may send it grants.
        outdated_since_ms: Since when the owner is listed with an earlier start than
            that; infinite if it is not.
        address: `host:port` of the owner.
        inherited_lease_end_ms: When leases of former granters have expired.
        fence: Fence of the present grant; 0 if there is none.
        is_acknowledged: Whether the owner has acknowledged a grant.
        is_fence_acknowledged: Whether it has acknowledged one with the present fence.
        is_releasing: Whether the range is being taken from its owner.
        is_released: Whether the owner holds no lease any more.
        unanswered_grant_end_ms: When a lease granted by an unanswered call expires.
        unproven_grant_end_ms: When a lease granted by renewals expires. The answer to a
            renewal may be one that was sent again for an earlier call, so that the
            renewal itself may still be carried out.
        lease_end_ms: When the longest lease of this granter expires.
        next_call_ms: When the next call about the range is due.
        call_id: Number of the call in flight; 0 if there is none.
        replaced_answers: Fencing grants and releases that another process answered
            since the owner is unlisted.
        handover: State handed over by the previous owner.
        target: Instance that gets the range next; empty for none.
        target_start_ms: Start of the target's incarnation.
        is_target_recorded: Whether the store names the target, so that it may get the
            range as soon as the owner holds no lease.
        is_inherited_move: Whether a former granter has recorded the move, so that
            either instance may hold a lease.
        former_calls_end_ms: Until when calls of former granters may still arrive.
        is_deferred: Whether the release has to wait for that time.
        has_open_grants: Whether, in an inherited move, a grant of a former granter may
            still take effect at the owner after a release.
    """

    def __init__(
        self, owned: OwnedRange, address: str, inherited_lease_end_ms: float
    ) -> None:
        self.owned = owned._replace(next_owner="", next_start_ms=0)
        self.process_start_ms = owned.start_ms
        self.process_observed_ms = -math.inf
        self.outdated_since_ms = math.inf
        self.address = address
        self.inherited_lease_end_ms = inherited_lease_end_ms
        self.fence = 0
        self.is_acknowledged = False
        self.is_fence_acknowledged = False
        self.is_releasing = False
        self.is_released = False
        self.unanswered_grant_end_ms = self.unproven_grant_end_ms = -math.inf
        self.lease_end_ms = -math.inf
        self.next_call_ms = 0.0
        self.call_id = 0
        self.replaced_answers = 0
        self.handover = ""
        self.target = owned.next_owner
        self.target_start_ms = owned.next_start_ms
        self.is_target_recorded = self.is_inherited_move = bool(owned.next_owner)
        self.former_calls_end_ms = -math.inf
        self.is_deferred = False
        self._has_begun_release = False
        self.has_open_grants = self.is_inherited_move

    @property
    def recorded(self) -> OwnedRange:
        """Returns the range as it is recorded while its owner keeps it."""
        return self.owned._replace(
            next_owner=self.target, next_start_ms=self.target_start_ms
        )

    @property
    def last_lease_end_ms(self) -> float:
        """Returns when all leases that any granter may have granted have expired."""
        return max(self.lease_end_ms, self.inherited_lease_end_ms)

    @property
    def has_owner_ended(self) -> bool:
        """Returns whether the process of an unlisted owner has ended for certain.

        Another instance that is listed at its address proves nothing: its entry may be
        older than the process that is there, which may be the owner's again.
        """
        return self.replaced_answers >= PROOF_ANSWER_COUNT

    def transfer_to_target(self, address: str) -> None:
        """Makes the target the owner, once no other instance can hold a lease.

        Args:
            address: `host:port` of the target.
        """
        # In an inherited move a former granter may have given the target a lease.
        if not self.is_inherited_move:
            self.inherited_lease_end_ms = self.former_calls_end_ms = -math.inf
        self.owned = self.owned._replace(
            owner=self.target, start_ms=self.target_start_ms
        )
        self.process_start_ms = self.target_start_ms
        self.process_observed_ms = -math.inf
        self.outdated_since_ms = math.inf
        self.address = address
        self.fence = 0
        self.is_acknowledged = self.is_releasing = self.is_released = False
        self.unanswered_grant_end_ms = self.unproven_grant_end_ms = -math.inf
        self.lease_end_ms = -math.inf
        self.next_call_ms = 0.0
        self.call_id = 0
        self.replaced_answers = 0
        self.is_inherited_move = False
        self.clear_target()

    def set_target(self, target: str, start_ms: int) -> None:
        """Sets the instance, and its incarnation, that gets the range next."""
        self.target = target
        self.target_start_ms = start_ms

    def clear_target(self) -> None:
        """Cancels a move."""
        self.set_target("", 0)
        self.is_target_recorded = False

    def observe_start(self, start_ms: int, now_ms: float) -> None:
        """Compares the listed start of the owner with the process that is known of it.

        An earlier start means that the listing is older than the records, or, if that
        lasts, that the clock by which the instance states its start was set back. Its
        leases then run out, as calls may reach either process.
        """
        if start_ms > self.process_start_ms:
            self.observe_incarnation(start_ms, now_ms)
        if start_ms >= self.process_start_ms:
            self.outdated_since_ms = math.inf
            return
        self.outdated_since_ms = min(self.outdated_since_ms, now_ms)
        if now_ms >= self.outdated_since_ms + MAX_LISTING_AGE_MS:
            self.is_releasing = True

    def observe_incarnation(self, start_ms: int, now_ms: float) -> None:
        """Takes the range from a new incarnation of its owner.

        Renewals may have reached the new process before its entry was read, and calls
        in flight may still do so. What an earlier process has acknowledged does not
        fence the grants of former granters there.
        """
        self.process_start_ms = start_ms
        self.process_observed_ms = now_ms
        self.replaced_answers = 0
        self.is_releasing = True
        self.next_call_ms = now_ms
        if now_ms < self.inherited_lease_end_ms:
            self.is_acknowledged = False

    def update_deferral(self, is_leaving: bool, now_ms: float) -> None:
        """Updates whether the release has to wait for calls of former granters.

        A former granter renews the range to its recorded owner. If this one took it,
        and the owner restarted, that would forget all fences and take it back. An owner
        that leaves is released all the same, unless it has restarted before. The
        process that is released then must know a fence of this granter; an earlier one
        may have acknowledged the last.
        """
        may_get_calls = now_ms < self.former_calls_end_ms
        if self.is_releasing and not self._has_begun_release and may_get_calls:
            self.is_acknowledged = False
        self._has_begun_release = self.is_releasing
        has_restarted = self.process_start_ms != self.owned.start_ms
        was_deferred = self.is_deferred
        has_to_wait = may_get_calls and (has_restarted or not is_leaving)
        self.is_deferred = self.is_releasing and has_to_wait
        if was_deferred and not self.is_deferred:
            self.next_call_ms = now_ms

    def adopt_incarnation(self) -> None:
        """Makes a new incarnation the owner if it keeps the range for the time being.

        Requests are sent to it only when it is on record. It has acknowledged a fence
        of this granter, so that it refuses former ones.
        """
        has_restarted = self.process_start_ms != self.owned.start_ms
        if not (self.is_deferred and has_restarted and self.is_acknowledged):
            return
        self.owned = self.owned._replace(start_ms=self.process_start_ms)
        if not self.target:
            self.is_releasing = self.is_deferred = self._has_begun_release = False

    def needs_fencing(self, now_ms: float) -> bool:
        """Returns whether an earlier grant could still take effect after a release."""
        return not self.is_acknowledged or now_ms < self.unanswered_grant_end_ms

    def needs_fencing_before_release(self, now_ms: float) -> bool:
        """Returns whether a fence has to be acknowledged before a release."""
        return self.needs_fencing(now_ms) or now_ms < self.unproven_grant_end_ms

    def is_open(self, now_ms: float) -> bool:
        """Returns whether a grant may take effect after a successor's release.

        A successor fences the owner itself unless the range is moving.
        """
        if self.call_id or self.is_inherited_move or self.needs_fencing(now_ms):
            return True
        is_moving = self.target or self.is_releasing
        return bool(is_moving) and now_ms < self.unproven_grant_end_ms

    def can_release(self, now_ms: float) -> bool:
        """Returns whether a release sent now would end every lease of the owner."""
        if self.is_inherited_move:
            return now_ms >= self.former_calls_end_ms and not self.has_open_grants
        return not self.is_deferred and not self.needs_fencing_before_release(now_ms)

    def copy_subrange(self, first: int, last: int) -> LeasedRange:
        """Returns a copy for a part of the range, without the call in flight."""
        subrange = copy(self)
        subrange.owned = self.owned._replace(first=first, last=last)
        subrange.call_id = 0
        return subrange
