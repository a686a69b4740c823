"""The actor that sends grants to servers."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor

import pykka

from ..providers.interface import GrantClient
from .messages import GrantCompleted, GrantRequested

THREADS = 32


class GrantSender(pykka.ThreadingActor):
    """Sends each grant in a thread of its pool and reports the server's answer.

    Args:
        client: Client of the servers' grant address.
        controller: Receives `GrantCompleted`.
        timeout_ms: Timeout of one grant.
    """

    use_daemon_thread = True

    def __init__(
        self, client: GrantClient, controller: pykka.ActorRef, timeout_ms: float
    ) -> None:
        super().__init__()
        self._client = client
        self._controller = controller
        self._timeout_ms = timeout_ms
        self._threads = ThreadPoolExecutor(THREADS, "grant")

    def on_receive(self, message: GrantRequested) -> None:
        """Queues one grant for sending."""
        self._threads.submit(self._send, message)

    def on_stop(self) -> None:
        """Drops the grants that have not been sent yet."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _send(self, request: GrantRequested) -> None:
        grant = request.grant
        outcome = self._client.send(request.address, grant, self._timeout_ms)
        answer = outcome.ok_value if outcome.is_ok() else None
        self._controller.tell(
            GrantCompleted(request.server, grant.group, request.sent_ms, answer)
        )
