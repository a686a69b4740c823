"""The actor that polls health and load of the backends."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor

import pykka

from ..core.traffic.messages import LoadReport
from ..providers.interface import ReportClient
from .dispatch import Dispatcher
from .messages import Poll, VmListRead

POLL_INTERVAL_MS = 2_000
HEALTH_POLLS_PER_LOAD_POLL = 2
TIMEOUT_MS = 500
THREADS = 4


class ReportWatcher(pykka.ThreadingActor):
    """Polls the health of every backend, and its load less often.

    The traffic policy relies on the daemon's own measurements. A load report is only
    a hint that becomes stale, so it is read in every `HEALTH_POLLS_PER_LOAD_POLL`-th
    poll.

    Args:
        client: Client of the backends' control addresses.
        dispatcher: Receives health and load.
    """

    use_daemon_thread = True

    def __init__(self, client: ReportClient, dispatcher: Dispatcher) -> None:
        super().__init__()
        self._client = client
        self._dispatcher = dispatcher
        self._addresses: dict[str, str] = {}
        self._poll_number = 0
        self._threads = ThreadPoolExecutor(THREADS, "report")

    def on_receive(self, message: Poll | VmListRead) -> None:
        """Updates the list of backends, or polls each of them once."""
        if isinstance(message, VmListRead):
            self._addresses = {vm.id: vm.address for vm in message.vms if vm.service}
            return
        started_s = time.monotonic()
        self._poll_number += 1
        list(self._threads.map(self._poll_backend, list(self._addresses.items())))
        remaining_s = started_s + POLL_INTERVAL_MS / 1000 - time.monotonic()
        time.sleep(max(remaining_s, 0))
        self.actor_ref.tell(Poll())

    def on_stop(self) -> None:
        """Drops the reads that have not started."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _poll_backend(self, backend: tuple[str, str]) -> None:
        instance, address = backend
        health = self._client.fetch_health(address, TIMEOUT_MS)
        if health.is_ok():
            health_status = health.ok_value
            self._dispatcher.update_health(
                instance, health_status.ready, health_status.draining
            )
        if self._poll_number % HEALTH_POLLS_PER_LOAD_POLL:
            return
        load = self._client.fetch_load(address, TIMEOUT_MS)
        if load.is_ok():
            self._dispatcher.update_load(LoadReport(instance, *load.ok_value))
