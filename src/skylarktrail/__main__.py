"""Runs the daemon as `python -m skylarktrail`."""

from __future__ import annotations

import os
import signal
import sys

# SIGHUP terminates a process without a handler, and the imports below take half a
# second. A reload requested in that time is not lost: the settings are read afterwards.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from .run import main  # noqa: E402  Slow import, see above.

if __name__ == "__main__":
    status = main()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)  # Does not wait for threads that still wait for responses.
