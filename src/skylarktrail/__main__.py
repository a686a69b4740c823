"""Runs the daemon as `python -m skylarktrail`."""

from __future__ import annotations

import os
import sys

from .run import main

if __name__ == "__main__":
    status = main()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)  # Threads may wait for answers that nobody needs any more.
