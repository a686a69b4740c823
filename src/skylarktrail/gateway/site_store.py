"""What the gateway asks of the store that holds a site's shared state."""

from __future__ import annotations

from typing import NamedTuple, Protocol, Sequence

from result import Result

from ..core.gateway.model import InstanceEntry, SiteConfig
from ..errors.code import Fault


class Listing(NamedTuple):
    """Entries of all instances.

    Attributes:
        entries: The usable entries.
        position: Where the log of entries ended; grows.
    """

    entries: list[InstanceEntry]
    position: int


class OperatorUpdate(NamedTuple):
    """What the operators want.

    Attributes:
        config: Newest configuration of the update, if there is one.
        zones: Zones taken out (True) or back (False).
        is_whole: Whether zones that are not named are in.
        position: Where to read on.
        records: Keys and values from which it was decoded.
    """

    config: SiteConfig | None
    zones: dict[str, bool]
    is_snapshot: bool
    position: int
    records: tuple[tuple[str, bytes], ...] = ()


class SharedUpdate(NamedTuple):
    """Records of the daemons themselves.

    Attributes:
        records: Keys and values in order; an empty value drops the key.
        is_whole: Whether keys that are not named do not exist.
        position: Where to read on.
    """

    records: list[tuple[str, bytes]]
    is_snapshot: bool
    position: int


class SiteStore(Protocol):
    """The store. One instance serves one thread; a call is never repeated."""

    def read_instances(self) -> Result[Listing, Fault]:
        """Reads the entries of all instances."""

    def read_operators(
        self, position: int | None, wait_ms: int
    ) -> Result[OperatorUpdate, Fault]:
        """Reads what the operators want, from a position on or as a whole."""

    def decode_operators(
        self, records: Sequence[tuple[str, bytes]], position: int
    ) -> Result[OperatorUpdate, Fault]:
        """Decodes operators' records up to a position that another daemon has read."""

    def read_shared(
        self, position: int | None, wait_ms: int
    ) -> Result[SharedUpdate, Fault]:
        """Reads the daemons' records, from a position on or as a whole."""

    def share(self, key: str, value: bytes, position: int | None) -> Result[int, Fault]:
        """Writes a record, if given only where the log ends at a position."""

    def renew_candidacy(self, daemon: str, ttl_ms: int) -> Result[bool, Fault]:
        """Stands for granter; tells whether this daemon is to take the role."""

    def withdraw_candidacy(self, daemon: str) -> Result[bytes, Fault]:
        """Stops standing for granter."""
