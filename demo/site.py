"""One site as processes on loopback: platform, back ends and daemons."""

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
    """The site did not reach a state in time, or a tool of it failed."""


class Options(NamedTuple):
    """How a site is built.

    Attributes:
        service_ms: Mean service time of the back ends.
        queue_limit: Requests that one back end queues.
        cold_limit: Requests that a cold upstream bears.
        cold_ms: How long an upstream stays cold.
        report_lag_ms: Age of the load reports.
        vm_lag_ms: Lag of the VM list.
        relayed: Back ends that are reached through a relay.
        timings: Timings in the settings of the daemons.
        threads: Threads of each daemon.
        retention_records: Records that the log promises to keep.
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


class Vm(NamedTuple):
    """One VM of the platform and the process on it.

    Attributes:
        id: Name of the VM.
        role: `router`, `server` or `upstream`.
        service: Service of a back end; "" for routers.
        zone: Availability zone.
        address: Where requests go, through the relay if there is one.
        process: The process on it.
        peer_address: Peer socket of a daemon; else "".
        operator_address: Operator's socket of a daemon; else "".
        log_address: Where a daemon reaches the log; else "".
        control_address: The process's own address for controls.
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
        directory: Where settings, journals and outputs are written.
        options: How the site is built.
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
        }
        self._settings_path(vm.id).write_text(json.dumps(settings, indent=2) + "\n")

    # Start and end.

    def start(self) -> None:
        """Starts every process and tells the platform the VMs."""
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
            f"an answer of {address}", lambda: self.get_json(address, path) is not None
        )

    def stop(self) -> None:
        """Ends every process that this site started."""
        kill_all(self._processes)
        for relay in self.relays.values():
            relay.stop()

    def wait_for(
        self, what: str, condition: Callable[[], bool], timeout_s: float = 0
    ) -> float:
        """Waits for a condition and returns how long it took, in seconds.

        Raises:
            SiteError: It did not come in time.
        """
        began = time.monotonic()
        until = began + (timeout_s or START_TIMEOUT_S)
        while not condition():
            if time.monotonic() >= until:
                raise SiteError(f"no {what} within {until - began:.0f} s")
            time.sleep(POLL_INTERVAL_S)
        return time.monotonic() - began

    # Platform.

    def put_vms(self) -> None:
        """Tells the platform's VM list what is live and leaving now."""
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
        """Lets the log refuse these daemons and no others."""
        ports = [int(self.vms[name].log_address.rpartition(":")[2]) for name in names]
        self.control_log(outage_ports=ports)

    def publish(self, file: dict[str, Any]) -> int:
        """Publishes an operator file by the tool; returns its revision.

        Raises:
            SiteError: The tool did not report it as accepted.
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
        """Returns the running VMs of a role, or of one service."""
        return [
            vm.id
            for vm in self.vms.values()
            if vm.role == role and vm.process.is_running
            if not service or vm.service == service
        ]

    def vms_in_zone(self, zone: str) -> list[str]:
        """Returns the VMs of a zone."""
        return [vm.id for vm in self.vms.values() if vm.zone == zone]

    def control(self, name: str, **values: Any) -> None:
        """Sets controls of a back end."""
        self._send("POST", self.vms[name].control_address, "/control", values)

    def turn_cold(self, name: str) -> None:
        """Turns an upstream cold without warning."""
        self._send("POST", self.vms[name].control_address, "/cold", {})

    def kill(self, *names: str) -> None:
        """Kills VMs; the platform's list drops them after its lag."""
        for name in names:
            self.vms[name].process.kill()
        self._removed_vms.update(names)
        self.put_vms()

    def restart(self, *names: str) -> None:
        """Starts the processes of killed VMs again."""
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
        """Lets paused processes go on."""
        for name in names:
            self.vms[name].process.resume()

    def set_relay_mode(self, name: str, mode: Mode = Mode.CUT) -> None:
        """Changes the path to a relayed back end."""
        self.relays[name].set_mode(mode)

    # What the daemons say.

    def status(self, name: str) -> dict[str, Any] | None:
        """Returns a daemon's `/status.json`, or None without an answer."""
        return self.get_json(self.vms[name].operator_address, "/status.json")

    def is_ready(self, name: str) -> bool:
        """Tells whether a daemon reports that it is ready."""
        address = self.vms[name].operator_address
        try:
            response = self._http.request(
                "GET", f"http://{address}/ready", timeout=READY_TIMEOUT_S
            )
        except urllib3.exceptions.HTTPError:
            return False
        return response.status == 200

    def wait_until_ready(self, timeout_s: float = START_TIMEOUT_S) -> float:
        """Waits until every daemon that was not killed is ready; returns the seconds.

        Raises:
            SiteError: One did not get ready in time, or a process ended by itself.
        """
        return self.wait_for("readiness of all daemons", self._are_all_ready, timeout_s)

    def _are_all_ready(self) -> bool:
        ended = self.find_crashed_vms()
        if ended:
            raise SiteError(f"ended by themselves: {', '.join(ended)}")
        return all(self.is_ready(name) for name in self.running_vms("router"))

    def find_crashed_vms(self) -> list[str]:
        """Returns the VMs whose process ended although nobody killed it."""
        return [
            vm.id
            for vm in self.vms.values()
            if vm.process.returncode is not None and vm.id not in self._removed_vms
        ]

    def executions(self) -> list[Execution]:
        """Returns what all back ends executed, also those that were killed."""
        found = []
        for vm in self.vms.values():
            path = self._journal_path(vm.id)
            if path.exists():
                lines = path.read_text().splitlines()
                found += [Execution(**json.loads(line)) for line in lines]
        return found

    def overloads(self) -> int:
        """Returns how often a running upstream fell over while it was cold."""
        answers = [
            self.get_json(self.vms[name].control_address, "/overloads")
            for name in self.running_vms("upstream")
        ]
        return sum(response["overloads"] for response in answers if response)

    def get_json(self, address: str, path: str) -> Any:
        """Returns a JSON answer, or None without a good one."""
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
