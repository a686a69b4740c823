"""Interface to the store that holds the shared state of a site."""

from __future__ import annotations

from typing import NamedTuple, Protocol, Sequence

from result import Result

from ..core.gateway.model import InstanceEntry, SiteConfig
from ..errors.code import Fault


class Listing(NamedTuple):
    """Entries of all instances.

    Attributes:
        entries: The valid entries.
        position: End of the log of entries when it was read; never decreases.
    """

    entries: list[InstanceEntry]
    position: int


class OperatorUpdate(NamedTuple):
    """Configuration and zone evacuations that operators have published.

    Attributes:
        config: Newest configuration of the update, if it contains one.
        zones: Zones that were evacuated (True) or restored (False).
        is_snapshot: Whether zones that are not named are not evacuated.
        position: Position of the next read.
        records: Keys and values from which the update was decoded.
        faults: Faults of records that are malformed and change nothing.
        has_more: Whether the log went on behind the position.
    """

    config: SiteConfig | None
    zones: dict[str, bool]
    is_snapshot: bool
    position: int
    records: tuple[tuple[str, bytes], ...] = ()
    faults: tuple[Fault, ...] = ()
    has_more: bool = False


class SharedUpdate(NamedTuple):
    """Records that the daemons share.

    Attributes:
        records: Keys and values in order; an empty value deletes the key.
        is_snapshot: Whether keys that are not named do not exist.
        position: Position of the next read.
        has_more: Whether the log went on behind the position.
    """

    records: list[tuple[str, bytes]]
    is_snapshot: bool
    position: int
    has_more: bool = False


class SiteStore(Protocol):
    """Client of the store, for use by one thread.

    No call is retried by the client. A position of None reads a snapshot, otherwise
    reads return the records from that position on.
    """

    def read_instances(self) -> Result[Listing, Fault]:
        """Reads the entries of all instances."""

    def read_operators(
        self, position: int | None, wait_ms: int
    ) -> Result[OperatorUpdate, Fault]:
        """Reads the operators' records, waiting up to `wait_ms` for new ones."""

    def decode_operators(
        self, records: Sequence[tuple[str, bytes]], position: int
    ) -> Result[OperatorUpdate, Fault]:
        """Decodes operators' records that another daemon read up to a position."""

    def read_shared(
        self, position: int | None, wait_ms: int
    ) -> Result[SharedUpdate, Fault]:
        """Reads the daemons' records, waiting up to `wait_ms` for new ones."""

    def share(self, key: str, value: bytes, position: int | None) -> Result[int, Fault]:
        """Appends a record to the daemons' records.

        Args:
            key: Key of the record.
            value: Value of the record.
            position: If given, the write applies only if the log ends there.

        Returns:
            The position after the record.
        """

    def share_all(self, records: Sequence[tuple[str, bytes]]) -> Result[int, Fault]:
        """Appends records to the daemons' records, all or none.

        Args:
            records: Keys and values.

        Returns:
            The position after the last record.
        """

    def renew_candidacy(self, daemon: str, ttl_ms: int) -> Result[bool, Fault]:
        """Renews a candidacy for the granter role.

        Args:
            daemon: Name of the candidate.
            ttl_ms: Time after which the candidacy expires if it is not renewed.

        Returns:
            Whether the store has chosen this candidate.
        """

    def withdraw_candidacy(self, daemon: str) -> Result[bytes, Fault]:
        """Withdraws a candidacy, so that another daemon is chosen at once."""
