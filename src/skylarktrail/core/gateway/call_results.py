"""Updates a leased range by the result of a lease call."""

from __future__ import annotations

import math

from .lease_calls import LATE_ARRIVAL_MS
from .leased_range import LeasedRange
from .pending_calls import FENCING, RENEWAL

RETRY_DELAY_MS = 250.0  # Delay before a failed call is retried.


def apply_grant(
    item: LeasedRange, kind: str, lease_end_ms: float, renew_ms: float, now_ms: float
) -> None:
    """Handles that the owner has acknowledged a grant.

    Args:
        item: The range.
        kind: Kind of the grant.
        lease_end_ms: When the lease expires, if it begins now.
        renew_ms: Interval between renewals.
    """
    item.is_acknowledged = item.is_fence_acknowledged = True
    item.replaced_answers = 0
    item.lease_end_ms = max(item.lease_end_ms, lease_end_ms)
    item.next_call_ms = now_ms + renew_ms
    if item.is_releasing and not item.is_deferred:
        item.next_call_ms = now_ms
    if kind == FENCING:
        item.unanswered_grant_end_ms = -math.inf
    # The first grant of a fence has a connection, and so an answer, of its own.
    is_proven = kind != RENEWAL
    item.unproven_grant_end_ms = -math.inf if is_proven else item.lease_end_ms


def apply_failed_grant(
    item: LeasedRange, outcome: str, kind: str, lease_end_ms: float, now_ms: float
) -> None:
    """Handles that a grant was refused, or has no answer.

    Args:
        item: The range.
        outcome: Outcome of the call.
        kind: Kind of the grant.
        lease_end_ms: When the lease expires, if it begins now.
    """
    item.next_call_ms = now_ms + RETRY_DELAY_MS
    if outcome == "fenced":
        item.is_acknowledged = False
        item.fence = 0
    elif outcome == "replaced" and kind == FENCING:
        item.replaced_answers += 1
    elif outcome == "silent":
        lease_end_ms += LATE_ARRIVAL_MS
        item.unanswered_grant_end_ms = max(item.unanswered_grant_end_ms, lease_end_ms)
        item.lease_end_ms = max(item.lease_end_ms, lease_end_ms)


def apply_failed_release(item: LeasedRange, outcome: str, now_ms: float) -> None:
    """Handles that a release was refused, or has no answer."""
    item.next_call_ms = now_ms + RETRY_DELAY_MS
    if now_ms < item.former_calls_end_ms:
        # The process that knew the fence may have ended meanwhile.
        item.is_acknowledged = False
    if outcome == "replaced":
        item.replaced_answers += 1
