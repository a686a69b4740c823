"""Child processes that a driver starts, signals and ends."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import threading
import time
from contextlib import contextmanager
from pathlib import Path
from typing import Iterator

STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGALRM)
PROJECT_DIR = Path(__file__).resolve().parent.parent


@contextmanager
def defer_signals() -> Iterator[None]:
    """Defers the stop signals until the block has ended.

    Does nothing outside the main thread, which is the only one that gets signals.
    """
    if threading.current_thread() is not threading.main_thread():
        yield
        return
    pending_signals: list[int] = []
    handlers = {
        number: signal.signal(
            number, lambda number, frame: pending_signals.append(number)
        )
        for number in STOP_SIGNALS
    }
    try:
        yield
    finally:
        for number, handler in handlers.items():
            signal.signal(number, handler)
        for number in pending_signals:
            signal.raise_signal(number)


class Process:
    """One Python module that runs as a child process.

    Args:
        name: Name of the process and of its log file.
        module: Module to run.
        arguments: Command-line arguments.
        directory: Directory of the log file, which gets stdout and stderr.

    Attributes:
        module: Module to run from the next start on.
        source_dir: Directory of the package `skylarktrail` from the next start on.
        arguments: Command-line arguments.
        kill_times_ms: Times of CLOCK_MONOTONIC at which it was killed.
    """

    def __init__(
        self, name: str, module: str, arguments: list[str], directory: Path
    ) -> None:
        self.name = name
        self.module = module
        self.source_dir = PROJECT_DIR / "src"
        self.kill_times_ms: list[float] = []
        self.arguments = arguments
        self._output_path = directory / f"{name}.log"
        self._size_at_start = 0
        self._popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process."""
        # An exception between the fork and the assignment would lose the child.
        with self._output_path.open("ab") as output, defer_signals():
            self._size_at_start = output.tell()
            self._popen = subprocess.Popen(
                [sys.executable, "-m", self.module, *self.arguments],
                cwd=PROJECT_DIR,
                env=_environment(self.source_dir),
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )

    @property
    def pid(self) -> int:
        """Process id; 0 before the start."""
        return self._popen.pid if self._popen else 0

    @property
    def returncode(self) -> int | None:
        """Exit code; None while the process runs and before the start."""
        return self._popen.poll() if self._popen else None

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def has_printed(self) -> bool:
        """Whether the process has printed anything since its last start."""
        return self._output_path.stat().st_size > self._size_at_start

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process still runs."""
        if self.is_running:
            os.kill(self.pid, number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self.is_running:
            self.kill_times_ms.append(time.monotonic() * 1000)
        self.send_signal(signal.SIGKILL)
        if self._popen is not None:
            self._popen.wait()

    def freeze(self) -> None:
        """Pauses the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a paused process."""
        self.send_signal(signal.SIGCONT)

    def wait(self, timeout_s: float) -> int:
        """Waits for the end of the process and returns its exit code.

        Raises:
            subprocess.TimeoutExpired: The process did not end in time.
        """
        return self._popen.wait(timeout_s) if self._popen else 0

    def output(self) -> str:
        """Returns what the process has printed, over all its starts."""
        return self._output_path.read_text(errors="replace")


def kill_all(processes: list[Process]) -> None:
    """Kills all processes and waits for their end; their files remain."""
    with defer_signals():
        for process in processes:
            process.send_signal(signal.SIGKILL)
        for process in processes:
            process.kill()


def _environment(source_dir: Path) -> dict[str, str]:
    """Returns variables that put the sources before an installed package."""
    paths = [str(source_dir), str(PROJECT_DIR)]
    return os.environ | {"PYTHONPATH": os.pathsep.join(paths)}
