"""Grants key ranges of one keyed service while this daemon is the site's granter.

Ranges and their owners are recorded in the store before they are granted. The fence of
a grant consists of the granter's term and a counter, so that an instance that has seen
a fence of a newer granter refuses the grants of a former one. A move is recorded, with
both instances, before the owner is asked to release the range, so that an outage of the
store in between leaves no hash without an owner. A range moves when its owner has
confirmed the release, when its process has ended, or when the longest lease that any
granter may have granted has expired. A new incarnation of the owner is asked for the
release too, as it may have received renewals.
"""

from __future__ import annotations

import math
from typing import Mapping, Sequence

from .call_results import apply_failed_grant, apply_failed_release, apply_grant
from .key_load import LoadDistribution
from .lease_calls import (
    MAX_GRANT_DELIVERY_MS,
    CallResult,
    GrantCall,
    GranterAction,
    KeyedInstance,
    LeaseTimings,
    LostRange,
    OpenGrant,
    ReleaseCall,
)
from .leased_range import LeasedRange
from .listed_owners import ListedOwners
from .owner_recorder import OwnerRecorder
from .pending_calls import FENCING, GRANT, RELEASE, RENEWAL, PendingCall, PendingCalls
from .planner import RangeMove
from .range_merging import merge_adjacent
from .range_moves import (
    apply_move,
    cancel_lost_moves,
    find_unassigned,
    plan_range_moves,
)
from .ranges import OwnerTable
from .silent_instances import SilentInstances

# A granter that reaches the store confirms its term within this time.
STORE_FRESH_MS = 2500.0
FENCES_PER_TERM = 1 << 24  # Enough for weeks of grants in one term.
CLOCK_DRIFT_RATIO = 1.03  # The clock of an instance may run 2% slow.
LEASE_SLACK_MS = 100.0  # Delay of timers on both sides.
FENCING_LEASE_MS = 300.0  # Of a grant that only fences earlier ones before a release.


class Granter:
    """Grants the ranges of one service during one term of this daemon.

    Args:
        timings: Durations of leases.
        term: Term of this granter, higher than all earlier ones.
        recorded: Recorded owners.
        former_authority_end_ms: Until when granters of earlier terms may still send
            grants.
    """

    def __init__(
        self,
        timings: LeaseTimings,
        term: int,
        recorded: OwnerTable,
        former_authority_end_ms: float,
    ) -> None:
        self._timings = timings
        self._term = term
        self._fence_count = 0
        # Results of calls of an earlier term must not match calls of this one.
        self._pending_calls = PendingCalls(term * FENCES_PER_TERM)
        end_ms = former_authority_end_ms + self.max_lease_ms(timings.outage_lease_ms)
        self._ranges = [LeasedRange(item, "", end_ms) for item in recorded.ranges]
        for item in self._ranges:
            item.is_releasing = item.is_inherited_move
            item.former_calls_end_ms = former_authority_end_ms
        self._owners = ListedOwners({})
        self._silent_instances = SilentInstances(timings.lease_ms)
        self._confirmed_ms = math.inf
        self._may_get_former_calls = False
        self._recorder = OwnerRecorder(recorded.ranges)
        self._lost_ranges: list[LostRange] = []

    @staticmethod
    def max_lease_ms(lease_ms: float) -> float:
        """Returns how long an instance may hold a lease by this daemon's clock."""
        return lease_ms * CLOCK_DRIFT_RATIO + LEASE_SLACK_MS

    def shorten_former_authority(self, former_authority_end_ms: float) -> None:
        """Handles that granters of earlier terms have ended earlier than assumed."""
        max_lease_ms = self.max_lease_ms(self._timings.outage_lease_ms)
        end_ms = former_authority_end_ms + max_lease_ms
        for item in self._ranges:
            item.inherited_lease_end_ms = min(item.inherited_lease_end_ms, end_ms)
            item.former_calls_end_ms = min(
                item.former_calls_end_ms, former_authority_end_ms
            )

    @property
    def is_recorded(self) -> bool:
        """Returns whether the present owners and next owners are all on record."""
        if self._recorder.is_recording:
            return False
        return not self._recorder.has_unrecorded(self._ranges)

    def continue_in_term(self, term: int, recorded: OwnerTable) -> None:
        """Goes on in a later term after the store has lost records of this one.

        Args:
            term: The later term.
            recorded: Owners that are still on record.
        """
        self._term = term
        self._fence_count = 0
        self._recorder.set_recorded(recorded.ranges)
        for item in self._ranges:
            item.is_target_recorded = item.is_inherited_move

    def record_again(self) -> None:
        """Records all owners again, as their record was overwritten."""
        self._recorder.set_recorded(())

    def open_grants(self, now_ms: float) -> list[OpenGrant]:
        """Returns the ranges for which a release would need fencing first."""
        return [
            OpenGrant(item.owned.owner, item.owned.first, item.owned.last)
            for item in self._ranges
            if item.is_open(now_ms)
        ]

    def observe_open_grants(self, open_grants: Sequence[OpenGrant]) -> None:
        """Handles what all former granters report of their last grants.

        The owner of an inherited move cannot be sent a fence, as the next owner may
        hold the range already. It is asked for the release only if no grant may take
        effect after it; else the leases have to expire.

        Args:
            open_grants: Ranges for which a grant may still take effect.
        """
        for item in self._ranges:
            item.has_open_grants = any(
                grant.instance == item.owned.owner
                and grant.first <= item.owned.last
                and grant.last >= item.owned.first
                for grant in open_grants
            )

    def has_unassigned_hashes(self) -> bool:
        """Returns whether there are hashes without an owner that may keep them."""
        has_lost_owner = any(
            not item.is_released and not item.target and not self._owners.can_keep(item)
            for item in self._ranges
        )
        return has_lost_owner or bool(find_unassigned(self._ranges))

    def has_ungranted_ranges(self) -> bool:
        """Returns whether a range is ready to be granted to its next owner."""
        return any(
            item.is_released or not (item.fence or item.call_id or item.is_releasing)
            for item in self._ranges
        )

    def step(
        self,
        owners: Mapping[str, KeyedInstance],
        now_ms: float,
        confirmed_ms: float = math.inf,
    ) -> list[GranterAction]:
        """Updates the ranges and returns the actions that are due.

        Args:
            owners: All listed instances of the service by identifier.
            confirmed_ms: When the last read began that confirmed the term.
        """
        self._confirmed_ms = confirmed_ms
        self._owners = ListedOwners(self._silent_instances.exclude(owners, now_ms))
        self._give_up_calls(now_ms)
        self._release_ended(now_ms)
        self._update_deferrals(now_ms)
        actions = self._make_grants(now_ms) + self._make_releases(now_ms)
        if not self._recorder.is_due(now_ms):
            return actions
        self._ranges = cancel_lost_moves(self._ranges, self._owners)
        record = self._recorder.begin(self._ranges, now_ms)
        return actions + ([record] if record else [])

    def pop_lost_ranges(self) -> list[LostRange]:
        """Returns the ranges that owners have lost since the last call."""
        lost, self._lost_ranges = self._lost_ranges, []
        return lost

    def rebalance(
        self, distribution: LoadDistribution, should_balance: bool
    ) -> list[RangeMove]:
        """Plans moves, sets the targets of their ranges and returns the moves.

        Args:
            distribution: Distribution of the load over the hashes.
            should_balance: Whether ranges may also move just to balance the load; if
                not, only ranges that need another owner move. While calls of former
                granters may arrive, none moves for load.
        """
        if self._recorder.is_recording:
            return []
        may_balance = should_balance and not self._may_get_former_calls
        moves = plan_range_moves(self._ranges, self._owners, distribution, may_balance)
        for move in moves:
            start_ms = self._owners.start_ms(move.owner)
            self._ranges = apply_move(self._ranges, move, start_ms, self._pending_calls)
        return moves

    def handle_result(self, result: CallResult, now_ms: float) -> None:
        """Handles the result of a call."""
        call = self._pending_calls.pop(result.call_id)
        if call is None:
            return
        ranges = [item for item in call.ranges if item.call_id == result.call_id]
        if ranges:
            owner = ranges[0].owned.owner
            self._silent_instances.record(owner, result.outcome, now_ms)
        for item in ranges:
            item.call_id = 0
            if call.kind == RELEASE:
                self._handle_release_result(item, result, now_ms)
            else:
                self._handle_grant_result(item, result, call, now_ms)

    def _give_up_calls(self, now_ms: float) -> None:
        """Handles calls that have no result for long as calls without an answer.

        An answer that never ends may keep a call open for good.
        """
        for call_id in self._pending_calls.find_overdue(now_ms):
            self.handle_result(CallResult(call_id, "silent"), now_ms)

    def handle_recorded(self, is_recorded: bool) -> None:
        """Handles the result of the requested record."""
        for item in self._recorder.finish(is_recorded):
            if item.is_released:
                self._transfer_to_target(item)
            else:
                item.is_target_recorded = item.is_releasing = True
                item.next_call_ms = 0.0

    def merge_adjacent_ranges(self, now_ms: float) -> int:
        """Merges adjacent leased ranges of the same owner, under a new fence.

        Returns:
            The number of ranges that were merged into others.
        """
        count = len(self._ranges)
        self._ranges = merge_adjacent(self._ranges, now_ms)
        return count - len(self._ranges)

    def _handle_grant_result(
        self,
        item: LeasedRange,
        result: CallResult,
        call: PendingCall,
        now_ms: float,
    ) -> None:
        lease_end_ms = now_ms + self.max_lease_ms(call.lease_ms)
        if result.outcome == "done":
            renew_ms = self._timings.renew_ms
            apply_grant(item, call.kind, lease_end_ms, renew_ms, now_ms)
        else:
            apply_failed_grant(item, result.outcome, call.kind, lease_end_ms, now_ms)

    def _handle_release_result(
        self, item: LeasedRange, result: CallResult, now_ms: float
    ) -> None:
        if result.outcome == "done":
            item.handover = result.handover
            self._mark_released(item, "released", now_ms)
        else:
            apply_failed_release(item, result.outcome, now_ms)

    def _current_fence(self) -> int:
        return self._term * FENCES_PER_TERM + self._fence_count

    def _next_fence(self) -> int:
        self._fence_count += 1
        return self._current_fence()

    def _make_grants(self, now_ms: float) -> list[GranterAction]:
        actions: list[GranterAction] = []
        for item in self._ranges:
            address = self._owners.address_of(item)
            if not address or not self._is_grant_due(item, now_ms):
                continue
            lease_ms = self._lease_ms(now_ms)
            is_fencing = item.is_releasing and not self._owners.keeps_meanwhile(item)
            if is_fencing:
                lease_ms = min(lease_ms, self._fencing_lease_ms(item, now_ms))
                if lease_ms < FENCING_LEASE_MS:
                    continue
            is_unknown = item.is_releasing and not item.is_acknowledged
            if not item.fence or is_fencing or is_unknown:
                item.fence = self._next_fence()
                item.is_fence_acknowledged = False
            kind = RENEWAL if item.is_fence_acknowledged else GRANT
            if is_fencing:
                kind = FENCING
            actions.append(self._make_grant(item, address, lease_ms, kind, now_ms))
        return actions

    def _update_deferrals(self, now_ms: float) -> None:
        self._may_get_former_calls = any(
            now_ms < item.former_calls_end_ms for item in self._ranges
        )
        for item in self._ranges:
            owner = self._owners.get(item.owned.owner)
            item.update_deferral(owner is None or owner.is_leaving, now_ms)
            if owner is not None and owner.start_ms == item.process_start_ms:
                item.adopt_incarnation()

    def _lease_ms(self, now_ms: float) -> float:
        """Returns the length of new leases.

        Short ones end soon if an owner is lost; longer ones last until a store that is
        away for long is back.
        """
        if now_ms > self._confirmed_ms + STORE_FRESH_MS:
            return self._timings.outage_lease_ms
        return self._timings.lease_ms

    def _is_grant_due(self, item: LeasedRange, now_ms: float) -> bool:
        """Returns whether the owner is due to get a grant, a renewal or a fence."""
        if item.call_id or item.is_released or now_ms < item.next_call_ms:
            return False
        if item.is_inherited_move:  # Either of two instances may hold a lease.
            return False
        is_kept = not item.is_releasing or self._owners.keeps_meanwhile(item)
        if not is_kept and not item.needs_fencing_before_release(now_ms):
            return False
        is_confirmed = item.process_observed_ms <= self._confirmed_ms
        return is_confirmed and self._owners.reaches_known_process(item)

    @staticmethod
    def _fencing_lease_ms(item: LeasedRange, now_ms: float) -> float:
        """Returns the longest lease of a fencing grant that outlasts no present one.

        If each fencing grant prolonged the wait, an owner that accepts connections and
        never answers would keep its keys for good. The work that runs at an owner that
        answers may take longer than a short lease.
        """
        left_ms = item.last_lease_end_ms - now_ms - MAX_GRANT_DELIVERY_MS
        drift_ratio = CLOCK_DRIFT_RATIO - 1.0
        longest_ms = (left_ms - LEASE_SLACK_MS) * (1.0 - drift_ratio)
        if item.needs_fencing(now_ms):
            return min(longest_ms, FENCING_LEASE_MS)
        return longest_ms

    def _make_grant(
        self,
        item: LeasedRange,
        address: str,
        lease_ms: float,
        kind: str,
        now_ms: float,
    ) -> GrantCall:
        item.address = address
        owned = item.owned
        return GrantCall(
            self._pending_calls.begin(item, lease_ms, kind, now_ms),
            owned.owner,
            address,
            owned.first,
            owned.last,
            item.fence,
            lease_ms,
            item.handover,
            item.is_fence_acknowledged,
        )

    def _make_releases(self, now_ms: float) -> list[GranterAction]:
        actions: list[GranterAction] = []
        for item in self._ranges:
            is_due = item.is_releasing and not item.is_released and not item.call_id
            if not is_due or now_ms < item.next_call_ms:
                continue
            address = self._owners.address_of(item)
            is_reachable = address and self._owners.reaches_known_process(item)
            if is_reachable and item.can_release(now_ms):
                actions.append(self._make_release(item, address, now_ms))
        return actions

    def _make_release(
        self, item: LeasedRange, address: str, now_ms: float
    ) -> ReleaseCall:
        item.address = address
        item.fence = item.fence or self._next_fence()
        call = self._pending_calls.begin(item, 0.0, RELEASE, now_ms)
        owned = item.owned
        return ReleaseCall(
            call, owned.owner, address, owned.first, owned.last, item.fence
        )

    def _release_ended(self, now_ms: float) -> None:
        """Releases ranges whose owner has ended or whose leases have expired."""
        for item in self._ranges:
            if item.is_released:
                continue
            owner = self._owners.get(item.owned.owner)
            if owner is not None:
                item.replaced_answers = 0  # They count while it is unlisted.
                item.observe_start(owner.start_ms, now_ms)
            is_ended = owner is None and item.has_owner_ended
            is_idle = item.is_releasing and not item.call_id
            is_expired = is_idle and now_ms >= item.last_lease_end_ms
            if is_ended:
                self._mark_released(item, "process_ended", now_ms)
            elif is_expired:
                self._mark_released(item, "lease_expired", now_ms)
            elif owner is None:
                item.is_releasing = True

    def _mark_released(self, item: LeasedRange, reason: str, now_ms: float) -> None:
        """Handles that the owner of a range holds no lease any more."""
        owned = item.owned
        if reason != "released":
            item.handover = ""  # It belongs to an owner before this one.
        self._lost_ranges.append(
            LostRange(
                owned.first,
                owned.last,
                owned.owner,
                reason,
                bool(item.call_id),
                now_ms < item.unanswered_grant_end_ms,
            )
        )
        if item.is_target_recorded:
            self._transfer_to_target(item)
        else:
            item.is_released = item.is_releasing = True

    def _transfer_to_target(self, item: LeasedRange) -> None:
        item.transfer_to_target(self._owners.target_address(item))
