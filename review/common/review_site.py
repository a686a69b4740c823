"""A small site for the cases: the project's stand-ins, relays and daemons.

The daemons run with the command of the deploy file, `python3 -m skylarktrail`, from
what that file builds (`target/deps`), and with the settings that its template gives.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Any, Callable

PROJECT_DIR = Path(__file__).resolve().parents[2]
DEPS_DIR = PROJECT_DIR / "target" / "deps"
sys.path[:0] = [str(DEPS_DIR), str(PROJECT_DIR)]

from demo.gateway_site import REQUEST_KINDS, GatewaySite, RequestKind  # noqa: E402

STOCK, BOOKING = REQUEST_KINDS
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
KEY_STEP = 4099  # Every so many keys one is looked at.
# The other settings of the template `deploy/settings.json.template`.
DEPLOYED_SETTINGS = {
    "processors": [0.86, 1],
    "descriptors": 4100,
    "bounds": {
        "repeat_ratio": 0.2,
        "repeat_window_s": 10,
        "repeat_extra": 56,
        "grace_s": 6,
        "lease_max_ms": 10000,
    },
}


class Record:
    """The record of a run, `record.txt` in the folder of the case."""

    def __init__(self, directory: Path) -> None:
        self._file = (directory / "record.txt").open("w")
        self._lock = threading.Lock()
        self._started_s = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line with the time since the start."""
        with self._lock:
            at_s = time.monotonic() - self._started_s
            self._file.write(f"{at_s:8.3f} {text}\n")
            self._file.flush()


class RelaySite(GatewaySite):
    """A site whose instances are reached through relays, if it is told so.

    Args:
        directory: Directory for settings and output.
        use_relays: Whether a relay stands before each instance.
        relay_options: Further arguments of `relay.py`.
        options: Passed on to the project's site.
    """

    def __init__(
        self,
        directory: Path,
        use_relays: bool = False,
        relay_options: tuple[str, ...] = (),
        **options: Any,
    ) -> None:
        self._relay_arguments: list[str] = list(relay_options)
        self._use_relays = use_relays
        self._relays: subprocess.Popen | None = None
        super().__init__(directory, route=self._route_to_relay, **options)
        for name, settings in self.gateway_settings.items():
            settings.update(DEPLOYED_SETTINGS)
            settings["store"]["adapter"] = "platform"
            self.settings_path(name).write_text(json.dumps(settings))

    def _route_to_relay(self, source: str, target: str, address: str) -> str:
        if source != "gateways" or not self._use_relays:
            return address
        listen = self._ports.address()
        self._relay_arguments += ["--relay", f"{target},{listen},{address}"]
        return listen

    def _make_process(self, name: str, module: str, arguments: list[str]):
        process = super()._make_process(name, module, arguments)
        process.source_dir = DEPS_DIR
        return process

    def _start(self) -> None:
        if self._use_relays:
            path = str(Path(__file__).parent / "relay.py")
            self._relays = subprocess.Popen(
                [sys.executable, path, *self._relay_arguments],
                stdin=subprocess.PIPE,
                text=True,
                env=os.environ | {"PYTHONPATH": str(DEPS_DIR)},
                start_new_session=True,
            )
        super()._start()

    def set_mode(self, instance: str, mode: str) -> None:
        """Sets the mode of the relay before an instance."""
        assert self._relays is not None and self._relays.stdin is not None
        self._relays.stdin.write(f"mode {instance} {mode}\n")
        self._relays.stdin.flush()

    def __exit__(self, *arguments: object) -> None:
        if self._relays is not None:
            self._relays.kill()
            self._relays.wait()
        super().__exit__(*arguments)

    def pid(self, gateway: str) -> int:
        """Returns the process id of a daemon."""
        return self.gateways[gateway].pid

    def is_served(self, kinds: tuple[RequestKind, ...] = REQUEST_KINDS) -> bool:
        """Returns whether each daemon serves a sample of keys and other requests."""
        return all(
            self.request(kind, name, key).status == 200
            for kind in kinds
            for name in self.gateways
            for key in range(0, 1 << 16, KEY_STEP)
        )

    def wait_until_served(self, timeout_s: float = 30.0) -> None:
        """Waits until all is served.

        Raises:
            TimeoutError: It was not in time.
        """
        end_s = time.monotonic() + timeout_s
        while not self.is_served():
            if time.monotonic() > end_s:
                raise TimeoutError("the site does not serve")
            time.sleep(0.1)

    def find_granter(self) -> str:
        """Returns the name of the daemon that became granter last."""
        begins = self.events("granter_begins")
        return max(begins, key=lambda event: event["at"])["daemon"]


def record_runs(site: RelaySite, record: Record) -> dict[str, list[float]]:
    """Records and returns the times of the runs by request id, over all instances."""
    runs = site.read_run_times()
    for request_id, times in runs.items():
        record.write(f"run {request_id} {len(times)} times")
    return runs


def memory_mb(pid: int) -> float:
    """Returns the memory that a process has written to, without mapped files."""
    try:
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
    except OSError:
        pass  # The process has ended.
    return 0.0


def processor_s(pid: int) -> float:
    """Returns the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def run_case(
    case_dir: Path,
    run: Callable[[Record, Path, bool], bool],
    directory: Path,
    has_trouble: bool,
) -> int:
    """Runs a case; returns its exit status.

    Args:
        case_dir: Folder of the case.
        run: Runs it with or without the disruption; returns whether the rule held.
        directory: Temporary folder for settings and output.
        has_trouble: Whether to run it with the disruption.
    """
    # Ends the processes of the site, as the site is left by this exception.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    record = Record(case_dir)
    record.write(f"begins, {'with' if has_trouble else 'without'} the disruption")
    try:
        has_held = run(record, directory, has_trouble)
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        return EXIT_NOT_RUN
    record.write("the rule held" if has_held else "the rule is broken")
    return EXIT_HELD if has_held else EXIT_BROKEN
