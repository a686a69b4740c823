"""The actor that polls the platform's VM list."""

from __future__ import annotations

import time

import pykka

from ..providers.interface import VmListClient
from .messages import Poll, VmListRead

POLL_INTERVAL_MS = 500


class VmWatcher(pykka.ThreadingActor):
    """Polls the VM list and sends it to other actors.

    Args:
        client: Client of the VM list.
        listeners: Receive `VmListRead`.
    """

    use_daemon_thread = True

    def __init__(self, client: VmListClient, listeners: list[pykka.ActorRef]) -> None:
        super().__init__()
        self._client = client
        self._listeners = listeners

    def on_receive(self, message: Poll) -> None:
        """Reads the list once and schedules the next read."""
        outcome = self._client.fetch()
        if outcome.is_ok():
            for listener in self._listeners:
                listener.tell(VmListRead(outcome.ok_value))
        time.sleep(POLL_INTERVAL_MS / 1000)
        self.actor_ref.tell(Poll())
