"""Ordinary clients: they keep connections, and send orders and reads."""

from __future__ import annotations

import http.client
import random
import threading
import time
from typing import NamedTuple

from deployment import HOST_NAME

DEADLINE_MS = 1500


class Sent(NamedTuple):
    """A request of an ordinary client and what came of it.

    Attributes:
        at_s: Unix time at which it was sent.
        request_id: Its id.
        path: Its path.
        daemon: Daemon that it was sent to.
        status: Status of the answer; 0 if there was none.
        detail: What ended the connection instead.
        is_kept: Whether the connection had carried an answered request before.
        took_ms: Time until the answer or its absence.
        headers: Header fields of the answer, names in lower case.
    """

    at_s: float
    request_id: str
    path: str
    daemon: str
    status: int
    detail: str
    is_kept: bool
    took_ms: float
    headers: dict[str, str]

    @property
    def answered_s(self) -> float:
        """Unix time of the answer or its absence."""
        return self.at_s + self.took_ms / 1000


class OrdinaryClients:
    """Clients that send one request after the other until they are stopped."""

    def __init__(
        self,
        addresses: dict[str, str],
        count: int,
        pause_s: float = 0.1,
        body: bytes = b"y" * 1200,
        prefix: str = "/order/",
    ) -> None:
        self._addresses = addresses
        self._pause_s = pause_s
        self._body = body
        self._prefix = prefix
        self._is_stopped = threading.Event()
        self._lock = threading.Lock()
        self.sent: list[Sent] = []
        names = sorted(addresses)
        self._threads = [
            threading.Thread(
                target=self._run, args=(names[i % len(names)], i), daemon=True
            )
            for i in range(count)
        ]

    def start(self) -> None:
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._is_stopped.set()
        for thread in self._threads:
            thread.join(5.0)

    def _run(self, daemon: str, number: int) -> None:
        rng = random.Random(number)
        host, _, port = self._addresses[daemon].rpartition(":")
        connection: http.client.HTTPConnection | None = None
        is_kept = False
        while not self._is_stopped.is_set():
            if connection is None:
                connection = http.client.HTTPConnection(host, int(port), timeout=3.0)
                is_kept = False
            name = f"{rng.getrandbits(64):016x}"
            at_s = time.time()
            status, detail, is_open, headers = self._send(connection, name)
            sent = Sent(
                at_s,
                name,
                f"{self._prefix}{number}",
                daemon,
                status,
                detail,
                is_kept,
                (time.time() - at_s) * 1000,
                headers,
            )
            with self._lock:
                self.sent.append(sent)
            if is_open:
                is_kept = True
            else:
                connection.close()
                connection = None
            self._is_stopped.wait(self._pause_s)

    def _send(
        self, connection: http.client.HTTPConnection, name: str
    ) -> tuple[int, str, bool, dict[str, str]]:
        headers = {
            "Host": HOST_NAME,
            "Request-Id": name,
            "Deadline-Ms": str(DEADLINE_MS),
        }
        try:
            connection.request("POST", f"{self._prefix}x", self._body, headers)
            response = connection.getresponse()
            response.read()
            fields = {k.lower(): v for k, v in response.getheaders()}
            return response.status, "", not response.will_close, fields
        except (OSError, http.client.HTTPException) as error:
            return 0, type(error).__name__, False, {}
