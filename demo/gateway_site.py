"""A gateway site as loopback processes: the store, instances and daemons."""

from __future__ import annotations

import json
import random
import time
from pathlib import Path
from typing import Any, Callable, NamedTuple

import urllib3

from .ports import Ports
from .process import Process, kill_all

HOST_NAME = "shop.example"
START_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.05
DEADLINE_MS = 3000
KEY_COUNT = 1 << 16


class RequestKind(NamedTuple):
    """A kind of request.

    Attributes:
        name: Name, also the first segment of the path.
        service: Service that executes the requests.
        is_keyed: Whether the requests carry a key.
        is_idempotent: Whether a request may run more than once.
    """

    name: str
    service: str
    is_keyed: bool
    is_idempotent: bool


REQUEST_KINDS = (
    RequestKind("stock", "catalogo", True, True),
    RequestKind("booking", "carga", False, False),
)
ZONES = ("heredia", "alajuela")


class GatewayResponse(NamedTuple):
    """Response that a client received.

    Attributes:
        request_id: Id of the request.
        status: HTTP status; 0 without a response.
        body: Complete body.
        is_signed: Whether the response carries the signature of an instance.
        took_ms: Time until the response or the error.
    """

    request_id: str
    status: int
    body: str
    is_signed: bool
    took_ms: float


class GatewayProcess(Process):
    """A gateway; only its first start may be the first one of the site.

    Args:
        settings_path: Its settings file.
        options: Passed on to `Process`.
    """

    def __init__(self, settings_path: Path, *options: Any) -> None:
        super().__init__(*options)
        self._settings_path = settings_path
        self._has_started = False

    def start(self) -> None:
        """Starts the process, with settings for a later start where it is one."""
        if self._has_started:
            settings = json.loads(self._settings_path.read_text())
            settings.pop("first_start", None)
            self._settings_path.write_text(json.dumps(settings))
        self._has_started = True
        super().start()


class GatewaySite:
    """Processes of one site; a context manager that ends all of them.

    Args:
        directory: Directory for settings and output.
        gateways: Number of gateway daemons.
        instances: Number of instances of each service.
        route: Returns the address at which a source reaches a target, from the names
            of both and the target's own address. Lets a caller insert a proxy.
        gateway_module: Module that runs a gateway.
        first_era: First era of the store; None for that of the stand-in.
        bounds: Bounds in the settings of the gateways; None for the defaults.
    """

    def __init__(
        self,
        directory: Path,
        gateways: int = 3,
        instances: int = 4,
        route: Callable[[str, str, str], str] = lambda source, target, address: address,
        gateway_module: str = "skylarktrail",
        first_era: int | None = None,
        bounds: dict[str, float] | None = None,
    ) -> None:
        self._output_dir = directory
        self._bounds = bounds or {}
        self._gateway_module = gateway_module
        self._ports = Ports()
        self._route = route
        self.random = random.Random(1)
        self.version = 0
        self.zones_out: set[str] = set()
        self.store_address = self._ports.address()
        store_arguments = ["--address", self.store_address]
        if first_era is not None:
            store_arguments += ["--first-era", str(first_era)]
        self.store = self._make_process(
            "store", "standins.platform.store", store_arguments
        )
        self.instances: dict[str, Process] = {}
        self.former_instances: dict[str, Process] = {}
        self.instance_addresses: dict[str, str] = {}
        self.advertised_addresses: dict[str, str] = {}
        self._add_instances(instances)
        self.gateways: dict[str, Process] = {}
        self.gateway_settings: dict[str, dict[str, Any]] = {}
        self.caller_addresses: dict[str, str] = {}
        self.ready_addresses: dict[str, str] = {}
        for index in range(gateways):
            self._add_gateway(f"d{index + 1}", ZONES[index % len(ZONES)])
        self._pool = urllib3.PoolManager(num_pools=64, maxsize=16, retries=False)

    def __enter__(self) -> GatewaySite:
        try:
            self._start()
        except BaseException:
            self.__exit__()  # `with` does not call __exit__ after a failed start.
            raise
        return self

    def _start(self) -> None:
        self.store.start()
        self.wait_for(self.store_address, "/calls")
        self.publish()
        for process in [*self.instances.values(), *self.gateways.values()]:
            process.start()
        for address in self.instance_addresses.values():
            self.wait_for(address, "/runs")
        for address in self.ready_addresses.values():
            self.wait_for(address, "/ready")

    def __exit__(self, *_: object) -> None:
        instances = [*self.former_instances.values(), *self.instances.values()]
        kill_all([*self.gateways.values(), *instances, self.store])

    def settings_path(self, gateway: str) -> Path:
        """Returns the settings file of a gateway."""
        return self._output_dir / f"{gateway}.json"

    def wait_for(
        self, address: str, path: str, timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Waits until a GET returns status 200.

        Raises:
            TimeoutError: The status was not 200 in time.
        """
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if self.get(address, path).status == 200:
                return
            time.sleep(POLL_INTERVAL_S)
        raise TimeoutError(f"{address}{path} did not return status 200")

    def get(self, address: str, path: str) -> GatewayResponse:
        """Sends a GET directly to a process."""
        return self._send("GET", f"http://{address}{path}", {}, b"", 1.0)

    def control(self, address: str, **values: Any) -> bool:
        """Sets controls of a stand-in; returns whether it has confirmed them."""
        body = json.dumps(values).encode()
        response = self._send("POST", f"http://{address}/control", {}, body, 2.0)
        return response.status == 200

    def copy_store(self) -> None:
        """Lets the store keep a copy of its records."""
        self._send("POST", f"http://{self.store_address}/operator/copy", {}, b"", 2.0)

    def restore_store(self) -> None:
        """Lets the store go back to its copy; later records of daemons are lost."""
        address = f"http://{self.store_address}/operator/restore"
        self._send("POST", address, {}, b"", 2.0)

    def hold_append(self, skip: int = 0) -> None:
        """Lets the store hold a conditional append, and execute it in a later era.

        Args:
            skip: Number of conditional appends that are executed before.
        """
        address = f"http://{self.store_address}/operator/hold"
        body = json.dumps({"skip": skip}).encode()
        self._send("POST", address, {}, body, 2.0)

    def leave(self, name: str, exit_s: float | None = None) -> None:
        """Lets an instance say in its answers that it leaves, and exit after a time."""
        address = f"http://{self.instance_addresses[name]}/leave"
        options = {} if exit_s is None else {"exit_s": exit_s}
        self._send("POST", address, {}, json.dumps(options).encode(), 2.0)

    def publish(self, **changes: Any) -> int:
        """Writes a new configuration to the store and returns its version."""
        self.version += 1
        value = make_configuration(self.version) | changes
        self.put_record("keyed.op", "config", value)
        return self.version

    def set_zone_out(self, zone: str, is_out: bool) -> None:
        """Takes a zone out of service or brings it back."""
        self.put_record("keyed.op", f"evacuate/{zone}", {} if is_out else None)
        (self.zones_out.add if is_out else self.zones_out.discard)(zone)

    def put_record(self, topic: str, key: str, value: Any) -> None:
        """Writes a keyed record to the store, as operators and instances do."""
        body = json.dumps({"topic": topic, "key": key, "value": value}).encode()
        self._send("POST", f"http://{self.store_address}/operator/put", {}, body, 2.0)

    def replace_instance(self, name: str) -> str:
        """Kills an instance and starts another one at its address.

        Returns:
            The name of the other instance.
        """
        former = self.instances.pop(name)
        former.kill()
        self.former_instances[name] = former
        other = f"{name}r"
        self.instance_addresses[other] = self.instance_addresses.pop(name)
        self.advertised_addresses[other] = self.advertised_addresses.pop(name)
        arguments = ["--name", other, *former.arguments[2:]]
        self.instances[other] = self._make_process(
            other, "standins.platform.instance", arguments
        )
        self.instances[other].start()
        return other

    def request(
        self,
        kind: RequestKind,
        gateway: str,
        key: int | None = None,
        keep_alive: bool = True,
        path: str = "/x",
        api_key: str = "",
    ) -> GatewayResponse:
        """Sends a request of a client through a gateway.

        Args:
            kind: Kind of the request.
            gateway: Name of the daemon.
            key: Key of a keyed request; random by default.
            keep_alive: Whether the connection may be reused.
            path: Path after the route's prefix.
            api_key: Key of a customer; empty for none.
        """
        request_id = f"{self.random.getrandbits(64):016x}"
        headers = {
            "Host": HOST_NAME,
            "Request-Id": request_id,
            "Deadline-Ms": str(DEADLINE_MS),
        }
        if kind.is_keyed:
            key_number = self.random.randrange(KEY_COUNT) if key is None else key
            headers["Shard-Key"] = str(key_number)
        if api_key:
            headers["Authorization"] = f"Bearer {api_key}"
        if not keep_alive:
            headers["Connection"] = "close"
        method = "GET" if kind.is_idempotent else "POST"
        url = f"http://{self.caller_addresses[gateway]}/{kind.name}{path}"
        return self._send(method, url, headers, b"", DEADLINE_MS / 1000 + 1)

    def runs(self) -> dict[str, int]:
        """Returns the number of runs by request id, over all instances that respond."""
        total: dict[str, int] = {}
        for address in self.instance_addresses.values():
            response = self.get(address, "/runs")
            if response.status == 200:
                for name, count in json.loads(response.body).items():
                    total[name] = total.get(name, 0) + count
        return total

    def find_holders_by_key(self) -> dict[int, list[str]]:
        """Returns the instances that hold each key of a sample of keys."""
        holders: dict[int, list[str]] = {key: [] for key in range(0, KEY_COUNT, 4099)}
        for name, address in list(self.instance_addresses.items()):
            response = self.get(address, "/ranges")
            if response.status != 200:
                continue
            for first, last, _, lease_left_ms in json.loads(response.body):
                for key in holders:
                    is_held = first <= key <= last and lease_left_ms > 0
                    if is_held and name not in holders[key]:
                        holders[key].append(name)
        return holders

    def read_run_times(self) -> dict[str, list[float]]:
        """Returns the times of the runs by request id, from the instances' output.

        Includes the runs of killed and replaced instances.
        """
        times: dict[str, list[float]] = {}
        for process in [*self.former_instances.values(), *self.instances.values()]:
            for line in process.output().splitlines():
                words = line.split()
                if len(words) == 3 and words[0] == "run":
                    times.setdefault(words[1], []).append(float(words[2]))
        return times

    def events(self, event: str) -> list[dict[str, Any]]:
        """Returns the parsed log lines of all daemons that contain an event."""
        found = []
        for process in self.gateways.values():
            for line in process.output().splitlines():
                if line.startswith("{") and f'"{event}"' in line:
                    found.append(json.loads(line))
        return found

    def _send(
        self, method: str, url: str, headers: dict[str, str], body: bytes, timeout_s
    ) -> GatewayResponse:
        started = time.monotonic()
        name = headers.get("Request-Id", "")
        try:
            http_response = self._pool.request(
                method, url, headers=headers, body=body, timeout=timeout_s
            )
        except (urllib3.exceptions.HTTPError, OSError):
            took_ms = (time.monotonic() - started) * 1000
            return GatewayResponse(name, 0, "", False, took_ms)
        took_ms = (time.monotonic() - started) * 1000
        is_signed = "Response-Signature" in http_response.headers
        text = http_response.data.decode(errors="replace")
        return GatewayResponse(name, http_response.status, text, is_signed, took_ms)

    def _add_instances(self, count: int) -> None:
        for kind in REQUEST_KINDS:
            for index in range(count):
                name = f"{kind.service}-{index + 1}"
                address = self._ports.address()
                self.instance_addresses[name] = address
                advertised = self._route("gateways", name, address)
                self.advertised_addresses[name] = advertised
                arguments = [
                    *("--name", name, "--service", kind.service),
                    *("--address", address, "--zone", ZONES[index % len(ZONES)]),
                    *("--advertise", advertised),
                    *("--store", self._route(name, "store", self.store_address)),
                ]
                if kind.is_keyed:
                    arguments.append("--keyed")
                self.instances[name] = self._make_process(
                    name, "standins.platform.instance", arguments
                )

    def _add_gateway(self, name: str, zone: str) -> None:
        self.caller_addresses[name] = self._ports.address()
        self.ready_addresses[name] = self._ports.address()
        settings = {
            "kind": "gateway",
            "daemon": name,
            "zone": zone,
            "caller_address": self.caller_addresses[name],
            "ready_address": self.ready_addresses[name],
            "peer_address": self._ports.address(),
            "forward_address": self._ports.address(),
            "store": {"address": self._route(name, "store", self.store_address)},
            "first_start": True,
            "bounds": self._bounds,
        }
        self.gateway_settings[name] = settings
        path = self.settings_path(name)
        path.write_text(json.dumps(settings))
        self.gateways[name] = self._make_process(
            name, self._gateway_module, ["--settings", str(path)]
        )

    def _make_process(self, name: str, module: str, arguments: list[str]) -> Process:
        options = (name, module, arguments, self._output_dir)
        if module == self._gateway_module:
            return GatewayProcess(self.settings_path(name), *options)
        return Process(*options)


def make_configuration(version: int) -> dict[str, Any]:
    """Returns the operators' configuration of the site."""
    return {
        "configVersion": f"{version:08x}",
        "services": [
            {"name": kind.service, "sharded": kind.is_keyed, "maxConnections": 110}
            for kind in REQUEST_KINDS
        ],
        "limits": {},
        "hosts": [
            {
                "hostname": HOST_NAME,
                "paths": [
                    {
                        "name": f"r-{kind.name}",
                        "pathPrefix": f"/{kind.name}/",
                        "routeType": (
                            "idempotent" if kind.is_idempotent else "non_idempotent"
                        ),
                        "timeoutMs": 2500,
                        "targetLatencyMs": 400,
                        "priority": 1,
                        "backend": kind.service,
                        "maxAttempts": 2,
                    }
                    for kind in REQUEST_KINDS
                ],
            }
        ],
    }
