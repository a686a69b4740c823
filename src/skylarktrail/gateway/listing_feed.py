"""Listing of the instances as the granter sends it, and as another daemon keeps it.

A daemon gets the changes since the position that it has reached, whoever sent it the
entries before: this granter, the former one or the store. Hundreds of daemons that all
need the whole listing would fill the granter's network link for seconds.
"""

from __future__ import annotations

from ..core.gateway.fleet import Fleet
from ..core.gateway.model import InstanceEntry
from ..core.gateway.positions import era_of, offset_of
from ..peer.gateway_messages import GatewayListing
from .site_store import Listing

# A report that crosses a whole listing on its way does not ask for another one.
WHOLE_LISTING_PAUSE_MS = 1000.0
MAX_REMOVED_COUNT = 1000  # Removed instances that are remembered.
NO_POSITION = -1


class ReceivedListing:
    """Entries that a daemon has read or received.

    Attributes:
        entries: Entries by instance.
        position: Offset in the store up to which they are complete; `NO_POSITION` if
            they are not.
        era: Era of the store that the offset belongs to.
    """

    def __init__(self) -> None:
        self.entries: dict[str, InstanceEntry] = {}
        self.position = NO_POSITION
        self.era = 0

    def replace(self, listing: Listing) -> None:
        """Replaces the entries by those of a read, unless it is older."""
        read_up_to = (era_of(listing.position), offset_of(listing.position))
        if read_up_to < (self.era, self.position):
            return
        self.entries = {entry.instance: entry for entry in listing.entries}
        self.era, self.position = read_up_to

    def apply(self, message: GatewayListing, era: int) -> bool:
        """Applies a message of the granter, whose offsets are of an era.

        Returns:
            False if it does not follow the entries; then they are incomplete.
        """
        if message.base >= 0:
            if era != self.era or self.position < message.base:
                self.position = NO_POSITION
                return False
        else:
            self.entries = {}
        for entry in message.entries:
            self.entries[entry.instance] = entry
        for name in message.removed_instances:
            self.entries.pop(name, None)
        self.position = message.position
        self.era = era
        return True


class ListingFeed:
    """Computes what the granter sends to each daemon.

    Attributes:
        shared: Position that this daemon reached in the shared records.
        operators: Position that it reached in the operators' records.
        era: Era of the store that the offsets belong to.
    """

    def __init__(self) -> None:
        self.shared = NO_POSITION
        self.operators = NO_POSITION
        self._term = 0
        self._clear(NO_POSITION, 0)

    def _clear(self, position: int, era: int) -> None:
        """Forgets all entries; changes are known from an offset on."""
        self.era = era
        self._position = position
        self._oldest_base = position
        self._first_base = NO_POSITION
        self._entries: dict[str, InstanceEntry] = {}
        self._changed_positions: dict[str, int] = {}
        self._removed_positions: dict[str, int] = {}
        self._sent_positions: dict[str, int] = {}
        self._whole_sent_ms: dict[str, float] = {}
        self._daemons_with_era: set[str] = set()
        self._changes: dict[int, GatewayListing] = {}

    def begin_term(self, term: int, received: ReceivedListing) -> None:
        """Continues from the entries of this daemon when its term begins.

        The other daemons have most likely received the same from the former granter.
        """
        if term == self._term:
            return
        self._term = term
        self._clear(received.position, received.era)
        self._first_base = received.position
        self._entries = dict(received.entries)
        self._changed_positions = dict.fromkeys(self._entries, received.position)

    @property
    def has_listing(self) -> bool:
        """Returns whether there is a listing to send."""
        return self._position >= 0

    def update(self, fleet: Fleet, position: int) -> None:
        """Records the entries after a read up to a position."""
        offset = offset_of(position)
        if era_of(position) != self.era or self._oldest_base < 0:
            self._clear(offset, era_of(position))
        self._changes.clear()
        self._position = offset
        current = {name: i.entry for name, i in fleet.instances.items()}
        for name, entry in current.items():
            known = self._entries.get(name)
            if known is None or _is_changed(known, entry):
                self._entries[name] = entry
                self._changed_positions[name] = offset
                self._removed_positions.pop(name, None)
        for name in set(self._entries) - set(current):
            del self._entries[name]
            del self._changed_positions[name]
            self._removed_positions[name] = offset
        if len(self._removed_positions) > MAX_REMOVED_COUNT:
            self._removed_positions.clear()
            self._oldest_base = offset

    def needs_era(self, daemon: str) -> bool:
        """Returns whether a daemon has to be told the era, and records that it was."""
        is_new = daemon not in self._daemons_with_era
        self._daemons_with_era.add(daemon)
        return is_new and self.era > 0

    def select_listing(self, daemon: str, now_ms: float) -> GatewayListing:
        """Returns the changes for a daemon, or all entries if these are not known."""
        base = self._sent_positions.get(daemon, self._first_base)
        if base < max(0, self._oldest_base):
            return self.make_whole_listing(daemon, now_ms)
        self._sent_positions[daemon] = self._position
        if base not in self._changes:
            self._changes[base] = self._make_changes(base)
        return self._changes[base]

    def make_whole_listing(self, daemon: str, now_ms: float) -> GatewayListing:
        """Returns a listing of all entries for a daemon."""
        self._sent_positions[daemon] = self._position
        self._whole_sent_ms[daemon] = now_ms
        return self._make_listing(NO_POSITION, tuple(self._entries.values()), ())

    def record_reported_position(
        self, daemon: str, position: int, now_ms: float
    ) -> bool:
        """Records the offset up to which a daemon says its entries are complete.

        Returns:
            Whether it needs all entries.
        """
        if position >= 0:
            self._sent_positions.setdefault(daemon, position)
            return False
        sent_ms = self._whole_sent_ms.get(daemon)
        if sent_ms is not None and now_ms - sent_ms < WHOLE_LISTING_PAUSE_MS:
            return False
        self._sent_positions[daemon] = NO_POSITION
        return True

    def _make_changes(self, base: int) -> GatewayListing:
        changed = tuple(
            self._entries[name]
            for name, position in self._changed_positions.items()
            if position > base
        )
        removed = tuple(
            name
            for name, position in self._removed_positions.items()
            if position > base
        )
        return self._make_listing(base, changed, removed)

    def _make_listing(
        self, base: int, entries: tuple[InstanceEntry, ...], removed: tuple[str, ...]
    ) -> GatewayListing:
        return GatewayListing(
            base,
            self._position,
            offset_of(self.shared),
            offset_of(self.operators),
            entries,
            removed,
        )


def _is_changed(before: InstanceEntry, after: InstanceEntry) -> bool:
    return before._replace(sequence=0) != after._replace(sequence=0)
