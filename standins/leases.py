"""Leases that a keyed server holds; their expiry is checked on its own clock."""

from __future__ import annotations

import threading
import uuid
from typing import Any, NamedTuple

from .serving import now_ms

SliceRow = tuple[int, int, int]


class HeldLease(NamedTuple):
    """State of a server's lease in one granter group.

    Attributes:
        term: Highest granter term accepted.
        version: Version of the set of slices; 0 if none was granted in this term.
        expires_ms: CLOCK_MONOTONIC at which the lease expires.
        slices: First hash, end hash (exclusive) and fence of each slice.
    """

    term: int = 0
    version: int = 0
    expires_ms: int = 0
    slices: tuple[SliceRow, ...] = ()


class Leases:
    """Leases of one server process, by granter group."""

    def __init__(self) -> None:
        self.boot_id = uuid.uuid4().hex
        self._lock = threading.Lock()
        self._held_leases: dict[str, HeldLease] = {}

    def grant(self, grant: dict[str, Any]) -> dict[str, Any]:
        """Applies a grant unless it is stale, and returns the reply.

        The reply reports the held slices for a fencing grant, which only raises the
        term, and for a version mismatch.
        """
        with self._lock:
            clock_ms = now_ms()
            held_lease = self._held_leases.get(grant["group"], HeldLease())
            held_lease = _drop_expired_slices(held_lease, clock_ms)
            reason = self._refusal(held_lease, grant)
            if not reason:
                held_lease = _drop_expired_slices(_apply(held_lease, grant), clock_ms)
            self._held_leases[grant["group"]] = held_lease
        reports_held = reason == "version" or _is_fencing_grant(grant)
        return {
            "accepted": not reason,
            "reason": reason,
            "boot_id": self.boot_id,
            "clock_ms": int(clock_ms),
            "term": held_lease.term,
            "version": held_lease.version,
            "held": [list(row) for row in held_lease.slices] if reports_held else None,
        }

    def _refusal(self, held_lease: HeldLease, grant: dict[str, Any]) -> str:
        if grant["term"] < held_lease.term:
            return "term"
        if _is_fencing_grant(grant):
            return ""
        if grant["boot_id"] != self.boot_id:
            return "boot"
        is_renewal = grant["slices"] is None
        if grant["term"] > held_lease.term:
            return "version" if is_renewal else ""
        if is_renewal:
            return "" if grant["version"] == held_lease.version else "version"
        return "version" if grant["version"] < held_lease.version else ""

    def allows(self, key_hash: int, fence: int) -> bool:
        """Returns whether an unexpired lease with this fence covers a hash."""
        with self._lock:
            clock_ms = now_ms()
            return any(
                clock_ms < held_lease.expires_ms
                and _covers(held_lease, key_hash, fence)
                for held_lease in self._held_leases.values()
            )


def _is_fencing_grant(grant: dict[str, Any]) -> bool:
    return grant["boot_id"] == ""


def _drop_expired_slices(held_lease: HeldLease, clock_ms: float) -> HeldLease:
    """Drops the slices of an expired lease, so that a late renewal is refused."""
    if clock_ms < held_lease.expires_ms:
        return held_lease
    return held_lease._replace(version=0, slices=())


def _apply(held_lease: HeldLease, grant: dict[str, Any]) -> HeldLease:
    if grant["term"] > held_lease.term:
        held_lease = held_lease._replace(term=grant["term"], version=0)
    if _is_fencing_grant(grant):
        return held_lease
    expires_ms = max(held_lease.expires_ms, grant["expires_at_ms"])
    held_lease = held_lease._replace(expires_ms=expires_ms)
    if grant["slices"] is None:
        return held_lease
    slices = tuple((row[0], row[1], row[2]) for row in grant["slices"])
    return held_lease._replace(version=grant["version"], slices=slices)


def _covers(held_lease: HeldLease, key_hash: int, fence: int) -> bool:
    return any(
        start <= key_hash < end and fence == held
        for start, end, held in held_lease.slices
    )
