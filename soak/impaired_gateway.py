"""Runs a gateway daemon whose links to instances a file impairs.

The file lies beside the settings, with the suffix `.links`. It holds a mode, as
described at `Mode`, and the addresses of the instances, in JSON; without it all links
work. Links to callers, the store and other daemons always work.

A loopback relay cannot do this: it accepts a connection before it can hang, and it does
not know which daemon connects.
"""

from __future__ import annotations

import enum
import functools
import json
import os
import socket
import sys
import time
from pathlib import Path

import urllib3.connection
import urllib3.util.connection

from skylarktrail.__main__ import main  # First, as it sets how SIGHUP is handled.
from skylarktrail.gateway import exchange

from .instance_links import SUFFIX

SLICE_S = 0.05


class Mode(enum.Enum):
    """State of the links to instances.

    Attributes:
        OPEN: They work.
        HANG: No byte passes, over open connections or new ones.
        RESET: Open connections are reset and new ones hang.
        REFUSE: Open connections work and new ones are refused.
    """

    OPEN = "open"
    HANG = "hang"
    RESET = "reset"
    REFUSE = "refuse"


class ImpairedLinks:
    """Reads the mode and applies it to connections."""

    def __init__(self, path: Path) -> None:
        self._path = path

    def mode(self, address: tuple[str, int]) -> Mode:
        """Returns the present mode of the link to an address."""
        try:
            document = json.loads(self._path.read_text())
        except (OSError, ValueError):
            return Mode.OPEN
        is_impaired = f"{address[0]}:{address[1]}" in document["addresses"]
        return Mode(document["mode"]) if is_impaired else Mode.OPEN

    def connect(self, connect, address, timeout=None, *args, **options):
        """Opens a connection unless the link is impaired."""
        mode = self.mode(address)
        if mode is Mode.OPEN:
            return connect(address, timeout, *args, **options)
        if mode is Mode.REFUSE:
            raise ConnectionRefusedError(111, "refused by the test")
        time.sleep(timeout if isinstance(timeout, (int, float)) else 1.0)
        raise TimeoutError("timed out by the test")

    def receive(self, receive, sock, *args):
        """Receives, or waits while the link hangs."""
        address = sock.getpeername()
        while self.mode(address) is Mode.HANG:
            exchange._set_timeout(sock, args[0]())
            time.sleep(SLICE_S)
        if self.mode(address) is Mode.RESET:
            raise ConnectionResetError(104, "reset by the test")
        return receive(sock, *args)

    def send_lease_call(self, send, connection, *args, **options):
        """Sends a grant or release unless open connections are impaired."""
        mode = self.mode((connection.host, connection.port))
        if mode in (Mode.HANG, Mode.RESET):
            time.sleep(SLICE_S)
            raise ConnectionResetError(104, "reset by the test")
        return send(connection, *args, **options)


def impair(links: ImpairedLinks) -> None:
    """Puts the links between the daemon and its sockets."""
    for module in (socket, urllib3.util.connection):
        module.create_connection = functools.partial(
            links.connect, module.create_connection
        )
    send = urllib3.connection.HTTPConnection.request
    urllib3.connection.HTTPConnection.request = (
        lambda connection, *args, **options: links.send_lease_call(
            send, connection, *args, **options
        )
    )
    exchange._receive = functools.partial(links.receive, exchange._receive)


if __name__ == "__main__":
    settings_path = Path(sys.argv[sys.argv.index("--settings") + 1])
    impair(ImpairedLinks(settings_path.with_suffix(SUFFIX)))
    status = main()
    sys.stdout.flush()
    os._exit(status)  # Like the daemon, without waiting for its threads.
