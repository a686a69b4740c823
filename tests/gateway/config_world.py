"""Daemons that learn the operators' configuration, in virtual time, without sockets.

The messengers, watchers and site states are the real ones. The links between daemons
and the store are models: a call to the store may hang or be refused, for one daemon and
some of its calls.
"""

from __future__ import annotations

import io
from concurrent.futures import Future
from typing import Callable, NamedTuple

from result import Err, Ok, Result

from skylarktrail.config.gateway_settings import SiteBounds
from skylarktrail.core.gateway.model import SiteConfig
from skylarktrail.core.gateway.shared_state import (
    GRANTER_KEY,
    MEMBER_PREFIX,
    GranterRecord,
    Member,
    encode_granter,
    encode_member,
)
from skylarktrail.errors import peer as peer_codes
from skylarktrail.errors import platform as codes
from skylarktrail.errors.code import Fault
from skylarktrail.gateway import (
    instance_watcher,
    log_reader,
    messenger,
    operator_watcher,
    shared_watcher,
    store_monitor,
)
from skylarktrail.gateway.event_log import EventLog
from skylarktrail.gateway.instance_watcher import InstanceWatcher
from skylarktrail.gateway.load_reporter import LoadReporter
from skylarktrail.gateway.messenger import Messenger
from skylarktrail.gateway.metrics import GatewayMetrics
from skylarktrail.gateway.operator_watcher import OperatorWatcher
from skylarktrail.gateway.shared_watcher import SharedWatcher
from skylarktrail.gateway.site_state import SiteState
from skylarktrail.gateway.site_store import Listing, OperatorUpdate, SharedUpdate
from skylarktrail.gateway.store_monitor import StoreCallMonitor
from skylarktrail.platform.store_client import RESPONSE_TIMEOUT_MS

from .virtual_time import VirtualClock

STORE_LATENCY_MS = 4.0
LINK_LATENCY_MS = 2.0
READ_CALLS = ("instances", "operators", "shared")
CLOCK_MODULES = (
    instance_watcher,
    log_reader,
    messenger,
    operator_watcher,
    shared_watcher,
    store_monitor,
)


class StoreFault(NamedTuple):
    """Time in which calls of one daemon to the store fail.

    Attributes:
        start_ms: When it begins.
        end_ms: When it ends.
        calls: Names of the calls.
        is_refused: Whether calls are refused; else they hang until their timeout, also
            those that are under way as the fault begins.
    """

    start_ms: float
    end_ms: float
    calls: tuple[str, ...] = READ_CALLS
    is_refused: bool = False


class LinkFault(NamedTuple):
    """Time in which messages from and to one daemon are lost.

    Attributes:
        start_ms: When it begins.
        end_ms: When it ends.
        daemon: Name of the daemon.
    """

    start_ms: float
    end_ms: float
    daemon: str


class SharedLogs:
    """The logs of the store.

    Attributes:
        operators: Versions of the configuration in order.
        shared: Keys and values of the daemons' records in order.
    """

    def __init__(self, clock: VirtualClock) -> None:
        self._clock = clock
        self._readers: list = []
        self.operators: list[int] = []
        self.shared: list[tuple[str, bytes]] = []

    def publish(self, version: int) -> None:
        """Appends a version of the configuration."""
        self.operators.append(version)
        self._wake_readers()

    def share(self, key: str, value: bytes) -> None:
        """Appends a record of the daemons."""
        self.shared.append((key, value))
        self._wake_readers()

    def wait_beyond(self, log: list, position: int, wait_ms: float) -> None:
        """Waits until a log goes on behind a position."""
        end_ms = self._clock.now_ms + wait_ms
        while len(log) <= position and self._clock.now_ms < end_ms:
            changed = self._clock.make_event()
            self._readers.append(changed)
            changed.wait((end_ms - self._clock.now_ms) / 1000)

    def _wake_readers(self) -> None:
        readers, self._readers = self._readers, []
        for changed in readers:
            changed.set()


class ModelStore:
    """Store client of one daemon.

    Attributes:
        faults: Times in which its calls fail.
    """

    def __init__(self, clock: VirtualClock, logs: SharedLogs) -> None:
        self._clock = clock
        self._logs = logs
        self.faults: list[StoreFault] = []

    def read_instances(self) -> Result[Listing, Fault]:
        """Reads the entries of the instances; there are none."""
        return self._call("instances", 0, lambda: Ok(Listing([], 0)))

    def read_operators(self, position, wait_ms):
        """Reads the operators' records, as the platform's store does."""
        log = self._logs.operators

        def read():
            if position is not None:
                self._logs.wait_beyond(log, position, wait_ms)
            versions = log[position or 0 :]
            return self._make_update(versions, position is None, len(log))

        return self._call("operators", wait_ms, read)

    def decode_operators(self, records, position):
        """Decodes records whose values are versions."""
        versions = [int(value) for _, value in records]
        return self._make_update(versions, False, position)

    def read_shared(self, position, wait_ms):
        """Reads the daemons' records, as the platform's store does."""
        log = self._logs.shared

        def read():
            if position is not None:
                self._logs.wait_beyond(log, position, wait_ms)
            return Ok(SharedUpdate(log[position or 0 :], position is None, len(log)))

        return self._call("shared", wait_ms, read)

    def share_all(self, records) -> Result[int, Fault]:
        """Appends records."""
        for key, value in records:
            self._logs.share(key, value)
        return Ok(len(self._logs.shared))

    def _make_update(self, versions, is_snapshot, position):
        config = SiteConfig(versions[-1], (), {}) if versions else None
        records = tuple(("config", b"%d" % version) for version in versions)
        return Ok(OperatorUpdate(config, {}, is_snapshot, position, records))

    def _call(self, name: str, wait_ms: float, read: Callable[[], Result]) -> Result:
        started_ms = self._clock.now_ms
        self._clock.sleep(STORE_LATENCY_MS)
        if any(self._find_faults(name, started_ms, is_refused=True)):
            return Err(Fault(codes.STORE_REFUSED))
        answer = read()
        if any(self._find_faults(name, started_ms, is_refused=False)):
            timeout_ms = started_ms + wait_ms + RESPONSE_TIMEOUT_MS
            self._clock.sleep(timeout_ms - self._clock.now_ms)
            return Err(Fault(codes.STORE_SILENT))
        return answer

    def _find_faults(self, name: str, started_ms: float, is_refused: bool):
        now_ms = self._clock.now_ms
        return (
            fault
            for fault in self.faults
            if name in fault.calls
            and fault.is_refused == is_refused
            and fault.start_ms <= now_ms
            and started_ms < fault.end_ms
        )


class ModelLinks:
    """Links of one daemon to the others; has the methods of `PeerLinks`."""

    def __init__(self, world: ConfigWorld, daemon: str, on_message) -> None:
        self._world = world
        self._daemon = daemon
        self.on_message = on_message

    def set_peers(self, addresses: dict[str, str]) -> None:
        """Does nothing; all daemons are known."""

    def send(self, daemon: str, message) -> bool:
        """Delivers a message after the latency of a link, unless it is lost."""
        if self._world.is_link_cut({self._daemon, daemon}):
            return True

        def deliver() -> None:
            receiver = self._world.links[daemon]
            receiver.on_message(self._daemon, message, lambda reply: False)

        self._world.clock.call_later(LINK_LATENCY_MS, deliver)
        return True

    def request(self, daemon: str, message, timeout_ms: int) -> Future:
        """Fails; no request matters here."""
        future: Future = Future()
        future.set_result(Err(Fault(peer_codes.REQUEST_UNANSWERED, daemon)))
        return future


class Connections:
    """Has no connections to instances."""

    def keep_only(self, instances: set[str]) -> None:
        """Does nothing."""


class ModelDaemon:
    """One daemon: the parts that learn the configuration.

    Attributes:
        store: Its store client.
        in_force_ms: When each version came into force.
    """

    def __init__(self, world: ConfigWorld, name: str) -> None:
        self._world = world
        self.store = ModelStore(world.clock, world.logs)
        self.in_force_ms: dict[int, float] = {}
        self.site = SiteState(name, "east", SiteBounds())
        log = EventLog(name, io.StringIO())
        self.messenger = Messenger(
            self.site,
            name,
            f"{name}:1",
            True,
            log,
            on_load=lambda daemon, report: None,
            on_owners=lambda service, changed, position: None,
            on_records=self._on_records,
            on_positions=self._on_positions,
            on_unknown_granter=lambda: self.shared.trigger_read(),
            on_offer=lambda term: None,
            on_term_end_request=lambda term: None,
        )
        is_granter = self.messenger.is_granter

        def monitor(call):
            return StoreCallMonitor(call, log, GatewayMetrics())

        self.instances = InstanceWatcher(
            self.store,
            self.site,
            Connections(),
            monitor("instances"),
            log,
            self.messenger,
            is_granter,
        )
        self.operators = OperatorWatcher(
            self.store,
            self.site,
            monitor("operators"),
            log,
            self.messenger,
            is_granter,
        )
        self.shared = SharedWatcher(
            self.store,
            self.site,
            Member(name, f"{name}:1"),
            None,
            monitor("shared"),
            lambda position, at_ms: None,
            lambda position: None,
            is_granter,
            lambda: False,
            self.messenger,
            lambda: None,
        )
        self.operators._wakeup = world.clock.make_event()
        self.shared._wakeup = world.clock.make_event()
        self._observe_configurations()

    def start(self) -> None:
        """Starts the threads."""
        reporter = LoadReporter(self.messenger, self.site)
        for task in (
            self.shared.run_once,
            self.operators.run_once,
            self.instances.run_once,
            reporter.run_once,
        ):
            self._world.start_worker(task)

    def _observe_configurations(self) -> None:
        apply = self.site.apply_operators

        def apply_and_observe(*arguments):
            config = apply(*arguments)
            if config is not None:
                self.in_force_ms[config.version] = self._world.clock.now_ms
            return config

        self.site.apply_operators = apply_and_observe

    def _on_records(self, message) -> None:
        reader = self.shared if message.log == "shared" else self.operators
        reader.apply_broadcast(message)

    def _on_positions(self, shared: int, operators: int) -> None:
        self.shared.record_granter_position(shared)
        self.operators.record_granter_position(operators)


class ConfigWorld:
    """A site of some daemons, the first of which is the granter.

    Attributes:
        clock: Virtual time.
        logs: Logs of the store.
        daemons: The daemons by name.
        links: Their links by name.
        link_faults: Times in which links lose messages.
    """

    def __init__(self, monkeypatch, names=("d1", "d2", "d3")) -> None:
        self.clock = VirtualClock()
        self.logs = SharedLogs(self.clock)
        self.daemons: dict[str, ModelDaemon] = {}
        self.links: dict[str, ModelLinks] = {}
        self.link_faults: list[LinkFault] = []
        self._term = 0
        for module in CLOCK_MODULES:
            monkeypatch.setattr(module, "now_ms", self.clock.read)
        self._patch_links(monkeypatch)
        for name in names:
            self.logs.share(MEMBER_PREFIX + name, encode_member(Member(name, "h:1")))
        self.appoint(names[0])
        self.logs.publish(1)
        for name in names:
            self.daemons[name] = ModelDaemon(self, name)
        for daemon in self.daemons.values():
            daemon.start()

    def start_worker(self, task: Callable[[], float]) -> None:
        """Runs a task as `Worker` does."""

        def run() -> None:
            while True:
                self.clock.sleep(task())

        self.clock.start(run)

    def appoint(self, daemon: str) -> None:
        """Records a daemon as granter; it reads the record at once."""
        self._term += 1
        record = GranterRecord(daemon, daemon, self._term)
        self.logs.share(GRANTER_KEY, encode_granter(record))
        if daemon in self.daemons:
            self.daemons[daemon].shared.trigger_read()

    def run(self, duration_ms: float) -> None:
        """Lets time pass."""
        self.clock.run_until(self.clock.now_ms + duration_ms)

    def is_link_cut(self, daemons: set[str]) -> bool:
        """Returns whether messages between two daemons are lost now."""
        return any(
            fault.daemon in daemons
            and fault.start_ms <= self.clock.now_ms < fault.end_ms
            for fault in self.link_faults
        )

    def in_touch_ms(self, daemon: str, stable_ms: float) -> float:
        """Returns from when on the store's calls of a daemon have not failed."""
        ends_ms = [fault.end_ms for fault in self.daemons[daemon].store.faults]
        return max(ends_ms, default=0.0) + stable_ms

    def delay_ms(self, daemon: str, version: int, published_ms: float) -> float:
        """Returns how long after its publication a version came into force."""
        times = self.daemons[daemon].in_force_ms
        later = [at_ms for known, at_ms in times.items() if known >= version]
        return min(later, default=float("inf")) - published_ms

    def _patch_links(self, monkeypatch) -> None:
        world = self

        def make_links(daemon, process, zone, address, on_message, *_):
            links = ModelLinks(world, daemon, on_message)
            world.links[daemon] = links
            return links

        monkeypatch.setattr(messenger, "PeerLinks", make_links)
