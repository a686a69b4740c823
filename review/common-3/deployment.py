"""A small deployment as loopback processes, started as the deploy file says.

The daemons run `python3 -m skylarktrail --settings FILE` from the repository's root,
with the libraries and the package of `target/deps`. The store and the instances are the
project's own stand-ins.
"""

from __future__ import annotations

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.request
from pathlib import Path
from typing import Any, Callable

ROOT = Path(__file__).resolve().parents[2]
DEPS = ROOT / "target" / "deps"
HOST = "127.0.0.1"
HOST_NAME = "shop.example"
ZONES = ("heredia", "alajuela", "cartago")
MEMORY_MB = 300
MAX_FDS = 4100
START_TIMEOUT_S = 20.0
BOUNDS = {
    "repeat_ratio": 0.2,
    "repeat_window_s": 10,
    "repeat_extra": 56,
    "grace_s": 6,
    "lease_max_ms": 10000,
}


class CannotRun(Exception):
    """The case could not run, which says nothing about the rule."""


class Ports:
    """Free loopback ports below the kernel's range of outgoing connections."""

    def __init__(self) -> None:
        self._random = random.SystemRandom()
        self._taken: set[int] = set()

    def address(self) -> str:
        while True:
            port = self._random.randrange(10_000, 30_000)
            if port in self._taken:
                continue
            with socket.socket() as probe:
                try:
                    probe.bind((HOST, port))
                except OSError:
                    continue
            self._taken.add(port)
            return f"{HOST}:{port}"


class Process:
    """A child process in a group of its own, with its output in a file."""

    def __init__(self, name: str, arguments: list[str], directory: Path) -> None:
        self.name = name
        self.arguments = arguments
        self.output_path = directory / f"{name}.log"
        self.popen: subprocess.Popen | None = None

    def start(self) -> None:
        path = os.pathsep.join((str(DEPS), str(ROOT)))
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME")}
        environment |= {"PYTHONPATH": path, "LANG": "C.UTF-8"}
        with self.output_path.open("ab") as output:
            self.popen = subprocess.Popen(
                [sys.executable, *self.arguments],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )

    @property
    def pid(self) -> int:
        return self.popen.pid if self.popen else 0

    @property
    def is_running(self) -> bool:
        return self.popen is not None and self.popen.poll() is None

    def send_signal(self, number: int) -> None:
        if self.is_running:
            os.kill(self.pid, number)

    def kill(self) -> None:
        self.send_signal(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait()

    def output(self) -> str:
        if not self.output_path.exists():
            return ""
        return self.output_path.read_text(errors="replace")

    def resident_kb(self) -> int:
        """Returns the resident memory; 0 if the process has ended."""
        try:
            text = Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return 0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
        return 0


class Daemon(Process):
    """A gateway daemon; only its first start is the first one of the site."""

    def __init__(self, name: str, settings: dict[str, Any], directory: Path) -> None:
        self.settings = settings
        self.settings_path = directory / f"{name}.conf"
        arguments = ["-m", "skylarktrail", "--settings", str(self.settings_path)]
        super().__init__(name, arguments, directory)

    def start(self) -> None:
        self.settings_path.write_text(json.dumps(self.settings))
        self.settings.pop("first_start", None)
        super().start()

    @property
    def caller_address(self) -> str:
        return self.settings["caller_address"]

    @property
    def ready_address(self) -> str:
        return self.settings["ready_address"]


class Site:
    """The store, instances and daemons; a context manager that ends all of them.

    Args:
        daemons: Number of daemons.
        services: Number of instances of each service; `catalogo` is divided by key.
        instance_options: Further arguments of the instances.
        routes: Routes of the configuration; None for a read by key and an order.
        instance_program: Arguments of Python that start an instance.
        limits: Limits of the configuration; None for those of the pages' example.
        store_program: Arguments of Python that start the store.
        configuration_delay_s: How long after the start of the daemons the first
            configuration is written.
    """

    def __init__(
        self,
        daemons: int,
        services: dict[str, int],
        instance_options: tuple[str, ...] = (),
        routes: list[dict[str, Any]] | None = None,
        instance_program: tuple[str, ...] = ("-m", "standins.platform.instance"),
        limits: dict[str, Any] | None = None,
        store_program: tuple[str, ...] = ("-m", "standins.platform.store"),
        configuration_delay_s: float = 0.0,
    ) -> None:
        self.directory = Path(tempfile.mkdtemp(prefix="review-3-"))
        self.ports = Ports()
        self.routes = routes or default_routes()
        self.instance_program = instance_program
        self.configuration_delay_s = configuration_delay_s
        self.limits = limits or {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        self.services = services
        self.version = 0
        self.store_address = self.ports.address()
        self.store = Process(
            "store",
            [*store_program, "--address", self.store_address],
            self.directory,
        )
        self.instances: dict[str, Process] = {}
        self.instance_addresses: dict[str, str] = {}
        for service, count in services.items():
            for index in range(count):
                self._add_instance(service, index, instance_options)
        self.daemons: dict[str, Daemon] = {}
        for index in range(daemons):
            self._add_daemon(f"front-{index + 1}", ZONES[index % len(ZONES)])

    def store_address_for(self, daemon: str) -> str:
        """Returns the address at which a daemon reaches the store."""
        return self.store_address

    def _add_instance(self, service: str, index: int, options: tuple[str, ...]) -> None:
        name = f"i-{service}-{index + 1}"
        address = self.ports.address()
        self.instance_addresses[name] = address
        arguments = [*self.instance_program, "--name", name]
        arguments += ["--service", service, "--address", address]
        arguments += ["--zone", ZONES[index % len(ZONES)]]
        arguments += ["--store", self.store_address, *options]
        if service == "catalogo":
            arguments.append("--keyed")
        self.instances[name] = Process(name, arguments, self.directory)

    def _add_daemon(self, name: str, zone: str) -> None:
        settings = {
            "kind": "gateway",
            "daemon": name,
            "zone": zone,
            "caller_address": self.ports.address(),
            "ready_address": self.ports.address(),
            "peer_address": self.ports.address(),
            "forward_address": self.ports.address(),
            "processors": [0.86, 1],
            "descriptors": MAX_FDS,
            "memory_mb": MEMORY_MB,
            "first_start": True,
            "store": {"adapter": "platform", "address": self.store_address_for(name)},
            "bounds": BOUNDS,
        }
        self.daemons[name] = Daemon(name, settings, self.directory)

    def __enter__(self) -> Site:
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def _start(self) -> None:
        if not (DEPS / "skylarktrail").is_dir():
            raise CannotRun("target/deps is missing: run the build of the deploy file")
        self.store.start()
        self.wait_for(self.store_address, "/calls")
        if not self.configuration_delay_s:
            self.publish()
        for process in [*self.instances.values(), *self.daemons.values()]:
            process.start()
        if self.configuration_delay_s:
            time.sleep(self.configuration_delay_s)
            self.publish()
        for address in self.instance_addresses.values():
            self.wait_for(address, "/runs")
        for daemon in self.daemons.values():
            self.wait_for(daemon.ready_address, "/ready")

    def __exit__(self, *_: object) -> None:
        processes = [*self.daemons.values(), *self.instances.values(), self.store]
        for process in processes:
            process.send_signal(signal.SIGKILL)
        for process in processes:
            process.kill()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.directory, ignore_errors=True)

    def wait_for(self, address: str, path: str) -> None:
        end_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end_s:
            if self.get(address, path) is not None:
                return
            time.sleep(0.05)
        raise CannotRun(f"{address}{path} did not answer")

    @staticmethod
    def get(address: str, path: str, timeout_s: float = 1.0) -> bytes | None:
        try:
            with urllib.request.urlopen(
                f"http://{address}{path}", timeout=timeout_s
            ) as r:
                return r.read()
        except OSError:
            return None

    @staticmethod
    def post(address: str, path: str, value: Any) -> bytes | None:
        body = json.dumps(value).encode()
        request = urllib.request.Request(f"http://{address}{path}", body)
        try:
            with urllib.request.urlopen(request, timeout=2.0) as response:
                return response.read()
        except OSError:
            return None

    def put(self, topic: str, key: str, value: Any) -> None:
        self.post(
            self.store_address,
            "/operator/put",
            {"topic": topic, "key": key, "value": value},
        )

    def control(self, address: str, **values: Any) -> None:
        self.post(address, "/control", values)

    def set_zone_out(self, zone: str, is_out: bool) -> None:
        """Evacuates a zone, or takes it back."""
        self.put("keyed.op", f"evacuate/{zone}", {} if is_out else None)

    def publish(self) -> None:
        """Writes the next version of the configuration."""
        self.version += 1
        self.put(
            "keyed.op",
            "config",
            {
                "configVersion": f"{self.version:08x}",
                "services": [
                    {
                        "name": name,
                        "healthCheck": "/health",
                        "maxConnections": 110,
                        "sharded": name == "catalogo",
                        "coldStartS": 3.0,
                        "coldPerS": 11.0,
                    }
                    for name in self.services
                ],
                "limits": self.limits,
                "hosts": [{"hostname": HOST_NAME, "paths": self.routes}],
            },
        )

    def read_runs(self) -> dict[str, list[float]]:
        """Returns the times of the runs by request id, from the instances' output."""
        times: dict[str, list[float]] = {}
        for process in self.instances.values():
            for line in process.output().splitlines():
                words = line.split()
                if len(words) == 3 and words[0] == "run":
                    times.setdefault(words[1], []).append(float(words[2]))
        return times


def make_route(
    name: str, service: str, is_idempotent: bool, timeout_ms: int = 1500
) -> dict[str, Any]:
    """Returns a route whose prefix is its name."""
    return {
        "name": f"r-{name}",
        "pathPrefix": f"/{name}/",
        "routeType": "idempotent" if is_idempotent else "non_idempotent",
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 400,
        "priority": 1,
        "backend": service,
        "maxAttempts": 2,
    }


def run_case(main: Callable[[], int]) -> None:
    """Runs a case and exits with its result; with 2 after an error or a SIGTERM.

    An uncaught exception would end Python with 1, which means that the rule was broken.
    """

    def stop(*_: object) -> None:
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, stop)
    try:
        result = main()
    except Exception:
        traceback.print_exc()
        result = 2
    sys.exit(result)


def default_routes() -> list[dict[str, Any]]:
    """Returns a route for reads by key and one for orders."""
    return [
        make_route("stock", "catalogo", True),
        make_route("order", "pedidos", False),
    ]
