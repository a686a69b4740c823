"""Tests that the demo ends on a stop signal and leaves no process behind."""

from __future__ import annotations

import signal

import psutil
import pytest

from demo.process import Process
from demo.run import EXIT_ABORTED

STOP_TIMEOUT_S = 20.0


@pytest.fixture
def demo(tmp_path):
    process = Process("demo", "demo.run", ["--build", str(tmp_path)], tmp_path)
    yield process
    process.kill()


def find_processes(directory):
    """Returns the processes whose command line names a directory."""
    found = []
    for process in psutil.process_iter(["cmdline"]):
        words = process.info["cmdline"] or []
        if any(str(directory) in word for word in words):
            found.append(process)
    return found


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
@pytest.mark.parametrize("children", [1, 12, 30])
def test_signal_ends_every_process(demo, tmp_path, number, children):
    demo.start()
    while demo.is_running and len(find_processes(tmp_path)) <= children:
        pass
    demo.send_signal(number)
    assert demo.wait(STOP_TIMEOUT_S) == EXIT_ABORTED
    assert number.name in demo.output()
    assert find_processes(tmp_path) == []
