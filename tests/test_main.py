"""Tests of the start of the daemon."""

from __future__ import annotations

import subprocess
import sys

# Replaces `skylarktrail.run`, whose import takes most of the start, by a module that
# raises SIGHUP while it is imported from.
START_WITH_SIGHUP = """
import signal, sys, types
run = types.ModuleType("skylarktrail.run")
run.__getattr__ = lambda name: (signal.raise_signal(signal.SIGHUP), name)[1]
sys.modules["skylarktrail.run"] = run
import skylarktrail.__main__
print("alive")
"""


def test_sighup_during_the_start_does_not_terminate_the_daemon():
    """Soak seed 305: SIGHUP terminated a killed daemon while it started again."""
    completed = subprocess.run(
        [sys.executable, "-c", START_WITH_SIGHUP],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert completed.returncode == 0, completed.returncode
    assert completed.stdout == "alive\n"
