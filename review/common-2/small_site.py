"""A small site on loopback: the store, instances, gateway daemons and a client.

All programs run as separate processes. The daemons are started with the command of the
deploy file. Their libraries, and those of the project's stand-ins, come from
`target/deps`, which `fleetbench build` fills.
"""

from __future__ import annotations

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parents[2]
INSTANCE = Path(__file__).resolve().parent / "echoing_instance.py"
HOST = "127.0.0.1"
HOSTNAME = "shop.example"
HASH_COUNT = 1 << 16
START_TIMEOUT_S = 20.0
POLL_S = 0.05
ZONES = ("heredia", "alajuela", "cartago")


def now_s() -> float:
    """Returns the monotonic time in seconds."""
    return time.monotonic()


class CannotRun(Exception):
    """The case could not be run, so nothing is shown."""


class Ports:
    """Allocates loopback ports that are free, below the ephemeral ones."""

    def __init__(self) -> None:
        self._taken: set[int] = set()
        self._random = random.SystemRandom()

    def address(self) -> str:
        """Returns a free `host:port`."""
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


class Answer(NamedTuple):
    """What a client received; status 0 means no complete answer."""

    request_id: str
    status: int
    headers: dict[str, str]
    body: bytes
    took_s: float
    error: str = ""


class Child:
    """One program of the site."""

    def __init__(self, name: str, command: list[str], log: Path) -> None:
        self.name = name
        self._command = command
        self._log = log
        self._popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the program."""
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = os.pathsep.join([str(ROOT / "target/deps"), str(ROOT)])
        env["PYTHONUNBUFFERED"] = "1"
        with self._log.open("ab") as output:
            self._popen = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )

    @property
    def pid(self) -> int:
        """Process id."""
        return self._popen.pid if self._popen else 0

    @property
    def is_running(self) -> bool:
        """Whether the program runs."""
        return self._popen is not None and self._popen.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal if the program runs."""
        if self.is_running:
            os.kill(self.pid, number)

    def kill(self) -> None:
        """Kills the program and waits for its end."""
        self.send_signal(signal.SIGKILL)
        if self._popen is not None:
            self._popen.wait()

    def wait(self, timeout_s: float) -> int | None:
        """Waits for the end of the program; returns None if it still runs."""
        try:
            return self._popen.wait(timeout_s) if self._popen else 0
        except subprocess.TimeoutExpired:
            return None

    def cpu_s(self) -> float:
        """Returns the processor time used so far, as the platform meters it."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def output(self) -> str:
        """Returns what the program has printed."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""


class Service(NamedTuple):
    """A route of the site and its service, which has the same name by default."""

    name: str
    is_sharded: bool
    is_idempotent: bool
    instances: int
    backend: str = ""

    @property
    def service(self) -> str:
        """Name of the service."""
        return self.backend or self.name


class Site:
    """A small site; a context manager that ends all of its processes.

    Args:
        record: File that gets a line for each thing seen.
        services: Services; each has one route with its name as prefix.
        daemons: Number of gateway daemons.
        work_ms: Work time of a request.
        timeout_ms: Time-out of the routes.
        store_options: Further options of the store's stand-in.
    """

    def __init__(
        self,
        record: Path,
        services: tuple[Service, ...],
        daemons: int = 3,
        work_ms: float = 20.0,
        timeout_ms: int = 2500,
        store_options: tuple[str, ...] = (),
    ) -> None:
        if not (ROOT / "target/deps/skylarktrail").is_dir():
            raise CannotRun("target/deps is missing: run the build of the deploy file")
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.directory = Path(self._temporary.name)
        self.ports = Ports()
        self.services = services
        self.timeout_ms = timeout_ms
        self.work_ms = work_ms
        self.random = random.Random(7)
        self.version = 0
        self._began_s = now_s()
        self._record = record.open("w")
        self._record_lock = threading.Lock()
        self.children: list[Child] = []
        self.store_address = self.ports.address()
        self.store = self.add(
            "store",
            self.module("standins.platform.store", "--address", self.store_address)
            + list(store_options),
        )
        self.daemons: dict[str, Child] = {}
        self.caller_addresses: dict[str, str] = {}
        self.ready_addresses: dict[str, str] = {}
        self.instances: dict[str, Child] = {}
        self.instance_addresses: dict[str, str] = {}
        for index in range(daemons):
            self.add_daemon(f"front-{index + 1}", ZONES[index % len(ZONES)])

    # Processes.

    def __enter__(self) -> Site:
        return self

    def __exit__(self, *_: object) -> None:
        for child in reversed(self.children):
            child.send_signal(signal.SIGCONT)
            child.send_signal(signal.SIGKILL)
        for child in self.children:
            child.kill()
        self._record.close()
        self._temporary.cleanup()

    @staticmethod
    def module(module: str, *arguments: str) -> list[str]:
        """Returns the command that runs a Python module."""
        return [sys.executable, "-m", module, *arguments]

    def add(self, name: str, command: list[str]) -> Child:
        """Adds a program that is ended with the site."""
        child = Child(name, command, self.directory / f"{name}.log")
        self.children.append(child)
        return child

    def add_daemon(self, name: str, zone: str) -> Child:
        """Adds a daemon, with settings as the deploy file's template makes them."""
        self.caller_addresses[name] = self.ports.address()
        self.ready_addresses[name] = self.ports.address()
        settings = {
            "kind": "gateway",
            "daemon": name,
            "zone": zone,
            "caller_address": self.caller_addresses[name],
            "ready_address": self.ready_addresses[name],
            "peer_address": self.ports.address(),
            "forward_address": self.ports.address(),
            "processors": [0.86, 1],
            "descriptors": 4100,
            "store": {"adapter": "platform", "address": self.store_address},
            "bounds": {
                "repeat_ratio": 0.2,
                "repeat_window_s": 10,
                "repeat_extra": 56,
                "grace_s": 6,
                "lease_max_ms": 10_000,
            },
        }
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        command = self.module("skylarktrail", "--settings", str(path))
        self.daemons[name] = self.add(name, command)
        return self.daemons[name]

    def add_instance(
        self,
        service: Service,
        name: str,
        zone: str,
        advertised: str = "",
        program: Path = INSTANCE,
    ) -> Child:
        """Adds an instance; it may be reached at another address than its own."""
        address = self.ports.address()
        self.instance_addresses[name] = address
        arguments = [
            *("--name", name, "--service", service.service, "--address", address),
            *("--zone", zone, "--store", self.store_address),
            *("--work-ms", str(self.work_ms)),
        ]
        if advertised:
            arguments += ["--advertise", advertised]
        if service.is_sharded:
            arguments.append("--keyed")
        command = [sys.executable, str(program), *arguments]
        self.instances[name] = self.add(name, command)
        return self.instances[name]

    def add_instances(self) -> None:
        """Adds the instances of all services that have none yet."""
        for service in self.services:
            for index in range(service.instances):
                name = f"{service.service}-{index + 1}"
                if name not in self.instances:
                    self.add_instance(service, name, ZONES[index % len(ZONES)])

    def start(self, avoided_key: int = -1) -> None:
        """Starts all programs and waits until the daemons are ready and serve.

        Args:
            avoided_key: A key that no request of this start has.
        """
        key = (avoided_key + HASH_COUNT // 2) % HASH_COUNT
        self.store.start()
        self.wait_until(lambda: self.get(self.store_address, "/calls").status == 200)
        self.publish()
        for child in self.children[1:]:
            if not child.is_running:
                child.start()
        for address in self.ready_addresses.values():
            self.wait_until(lambda: self.get(address, "/ready").status == 200)
        for service in self.services:
            for daemon in self.daemons:
                self.wait_until(
                    lambda: self.request(service, daemon, key).status == 200
                )
        self.note("ready")

    def wait_until(self, condition: Any, timeout_s: float = START_TIMEOUT_S) -> None:
        """Waits until a condition holds.

        Raises:
            CannotRun: It did not hold in time.
        """
        end_s = now_s() + timeout_s
        while now_s() < end_s:
            if condition():
                return
            time.sleep(POLL_S)
        raise CannotRun("a condition of the site's start was not met in time")

    # The operator.

    def publish(self) -> None:
        """Writes the next version of the configuration."""
        self.version += 1
        paths = [
            {
                "name": f"r-{service.name}",
                "pathPrefix": f"/{service.name}/",
                "routeType": (
                    "idempotent" if service.is_idempotent else "non_idempotent"
                ),
                "timeoutMs": self.timeout_ms,
                "targetLatencyMs": 400,
                "priority": 1,
                "backend": service.service,
                "maxAttempts": 2 if service.is_idempotent else 1,
            }
            for service in self.services
        ]
        self.put(
            "keyed.op",
            "config",
            {
                "configVersion": f"{self.version:08x}",
                "services": [
                    {
                        "name": service.service,
                        "sharded": service.is_sharded,
                        "maxConnections": 110,
                        "coldStartS": 0,
                        "coldPerS": 11,
                        "healthCheck": "/health",
                    }
                    for service in self.services
                    if not service.backend
                ],
                "limits": {},
                "hosts": [{"hostname": HOSTNAME, "paths": paths}],
            },
        )

    def put(self, topic: str, key: str, value: Any) -> None:
        """Writes a record as the operator or an instance does."""
        body = json.dumps({"topic": topic, "key": key, "value": value}).encode()
        self.send("POST", self.store_address, "/operator/put", {}, body, 2.0)

    def control(self, address: str, **values: Any) -> None:
        """Sets controls of one of the project's stand-ins."""
        body = json.dumps(values).encode()
        self.send("POST", address, "/control", {}, body, 2.0)

    # Clients.

    def request(
        self,
        service: Service,
        daemon: str,
        key: int | None = None,
        timeout_s: float | None = None,
        request_id: str = "",
        path: str = "x",
        deadline_ms: int | None = None,
    ) -> Answer:
        """Sends one attempt of a client over a new connection."""
        request_id = request_id or f"{self.random.getrandbits(64):016x}"
        deadline_ms = deadline_ms or self.timeout_ms
        headers = {
            "Host": HOSTNAME,
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            "Connection": "close",
        }
        if service.is_sharded:
            number = self.random.randrange(HASH_COUNT) if key is None else key
            headers["Shard-Key"] = str(number)
        method, body = ("GET", b"") if service.is_idempotent else ("POST", b"order")
        return self.send(
            method,
            self.caller_addresses[daemon],
            f"/{service.name}/{path}",
            headers,
            body,
            timeout_s or deadline_ms / 1000 + 1.0,
        )

    def get(self, address: str, path: str, timeout_s: float = 1.0) -> Answer:
        """Sends a GET to a program."""
        return self.send("GET", address, path, {}, b"", timeout_s)

    @staticmethod
    def send(
        method: str,
        address: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> Answer:
        """Sends a request over a new connection and reads the whole answer."""
        host, _, port = address.rpartition(":")
        began_s = now_s()
        name = headers.get("Request-Id", "")
        connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
        try:
            connection.request(method, path, body or None, headers)
            response = connection.getresponse()
            data = response.read()
            found = {k.lower(): v for k, v in response.getheaders()}
            return Answer(name, response.status, found, data, now_s() - began_s)
        except (OSError, http.client.HTTPException) as error:
            return Answer(name, 0, {}, b"", now_s() - began_s, repr(error))
        finally:
            connection.close()

    # The record.

    def note(self, event: str, **fields: Any) -> None:
        """Writes a line into the record."""
        at = f"{now_s() - self._began_s:8.3f}"
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._record_lock:
            self._record.write(f"{at} {event} {text}".rstrip() + "\n")
            self._record.flush()

    def runs(self) -> dict[str, list[tuple[str, float]]]:
        """Returns instance and time of each run by request id, as instances print."""
        found: dict[str, list[tuple[str, float]]] = {}
        for name, child in self.instances.items():
            for line in child.output().splitlines():
                words = line.split()
                if len(words) == 3 and words[0] == "run":
                    found.setdefault(words[1], []).append((name, float(words[2])))
        return found

    def find_granter(self) -> str:
        """Returns the daemon that has last begun a term as granter, by its log."""
        begun = []
        for name, child in self.daemons.items():
            for line in child.output().splitlines():
                if '"granter_begins"' in line:
                    begun.append((json.loads(line)["at"], name))
        return max(begun)[1] if begun else ""


def main(run_case: Any) -> None:
    """Runs a case and exits with its result: 1 broken, 0 held, 2 could not run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        is_broken = run_case(has_trouble)
    except CannotRun as error:
        print(f"cannot run: {error}")
        sys.exit(2)
    except Exception as error:  # A fault of the case itself shows nothing.
        print(f"cannot run: {error!r}")
        sys.exit(2)
    print("the rule was broken" if is_broken else "the rule held")
    sys.exit(1 if is_broken else 0)
