"""The project's stand-in of an instance, which can leave as NEWS.md says.

`POST /leave` with `{"exit_s": S}` lets it say `Server-Leaving: 1` in all its answers.
It keeps serving, and exits S seconds later, with the requests that run then. It never
reports `draining`: its entry is not renewed any more.
"""

from __future__ import annotations

import json
import os
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from standins.platform import instance as standin  # noqa: E402
from standins.serving import Request, Response, json_response  # noqa: E402

LEAVING = ("Server-Leaving", "1")


class LeavingInstance(standin.Instance):
    """An instance that can leave."""

    def __init__(self, arguments) -> None:
        super().__init__(arguments)
        self._is_leaving = False
        self.application.route("POST", "/leave")(self._handle_leave)

    def _handle_leave(self, request: Request) -> Response:
        exit_s = float(json.loads(request.body)["exit_s"])
        self._is_leaving = True
        self.controls["beats"] = False
        standin.print_line(f"leaves {time.time():.3f}")
        threading.Timer(exit_s, self._exit).start()
        return json_response({})

    @staticmethod
    def _exit() -> None:
        standin.print_line(f"exits {time.time():.3f}")
        os._exit(0)

    def _handle_request(self, request: Request) -> Response:
        name = request.header("Request-Id")
        standin.print_line(f"arrival {name} {time.time():.3f}")
        return super()._handle_request(request)

    def _make_response(self, status: int, body: bytes, headers=()) -> Response:
        response = super()._make_response(status, body, headers)
        if not self._is_leaving:
            return response
        return response._replace(headers=(*response.headers, LEAVING))


if __name__ == "__main__":
    standin.Instance = LeavingInstance
    standin.main()
