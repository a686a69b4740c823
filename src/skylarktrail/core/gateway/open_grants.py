"""Reports to a new granter which grants of former granters may still take effect."""

from __future__ import annotations

from typing import Mapping, NamedTuple, Sequence

from .granter import Granter
from .lease_calls import OpenGrant

# Leases of a term have expired this long after its end.
KEEP_MS = 20_000.0


class OpenGrantReport(NamedTuple):
    """A range for which a grant may still take effect after a release.

    Attributes:
        service: Name of the service.
        instance: Instance that the grant was sent to.
        first: First hash.
        last: Last hash, inclusive.
    """

    service: str
    instance: str
    first: int
    last: int


class _EndedTerm(NamedTuple):
    granters: Mapping[str, Granter]
    ended_ms: float


class EndedTerms:
    """Granters of the ended terms of this process, whose leases may still last."""

    def __init__(self) -> None:
        self._terms: list[_EndedTerm] = []

    def add(self, granters: Mapping[str, Granter], now_ms: float) -> None:
        """Keeps the granters, by service, of a term that has ended."""
        kept = [item for item in self._terms if item.ended_ms + KEEP_MS > now_ms]
        self._terms = [*kept, _EndedTerm(granters, now_ms)]

    def make_reports(
        self, present: Mapping[str, Granter], now_ms: float
    ) -> tuple[OpenGrantReport, ...]:
        """Returns the open grants of the present and the ended terms.

        Args:
            present: Granters of the present term by service.
            now_ms: Present time.
        """
        terms = [present, *(item.granters for item in self._terms)]
        return tuple(
            OpenGrantReport(service, *grant)
            for granters in terms
            for service, granter in granters.items()
            for grant in granter.open_grants(now_ms)
        )


def select_open_grants(
    reports: Sequence[OpenGrantReport], service: str
) -> list[OpenGrant]:
    """Returns the open grants of one service."""
    return [OpenGrant(*item[1:]) for item in reports if item.service == service]
