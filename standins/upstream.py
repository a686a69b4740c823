"""Stand-in for a stateless upstream that starts cold and can be overloaded."""

from __future__ import annotations

import argparse
import threading

from .backend import Backend, add_arguments
from .serving import Request, Response, json_response, now_ms, serve

OVERLOAD_DURATION_MS = 2_000


class ColdStart:
    """Limits an upstream to few requests in flight while it is cold.

    A request beyond the limit overloads the upstream: it accepts nothing for
    `OVERLOAD_DURATION_MS`.

    Args:
        cold_limit: Maximum number of requests in flight while cold.
        cold_ms: Time that the upstream stays cold.
    """

    def __init__(self, cold_limit: int, cold_ms: float) -> None:
        self._cold_limit = cold_limit
        self._cold_ms = cold_ms
        self._lock = threading.Lock()
        self._overloaded_until_ms = 0.0
        self._cold_until_ms = 0.0
        self.overloads = 0
        self.restart()

    def restart(self) -> None:
        """Makes the upstream cold again."""
        self._cold_until_ms = now_ms() + self._cold_ms

    def try_accept(self, in_flight: int) -> bool:
        """Returns whether one more request is accepted.

        Records an overload if a cold upstream exceeds its limit.
        """
        with self._lock:
            clock_ms = now_ms()
            if clock_ms < self._overloaded_until_ms:
                return False
            if clock_ms >= self._cold_until_ms or in_flight < self._cold_limit:
                return True
            self.overloads += 1
            self._overloaded_until_ms = clock_ms + OVERLOAD_DURATION_MS
            return False


class Upstream:
    """A backend whose load is limited while it is cold."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self.cold_start = ColdStart(arguments.cold_limit, arguments.cold_ms)
        self.backend = Backend(arguments, _accept_all, self.cold_start.try_accept)
        route = self.backend.application.route
        route("POST", "/cold")(self._handle_cold)
        route("GET", "/overloads")(self._handle_overloads)

    def _handle_cold(self, request: Request) -> Response:
        self.cold_start.restart()
        return json_response({})

    def _handle_overloads(self, request: Request) -> Response:
        return json_response({"overloads": self.cold_start.overloads})


def _accept_all(request: Request) -> Response | None:
    return None


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    add_arguments(parser)
    parser.add_argument("--cold-limit", type=int, default=1)
    parser.add_argument("--cold-ms", type=int, default=5_000)
    arguments = parser.parse_args()
    backend = Upstream(arguments).backend
    serve(backend.application, [arguments.address], backend.threads())


if __name__ == "__main__":
    main()
