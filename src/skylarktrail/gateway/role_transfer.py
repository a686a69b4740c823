"""Offers the granter role to another daemon when this one cannot keep it."""

from __future__ import annotations

from typing import Callable, Sequence

from ..peer.gateway_messages import GatewayRoleOffer
from ..peer.messages import Message
from .event_log import EventLog
from .site_state import SiteState


class RoleTransfer:
    """Offers the role to the eligible daemons in turn.

    A granter that the store refuses, or that drains, still sends listings. Other
    daemons therefore regard it as alive and would not claim the role until its
    listings stop.

    Args:
        site: State of the site.
        eligible_daemons: Returns the daemons that may become granter.
        send: Sends a message to a daemon.
        log: Receives a line for each offer.
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
        """Offers the role to the next eligible daemon, if there is one.

        Args:
            why: Reason, for the log.
        """
        names = [name for name in self._eligible_daemons() if name != self._site.daemon]
        if not names:
            return
        term = self._site.shared.granter.term
        name = names[self._offer_count % len(names)]
        self._offer_count += 1
        self._send(name, GatewayRoleOffer(term))
        self._log.state("role_offered", to=name, term=term, why=why)
