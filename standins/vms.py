"""Stand-in for the platform's VM list, which is served with a lag."""

from __future__ import annotations

import argparse
import json
import threading
from typing import Any

from .serving import (
    Application,
    Controls,
    Request,
    Response,
    json_response,
    now_ms,
    serve,
)

THREAD_COUNT = 24


class LaggingList:
    """Timestamped versions of the VM list, so that a reader can lag behind."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._versions: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]

    def set(self, vms: list[dict[str, Any]]) -> None:
        """Sets the current list."""
        with self._lock:
            self._versions.append((now_ms(), vms))

    def list_at_lag(self, lag_ms: float) -> list[dict[str, Any]]:
        """Returns the list as it was `lag_ms` ago, and drops older versions."""
        sampled_at_ms = now_ms() - lag_ms
        with self._lock:
            while len(self._versions) > 1 and self._versions[1][0] <= sampled_at_ms:
                del self._versions[0]
            return self._versions[0][1]


def make_application(vms: LaggingList, lag_ms: float) -> Application:
    """Returns the HTTP application that serves the VM list.

    Controls:
        lag_ms: Lag of the served list.
        outage: Whether reads are refused.
    """
    application = Application()
    controls = Controls(application, lag_ms=lag_ms, outage=False)

    @application.route("GET", "/vms")
    def get(request: Request) -> Response:
        if controls["outage"]:
            return json_response({"reason": "outage"}, 503)
        return json_response({"vms": vms.list_at_lag(controls["lag_ms"])})

    @application.route("PUT", "/vms")
    def put(request: Request) -> Response:
        vms.set(json.loads(request.body)["vms"])
        return json_response({})

    return application


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True, help="HOST:PORT")
    parser.add_argument("--lag-ms", type=int, default=0)
    arguments = parser.parse_args()
    application = make_application(LaggingList(), arguments.lag_ms)
    serve(application, [arguments.address], THREAD_COUNT)


if __name__ == "__main__":
    main()
