"""Child processes of a driver, ended by their ids."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import threading
from contextlib import contextmanager
from pathlib import Path
from typing import Iterator

STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGALRM)
ROOT = Path(__file__).resolve().parent.parent


@contextmanager
def signals_held() -> Iterator[None]:
    """Holds signals that would raise until the block has ended."""
    if threading.current_thread() is not threading.main_thread():
        yield
        return
    held: list[int] = []
    handlers = {
        number: signal.signal(number, lambda number, frame: held.append(number))
        for number in STOP_SIGNALS
    }
    try:
        yield
    finally:
        for number, handler in handlers.items():
            signal.signal(number, handler)
        for number in held:
            signal.raise_signal(number)


class Process:
    """One Python module that runs as a process of its own.

    Args:
        name: Names the log file.
        module: Module to run.
        arguments: Its command line.
        directory: Where its output is written.
    """

    def __init__(
        self, name: str, module: str, arguments: list[str], directory: Path
    ) -> None:
        self.name = name
        self._command = [sys.executable, "-m", module, *arguments]
        self._output = directory / f"{name}.log"
        self._printed_before = 0
        self._child: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process."""
        # An exception between the fork and the assignment would lose the child.
        with self._output.open("ab") as output, signals_held():
            self._printed_before = output.tell()
            self._child = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=_environment(),
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )

    @property
    def pid(self) -> int:
        """The process id, 0 before the start."""
        return self._child.pid if self._child else 0

    @property
    def returncode(self) -> int | None:
        """The exit code, or None while it runs or before the start."""
        return self._child.poll() if self._child else None

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._child is not None and self._child.poll() is None

    @property
    def has_printed(self) -> bool:
        """Whether it has printed anything since its last start."""
        return self._output.stat().st_size > self._printed_before

    def send(self, number: signal.Signals) -> None:
        """Sends a signal if the process still runs."""
        if self.is_running:
            os.kill(self.pid, number)

    def kill(self) -> None:
        """Ends the process at once and collects it."""
        self.send(signal.SIGKILL)
        if self._child is not None:
            self._child.wait()

    def freeze(self) -> None:
        """Pauses the process."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets a paused process go on."""
        self.send(signal.SIGCONT)

    def wait(self, timeout_s: float) -> int:
        """Waits for the end of the process and returns its exit code.

        Raises:
            subprocess.TimeoutExpired: It still runs.
        """
        return self._child.wait(timeout_s) if self._child else 0

    def output(self) -> str:
        """Returns what the process has printed."""
        return self._output.read_text(errors="replace")


def kill_all(processes: list[Process]) -> None:
    """Ends every process at once; what they wrote stays."""
    with signals_held():
        for process in processes:
            process.send(signal.SIGKILL)
        for process in processes:
            process.kill()


def _environment() -> dict[str, str]:
    paths = [str(ROOT / "src"), str(ROOT)]
    return os.environ | {"PYTHONPATH": os.pathsep.join(paths)}
