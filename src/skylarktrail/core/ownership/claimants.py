"""Order in which daemons claim vacant groups, and choice of the heir."""

from __future__ import annotations

from typing import Iterable, Mapping

from ..hashing import rank_candidates
from ..state import Member, State


def count_terms(state: State, groups: Iterable[str]) -> dict[str, int]:
    """Returns for how many of the groups each daemon is the granter."""
    counts: dict[str, int] = {}
    for group in groups:
        granter_term = state.granter_terms.get(group)
        if granter_term and not granter_term.resigned:
            counts[granter_term.granter] = counts.get(granter_term.granter, 0) + 1
    return counts


def order_claimants(
    vacant: Iterable[str], candidates: list[str], counts: Mapping[str, int]
) -> dict[str, list[str]]:
    """Returns the order in which candidates claim each vacant group.

    Candidates with fewer groups come first; ties are broken by rendezvous hashing.
    The first candidate of a group counts as its granter for the groups after it, so
    that the groups are spread evenly.

    Args:
        vacant: Groups without a granter.
        candidates: Daemons that may claim.
        counts: Number of groups for which each daemon is already the granter.

    Returns:
        The candidates by group, in the order in which they claim.
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
    """Returns the heir to name in a claim.

    The heir is the first reachable member in rendezvous order, preferably in another
    availability zone. When no member is reachable, an unreachable one is named: a
    daemon that has just started has no links yet, and an heir that turns out to be
    lost is no worse than none.

    Args:
        group: Granter group.
        daemon: Daemon that claims.
        zone: Its availability zone.
        members: The roster.
        reachable: Daemons that sent a message recently.

    Returns:
        Name of the heir; "" when the roster has no other daemon.
    """
    others = [name for name in members if name != daemon]
    candidates = [name for name in others if name in reachable] or others
    in_other_zones = [name for name in candidates if members[name].zone != zone]
    ranked = rank_candidates(group, in_other_zones or candidates)
    return ranked[0] if ranked else ""
