"""Free ports on the loopback address."""

from __future__ import annotations

import random
import socket

HOST = "127.0.0.1"
# Below the kernel's range of ephemeral ports for outgoing connections.
FIRST_PORT = 10_000
LAST_PORT = 30_000


class Ports:
    """Allocates loopback addresses whose ports are free at that moment."""

    def __init__(self) -> None:
        self._random = random.SystemRandom()
        self._taken: set[int] = set()

    def address(self) -> str:
        """Returns a `host:port` that was not returned before."""
        while True:
            port = self._random.randrange(FIRST_PORT, LAST_PORT)
            if port not in self._taken and _is_free(port):
                self._taken.add(port)
                return f"{HOST}:{port}"


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
