"""An instance that ends while it answers a certain request.

It begins to run the request, sends the head and the first part of the answer, and ends.
Its end closes the connection, so the answer is not complete.
"""

from __future__ import annotations

import os
import threading

from echoing_instance import EchoingInstance

from standins.platform import instance
from standins.serving import Request, Response, now_ms

# A request with this in its path ends the instance.
PATH = "/breaks"
# The first part of the answer is on its way when the process ends.
END_DELAY_S = 0.05


class BreakingInstance(EchoingInstance):
    """An instance that a request ends while it is being answered."""

    def _execute(self, request: Request, key: int | None) -> Response:
        response = super()._execute(request, key)
        if PATH not in request.path or response.status != 200:
            return response
        print(f"ends {now_ms()}", flush=True)
        threading.Timer(END_DELAY_S, lambda: os._exit(1)).start()
        return response._replace(is_truncated=True)


if __name__ == "__main__":
    instance.Instance = BreakingInstance
    instance.main()
