"""Listing of the instances as the granter sends it to the other daemons."""

from __future__ import annotations

from ..core.gateway.fleet import Fleet
from ..core.gateway.model import InstanceEntry
from ..core.gateway.positions import era_of, offset_of
from ..peer.gateway_messages import GatewayListing

# A report that crosses a whole listing on its way does not ask for another one.
WHOLE_LISTING_PAUSE_MS = 1000.0
NO_POSITION = -1


class ListingFeed:
    """Computes the change of the listing that the granter sends to each daemon.

    Entries may change without a new position, as they expire in the store. So only
    the change since the last message of this feed is sent to a daemon.

    Attributes:
        shared: Position that this daemon reached in the shared records.
        operators: Position that it reached in the operators' records.
    """

    def __init__(self) -> None:
        self._sent_entries: dict[str, InstanceEntry] = {}
        self._position = NO_POSITION
        self.shared = NO_POSITION
        self.operators = NO_POSITION
        self._sent_positions: dict[str, int] = {}
        self._whole_sent_ms: dict[str, float] = {}

    @property
    def has_listing(self) -> bool:
        """Returns whether there is a listing to send."""
        return self._position >= 0

    @property
    def era(self) -> int:
        """Returns the era of the last listing; 0 if the store names none."""
        return era_of(max(0, self._position))

    def make_change(self, fleet: Fleet, position: int) -> GatewayListing:
        """Records the entries after a read and returns the change since the last."""
        current = {name: i.entry for name, i in fleet.instances.items()}
        changed = [
            entry
            for name, entry in current.items()
            if name not in self._sent_entries
            or _is_changed(self._sent_entries[name], entry)
        ]
        removed = tuple(set(self._sent_entries) - set(current))
        if era_of(position) != self.era:
            self._sent_positions.clear()
        base, self._position = self._position, position
        for entry in changed:
            self._sent_entries[entry.instance] = entry
        for name in removed:
            del self._sent_entries[name]
        return self._make_listing(base, tuple(changed), removed)

    def select_listing(
        self, daemon: str, change: GatewayListing, now_ms: float
    ) -> GatewayListing:
        """Returns the change for a daemon, or all entries if it missed a change."""
        if self._sent_positions.get(daemon) != change.base or change.base < 0:
            return self.make_whole_listing(daemon, now_ms)
        self._sent_positions[daemon] = change.position
        return change

    def make_whole_listing(self, daemon: str, now_ms: float) -> GatewayListing:
        """Returns a listing of all entries for a daemon."""
        self._sent_positions[daemon] = offset_of(self._position)
        self._whole_sent_ms[daemon] = now_ms
        return self._make_listing(NO_POSITION, tuple(self._sent_entries.values()), ())

    def record_reported_position(
        self, daemon: str, position: int, now_ms: float
    ) -> bool:
        """Records the last position that a daemon reports.

        Returns:
            Whether it missed a change and needs all entries.
        """
        if position >= 0:
            return False
        sent_ms = self._whole_sent_ms.get(daemon)
        if sent_ms is not None and now_ms - sent_ms < WHOLE_LISTING_PAUSE_MS:
            return False
        self._sent_positions.pop(daemon, None)
        return True

    def _make_listing(
        self, base: int, entries: tuple[InstanceEntry, ...], removed: tuple[str, ...]
    ) -> GatewayListing:
        return GatewayListing(
            offset_of(base),
            offset_of(self._position),
            offset_of(self.shared),
            offset_of(self.operators),
            entries,
            removed,
        )


def _is_changed(before: InstanceEntry, after: InstanceEntry) -> bool:
    return before._replace(sequence=0) != after._replace(sequence=0)
