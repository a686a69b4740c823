"""Store of the simulated site: the daemons' log, instances' entries and candidates."""

from __future__ import annotations

from typing import Callable, NamedTuple

from skylarktrail.core.gateway.model import InstanceEntry
from skylarktrail.core.gateway.positions import era_of, make_position, offset_of

SNAPSHOT = -1  # Position of a reader that has read nothing.
TRIMMED = "trimmed"  # Result of a read from a position after the end of the log.


class SharedRead(NamedTuple):
    """Result of a read of the daemons' records.

    Attributes:
        records: Keys and values in order; for a snapshot, the newest of each key.
        is_snapshot: Whether keys that are not named do not exist.
        position: Position of the next read.
        has_more: Whether the log went on behind the position.
    """

    records: list[tuple[str, bytes]]
    is_snapshot: bool
    position: int
    has_more: bool = False


class HeldWrite(NamedTuple):
    """A conditional write that gets no answer and is executed in a later era.

    Attributes:
        key: Key of the record.
        value: Value of the record.
        position: The write applies only if the log ends at the offset of it.
    """

    key: str
    value: bytes
    position: int


class SimulatedStore:
    """Log of the daemons' records with conditional appends, entries and candidates.

    As in the platform's store, a condition is an offset, which means another record in
    each era.

    Attributes:
        records: Keys and values of the log.
        held_write: A write that is executed as soon as its condition holds in a later
            era; None if there is none.
        entries: Entries of the instances by identifier.
        listing_position: Increases with each change of the entries.
        era: Increases when the store comes back from an older copy.

    Args:
        era: The first era.
    """

    def __init__(self, era: int = 1) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.held_write: HeldWrite | None = None
        self.entries: dict[str, InstanceEntry] = {}
        self.listing_position = 0
        self.era = era
        self._candidates: dict[str, float] = {}
        self._waiting: list[Callable[[], None]] = []

    @property
    def position(self) -> int:
        """Returns the position after the last record."""
        return make_position(self.era, len(self.records))

    def append(self, key: str, value: bytes, position: int | None) -> int | None:
        """Appends a record.

        Args:
            key: Key of the record.
            value: Value of the record.
            position: If given, the write applies only if the log ends there.

        Returns:
            The position after the record; None if the condition does not hold.
        """
        if position is not None and offset_of(position) != len(self.records):
            return None
        self.records.append((key, value))
        end = self.position
        self._execute_held_write()
        waiting, self._waiting = self._waiting, []
        for wake in waiting:
            wake()
        return end

    def _execute_held_write(self) -> None:
        """Executes the held write if its condition holds in a later era."""
        write = self.held_write
        if write is None or era_of(write.position) == self.era:
            return
        if offset_of(write.position) == len(self.records):
            self.records.append((write.key, write.value))
            self.held_write = None

    def read(self, position: int) -> SharedRead | str:
        """Returns the records from a position on, or the newest of each key."""
        if position == SNAPSHOT:
            newest = dict(self.records)
            return SharedRead(list(newest.items()), True, self.position)
        if era_of(position) != self.era:
            return TRIMMED
        return SharedRead(self.records[offset_of(position) :], False, self.position)

    def wait_for_records(self, wake: Callable[[], None]) -> None:
        """Calls back at the next append."""
        self._waiting.append(wake)

    def write_entry(self, entry: InstanceEntry) -> None:
        """Writes the entry of an instance."""
        self.entries[entry.instance] = entry
        self.listing_position += 1

    def remove_entry(self, name: str) -> None:
        """Removes the entry of an instance, as if it expired."""
        if self.entries.pop(name, None):
            self.listing_position += 1

    def renew_candidacy(self, daemon: str, end_ms: float, now_ms: float) -> bool:
        """Renews a candidacy; returns whether the store has chosen the candidate."""
        valid = {name: end for name, end in self._candidates.items() if end > now_ms}
        valid[daemon] = end_ms
        self._candidates = valid
        return next(iter(valid)) == daemon

    def restore(self, position: int) -> None:
        """Returns to an older copy, whose log ends at a position."""
        del self.records[position:]
        self.era += 1
        self._candidates.clear()
        self._execute_held_write()
