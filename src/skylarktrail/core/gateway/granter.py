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
from typing import Mapping, NamedTuple, Sequence

from .key_load import LoadDistribution
from .lease_calls import (
    LATE_ARRIVAL_MS,
    MAX_GRANT_DELIVERY_MS,
    CallResult,
    GrantCall,
    GranterAction,
    KeyedInstance,
    LeaseTimings,
    LostRange,
    OpenGrant,
    RecordOwners,
    ReleaseCall,
)
from .leased_range import LeasedRange
from .planner import RangeAssignment, RangeMove, plan_moves
from .ranges import OwnedRange, OwnerTable, coalesce, find_gaps
from .silent_instances import SilentInstances

MAX_LISTING_AGE_MS = 3000.0  # A listing is replaced by a newer one within this time.
# A granter that reaches the store confirms its term within this time.
STORE_FRESH_MS = 2500.0
FENCES_PER_TERM = 1 << 24  # Enough for weeks of grants in one term.
CLOCK_DRIFT_RATIO = 1.03  # The clock of an instance may run 2% slow.
LEASE_SLACK_MS = 100.0  # Delay of timers on both sides.
RETRY_DELAY_MS = 250.0  # Delay before a failed call is retried.
# Longer than any call whose answer comes at once, with the wait for a thread.
MAX_CALL_MS = 6000.0
RECORD_INTERVAL_MS = 60.0  # Changes within this time are recorded together.
FENCING_LEASE_MS = 300.0  # Of a grant that only fences earlier ones before a release.
GRANT, RENEWAL, FENCING, RELEASE = "grant", "renewal", "fencing", "release"
# Answers of another process at its address that prove that an unlisted owner has ended.
# Fencing grants and releases have connections of their own, so no answer is a copy.
PROOF_ANSWER_COUNT = 2


class _PendingCall(NamedTuple):
    """A call without a result yet, and the parts of the range that it is about."""

    ranges: list[LeasedRange]
    lease_ms: float
    kind: str
    begun_ms: float


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
        self._call_count = term * FENCES_PER_TERM
        self._pending_calls: dict[int, _PendingCall] = {}
        end_ms = former_authority_end_ms + self.max_lease_ms(timings.outage_lease_ms)
        self._ranges = [LeasedRange(item, "", end_ms) for item in recorded.ranges]
        for item in self._ranges:
            item.is_releasing = item.is_inherited_move
            item.former_calls_end_ms = former_authority_end_ms
        self._owners: dict[str, KeyedInstance] = {}
        self._silent_instances = SilentInstances(timings.lease_ms)
        self._confirmed_ms = math.inf
        self._may_get_former_calls = False
        self._is_recording = False
        self._last_record_ms = -math.inf
        self._recorded = list(recorded.ranges)
        self._ranges_being_recorded: list[OwnedRange] = []
        self._moves_being_recorded: list[LeasedRange] = []
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
        return not self._is_recording and not self._unrecorded_ranges()

    def continue_in_term(self, term: int, recorded: OwnerTable) -> None:
        """Goes on in a later term after the store has lost records of this one.

        Args:
            term: The later term.
            recorded: Owners that are still on record.
        """
        self._term = term
        self._fence_count = 0
        self._recorded = list(recorded.ranges)
        for item in self._ranges:
            item.is_target_recorded = item.is_inherited_move

    def record_again(self) -> None:
        """Records all owners again, as their record was overwritten."""
        self._recorded = []

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
            not item.is_released and not item.target and not self._can_keep(item)
            for item in self._ranges
        )
        return has_lost_owner or bool(self._unassigned_hashes())

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
        self._owners = self._silent_instances.exclude(owners, now_ms)
        self._give_up_calls(now_ms)
        self._release_ended(now_ms)
        self._update_deferrals(now_ms)
        actions = self._make_grants(now_ms) + self._make_releases(now_ms)
        if self._is_recording or now_ms < self._last_record_ms + RECORD_INTERVAL_MS:
            return actions
        self._cancel_lost_moves()
        record = self._make_record(now_ms)
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
        capacities = {
            owner.instance: owner.capacity
            for owner in self._owners.values()
            if owner.can_receive_keys
        }
        if not capacities or self._is_recording:
            return []
        assignments = [
            RangeAssignment(first, last, "")
            for first, last in self._unassigned_hashes()
        ] + [
            RangeAssignment(item.owned.first, item.owned.last, item.owned.owner)
            for item in self._ranges
            if not item.is_released and not item.target and not self._is_pinned(item)
        ]
        moves = plan_moves(assignments, capacities, distribution)
        if not should_balance or self._may_get_former_calls:
            moves = [move for move in moves if not self._can_owner_receive(move.first)]
        for move in moves:
            self._apply_move(move)
        return moves

    def handle_result(self, result: CallResult, now_ms: float) -> None:
        """Handles the result of a call."""
        call = self._pending_calls.pop(result.call_id, None)
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
        for call_id, call in list(self._pending_calls.items()):
            if now_ms > call.begun_ms + MAX_CALL_MS:
                self.handle_result(CallResult(call_id, "silent"), now_ms)

    def handle_recorded(self, is_recorded: bool) -> None:
        """Handles the result of the requested record."""
        self._is_recording = False
        moves, self._moves_being_recorded = self._moves_being_recorded, []
        if not is_recorded:
            return
        self._recorded = self._ranges_being_recorded
        for item in moves:
            if item.is_released:
                self._transfer_to_target(item)
            else:
                item.is_target_recorded = item.is_releasing = True
                item.next_call_ms = 0.0

    def merge_adjacent_ranges(self, now_ms: float) -> int:
        """Merges adjacent leased ranges of the same owner, under a new fence.

        Each range costs one renewal per interval, so their number has to stay small.

        Returns:
            The number of ranges that were merged into others.
        """
        self._ranges.sort(key=lambda item: item.owned.first)
        joined: list[LeasedRange] = []
        for item in self._ranges:
            previous = joined[-1] if joined else None
            if previous and self._can_merge(previous, item, now_ms):
                previous.owned = previous.owned._replace(last=item.owned.last)
                previous.fence = 0
                previous.next_call_ms = now_ms
                previous.lease_end_ms = max(previous.lease_end_ms, item.lease_end_ms)
                previous.inherited_lease_end_ms = max(
                    previous.inherited_lease_end_ms, item.inherited_lease_end_ms
                )
                previous.unproven_grant_end_ms = max(
                    previous.unproven_grant_end_ms, item.unproven_grant_end_ms
                )
                previous.former_calls_end_ms = max(
                    previous.former_calls_end_ms, item.former_calls_end_ms
                )
            else:
                joined.append(item)
        merged = len(self._ranges) - len(joined)
        self._ranges = joined
        return merged

    @staticmethod
    def _can_merge(left: LeasedRange, right: LeasedRange, now_ms: float) -> bool:
        def is_settled(item: LeasedRange) -> bool:
            is_moving = (
                item.is_releasing or item.is_released or item.target or item.call_id
            )
            return not is_moving and not item.needs_fencing(now_ms)

        is_adjacent = left.owned.last + 1 == right.owned.first
        has_same_owner = left.owned[2:] == right.owned[2:]
        return is_adjacent and has_same_owner and is_settled(left) and is_settled(right)

    def _handle_grant_result(
        self,
        item: LeasedRange,
        result: CallResult,
        call: _PendingCall,
        now_ms: float,
    ) -> None:
        lease_end_ms = now_ms + self.max_lease_ms(call.lease_ms)
        if result.outcome == "done":
            item.is_acknowledged = item.is_fence_acknowledged = True
            item.replaced_answers = 0
            item.lease_end_ms = max(item.lease_end_ms, lease_end_ms)
            item.next_call_ms = now_ms + self._timings.renew_ms
            if item.is_releasing and not item.is_deferred:
                item.next_call_ms = now_ms
            if call.kind == FENCING:
                item.unanswered_grant_end_ms = -math.inf
            # The first grant of a fence has a connection, and so an answer, of its own.
            is_proven = call.kind != RENEWAL
            item.unproven_grant_end_ms = -math.inf if is_proven else item.lease_end_ms
            return
        item.next_call_ms = now_ms + RETRY_DELAY_MS
        if result.outcome == "fenced":
            item.is_acknowledged = False
            item.fence = 0
        elif result.outcome == "replaced" and call.kind == FENCING:
            item.replaced_answers += 1
        elif result.outcome == "silent":
            lease_end_ms += LATE_ARRIVAL_MS
            item.unanswered_grant_end_ms = max(
                item.unanswered_grant_end_ms, lease_end_ms
            )
            item.lease_end_ms = max(item.lease_end_ms, lease_end_ms)

    def _handle_release_result(
        self, item: LeasedRange, result: CallResult, now_ms: float
    ) -> None:
        if result.outcome == "done":
            item.handover = result.handover
            self._mark_released(item, "released", now_ms)
            return
        item.next_call_ms = now_ms + RETRY_DELAY_MS
        if now_ms < item.former_calls_end_ms:
            # The process that knew the fence may have ended meanwhile.
            item.is_acknowledged = False
        if result.outcome == "replaced":
            item.replaced_answers += 1

    def _current_fence(self) -> int:
        return self._term * FENCES_PER_TERM + self._fence_count

    def _next_fence(self) -> int:
        self._fence_count += 1
        return self._current_fence()

    def _make_grants(self, now_ms: float) -> list[GranterAction]:
        actions: list[GranterAction] = []
        for item in self._ranges:
            address = self._address_of(item)
            if not address or not self._is_grant_due(item, now_ms):
                continue
            lease_ms = self._lease_ms(now_ms)
            is_fencing = item.is_releasing and not self._keeps_meanwhile(item)
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

    def _keeps_meanwhile(self, item: LeasedRange) -> bool:
        """Returns whether the owner keeps a range until it may be released."""
        return item.is_deferred and item.owned.owner in self._owners

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
        is_kept = not item.is_releasing or self._keeps_meanwhile(item)
        if not is_kept and not item.needs_fencing_before_release(now_ms):
            return False
        is_confirmed = item.process_observed_ms <= self._confirmed_ms
        return is_confirmed and self._reaches_known_process(item)

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

    def _has_owner_ended(self, item: LeasedRange) -> bool:
        """Returns whether the process of an unlisted owner has ended for certain.

        Another instance that is listed at its address proves nothing: its entry may be
        older than the process that is there, which may be the owner's again.
        """
        return item.replaced_answers >= PROOF_ANSWER_COUNT

    def _reaches_known_process(self, item: LeasedRange) -> bool:
        """Returns whether calls to an owner reach the process that is known of it.

        They may reach another one while the listing is older than the records.
        """
        owner = self._owners.get(item.owned.owner)
        return owner is None or owner.start_ms == item.process_start_ms

    def _address_of(self, item: LeasedRange) -> str:
        """Returns the address of the owner; the last known one if it is unlisted."""
        owner = self._owners.get(item.owned.owner)
        return owner.address if owner else item.address

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
            self._begin_call(item, lease_ms, kind, now_ms),
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
            address = self._address_of(item)
            is_reachable = address and self._reaches_known_process(item)
            if is_reachable and item.can_release(now_ms):
                actions.append(self._make_release(item, address, now_ms))
        return actions

    def _make_release(
        self, item: LeasedRange, address: str, now_ms: float
    ) -> ReleaseCall:
        item.address = address
        item.fence = item.fence or self._next_fence()
        call = self._begin_call(item, 0.0, RELEASE, now_ms)
        owned = item.owned
        return ReleaseCall(
            call, owned.owner, address, owned.first, owned.last, item.fence
        )

    def _begin_call(
        self, item: LeasedRange, lease_ms: float, kind: str, now_ms: float
    ) -> int:
        """Registers a new call about a range and returns its number."""
        self._call_count += 1
        item.call_id = self._call_count
        self._pending_calls[self._call_count] = _PendingCall(
            [item], lease_ms, kind, now_ms
        )
        return self._call_count

    def _release_ended(self, now_ms: float) -> None:
        """Releases ranges whose owner has ended or whose leases have expired."""
        for item in self._ranges:
            if item.is_released:
                continue
            owner = self._owners.get(item.owned.owner)
            if owner is not None:
                item.replaced_answers = 0  # They count while it is unlisted.
                self._observe_start(item, owner.start_ms, now_ms)
            is_ended = owner is None and self._has_owner_ended(item)
            is_idle = item.is_releasing and not item.call_id
            is_expired = is_idle and now_ms >= item.last_lease_end_ms
            if is_ended:
                self._mark_released(item, "process_ended", now_ms)
            elif is_expired:
                self._mark_released(item, "lease_expired", now_ms)
            elif owner is None:
                item.is_releasing = True

    @staticmethod
    def _observe_start(item: LeasedRange, start_ms: int, now_ms: float) -> None:
        """Compares the listed start of an owner with the process that is known of it.

        An earlier start means that the listing is older than the records, or, if that
        lasts, that the clock by which the instance states its start was set back. Its
        leases then run out, as calls may reach either process.
        """
        if start_ms > item.process_start_ms:
            item.observe_incarnation(start_ms, now_ms)
        if start_ms >= item.process_start_ms:
            item.outdated_since_ms = math.inf
            return
        item.outdated_since_ms = min(item.outdated_since_ms, now_ms)
        if now_ms >= item.outdated_since_ms + MAX_LISTING_AGE_MS:
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
        owner = self._owners.get(item.target)
        item.transfer_to_target(owner.address if owner else "")

    def _cancel_lost_moves(self) -> None:
        """Cancels moves whose target is lost, so that the hashes are planned again."""
        for item in self._ranges:
            if (
                item.target
                and not item.is_inherited_move
                and not self._can_target_receive(item)
            ):
                item.clear_target()
        self._ranges = [i for i in self._ranges if not i.is_released or i.target]

    def _can_target_receive(self, item: LeasedRange) -> bool:
        """Returns whether the target still runs as recorded and may receive keys."""
        owner = self._owners.get(item.target)
        is_same_incarnation = (
            owner is not None and owner.start_ms == item.target_start_ms
        )
        return is_same_incarnation and owner.can_receive_keys

    def _unassigned_hashes(self) -> list[tuple[int, int]]:
        """Returns hashes that no range covers."""
        return find_gaps((i.owned.first, i.owned.last) for i in self._ranges)

    def _can_receive(self, instance: str) -> bool:
        owner = self._owners.get(instance)
        return owner is not None and owner.can_receive_keys

    def _can_keep(self, item: LeasedRange) -> bool:
        """Returns whether the owner of a range may keep it."""
        owner = self._owners.get(item.owned.owner)
        return owner is not None and owner.can_keep_keys

    def _is_pinned(self, item: LeasedRange) -> bool:
        """Returns whether the owner of a range keeps its keys but may get no more."""
        return self._can_keep(item) and not self._can_receive(item.owned.owner)

    def _can_owner_receive(self, key_hash: int) -> bool:
        for item in self._ranges:
            if item.owned.first <= key_hash <= item.owned.last and not item.is_released:
                return self._can_receive(item.owned.owner)
        return False

    def _apply_move(self, move: RangeMove) -> None:
        """Splits ranges at the edges of a move and sets the target between them."""
        ranges: list[LeasedRange] = []
        covered: list[tuple[int, int]] = []
        for item in self._ranges:
            first = max(item.owned.first, move.first)
            last = min(item.owned.last, move.last)
            if first > last:
                ranges.append(item)
                continue
            covered.append((first, last))
            ranges += self._split(item, first, last, move.owner)
        self._ranges = ranges
        for first, last in find_gaps(covered):
            first, last = max(first, move.first), min(last, move.last)
            if first <= last:
                self._ranges.append(self._make_unowned(first, last, move.owner))

    def _split(
        self, item: LeasedRange, first: int, last: int, target: str
    ) -> list[LeasedRange]:
        parts = []
        if item.owned.first < first:
            parts.append(item.copy_subrange(item.owned.first, first - 1))
        moved = item.copy_subrange(first, last)
        moved.set_target(target, self._owners[target].start_ms)
        parts.append(moved)
        if last < item.owned.last:
            parts.append(item.copy_subrange(last + 1, item.owned.last))
        self._replace_in_pending_call(item, parts)
        return parts

    def _replace_in_pending_call(
        self, item: LeasedRange, parts: list[LeasedRange]
    ) -> None:
        """Lets the result of the call in flight apply to all parts of its range."""
        if not item.call_id:
            return
        call = self._pending_calls[item.call_id]
        others = [other for other in call.ranges if other is not item]
        for part in parts:
            part.call_id = item.call_id
        self._pending_calls[item.call_id] = call._replace(ranges=others + parts)

    def _make_unowned(self, first: int, last: int, target: str) -> LeasedRange:
        item = LeasedRange(OwnedRange(first, last, "", 0), "", -math.inf)
        item.is_released = item.is_releasing = True
        item.set_target(target, self._owners[target].start_ms)
        return item

    def _make_record(self, now_ms: float) -> RecordOwners | None:
        """Returns a record of the owners and next owners if it has changed."""
        if not self._unrecorded_ranges():
            return None
        wanted = self._ranges_to_record()
        self._moves_being_recorded = [
            i for i in self._ranges if i.target and not i.is_target_recorded
        ]
        self._ranges_being_recorded = wanted
        self._is_recording = True
        self._last_record_ms = now_ms
        return RecordOwners(tuple(wanted))

    def _unrecorded_ranges(self) -> set[OwnedRange]:
        return set(self._ranges_to_record()) - set(self._recorded)

    def _ranges_to_record(self) -> list[OwnedRange]:
        """Returns all ranges; a released one has its target as the owner."""
        return coalesce(
            (
                item.owned._replace(owner=item.target, start_ms=item.target_start_ms)
                if item.is_released
                else item.recorded
            )
            for item in self._ranges
        )
