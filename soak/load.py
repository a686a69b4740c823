"""Load on a site, with the checks that hold for all responses and owners of keys."""

from __future__ import annotations

import random
import threading
import time

from demo.gateway_site import REQUEST_KINDS, GatewaySite

from .checks import RequestRecord, check_response, find_shared_keys

CLIENT_COUNT = 6
REQUEST_INTERVAL_S = 0.02
KEEP_ALIVE_RATIO = 0.9  # Fraction of the requests whose connection may be used again.
HOLDER_CHECK_INTERVAL_S = 0.3


class SiteLoad:
    """Clients that send requests, and a check of the keys' holders, until stopped.

    Args:
        site: The site.

    Attributes:
        records: Requests and their responses.
        findings: Violated invariants.
        gateways: Names of the gateways that get requests; may be replaced at any time.
    """

    def __init__(self, site: GatewaySite) -> None:
        self._site = site
        self.records: list[RequestRecord] = []
        self.findings: list[str] = []
        self.gateways = sorted(site.gateways)
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._threads = [
            threading.Thread(target=self._send_requests, args=(index,), daemon=True)
            for index in range(CLIENT_COUNT)
        ]
        self._threads.append(
            threading.Thread(target=self._watch_key_holders, daemon=True)
        )

    def start(self) -> None:
        """Starts the clients and the check."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops the clients and the check, and waits for their last requests."""
        self.signal_stop()
        for thread in self._threads:
            thread.join()

    def signal_stop(self) -> None:
        """Stops the clients and the check, without waiting for them."""
        self._stopping.set()

    def _send_requests(self, client_index: int) -> None:
        """Sends requests as one client; most of them over kept-alive connections."""
        rng = random.Random(client_index)
        while not self._stopping.is_set():
            kind = rng.choice(REQUEST_KINDS)
            response = self._site.request(
                kind,
                rng.choice(self.gateways),
                keep_alive=rng.random() < KEEP_ALIVE_RATIO,
            )
            record = RequestRecord(kind, response)
            finding = check_response(record)
            with self._lock:
                self.records.append(record)
                self.findings += [finding] if finding else []
            time.sleep(REQUEST_INTERVAL_S)

    def _watch_key_holders(self) -> None:
        """Records keys that two instances hold in two consecutive samples.

        A single sample is not atomic: a key may move between its requests.
        """
        before: set[str] = set()
        while not self._stopping.wait(HOLDER_CHECK_INTERVAL_S):
            found = set(find_shared_keys(self._site.find_holders_by_key()))
            with self._lock:
                self.findings += sorted(found & before)
            before = found
