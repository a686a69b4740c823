"""Plans which key ranges move, so that owners carry load by their speed."""

from __future__ import annotations

import math
from typing import Mapping, NamedTuple, Sequence

from .key_load import LoadDistribution

START_RATIO = 1.3  # Moves begin above this part of an owner's fair load.
DEVIATIONS = 2.5  # An excess has to be more than this many standard deviations.
STOP_RATIO = 1.1  # Moves go on until no owner is above this.
HOT_RATIO = 1.2  # A single hash above this part of any fair load is hot.
FASTER_RATIO = 1.3  # A hot hash moves to an owner this much faster.
IDLE_RATIO = 0.35  # An instance below this part of its fair load gets more.
MAX_MOVES = 12  # Each move keeps its keys waiting for the work that runs on them.
MOVES_RATIO = 0.4  # Moves for each instance, where this is more.
# Part of a fair load in one piece of a lost owner's keys. Each piece costs a renewal a
# second, and pieces that are lost again would be cut again.
PIECE_RATIO = 0.4


class Holding(NamedTuple):
    """Hashes of one owner.

    Attributes:
        first: First hash.
        last: Last hash, inclusive.
        owner: Identifier of the instance, empty while there is none.
    """

    first: int
    last: int
    owner: str


class Move(NamedTuple):
    """Hashes that get another owner."""

    first: int
    last: int
    owner: str


class Planner:
    """One round of planning.

    Args:
        holdings: Hashes that may move; together with those that may not, all hashes.
        capacities: Speed of each instance that may own keys.
        distribution: How the load is spread.
    """

    def __init__(
        self,
        holdings: Sequence[Holding],
        capacities: Mapping[str, float],
        distribution: LoadDistribution,
    ) -> None:
        self._distribution = distribution
        total = sum(capacities.values()) or 1.0
        self._fair = {name: speed / total for name, speed in capacities.items()}
        self._held: dict[str, list[Holding]] = {name: [] for name in capacities}
        self._orphans: list[Holding] = []
        for item in holdings:
            self._held.get(item.owner, self._orphans).append(item)
        self._load = {
            name: sum(
                self._distribution.load_between(item.first, item.last) for item in items
            )
            for name, items in self._held.items()
        }

    def plan(self) -> list[Move]:
        """Returns the moves, those of keys without a usable owner first."""
        if not self._held:
            return []
        moves = self._place_orphans()
        if self._is_uneven():
            moves += self._place_hot_hashes()
            moves += self._even_out()
        return moves

    def _place_hot_hashes(self) -> list[Move]:
        """Moves a hash that alone overloads its owner to a much faster one.

        Load pattern: one key gets more than an instance can do. It cannot be cut, so it
        gets the fastest owner, from which other hashes then move away.
        """
        fastest = max(self._fair, key=self._fair.__getitem__)
        limit = HOT_RATIO * self._fair[fastest]
        for name, items in self._held.items():
            if self._fair[fastest] < FASTER_RATIO * self._fair[name]:
                continue
            for item in items:
                load = self._distribution.load_between(item.first, item.last)
                if item.first == item.last and load > limit:
                    move = Move(item.first, item.last, fastest)
                    self._apply(name, item, move)
                    return [move]
        return []

    def _is_uneven(self) -> bool:
        """Tells whether the load differs by more than chance explains."""
        if min(self._ratio(name) for name in self._held) < IDLE_RATIO:
            return True
        return any(self._ratio(name) > self._start_ratio(name) for name in self._held)

    def _start_ratio(self, name: str) -> float:
        samples = max(1.0, self._distribution.samples * self._fair[name])
        return max(START_RATIO, 1 + DEVIATIONS / math.sqrt(samples))

    def _ratio(self, name: str) -> float:
        return self._load[name] / self._fair[name]

    def _place_orphans(self) -> list[Move]:
        moves = []
        for item in self._orphans:
            for first, last in self._cut(item):
                name = min(self._held, key=self._ratio)
                self._load[name] += self._distribution.load_between(first, last)
                moves.append(Move(first, last, name))
        return moves

    def _cut(self, item: Holding) -> list[tuple[int, int]]:
        """Cuts hashes into pieces of about the same load."""
        load = self._distribution.load_between(item.first, item.last)
        shares = load / min(self._fair.values())
        piece_shares = 1.0 if shares > 2 else PIECE_RATIO
        pieces = max(1, math.ceil(shares / piece_shares - 0.01))
        base = self._distribution.load_below(item.first)
        cuts = [
            self._distribution.hash_at(base + load * number / pieces)
            for number in range(1, pieces)
        ]
        edges = [item.first, *cuts, item.last + 1]
        pairs = zip(edges, edges[1:])
        return [(low, high - 1) for low, high in pairs if low < high <= item.last + 1]

    def _even_out(self) -> list[Move]:
        moves: list[Move] = []
        limit = max(MAX_MOVES, int(MOVES_RATIO * len(self._held)))
        while len(moves) < limit:
            source = max(self._held, key=self._ratio)
            target = min(self._held, key=self._ratio)
            is_even = self._ratio(source) <= STOP_RATIO
            if is_even and self._ratio(target) >= IDLE_RATIO:
                break
            move = self._shift(source, target)
            if move is None:
                break
            moves.append(move)
        return moves

    def _shift(self, source: str, target: str) -> Move | None:
        """Takes hashes off one end of a holding of the source."""
        surplus = self._load[source] - self._fair[source]
        room = self._fair[target] - self._load[target]
        wanted = min(surplus, room)
        if wanted <= 0:
            return None
        best: tuple[float, Holding, Move] | None = None
        for item in self._held[source]:
            for move in self._ends(item, wanted, target):
                load = self._distribution.load_between(move.first, move.last)
                gap = abs(load - wanted)
                if load < surplus + room and (best is None or gap < best[0]):
                    best = (gap, item, move)
        if best is None or best[0] >= wanted:
            return None
        self._apply(source, best[1], best[2])
        return best[2]

    def _ends(self, item: Holding, wanted: float, target: str) -> list[Move]:
        low, high = self._distribution.load_below(
            item.first
        ), self._distribution.load_below(item.last + 1)
        if high - low <= wanted:
            return [Move(item.first, item.last, target)]
        below = min(
            max(self._distribution.hash_at(low + wanted), item.first + 1), item.last + 1
        )
        above = max(
            min(self._distribution.hash_at(high - wanted), item.last), item.first
        )
        return [
            Move(item.first, below - 1, target),
            Move(above, item.last, target),
        ]

    def _apply(self, source: str, item: Holding, move: Move) -> None:
        load = self._distribution.load_between(move.first, move.last)
        self._load[source] -= load
        self._load[move.owner] += load
        held = self._held[source]
        held.remove(item)
        if item.first < move.first:
            held.append(item._replace(last=move.first - 1))
        if move.last < item.last:
            held.append(item._replace(first=move.last + 1))


def plan_moves(
    holdings: Sequence[Holding],
    capacities: Mapping[str, float],
    distribution: LoadDistribution,
) -> list[Move]:
    """Returns the moves that give each usable instance its share of the load."""
    return Planner(holdings, capacities, distribution).plan()
