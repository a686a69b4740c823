"""The socket of an instance in trouble: passes calls on, or answers without end.

While its trouble lasts it answers each grant call, or other request, with bytes that
have no end, until the caller closes. All other calls, and all calls afterwards, reach
the instance.
"""

from __future__ import annotations

import argparse
import socket
import sys
import threading
import time

CHUNK_BYTES = 1 << 16
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
BODY_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"


class Front:
    """Accepts the connections of one instance."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self._arguments = arguments
        self._prefix = arguments.prefix.encode()
        self._lock = threading.Lock()
        self.endless_open = 0
        self.endless_total = 0

    def run(self) -> None:
        """Serves until the process ends."""
        host, _, port = self._arguments.address.rpartition(":")
        listener = socket.create_server((host, int(port)), backlog=256)
        threading.Thread(target=self._report, daemon=True).start()
        while True:
            caller, _ = listener.accept()
            threading.Thread(target=self._serve, args=(caller,), daemon=True).start()

    def is_troubled(self) -> bool:
        """Returns whether the trouble lasts, as the file that stands for it exists."""
        try:
            with open(self._arguments.trouble_file) as file:
                return file.read().strip() == "on"
        except OSError:
            return False

    def _report(self) -> None:
        while True:
            time.sleep(1.0)
            print(
                f"endless open={self.endless_open} total={self.endless_total}",
                flush=True,
            )

    def _serve(self, caller: socket.socket) -> None:
        host, _, port = self._arguments.target.rpartition(":")
        target: socket.socket | None = None
        try:
            caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while data := caller.recv(CHUNK_BYTES):
                if data.startswith(self._prefix) and self.is_troubled():
                    self._answer_without_end(caller)
                    return
                if target is None:
                    target = socket.create_connection((host, int(port)), 2.0)
                    target.settimeout(None)
                    target.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    args = (target, caller)
                    threading.Thread(target=_copy, args=args, daemon=True).start()
                target.sendall(data)
        except OSError:
            pass  # One side has closed.
        finally:
            _close(caller)
            if target is not None:
                _close(target)

    def _answer_without_end(self, caller: socket.socket) -> None:
        """Sends bytes until the caller closes the connection."""
        with self._lock:
            self.endless_open += 1
            self.endless_total += 1
        kind, pause_s = self._arguments.kind, self._arguments.pause_s
        try:
            if kind == "body":
                caller.sendall(BODY_HEAD)
            piece = {"interim": INTERIM, "body": b" "}[kind]
            piece *= self._arguments.repeat
            while True:
                caller.sendall(piece)
                time.sleep(pause_s)
        finally:
            with self._lock:
                self.endless_open -= 1


def _copy(source: socket.socket, target: socket.socket) -> None:
    try:
        while data := source.recv(CHUNK_BYTES):
            target.sendall(data)
    except OSError:
        pass  # One side has closed.
    _close(target)


def _close(item: socket.socket) -> None:
    try:
        item.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # It is closed already.
    item.close()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--target", required=True)
    parser.add_argument("--trouble-file", required=True)
    parser.add_argument("--kind", choices=("interim", "body"), required=True)
    parser.add_argument("--prefix", default="POST /api/grant ")
    parser.add_argument("--repeat", type=int, default=1000, help="pieces a send")
    parser.add_argument("--pause-s", type=float, default=0.0)
    Front(parser.parse_args()).run()


if __name__ == "__main__":
    sys.exit(main())
