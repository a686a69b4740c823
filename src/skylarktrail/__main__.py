"""Runs the daemon as `python -m skylarktrail`."""

from __future__ import annotations

import os
import signal
import sys

# SIGHUP ends a process that has no handler yet, and imports take half a second. What a
# request to reload meets before that is read at the start anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from .run import main  # noqa: E402  The imports that take their time.

if __name__ == "__main__":
    status = main()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)  # Threads may wait for answers that nobody needs any more.
