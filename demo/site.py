"""One site as loopback processes: platform services, backends and daemons."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any, Callable, NamedTuple

import urllib3

from standins.backend import Execution
from standins.relay import Mode, Relay

from .deployment import Deployment
from .ports import Ports
from .process import Process, kill_all

CONTROL_TIMEOUT_S = 2.0
READY_TIMEOUT_S = 0.5
POLL_INTERVAL_S = 0.05
START_TIMEOUT_S = 40.0
PUBLISH_TIMEOUT_S = 20.0


class SiteError(Exception):
    """The site did not reach a state in time, or one of its processes failed."""


class Options(NamedTuple):
    """Options of a site.

    Attributes:
        service_ms: Mean service time of the backends.
        queue_limit: Maximum number of requests that a backend queues.
        cold_limit: Maximum number of requests in flight at a cold upstream.
        cold_ms: Time that an upstream stays cold.
        report_lag_ms: Age of the load reports.
        vm_lag_ms: Lag of the VM list.
        relayed: Names of the backends that are reached through a relay.
        timings: `timings` in the settings of the daemons.
        threads: Number of threads of each daemon.
        retention_records: Number of records that the log guarantees to keep.
        limits: `limits` in the settings of the daemons.
    """

    service_ms: float = 10.0
    queue_limit: int = 9
    cold_limit: int = 1
    cold_ms: int = 5_000
    report_lag_ms: int = 1_000
    vm_lag_ms: int = 2_000
    relayed: frozenset[str] = frozenset()
    timings: dict[str, int] = {}
    threads: int = 32
    retention_records: int = 100_000
    limits: dict[str, int] = {}


class Vm(NamedTuple):
    """One VM of the platform and its process.

    Attributes:
        id: Id of the VM.
        role: `router`, `server` or `upstream`.
        service: Service of a backend; "" for routers.
        zone: Availability zone.
        address: Address for requests; that of the relay if there is one.
        process: Process of the VM.
        peer_address: Peer socket of a daemon; else "".
        operator_address: Operator socket of a daemon; else "".
        log_address: Address at which a daemon reaches the log; else "".
        control_address: Address of a backend's process itself; else "".
    """

    id: str
    role: str
    service: str
    zone: str
    address: str
    process: Process
    peer_address: str = ""
    operator_address: str = ""
    log_address: str = ""
    control_address: str = ""


class Site:
    """Starts, controls and ends the processes of one site.

    Args:
        deployment: Zones, services and instances.
        directory: Directory for settings, journals and outputs.
        options: Options of the site.
    """

    def __init__(
        self, deployment: Deployment, directory: Path, options: Options = Options()
    ) -> None:
        self.deployment = deployment
        self.directory = directory
        self.options = options
        self.vms: dict[str, Vm] = {}
        self.relays: dict[str, Relay] = {}
        self.revision = 0
        self._removed_vms: set[str] = set()
        self._leaving_vms: set[str] = set()
        self._ports = Ports()
        self._http = urllib3.PoolManager(num_pools=128, maxsize=4, retries=False)
        self._processes: list[Process] = []
        self._prepare_directory()
        self._log_ports = [self._ports.address() for _ in range(deployment.routers)]
        self.log_address = self._ports.address()
        self.vms_address = self._ports.address()
        self._add_platform()
        self._add_backends()
        self._add_daemons()

    def __enter__(self) -> Site:
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exception: object) -> None:
        self.stop()

    def _prepare_directory(self) -> None:
        for name in ("settings", "journals", "output"):
            part = self.directory / name
            part.mkdir(parents=True, exist_ok=True)
            for old in part.iterdir():
                old.unlink()

    def _add_platform(self) -> None:
        addresses = [self.log_address, *self._log_ports]
        arguments = [word for address in addresses for word in ("--address", address)]
        self._add_process("log", "standins.log", arguments)
        lag = str(self.options.vm_lag_ms)
        arguments = ["--address", self.vms_address, "--lag-ms", lag]
        self._add_process("vms", "standins.vms", arguments)

    def _add_process(self, name: str, module: str, arguments: list[str]) -> Process:
        process = Process(name, module, arguments, self.directory / "output")
        self._processes.append(process)
        return process

    def _add_backends(self) -> None:
        for service in self.deployment.services:
            for index in range(service.instances):
                zone = self._zone_of(index)
                self._add_backend(
                    f"{service.name}-{index + 1}", service.role, service.name, zone
                )

    def _zone_of(self, index: int) -> str:
        return self.deployment.zones[index % len(self.deployment.zones)]

    def _add_backend(self, name: str, role: str, service: str, zone: str) -> None:
        own_address = self._ports.address()
        options = self.options
        arguments = [
            *("--address", own_address),
            *("--name", name),
            *("--service-ms", str(options.service_ms)),
            *("--queue-limit", str(options.queue_limit)),
            *("--report-lag-ms", str(options.report_lag_ms)),
            *("--journal", str(self._journal_path(name))),
        ]
        if role == "upstream":
            arguments += ["--cold-limit", str(options.cold_limit)]
            arguments += ["--cold-ms", str(options.cold_ms)]
        address = own_address
        if name in options.relayed:
            address = self._ports.address()
            self.relays[name] = Relay(address, own_address)
        self.vms[name] = Vm(
            name,
            role,
            service,
            zone,
            address,
            self._add_process(name, f"standins.{role}", arguments),
            control_address=own_address,
        )

    def _journal_path(self, name: str) -> Path:
        return self.directory / "journals" / f"{name}.jsonl"

    def _add_daemons(self) -> None:
        for index, log_address in enumerate(self._log_ports):
            name = f"router-{index + 1}"
            vm = Vm(
                name,
                "router",
                "",
                self._zone_of(index),
                self._ports.address(),
                self._add_process(
                    name, "skylarktrail", ["--settings", str(self._settings_path(name))]
                ),
                self._ports.address(),
                self._ports.address(),
                log_address,
            )
            self.vms[name] = vm
            self._write_settings(vm)

    def _settings_path(self, name: str) -> Path:
        return self.directory / "settings" / f"{name}.json"

    def _write_settings(self, vm: Vm) -> None:
        settings = {
            "daemon": vm.id,
            "zone": vm.zone,
            "caller_address": vm.address,
            "operator_address": vm.operator_address,
            "peer_address": vm.peer_address,
            "platform": {
                "log": {
                    "addresses": [vm.log_address],
                    "retention_records": self.options.retention_records,
                },
                "vms": {"address": self.vms_address},
            },
            "threads": self.options.threads,
            "timings": self.options.timings,
            "limits": self.options.limits,
        }
        self._settings_path(vm.id).write_text(json.dumps(settings, indent=2) + "\n")

    # Start and stop.

    def start(self) -> None:
        """Starts all processes and publishes the VM list.

        Raises:
            SiteError: A stand-in did not respond in time.
        """
        for relay in self.relays.values():
            relay.start()
        for process in self._processes:
            process.start()
        self._wait_for_port(self.log_address, "/control")
        self._wait_for_port(self.vms_address, "/control")
        self.put_vms()
        for vm in self.vms.values():
            if vm.role != "router":
                self._wait_for_port(vm.control_address, "/health")

    def _wait_for_port(self, address: str, path: str) -> None:
        self.wait_for(
            f"a response from {address}",
            lambda: self.get_json(address, path) is not None,
        )

    def stop(self) -> None:
        """Ends all processes and relays of the site."""
        kill_all(self._processes)
        for relay in self.relays.values():
            relay.stop()

    def wait_for(
        self, what: str, condition: Callable[[], bool], timeout_s: float = 0
    ) -> float:
        """Waits for a condition and returns the waiting time in seconds.

        Args:
            what: Description of the condition for the error.
            condition: Returns whether the condition holds.
            timeout_s: Maximum waiting time; 0 for `START_TIMEOUT_S`.

        Raises:
            SiteError: The condition did not hold in time.
        """
        start_s = time.monotonic()
        deadline_s = start_s + (timeout_s or START_TIMEOUT_S)
        while not condition():
            if time.monotonic() >= deadline_s:
                raise SiteError(
                    f"timed out waiting for {what} after {deadline_s - start_s:.0f} s"
                )
            time.sleep(POLL_INTERVAL_S)
        return time.monotonic() - start_s

    # Platform.

    def put_vms(self) -> None:
        """Publishes the VM list with the VMs that are live or leaving."""
        vms = [
            {
                "id": vm.id,
                "role": vm.role,
                "service": vm.service,
                "zone": vm.zone,
                "address": vm.address,
                "peer_address": vm.peer_address,
                "state": "leaving" if vm.id in self._leaving_vms else "live",
            }
            for vm in self.vms.values()
            if vm.id not in self._removed_vms
        ]
        self._send("PUT", self.vms_address, "/vms", {"vms": vms})

    def mark_leaving(self, name: str) -> None:
        """Marks a VM as leaving in the platform's list."""
        self._leaving_vms.add(name)
        self.put_vms()

    def control_log(self, **values: Any) -> None:
        """Sets controls of the log service."""
        self._send("POST", self.log_address, "/control", values)

    def set_log_outage_for(self, names: list[str]) -> None:
        """Makes the log unavailable to these daemons and to no others."""
        ports = [int(self.vms[name].log_address.rpartition(":")[2]) for name in names]
        self.control_log(outage_ports=ports)

    def publish(self, file: dict[str, Any]) -> int:
        """Publishes an operator file with `skylarktrail.ctl` and returns its revision.

        Raises:
            SiteError: The tool did not report the file as accepted.
        """
        path = self.directory / "operator-file.json"
        path.write_text(json.dumps(file, indent=2) + "\n")
        name = f"publish-{self.revision}"
        arguments = ["publish", str(path), "--log", self.log_address]
        arguments += ["--base", str(self.revision), "--json"]
        output = self.directory / "output"
        tool = Process(name, "skylarktrail.ctl", arguments, output)
        self._processes.append(tool)
        tool.start()
        if tool.wait(PUBLISH_TIMEOUT_S) != 0:
            raise SiteError(f"publish failed: {tool.output()}")
        self.revision = int(json.loads(tool.output())["revision"])
        return self.revision

    # VMs.

    def running_vms(self, role: str, service: str = "") -> list[str]:
        """Returns the ids of the running VMs of a role, optionally of one service."""
        return [
            vm.id
            for vm in self.vms.values()
            if vm.role == role and vm.process.is_running
            if not service or vm.service == service
        ]

    def vms_in_zone(self, zone: str) -> list[str]:
        """Returns the ids of the VMs of a zone."""
        return [vm.id for vm in self.vms.values() if vm.zone == zone]

    def control(self, name: str, **values: Any) -> None:
        """Sets controls of a backend."""
        self._send("POST", self.vms[name].control_address, "/control", values)

    def turn_cold(self, name: str) -> None:
        """Makes an upstream cold without notifying the daemons."""
        self._send("POST", self.vms[name].control_address, "/cold", {})

    def kill(self, *names: str) -> None:
        """Kills the processes of VMs and removes them from the VM list."""
        for name in names:
            self.vms[name].process.kill()
        self._removed_vms.update(names)
        self.put_vms()

    def restart(self, *names: str) -> None:
        """Restarts the processes of killed VMs and adds them to the VM list."""
        for name in names:
            self.vms[name].process.start()
        self._removed_vms.difference_update(names)
        self._leaving_vms.difference_update(names)
        self.put_vms()

    def freeze(self, *names: str) -> None:
        """Pauses the processes of VMs."""
        for name in names:
            self.vms[name].process.freeze()

    def resume(self, *names: str) -> None:
        """Resumes the paused processes of VMs."""
        for name in names:
            self.vms[name].process.resume()

    def set_relay_mode(self, name: str, mode: Mode = Mode.CUT) -> None:
        """Sets the mode of the relay in front of a backend."""
        self.relays[name].set_mode(mode)

    # Status of the daemons.

    def status(self, name: str) -> dict[str, Any] | None:
        """Returns a daemon's `/status.json`; None without a response of status 200."""
        return self.get_json(self.vms[name].operator_address, "/status.json")

    def is_ready(self, name: str) -> bool:
        """Returns whether a daemon reports that it is ready."""
        address = self.vms[name].operator_address
        try:
            response = self._http.request(
                "GET", f"http://{address}/ready", timeout=READY_TIMEOUT_S
            )
        except urllib3.exceptions.HTTPError:
            return False
        return response.status == 200

    def wait_until_ready(self, timeout_s: float = START_TIMEOUT_S) -> float:
        """Waits until all running daemons are ready; returns the time in seconds.

        Raises:
            SiteError: A daemon was not ready in time, or a process crashed.
        """
        return self.wait_for(
            "the readiness of all daemons", self._are_all_ready, timeout_s
        )

    def _are_all_ready(self) -> bool:
        crashed = self.find_crashed_vms()
        if crashed:
            raise SiteError(f"processes ended unexpectedly: {', '.join(crashed)}")
        return all(self.is_ready(name) for name in self.running_vms("router"))

    def find_crashed_vms(self) -> list[str]:
        """Returns the ids of the VMs whose process ended without `kill`."""
        return [
            vm.id
            for vm in self.vms.values()
            if vm.process.returncode is not None and vm.id not in self._removed_vms
        ]

    def executions(self) -> list[Execution]:
        """Returns the executions of all backends, including killed ones."""
        found = []
        for vm in self.vms.values():
            path = self._journal_path(vm.id)
            if path.exists():
                lines = path.read_text().splitlines()
                found += [Execution(**json.loads(line)) for line in lines]
        return found

    def overloads(self) -> int:
        """Returns the number of overloads of cold upstreams that are running."""
        answers = [
            self.get_json(self.vms[name].control_address, "/overloads")
            for name in self.running_vms("upstream")
        ]
        return sum(response["overloads"] for response in answers if response)

    def get_json(self, address: str, path: str) -> Any:
        """Returns the JSON body of a GET; None without a response of status 200."""
        url = f"http://{address}{path}"
        try:
            response = self._http.request("GET", url, timeout=CONTROL_TIMEOUT_S)
        except urllib3.exceptions.HTTPError:
            return None
        return response.json() if response.status == 200 else None

    def _send(self, method: str, address: str, path: str, value: Any) -> None:
        response = self._http.request(
            method, f"http://{address}{path}", json=value, timeout=CONTROL_TIMEOUT_S
        )
        if response.status != 200:
            raise SiteError(f"{method} {path}: {response.status} {response.data!r}")
