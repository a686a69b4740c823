"""Who claims a vacant group first, and who becomes heir."""

from __future__ import annotations

from typing import Iterable, Mapping

from ..hashing import rank_candidates
from ..state import Member, State


def count_tenures(state: State, groups: Iterable[str]) -> dict[str, int]:
    """Returns how many groups each daemon grants for."""
    counts: dict[str, int] = {}
    for group in groups:
        tenure = state.tenures.get(group)
        if tenure and not tenure.resigned:
            counts[tenure.granter] = counts.get(tenure.granter, 0) + 1
    return counts


def order_claimants(
    vacant: Iterable[str], candidates: list[str], counts: Mapping[str, int]
) -> dict[str, list[str]]:
    """Orders the claimants of vacant groups.

    Candidates with fewer groups go first, equal ones in rank order. The first
    claimant of each group counts as its granter for the groups after it.

    Args:
        vacant: Groups without a granter.
        candidates: Daemons that may claim.
        counts: Groups that each daemon grants for already.

    Returns:
        The claimants of each group, first one first.
    """
    group_counts = {name: counts.get(name, 0) for name in candidates}
    orders = {}
    for group in sorted(vacant):
        order = sorted(rank_candidates(group, candidates), key=group_counts.__getitem__)
        orders[group] = order
        for first in order[:1]:
            group_counts[first] += 1
    return orders


def choose_heir(
    group: str,
    daemon: str,
    zone: str,
    members: Mapping[str, Member],
    reachable: set[str],
) -> str:
    """Returns the first in rank order that is heard from, if possible abroad.

    Without one a member that was not heard yet is named: a daemon that has just
    started has no links, and an heir that is lost is no worse than none.

    Args:
        group: Granter group.
        me: Daemon that claims.
        zone: Its availability zone.
        members: The roster.
        reachable: Daemons heard from lately.

    Returns:
        The heir, "" when there is no other daemon.
    """
    others = [name for name in members if name != daemon]
    candidates = [name for name in others if name in reachable] or others
    in_other_zones = [name for name in candidates if members[name].zone != zone]
    ranked = rank_candidates(group, in_other_zones or candidates)
    return ranked[0] if ranked else ""
