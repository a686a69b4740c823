"""Processes of the simulated instances, with their leases and fences."""

from __future__ import annotations

from typing import NamedTuple

from skylarktrail.core.gateway.lease_calls import GrantCall


class Lease(NamedTuple):
    """A lease that a process holds, or its running work after a release.

    Attributes:
        first: First hash.
        last: Last hash, inclusive.
        fence: Fence of the grant.
        end_ms: When the lease ends.
        is_excused: Whether the grant does not count, as it arrived right after its
            sender was thawed or a link healed.
        is_late: Whether the grant was held up on its way or carried out late.
    """

    first: int
    last: int
    fence: int
    end_ms: float
    is_excused: bool
    is_late: bool


class InstanceProcess:
    """One incarnation of an instance.

    Attributes:
        name: Identifier of the instance.
        address: Address at which it listens.
        start_ms: Start of the incarnation.
        clock_ratio: Length of its lease times, relative to the true ones.
        is_up: Whether it runs.
        is_silent: Whether it accepts connections and answers nothing.
        late_ratio: Fraction of the grants that it leaves unanswered and carries out
            late.
        work_ms: How long work on its keys goes on after a release.
        has_second_answers: Whether it sends another answer to a grant later.
        leases: What it holds, and the work that goes on after releases.
        fences: First hash, last hash and fence of the grants that it has seen.
    """

    def __init__(
        self, name: str, address: str, start_ms: int, clock_ratio: float
    ) -> None:
        self.name = name
        self.address = address
        self.start_ms = start_ms
        self.clock_ratio = clock_ratio
        self.is_up = True
        self.is_silent = False
        self.late_ratio = 0.0
        self.work_ms = 0.0
        self.has_second_answers = False
        self.leases: list[Lease] = []
        self.fences: set[tuple[int, int, int]] = set()

    def has_seen_higher_fence(self, call: GrantCall) -> bool:
        """Returns whether it has seen a higher fence on a hash of a grant."""
        return any(
            fence > call.fence and first <= call.last and last >= call.first
            for first, last, fence in self.fences
        )

    def add_lease(self, lease: Lease, now_ms: float) -> None:
        """Adds a lease; the same grant extends the one that it gave before."""
        kept = [
            item
            for item in self.leases
            if item.end_ms > now_ms
            and (item._replace(end_ms=0.0) != lease._replace(end_ms=0.0))
        ]
        same = [
            item.end_ms
            for item in self.leases
            if item._replace(end_ms=0.0) == lease._replace(end_ms=0.0)
        ]
        end_ms = max([lease.end_ms, *same])
        self.leases = [*kept, lease._replace(end_ms=end_ms)]

    def release(self, first: int, last: int, fence: int, now_ms: float) -> float:
        """Ends the leases of a range up to a fence once the running work has ended.

        Returns:
            When the work on the range has ended.
        """
        leases = []
        work_end_ms = now_ms
        for item in self.leases:
            if item.fence > fence or item.first > last or item.last < first:
                leases.append(item)
                continue
            if item.first < first:
                leases.append(item._replace(last=first - 1))
            if item.last > last:
                leases.append(item._replace(first=last + 1))
            end_ms = min(item.end_ms, now_ms + self.work_ms)
            work_end_ms = max(work_end_ms, end_ms)
            leases.append(
                item._replace(
                    first=max(first, item.first),
                    last=min(last, item.last),
                    end_ms=end_ms,
                )
            )
        self.leases = [item for item in leases if item.end_ms > now_ms]
        return work_end_ms

    def live_leases(self, now_ms: float) -> list[Lease]:
        """Returns what it holds, and the work that goes on after releases."""
        if not self.is_up:
            return []
        return [item for item in self.leases if item.end_ms > now_ms]
