"""Simulates daemons, a store, instances and links, where each call may be late or lost.

The world holds what is true; daemons know only what they have read and been answered.
After each grant that an instance carries out, the world checks the rules on key owners.
"""

from __future__ import annotations

import heapq
import random
from typing import Callable, NamedTuple

from skylarktrail.core.gateway.granter import FENCES_PER_TERM
from skylarktrail.core.gateway.key_load import LoadDistribution
from skylarktrail.core.gateway.lease_calls import GrantCall, ReleaseCall
from skylarktrail.core.gateway.model import InstanceEntry
from skylarktrail.core.gateway.positions import era_of
from skylarktrail.core.gateway.ranges import OwnedRange, find_gaps
from skylarktrail.core.gateway.shared_state import (
    OWNERS_PREFIX,
    SharedState,
    encode_owners,
)

from .lease_world_daemon import SERVICE, DaemonProcess, DaemonSettings
from .lease_world_instances import InstanceProcess, Lease
from .lease_world_store import HeldWrite, SharedRead, SimulatedStore

STEP_MS = 50.0
SLOW_CLOCK_RATIO = 1.02  # The clock of an instance may run 2% slow.
LATE_GRANT_DELAY_MS = (2000.0, 16_000.0)
LINK_DELAY_MS = (0.5, 15.0)
SLOW_LINK_DELAY_MS = (100.0, 950.0)
STORE_DELAY_MS = (1.0, 15.0)
LATE_WRITE_DELAY_MS = (1000.0, 5000.0)
# Bytes held back by a link arrive within this time after it has healed, as the sender
# repeats them at growing intervals.
RETRANSMIT_DELAY_MS = (0.0, 3000.0)
# The timeouts of platform/lease_client.py and platform/store_client.py.
CONNECT_TIMEOUT_MS = 300.0
GRANT_TIMEOUT_MS = 500.0
RELEASE_TIMEOUT_MS = 3000.0
STORE_TIMEOUT_MS = 900.0
ENTRY_TTL_MS = 3000.0  # Entries are removed after this time without a heartbeat.
PEER_DELAY_MS = (0.5, 15.0)
TRACE_LINES = 60

# The exceptions of the rules on owners. First: grants that arrive within this time
# after their sender was thawed or a link healed do not count.
THAW_SLACK_MS = 300.0
# Second: grants that were held up on their way, or carried out late, do not count where
# two processes hold a key for over half a second. As two processes that both begin
# requests on a key are never excused, such grants are limited to that time here.
MAX_LATE_OVERLAP_MS = 500.0
HELD_UP_MS = 1000.0  # A grant that is longer under way was held up.

OK, HANG, REFUSE, RESET = "ok", "hang", "refuse", "reset"
SILENT = "silent"  # The store accepts calls and answers nothing.
EVEN_LOAD = LoadDistribution({}, 1.0, 0.0)


class ClientModel(NamedTuple):
    """What a daemon's client of lease calls does with its connections.

    Attributes:
        drops_given_up_calls: Whether bytes that a link still holds back are dropped
            when the client gives up, as it resets the connection; if not, they arrive
            when the link heals.
        drops_calls_at_kill: Whether they are dropped when its process is killed.
        keeps_connections: Whether calls other than renewals use a kept connection too,
            on which answers to earlier calls may arrive.
    """

    drops_given_up_calls: bool
    drops_calls_at_kill: bool
    keeps_connections: bool


# Follows platform/lease_client.py and has to change with it.
PRESENT_CLIENT = ClientModel(True, True, False)


class StoreFaults:
    """Faults of the store.

    Attributes:
        lost_answer_ratio: Fraction of the appends that are executed unanswered.
        late_ratio: Fraction of the appends that are executed late and unanswered.
        lost_keys: Prefixes of the keys whose appends are lost.
        states: State of the path from each daemon.
    """

    def __init__(self) -> None:
        self.lost_answer_ratio = 0.0
        self.late_ratio = 0.0
        self.lost_keys: tuple[str, ...] = ()
        self.states: dict[str, str] = {}


class OwnerViolation(AssertionError):
    """A rule on the owners of keys is broken."""


class LeaseWorld:
    """A site with one keyed service.

    Args:
        seed: Seed of all random choices.
        daemons: Number of daemons.
        instances: Number of instances.
        client: What the client of lease calls does.
        owners: Owners that are recorded before the daemons start.
        first_era: First era of the store.

    Attributes:
        now_ms: Present time.
        daemons: Running process of each daemon.
        instances: Latest process of each instance that was not removed.
        addresses: Process that listens at each address.
        distribution: Distribution of the load over the hashes.
        lost_answer_ratio: Fraction of the lease calls whose answer is lost.
        slow_link_ratio: Fraction of the lease calls that are slow on their way.
        slow_delay_ms: How long these take in each direction.
        late_delay_ms: How late instances carry out the grants that they leave
            unanswered.
        listing_held_until_ms: Until when each daemon gets no new listing.
    """

    def __init__(
        self,
        seed: int,
        daemons: int = 3,
        instances: int = 4,
        client: ClientModel = PRESENT_CLIENT,
        owners: tuple[OwnedRange, ...] = (),
        first_era: int = 1,
    ) -> None:
        self.random = random.Random(seed)
        self.now_ms = 1000.0
        self.client = client
        self.store = SimulatedStore(first_era)
        self.store_faults = StoreFaults()
        self.daemons: dict[str, DaemonProcess] = {}
        self.instances: dict[str, InstanceProcess] = {}
        self.addresses: dict[str, InstanceProcess] = {}
        self.distribution = EVEN_LOAD
        self.lost_answer_ratio = 0.0
        self.slow_link_ratio = 0.0
        self.slow_delay_ms = SLOW_LINK_DELAY_MS
        self.late_delay_ms = LATE_GRANT_DELAY_MS
        self.listing_held_until_ms: dict[str, float] = {}
        self.cut_peers: set[str] = set()
        self._link_states: dict[tuple[str, str], str] = {}
        self._healed_ms: dict[tuple[str, str], float] = {}
        self._held: list[tuple[tuple[str, str], Callable[[], None]]] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._process_count = 0
        self._processes: list[InstanceProcess] = []
        self._is_dirty = False
        self._late_since_ms: dict[tuple[int, int], float] = {}
        self._held_fences: dict[tuple[str, int, int, int], None] = {}
        self._fence_granters: dict[int, str] = {}
        self._unlisted: set[str] = set()
        self._trace: list[str] = []
        self._is_held_write: Callable[[str, bytes], bool] | None = None
        for number in range(instances):
            self.add_instance(f"s{number}", f"a{number}")
            self.register(f"s{number}")
        if owners:
            self.store.append(OWNERS_PREFIX + SERVICE, encode_owners(owners), None)
        for number in range(daemons):
            self.start_daemon(f"d{number}", DaemonSettings(), is_first_start=True)

    # Time.

    def schedule(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Runs an action after a time."""
        self._event_count += 1
        event = (self.now_ms + max(0.0, delay_ms), self._event_count, action)
        heapq.heappush(self._events, event)

    def advance(self, duration_ms: float) -> None:
        """Runs the world for a time.

        Raises:
            OwnerViolation: A rule on the owners of keys was broken.
        """
        end_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
            if self._is_dirty:
                self._is_dirty = False
                self._check_holders()
        self.now_ms = end_ms

    def advance_until(self, is_reached: Callable[[], bool], limit_ms: float) -> bool:
        """Runs until a condition holds; returns whether it did within the limit."""
        end_ms = self.now_ms + limit_ms
        while not is_reached() and self.now_ms < end_ms:
            self.advance(STEP_MS)
        return is_reached()

    def log(self, text: str) -> None:
        """Adds a line to the trace."""
        self._trace.append(f"{self.now_ms / 1000:8.3f} s  {text}")

    def trace(self) -> str:
        """Returns the last lines of the trace."""
        return "\n".join(self._trace[-TRACE_LINES:])

    # Daemons.

    def start_daemon(
        self, name: str, settings: DaemonSettings, is_first_start: bool = False
    ) -> DaemonProcess:
        """Starts a process of a daemon, at times that of a new site."""
        self._process_count += 1
        process = f"p{self._process_count}"
        daemon = DaemonProcess(self, name, process, settings, is_first_start)
        self.daemons[name] = daemon
        self.log(f"{name}/{process} starts")
        daemon.start()
        return daemon

    def kill_daemon(self, name: str) -> None:
        """Ends the process of a daemon; what it has sent may still arrive."""
        self.log(f"{name}/{self.daemons[name].process} is killed")
        self.daemons.pop(name).ended_ms = self.now_ms

    def restart_daemon(self, name: str, delay_ms: float = 0.0) -> None:
        """Kills the process of a daemon and starts another one."""
        settings = self.daemons[name].settings
        self.kill_daemon(name)
        if delay_ms == 0.0:
            self.start_daemon(name, settings)
            return
        self.schedule(delay_ms, lambda: self._start_again(name, settings))

    def _start_again(self, name: str, settings: DaemonSettings) -> None:
        if name not in self.daemons:
            self.start_daemon(name, settings)

    def freeze_daemon(self, name: str, duration_ms: float) -> None:
        """Stops a daemon for a time."""
        self.log(f"{name} is frozen for {duration_ms:.0f} ms")
        self.daemons[name].freeze(duration_ms)

    def find_granter(self) -> DaemonProcess | None:
        """Returns the granter with the highest term."""
        granters = [item for item in self.daemons.values() if item.is_granter]
        return max(granters, key=lambda item: item.term, default=None)

    def wait_for_granter(self, limit_ms: float = 10_000.0) -> DaemonProcess:
        """Runs until all keys are held, and returns the granter."""
        assert self.advance_until(
            lambda: bool(self.find_granter()) and not self.unheld_ranges(), limit_ms
        ), self.trace()
        granter = self.find_granter()
        assert granter is not None
        return granter

    # Instances.

    def add_instance(self, name: str, address: str) -> InstanceProcess:
        """Starts an instance, which replaces the one at its address."""
        former = self.addresses.get(address)
        if former is not None:
            former.is_up = False
        process = InstanceProcess(name, address, int(self.now_ms), SLOW_CLOCK_RATIO)
        self.instances[name] = process
        self.addresses[address] = process
        self._processes = [item for item in self._processes if item.is_up]
        self._processes.append(process)
        self.log(f"{name} starts at {address}")
        return process

    def register(self, name: str) -> None:
        """Writes the entry of an instance."""
        process = self.instances.get(name)
        if process is None or not process.is_up or name in self._unlisted:
            return
        self._write_entry(process, is_draining=False)
        self.log(f"{name} is registered")

    def drain(self, name: str) -> None:
        """Lets an instance report that it drains; it goes on."""
        process = self.instances.get(name)
        if process is not None and process.is_up and name in self.store.entries:
            self._write_entry(process, is_draining=True)
            self.log(f"{name} drains")

    def _write_entry(self, process: InstanceProcess, is_draining: bool) -> None:
        self.store.write_entry(
            InstanceEntry(
                process.name,
                SERVICE,
                process.address,
                "",
                3,
                is_draining,
                0.0,
                process.start_ms,
                2 if is_draining else 1,
            )
        )

    def crash(self, name: str) -> None:
        """Ends an instance; its entry expires later."""
        process = self.instances[name]
        process.is_up = False
        if self.addresses.get(process.address) is process:
            del self.addresses[process.address]
        self.log(f"{name} ends")
        self.schedule(ENTRY_TTL_MS, lambda: self._expire(process))

    def _expire(self, process: InstanceProcess) -> None:
        entry = self.store.entries.get(process.name)
        if entry is not None and entry.start_ms == process.start_ms:
            self.store.remove_entry(process.name)
            self.log(f"the entry of {process.name} expires")

    def restart(self, name: str, entry_delay_ms: float = 0.0) -> None:
        """Starts a new incarnation of an instance, which is listed after a time."""
        process = self.instances[name]
        process.is_up = False
        self.add_instance(name, process.address)
        self.schedule(entry_delay_ms, lambda: self.register(name))

    def replace(self, name: str, new_name: str, entry_delay_ms: float = 0.0) -> None:
        """Ends an instance; another one starts at its address."""
        process = self.instances.pop(name)
        self.add_instance(new_name, process.address)
        self.schedule(ENTRY_TTL_MS, lambda: self._expire(process))
        self.schedule(entry_delay_ms, lambda: self.register(new_name))

    def unlist(self, name: str) -> None:
        """Removes the entry of an instance that goes on, until `list_again`."""
        self._unlisted.add(name)
        self.store.remove_entry(name)
        self.log(f"{name} is unlisted")

    def list_again(self, name: str) -> None:
        """Lets an instance write its entry again."""
        self._unlisted.discard(name)
        self.register(name)

    # Links between daemons and instances.

    def set_link(self, daemon: str, address: str, state: str) -> None:
        """Changes the state of a link."""
        link = (daemon, address)
        before = self._link_states.get(link, OK)
        if before == state:
            return
        self._link_states[link] = state
        self.log(f"link {daemon}-{address}: {state}")
        if state == OK:
            self._healed_ms[link] = self.now_ms
            self._deliver_held(link)

    def set_links_of(self, daemon: str, state: str) -> None:
        """Changes the state of all links of a daemon."""
        for address in sorted({item.address for item in self.instances.values()}):
            self.set_link(daemon, address, state)

    def can_connect(self, sender: DaemonProcess, address: str) -> bool:
        """Returns whether a daemon can open a connection to an address."""
        is_open = self._link_states.get((sender.name, address), OK) == OK
        return is_open and address in self.addresses

    def is_holding_bytes(self) -> bool:
        """Returns whether a link holds bytes of a call back."""
        return bool(self._held)

    def _deliver_held(self, link: tuple[str, str]) -> None:
        held = [deliver for item, deliver in self._held if item == link]
        self._held = [item for item in self._held if item[0] != link]
        for deliver in held:
            self.schedule(self.random.uniform(*RETRANSMIT_DELAY_MS), deliver)

    def record_fence(self, fence: int, issuer: str) -> None:
        """Checks that no two granters issue the same fence."""
        known = self._fence_granters.setdefault(fence, issuer)
        if known != issuer:
            name = self.name_fence(fence)
            self._fail(f"fence {name} is issued by {known} and by {issuer}")

    @staticmethod
    def name_fence(fence: int) -> str:
        """Returns the term and the counter of a fence."""
        return f"{fence // FENCES_PER_TERM}.{fence % FENCES_PER_TERM}"

    def send_call(
        self,
        sender: DaemonProcess,
        call: GrantCall | ReleaseCall,
        complete: Callable[[str], None],
    ) -> None:
        """Sends a lease call; calls back with its outcome."""
        LeaseCallFlight(self, sender, call, complete).send()

    # Calls to the store.

    def _store_state(self, daemon: DaemonProcess) -> str:
        return self.store_faults.states.get(daemon.name, OK)

    def _call_store(
        self,
        daemon: DaemonProcess,
        execute: Callable[[], object],
        complete: Callable[[object], None],
        lag_ms: float = 0.0,
    ) -> None:
        """Executes a call; `complete` gets its result, or None after a failure."""
        state = self._store_state(daemon)
        if state != OK:
            delay_ms = STORE_TIMEOUT_MS if state == SILENT else 5.0
            daemon.after(delay_ms, lambda: complete(None))
            return

        def arrive() -> None:
            result = execute()
            delay_ms = self.random.uniform(*STORE_DELAY_MS) + lag_ms
            daemon.after(delay_ms, lambda: complete(result))

        self.schedule(self.random.uniform(*STORE_DELAY_MS), arrive)

    def read_store(
        self,
        daemon: DaemonProcess,
        position: int,
        wait_ms: float,
        complete: Callable[[SharedRead | str | None], None],
    ) -> None:
        """Reads the shared records, waiting up to a time for new ones."""
        is_answered = False

        def read() -> None:
            nonlocal is_answered
            if not is_answered:
                is_answered = True
                self._call_store(
                    daemon,
                    lambda: self.store.read(position),
                    complete,
                    daemon.settings.read_lag_ms,
                )

        is_waiting = wait_ms and position == self.store.position
        if not is_waiting or self._store_state(daemon) != OK:
            read()
            return
        self.store.wait_for_records(read)
        self.schedule(wait_ms, read)

    def read_listing(
        self,
        daemon: DaemonProcess,
        complete: Callable[[tuple[list[InstanceEntry], int] | None], None],
    ) -> None:
        """Reads the entries of all instances."""
        if self.now_ms < self.listing_held_until_ms.get(daemon.name, 0.0):
            return
        self._call_store(
            daemon,
            lambda: (list(self.store.entries.values()), self.store.listing_position),
            complete,
            daemon.settings.listing_lag_ms,
        )

    def renew_candidacy(
        self,
        daemon: DaemonProcess,
        ttl_ms: float,
        complete: Callable[[bool | None], None],
    ) -> None:
        """Renews a candidacy for the granter role."""
        self._call_store(
            daemon,
            lambda: self.store.renew_candidacy(
                daemon.name, self.now_ms + ttl_ms, self.now_ms
            ),
            complete,
        )

    def append_to_store(
        self,
        daemon: DaemonProcess,
        key: str,
        value: bytes,
        position: int | None,
        complete: Callable[[int | str], None],
    ) -> None:
        """Appends a record; calls back with the position, or `conflict` or `lost`."""
        faults = self.store_faults
        is_lost = key.startswith(faults.lost_keys) if faults.lost_keys else False
        if self._store_state(daemon) != OK or is_lost:
            daemon.after(STORE_TIMEOUT_MS, lambda: complete("lost"))
            return

        if position is not None and self._try_hold_write(key, value, position):
            daemon.after(STORE_TIMEOUT_MS, lambda: complete("lost"))
            return

        def append() -> int | str:
            end = self.store.append(key, value, position)
            is_conflict = end is None
            if position is not None and era_of(position) != self.store.era:
                is_conflict = True  # Follows `PlatformStore.share`.
            return "conflict" if is_conflict or end is None else end

        if self.random.random() < faults.late_ratio:
            self.schedule(self.random.uniform(*LATE_WRITE_DELAY_MS), append)
            daemon.after(STORE_TIMEOUT_MS, lambda: complete("lost"))
        elif self.random.random() < faults.lost_answer_ratio:
            self.schedule(self.random.uniform(*STORE_DELAY_MS), append)
            daemon.after(STORE_TIMEOUT_MS, lambda: complete("lost"))
        else:
            self._call_store(daemon, append, complete)

    def hold_next_write(self, is_meant: Callable[[str, bytes], bool]) -> None:
        """Holds the next conditional write of some kind; the store goes away then."""
        self._is_held_write = is_meant

    def _try_hold_write(self, key: str, value: bytes, position: int) -> bool:
        is_meant = self._is_held_write
        if is_meant is None or not is_meant(key, value):
            return False
        self._is_held_write = None
        self.log(f"the store goes away, a write of {key} is on its way")
        self.store.held_write = HeldWrite(key, value, position)
        self.store_faults.states.update({name: SILENT for name in self.daemons})
        return True

    def recorded_owners(self) -> list[OwnedRange]:
        """Returns the owners that the store has on record."""
        state = SharedState()
        state.apply(self.store.records, False)
        table = state.owners.get(SERVICE)
        return table.ranges if table else []

    def restore_store(self, record_count: int) -> None:
        """Returns the store to a copy that lacks the last records."""
        position = max(0, len(self.store.records) - record_count)
        self.store.restore(position)
        self.log(f"the store is back from a copy that ends at {position}")

    # Messages between daemons.

    def send_peer(
        self,
        sender: DaemonProcess,
        name: str,
        handle: Callable[[DaemonProcess], None],
        process: str = "",
    ) -> None:
        """Sends a message to a daemon, or to one process of it."""

        def arrive() -> None:
            peer = self.daemons.get(name)
            is_cut = {name, sender.name} & self.cut_peers
            if peer is None or is_cut or (process and peer.process != process):
                return
            peer.after(0.0, lambda: handle(peer))

        self.schedule(self.random.uniform(*PEER_DELAY_MS), arrive)

    def broadcast(
        self, sender: DaemonProcess, handle: Callable[[DaemonProcess], None]
    ) -> None:
        """Sends a message to all other daemons."""
        for name in sorted(self.daemons):
            if name != sender.name:
                self.send_peer(sender, name, handle)

    # What instances do, and the checks.

    def execute_grant(
        self,
        process: InstanceProcess,
        call: GrantCall,
        sender: DaemonProcess,
        sent_ms: float,
        arrived_ms: float,
    ) -> str:
        """Carries out a grant that arrived now or earlier; returns its outcome."""
        if not process.is_up:
            return "silent"
        if process.has_seen_higher_fence(call):
            return "fenced"
        is_new = (call.first, call.last, call.fence) not in process.fences
        process.fences.add((call.first, call.last, call.fence))
        end_ms = arrived_ms + call.lease_ms * process.clock_ratio
        is_late = self.now_ms > arrived_ms or arrived_ms - sent_ms > HELD_UP_MS
        is_excused = self._is_excused(sender, call.address, arrived_ms)
        if is_new or is_late:
            self.log(
                f"{process.name} ({process.start_ms}) takes {call.first}-{call.last} "
                f"fence {self.name_fence(call.fence)} from {sender.name}"
                + (f", {self.now_ms - sent_ms:.0f} ms after its sending" * is_late)
                + (", excused" if is_excused else "")
            )
        if end_ms > self.now_ms:
            lease = Lease(
                call.first, call.last, call.fence, end_ms, is_excused, is_late
            )
            process.add_lease(lease, self.now_ms)
            self._is_dirty = True
            if not is_excused:
                self._check_fence(process, call)
        return "done"

    def execute_release(self, process: InstanceProcess, call: ReleaseCall) -> float:
        """Carries out a release; returns when the work on the range has ended."""
        self.log(
            f"{process.name} ({process.start_ms}) releases {call.first}-{call.last} "
            f"fence {self.name_fence(call.fence)}"
        )
        return process.release(call.first, call.last, call.fence, self.now_ms)

    def _is_excused(
        self, sender: DaemonProcess, address: str, arrived_ms: float
    ) -> bool:
        healed_ms = self._healed_ms.get((sender.name, address), -1e18)
        since_ms = min(arrived_ms - sender.thawed_ms, arrived_ms - healed_ms)
        return 0 <= since_ms <= THAW_SLACK_MS

    def _check_fence(self, process: InstanceProcess, call: GrantCall) -> None:
        """Checks that a fence is above all with which other instances had a key."""
        for name, first, last, fence in self._held_fences:
            is_shared = first <= call.last and last >= call.first
            if is_shared and name != process.name and fence >= call.fence:
                self._fail(
                    f"{process.name} takes {call.first}-{call.last} with fence "
                    f"{self.name_fence(call.fence)}; {name} had {first}-{last} with "
                    f"{self.name_fence(fence)}"
                )
        self._held_fences[(process.name, call.first, call.last, call.fence)] = None

    def _check_holders(self) -> None:
        """Checks that no hash is held by two processes, but for the exceptions."""
        late_pairs = set()
        for (one, lease), (other, other_lease) in self._find_shared():
            if lease.is_excused or other_lease.is_excused:
                continue
            if not (lease.is_late or other_lease.is_late):
                self._fail_shared(one, lease, other, other_lease)
            pair = (id(one), id(other))
            late_pairs.add(pair)
            since_ms = self._late_since_ms.setdefault(pair, self.now_ms)
            if self.now_ms - since_ms > MAX_LATE_OVERLAP_MS:
                self._fail_shared(one, lease, other, other_lease)
        self._late_since_ms = {
            pair: at for pair, at in self._late_since_ms.items() if pair in late_pairs
        }
        if late_pairs:
            self.schedule(STEP_MS, self._mark_dirty)

    def _mark_dirty(self) -> None:
        self._is_dirty = True

    def _find_shared(
        self,
    ) -> list[tuple[tuple[InstanceProcess, Lease], tuple[InstanceProcess, Lease]]]:
        """Returns the pairs of leases of two processes that have a hash in common."""
        held = [
            (lease.first, lease.last, process, lease)
            for process in self._processes
            for lease in process.live_leases(self.now_ms)
        ]
        held.sort(key=lambda item: item[:2])
        shared = []
        active: list[tuple[int, int, InstanceProcess, Lease]] = []
        for item in held:
            active = [other for other in active if other[1] >= item[0]]
            shared += [
                (other[2:], item[2:]) for other in active if other[2] is not item[2]
            ]
            active.append(item)
        return shared

    def unheld_ranges(self) -> list[tuple[int, int]]:
        """Returns the ranges of hashes that no process holds."""
        held = [
            (lease.first, lease.last)
            for process in self._processes
            for lease in process.live_leases(self.now_ms)
        ]
        return find_gaps(held)

    def held_by(self, name: str) -> int:
        """Returns how many hashes the present process of an instance holds."""
        process = self.instances[name]
        gaps = find_gaps(
            (lease.first, lease.last) for lease in process.live_leases(self.now_ms)
        )
        return (1 << 16) - sum(last - first + 1 for first, last in gaps)

    def _fail_shared(
        self,
        one: InstanceProcess,
        lease: Lease,
        other: InstanceProcess,
        other_lease: Lease,
    ) -> None:
        first = max(lease.first, other_lease.first)
        last = min(lease.last, other_lease.last)
        self._fail(
            f"{one.name} ({one.start_ms}) and {other.name} ({other.start_ms}) hold "
            f"{first}-{last} with fences {self.name_fence(lease.fence)} and "
            f"{self.name_fence(other_lease.fence)}, until "
            f"{lease.end_ms / 1000:.3f} s and {other_lease.end_ms / 1000:.3f} s"
        )

    def _fail(self, text: str) -> None:
        self.log(text)
        raise OwnerViolation(f"{text}\n{self.trace()}")


class LeaseCallFlight:
    """A lease call on its way; follows `platform/lease_client.py`.

    The call may reach whichever process is at the address when it arrives. The sender
    gives up after a time.
    """

    def __init__(
        self,
        world: LeaseWorld,
        sender: DaemonProcess,
        call: GrantCall | ReleaseCall,
        complete: Callable[[str], None],
    ) -> None:
        self._world = world
        self._sender = sender
        self._call = call
        self._complete = complete
        self._link = (sender.name, call.address)
        self._sent_ms = world.now_ms
        self._is_completed = False
        self._had_stray_answer = False
        # Whether it uses a connection of its own, on which no other answer arrives.
        is_renewal = isinstance(call, GrantCall) and call.is_renewal
        self._is_alone = not is_renewal and not world.client.keeps_connections

    def send(self) -> None:
        """Sends the call, over a kept connection or a new one."""
        world, sender = self._world, self._sender
        address = self._call.address
        state = self._state()
        process = world.addresses.get(address)
        is_kept = sender.connections.get(address) is process and process is not None
        if not is_kept or self._is_alone:
            if not self._is_alone:
                self._forget_connection()
            if state == HANG:
                self._finish("unsent", CONNECT_TIMEOUT_MS)
                return
            if state == REFUSE or (process is None and state == OK):
                self._finish("refused", self._delay())
                return
            if state == RESET:
                self._finish("unsent", self._delay())
                return
        elif state in (REFUSE, RESET):
            self._forget_connection()
            self._finish("silent", self._delay())
            return
        self._await_answer(address)
        world.schedule(self._delay(), self._arrive)

    def _await_answer(self, address: str) -> None:
        is_grant = isinstance(self._call, GrantCall)
        timeout_ms = GRANT_TIMEOUT_MS if is_grant else RELEASE_TIMEOUT_MS
        self._give_up_ms = self._world.now_ms + timeout_ms
        stray_answers = self._sender.stray_answers
        if address in stray_answers and not self._is_alone:
            stray_answers.discard(address)
            self._had_stray_answer = True
            self._finish("done", self._delay())
        self._finish("silent", timeout_ms)

    def _state(self) -> str:
        return self._world._link_states.get(self._link, OK)

    def _delay(self) -> float:
        world = self._world
        if world.random.random() < world.slow_link_ratio:
            return world.random.uniform(*world.slow_delay_ms)
        return world.random.uniform(*LINK_DELAY_MS)

    def _finish(self, outcome: str, delay_ms: float) -> None:
        """Completes the call after a time unless it is completed before."""

        def finish() -> None:
            if self._is_completed:
                return
            self._is_completed = True
            if outcome == "silent" and not self._is_alone:
                self._forget_connection()
            self._complete(outcome)

        self._sender.after(delay_ms, finish)

    def _is_dropped(self) -> bool:
        """Returns whether the sender has dropped the bytes that it still held."""
        client = self._world.client
        if self._sender.ended_ms < self._give_up_ms:
            return client.drops_calls_at_kill
        is_given_up = self._world.now_ms >= self._give_up_ms
        return is_given_up and client.drops_given_up_calls

    def _arrive(self) -> None:
        """Handles that the bytes reach the address, or that the link holds them."""
        world, call = self._world, self._call
        state = self._state()
        if state == HANG:
            world._held.append((self._link, self._arrive_held))
            return
        if state != OK:
            self._finish("silent", 0.0)
            return
        process = world.addresses.get(call.address)
        if process is None:
            self._finish("silent", self._delay())
        elif process.name != call.instance:
            self._finish("replaced", self._delay())
        else:
            self._execute(process)

    def _arrive_held(self) -> None:
        if not self._is_dropped():
            self._arrive()

    def _execute(self, process: InstanceProcess) -> None:
        world, call = self._world, self._call
        arrived_ms = world.now_ms
        if isinstance(call, ReleaseCall):
            if process.is_silent:
                return
            end_ms = world.execute_release(process, call)
            self._answer(process, "done", end_ms - arrived_ms)
        elif world.random.random() < process.late_ratio:
            delay_ms = world.random.uniform(*world.late_delay_ms)
            world.schedule(
                delay_ms,
                lambda: world.execute_grant(
                    process, call, self._sender, self._sent_ms, arrived_ms
                ),
            )
        elif not process.is_silent:
            outcome = world.execute_grant(
                process, call, self._sender, self._sent_ms, arrived_ms
            )
            self._answer(process, outcome, 0.0)

    def _answer(self, process: InstanceProcess, outcome: str, delay_ms: float) -> None:
        world = self._world
        is_lost = world.random.random() < world.lost_answer_ratio

        def answer() -> None:
            if is_lost or self._state() != OK or not process.is_up:
                return
            if self._had_stray_answer:
                self._sender.stray_answers.add(self._call.address)
            self._finish(outcome, self._delay())
            self._keep_connection(process)

        world.schedule(delay_ms, answer)

    def _forget_connection(self) -> None:
        self._sender.stray_answers.discard(self._call.address)
        self._sender.connections.pop(self._call.address, None)

    def _keep_connection(self, process: InstanceProcess) -> None:
        if self._is_alone:
            return
        self._sender.connections[self._call.address] = process
        if process.has_second_answers:
            self._sender.stray_answers.add(self._call.address)
