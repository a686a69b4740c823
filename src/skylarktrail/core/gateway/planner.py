"""Plans moves of key ranges that balance the load of owners by their speed."""

from __future__ import annotations

import math
from typing import Mapping, NamedTuple, Sequence

from .key_load import LoadDistribution

# Load of an owner, relative to its fair load, above which moves begin.
REBALANCE_START_RATIO = 1.3
# An excess must be more than this many standard deviations of the sample.
DEVIATION_COUNT = 2.5
REBALANCE_STOP_RATIO = 1.1  # Moves are planned until no owner is above this.
# A hash with more load than this, relative to the largest fair load, is hot.
HOT_HASH_RATIO = 1.2
FASTER_OWNER_RATIO = 1.3  # Speed-up that justifies moving a hot hash.
UNDERLOAD_RATIO = 0.35  # Owners below this ratio of their fair load get more keys.
# Maximum number of moves per plan, and per instance if that allows more. While a range
# moves, its requests wait for the running ones to finish.
MAX_MOVE_COUNT = 12
MOVES_PER_INSTANCE_RATIO = 0.4
# Load of one piece of a lost owner's keys, relative to a fair load. Each piece costs a
# renewal per second, and pieces that are lost again are split again.
PIECE_LOAD_RATIO = 0.4


class RangeAssignment(NamedTuple):
    """A range of hashes and its owner.

    Attributes:
        first: First hash.
        last: Last hash, inclusive.
        owner: Identifier of the instance; empty for none.
    """

    first: int
    last: int
    owner: str


class RangeMove(NamedTuple):
    """A range of hashes and its new owner."""

    first: int
    last: int
    owner: str


class RebalancePlanner:
    """Plans moves for one state of assignments and load.

    The total load is 1. The fair load of an instance is its part of the total by speed.

    Args:
        assignments: Ranges that may move.
        capacities: Speed of each instance that may receive keys.
        distribution: Distribution of the load over the hashes.
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
        """Returns the moves, beginning with those of unassigned ranges."""
        if not self._ranges_by_owner:
            return []
        moves = self._assign_unassigned()
        if self._is_unbalanced():
            moves += self._move_hot_hash()
            moves += self._balance()
        return moves

    def _move_hot_hash(self) -> list[RangeMove]:
        """Moves a hash that alone overloads its owner to a much faster one.

        A single hash cannot be split. The fastest instance becomes its owner, and
        other ranges then move away from that instance.
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
        """Returns whether the imbalance of the load is statistically significant."""
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
        """Returns the load ratio of an owner above which moves begin.

        It is higher for small samples, whose imbalance may be random.
        """
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
        """Splits a range into pieces of about equal load."""
        load = self._distribution.load_between(item.first, item.last)
        load_ratio = load / min(self._fair_loads.values())
        piece_ratio = 1.0 if load_ratio > 2 else PIECE_LOAD_RATIO
        piece_count = max(1, math.ceil(load_ratio / piece_ratio - 0.01))
        base = self._distribution.load_below(item.first)
        cuts = [
            self._distribution.hash_at(base + load * number / piece_count)
            for number in range(1, piece_count)
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
        """Moves hashes from one end of a range of the source to the target.

        Returns:
            The move, or None if no move would reduce the imbalance.
        """
        surplus = self._loads[source] - self._fair_loads[source]
        room = self._fair_loads[target] - self._loads[target]
        wanted = min(surplus, room)
        if wanted <= 0:
            return None
        best: tuple[float, RangeAssignment, RangeMove] | None = None
        for item in self._ranges_by_owner[source]:
            for move in self._candidate_moves(item, wanted, target):
                load = self._distribution.load_between(move.first, move.last)
                difference = abs(load - wanted)
                if load < surplus + room and (best is None or difference < best[0]):
                    best = (difference, item, move)
        if best is None or best[0] >= wanted:
            return None
        self._apply_move(source, best[1], best[2])
        return best[2]

    def _candidate_moves(
        self, item: RangeAssignment, wanted: float, target: str
    ) -> list[RangeMove]:
        """Returns moves of the wanted load from either end of a range to the target.

        A range with less load than that moves as a whole.
        """
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
    """Returns moves that give each instance its share of the load.

    Args:
        assignments: Ranges that may move.
        capacities: Speed of each instance that may receive keys.
        distribution: Distribution of the load over the hashes.
    """
    return RebalancePlanner(assignments, capacities, distribution).plan()
