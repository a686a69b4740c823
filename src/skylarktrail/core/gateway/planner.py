"""Plans which key ranges move, so that owners carry load by their speed."""

from __future__ import annotations

import math
from typing import Mapping, NamedTuple, Sequence

from .key_load import LoadDistribution

REBALANCE_START_RATIO = 1.3  # Moves begin above this part of an owner's fair load.
DEVIATION_COUNT = 2.5  # An excess has to be more than this many standard deviations.
REBALANCE_STOP_RATIO = 1.1  # Moves go on until no owner is above this.
HOT_HASH_RATIO = 1.2  # A single hash above this part of any fair load is hot.
FASTER_OWNER_RATIO = 1.3  # A hot hash moves to an owner this much faster.
UNDERLOAD_RATIO = 0.35  # An instance below this part of its fair load gets more.
MAX_MOVE_COUNT = 12  # Each move keeps its keys waiting for the work that runs on them.
MOVES_PER_INSTANCE_RATIO = 0.4  # Moves for each instance, where this is more.
# Part of a fair load in one piece of a lost owner's keys. Each piece costs a renewal a
# second, and pieces that are lost again would be cut again.
PIECE_LOAD_RATIO = 0.4


class RangeAssignment(NamedTuple):
    """Hashes of one owner.

    Attributes:
        first: First hash.
        last: Last hash, inclusive.
        owner: Identifier of the instance, empty while there is none.
    """

    first: int
    last: int
    owner: str


class RangeMove(NamedTuple):
    """Hashes that get another owner."""

    first: int
    last: int
    owner: str


class RebalancePlanner:
    """One round of planning.

    Args:
        assignments: Hashes that may move; together with those that may not, all hashes.
        capacities: Speed of each instance that may own keys.
        distribution: How the load is spread.
    """

    def __init__(
        self,
        assignments: Sequence[RangeAssignment],
        capacities: Mapping[str, float],
        distribution: LoadDistribution,
    ) -> None:
        self._distribution = distribution
        total = sum(capacities.values()) or 1.0
        self._fair_loads = {name: speed / total for name, speed in capacities.items()}
        self._ranges_by_owner: dict[str, list[RangeAssignment]] = {
            name: [] for name in capacities
        }
        self._unassigned: list[RangeAssignment] = []
        for item in assignments:
            self._ranges_by_owner.get(item.owner, self._unassigned).append(item)
        self._loads = {
            name: sum(
                self._distribution.load_between(item.first, item.last) for item in items
            )
            for name, items in self._ranges_by_owner.items()
        }

    def plan(self) -> list[RangeMove]:
        """Returns the moves, those of keys without a usable owner first."""
        if not self._ranges_by_owner:
            return []
        moves = self._assign_unassigned()
        if self._is_unbalanced():
            moves += self._move_hot_hash()
            moves += self._balance()
        return moves

    def _move_hot_hash(self) -> list[RangeMove]:
        """Moves a hash that alone overloads its owner to a much faster one.

        Load pattern: one key gets more than an instance can do. It cannot be cut, so it
        gets the fastest owner, from which other hashes then move away.
        """
        fastest = max(self._fair_loads, key=self._fair_loads.__getitem__)
        limit = HOT_HASH_RATIO * self._fair_loads[fastest]
        for name, items in self._ranges_by_owner.items():
            if self._fair_loads[fastest] < FASTER_OWNER_RATIO * self._fair_loads[name]:
                continue
            for item in items:
                load = self._distribution.load_between(item.first, item.last)
                if item.first == item.last and load > limit:
                    move = RangeMove(item.first, item.last, fastest)
                    self._apply_move(name, item, move)
                    return [move]
        return []

    def _is_unbalanced(self) -> bool:
        """Tells whether the load differs by more than chance explains."""
        if (
            min(self._load_ratio(name) for name in self._ranges_by_owner)
            < UNDERLOAD_RATIO
        ):
            return True
        return any(
            self._load_ratio(name) > self._start_ratio(name)
            for name in self._ranges_by_owner
        )

    def _start_ratio(self, name: str) -> float:
        samples = max(1.0, self._distribution.sample_count * self._fair_loads[name])
        return max(REBALANCE_START_RATIO, 1 + DEVIATION_COUNT / math.sqrt(samples))

    def _load_ratio(self, name: str) -> float:
        return self._loads[name] / self._fair_loads[name]

    def _assign_unassigned(self) -> list[RangeMove]:
        moves = []
        for item in self._unassigned:
            for first, last in self._split_by_load(item):
                name = min(self._ranges_by_owner, key=self._load_ratio)
                self._loads[name] += self._distribution.load_between(first, last)
                moves.append(RangeMove(first, last, name))
        return moves

    def _split_by_load(self, item: RangeAssignment) -> list[tuple[int, int]]:
        """Cuts hashes into pieces of about the same load."""
        load = self._distribution.load_between(item.first, item.last)
        shares = load / min(self._fair_loads.values())
        piece_shares = 1.0 if shares > 2 else PIECE_LOAD_RATIO
        pieces = max(1, math.ceil(shares / piece_shares - 0.01))
        base = self._distribution.load_below(item.first)
        cuts = [
            self._distribution.hash_at(base + load * number / pieces)
            for number in range(1, pieces)
        ]
        edges = [item.first, *cuts, item.last + 1]
        pairs = zip(edges, edges[1:])
        return [(low, high - 1) for low, high in pairs if low < high <= item.last + 1]

    def _balance(self) -> list[RangeMove]:
        moves: list[RangeMove] = []
        limit = max(
            MAX_MOVE_COUNT,
            int(MOVES_PER_INSTANCE_RATIO * len(self._ranges_by_owner)),
        )
        while len(moves) < limit:
            source = max(self._ranges_by_owner, key=self._load_ratio)
            target = min(self._ranges_by_owner, key=self._load_ratio)
            is_balanced = self._load_ratio(source) <= REBALANCE_STOP_RATIO
            if is_balanced and self._load_ratio(target) >= UNDERLOAD_RATIO:
                break
            move = self._shift_load(source, target)
            if move is None:
                break
            moves.append(move)
        return moves

    def _shift_load(self, source: str, target: str) -> RangeMove | None:
        """Takes hashes off one end of a holding of the source."""
        surplus = self._loads[source] - self._fair_loads[source]
        room = self._fair_loads[target] - self._loads[target]
        wanted = min(surplus, room)
        if wanted <= 0:
            return None
        best: tuple[float, RangeAssignment, RangeMove] | None = None
        for item in self._ranges_by_owner[source]:
            for move in self._candidate_moves(item, wanted, target):
                load = self._distribution.load_between(move.first, move.last)
                gap = abs(load - wanted)
                if load < surplus + room and (best is None or gap < best[0]):
                    best = (gap, item, move)
        if best is None or best[0] >= wanted:
            return None
        self._apply_move(source, best[1], best[2])
        return best[2]

    def _candidate_moves(
        self, item: RangeAssignment, wanted: float, target: str
    ) -> list[RangeMove]:
        low, high = self._distribution.load_below(
            item.first
        ), self._distribution.load_below(item.last + 1)
        if high - low <= wanted:
            return [RangeMove(item.first, item.last, target)]
        below = min(
            max(self._distribution.hash_at(low + wanted), item.first + 1), item.last + 1
        )
        above = max(
            min(self._distribution.hash_at(high - wanted), item.last), item.first
        )
        return [
            RangeMove(item.first, below - 1, target),
            RangeMove(above, item.last, target),
        ]

    def _apply_move(self, source: str, item: RangeAssignment, move: RangeMove) -> None:
        load = self._distribution.load_between(move.first, move.last)
        self._loads[source] -= load
        self._loads[move.owner] += load
        ranges = self._ranges_by_owner[source]
        ranges.remove(item)
        if item.first < move.first:
            ranges.append(item._replace(last=move.first - 1))
        if move.last < item.last:
            ranges.append(item._replace(first=move.last + 1))


def plan_moves(
    assignments: Sequence[RangeAssignment],
    capacities: Mapping[str, float],
    distribution: LoadDistribution,
) -> list[RangeMove]:
    """Returns the moves that give each usable instance its share of the load."""
    return RebalancePlanner(assignments, capacities, distribution).plan()
