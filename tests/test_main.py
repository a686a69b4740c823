"""Tests of the start of the daemon."""

from __future__ import annotations

import subprocess
import sys

# Stands for `skylarktrail.run`, whose import is the longest part of a start.
SCRIPT = """
import signal, sys, types
run = types.ModuleType("skylarktrail.run")
run.__getattr__ = lambda name: (signal.raise_signal(signal.SIGHUP), name)[1]
sys.modules["skylarktrail.run"] = run
import skylarktrail.__main__
print("alive")
"""


def test_a_request_to_reload_during_the_start_does_not_end_the_daemon():
    """Found by the soak, seed 305: SIGHUP while a killed daemon started again."""
    ended = subprocess.run(
        [sys.executable, "-c", SCRIPT], capture_output=True, text=True, timeout=60
    )
    assert ended.returncode == 0, ended.returncode
    assert ended.stdout == "alive\n"
