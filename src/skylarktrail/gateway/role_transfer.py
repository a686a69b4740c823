"""Offers the granter's role to another daemon when this one cannot fill it."""

from __future__ import annotations

from typing import Callable, Sequence

from ..peer.messages import GatewayRoleOffer, Message
from .event_log import EventLog
from .site_state import SiteState


class RoleTransfer:
    """Asks fit daemons in turn to take the role.

    A granter that the store turns away, or that drains, is heard by all others, so
    nobody would take the role before its word has lapsed.

    Args:
        site: What is known of the site.
        fit_daemons: Returns the daemons that may take the role.
        send: Sends a message to a daemon.
        log: Gets a line for each offer.
    """

    def __init__(
        self,
        site: SiteState,
        eligible_daemons: Callable[[], Sequence[str]],
        send: Callable[[str, Message], None],
        log: EventLog,
    ) -> None:
        self._site = site
        self._eligible_daemons = eligible_daemons
        self._send = send
        self._log = log
        self._offer_count = 0

    def offer_role(self, why: str) -> None:
        """Asks the next daemon.

        Args:
            why: Cause for the log.
        """
        names = [name for name in self._eligible_daemons() if name != self._site.daemon]
        if not names:
            return
        term = self._site.shared.granter.term
        name = names[self._offer_count % len(names)]
        self._offer_count += 1
        self._send(name, GatewayRoleOffer(term))
        self._log.state("role_offered", to=name, term=term, why=why)
