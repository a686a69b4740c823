"""An instance that ends as soon as it begins to run a request for a certain key."""

from __future__ import annotations

import os
import time

from echoing_instance import EchoingInstance

from standins.platform import instance
from standins.serving import Request, Response, now_ms

# The data of this key, 30000, ends each instance that reads it.
KEY = 30_000


class PoisonedKeyInstance(EchoingInstance):
    """An instance that a request for one key ends."""

    def _execute(self, request: Request, key: int | None) -> Response:
        with self._key_ranges.changed:
            is_held = key is not None and self._key_ranges.covers(key)
        if key == KEY and is_held:
            name = request.header("Request-Id")
            print(f"run {name} {time.time():.3f}", flush=True)
            print(f"ends {now_ms()}", flush=True)
            os._exit(1)
        return super()._execute(request, key)


if __name__ == "__main__":
    instance.Instance = PoisonedKeyInstance
    instance.main()
