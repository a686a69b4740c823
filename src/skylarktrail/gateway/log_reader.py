"""Periodic task that reads a log of the store, and broadcasts it as granter."""

from __future__ import annotations

import math
import threading
from typing import Any, Callable

from result import Result

from ..errors import platform as codes
from ..errors.code import Fault
from ..peer.gateway_messages import GatewayRecords
from .clock import now_ms
from .messenger import Messenger
from .site_state import SiteState
from .site_store import SiteStore
from .store_monitor import StoreCallMonitor

# A daemon that has just started expects the granter's broadcasts for this long before
# it follows the log itself. Else each record of a daemon would wake all the others
# while a whole site starts.
SETTLE_MS = 1500.0
# How often a daemon that waits for new records checks that the granter is alive.
FOLLOWER_WAIT_MS = 300.0
# A daemon knows all records 3 s after the end of a disruption. A read on a dead
# connection takes this wait and the store's response timeout; a pause and another read
# follow.
LONG_POLL_MS = 1500
# Without a pause, each record would wake every reader while all daemons of a site start
# or operators publish a series of versions. A configuration has to be in force within
# 2 s.
BATCHING_PAUSE_MS = 400.0
# The granter sends records to each daemon over its own network link, which may have a
# hundredth of the store's bandwidth.
MAX_BROADCAST_BYTES = 16 << 10
UNKNOWN_POSITION = -1  # Follows no known position, so that receivers read the store.


class LogReader:
    """Reads a log of the store and, as granter, broadcasts its records.

    While a granter sends listings, other daemons read only if it has reached a later
    position and they did not receive the records.

    Args:
        store: Store client; used only by this reader's thread.
        site: State of the site.
        monitor: Counts the reads.
        messenger: Sends messages to the other daemons.
        is_granter: Returns whether this daemon is the granter.

    Attributes:
        log_name: Name of the log in broadcasts.
    """

    log_name = ""

    def __init__(
        self,
        store: SiteStore,
        site: SiteState,
        monitor: StoreCallMonitor,
        messenger: Messenger,
        is_granter: Callable[[], bool],
    ) -> None:
        self._store = store
        self._site = site
        self._monitor = monitor
        self._messenger = messenger
        self._is_granter = is_granter
        self._position: int | None = None
        self._started_ms = now_ms()
        self._known_until_ms = -math.inf
        self._wakeup = threading.Event()
        self._lock = threading.Lock()

    def run_once(self) -> float:
        """Reads once if needed; returns the milliseconds until the next run."""
        broadcast_wait_ms = self._broadcast_wait_ms()
        if self._position is not None and broadcast_wait_ms > 0:
            if not self._wakeup.wait(broadcast_wait_ms / 1000):
                return 0.0
            return self._read(0)
        return self._read(0 if self._monitor.is_failing else self._long_poll_ms())

    def _long_poll_ms(self) -> int:
        """Returns how long a read waits for new records."""
        return LONG_POLL_MS

    def trigger_read(self) -> None:
        """Starts the next read at once."""
        self._wakeup.set()

    def applied_position(self) -> int:
        """Returns the position up to which all records are applied; -1 for none."""
        with self._lock:
            return -1 if self._position is None else self._position

    def age_ms(self) -> float:
        """Returns for how long this daemon may have missed records of the log."""
        return now_ms() - max(self._started_ms, self._known_until_ms)

    def _broadcast_wait_ms(self) -> float:
        """Returns how long to wait for broadcasts; 0 to read the store instead."""
        return FOLLOWER_WAIT_MS if self._expects_broadcasts() else 0.0

    def _expects_broadcasts(self) -> bool:
        """Returns whether the granter sends new records, or may soon do so."""
        return self._is_settling() or self._messenger.expects_listings()

    def _is_settling(self) -> bool:
        """Returns whether this daemon has just started."""
        return now_ms() - self._started_ms < SETTLE_MS

    def record_granter_position(self, position: int) -> None:
        """Triggers a read if the granter has reached a later position."""
        if self._position is None or position > self._position:
            self._wakeup.set()

    def apply_broadcast(self, message: GatewayRecords) -> None:
        """Applies broadcast records; triggers a read if earlier ones are missing."""
        records = [(item.key, item.value) for item in message.records]
        with self._lock:
            is_next = self._position == message.base
            if is_next and self._try(self._apply_records, records, message.position):
                return
        self.record_granter_position(message.position)

    def _read(self, wait_ms: int) -> float:
        """Reads once, waiting for new records; returns the pause until the next run."""
        self._wakeup.clear()
        started_ms = now_ms()
        position = self._position
        read = self._fetch(position, wait_ms)
        pause_ms = self._record_read_result(read)
        if pause_ms is not None:
            return pause_ms
        update = read.unwrap()
        is_applied = self._apply_read(update, position)
        if self._is_granter() and position is not None and update.records:
            self._broadcast(update, position)
        # A read that ends before the log does shows nothing of what follows, so it is
        # not finished: a successor's record may be there.
        if not is_applied or update.has_more:
            self._wakeup.set()
            return 0.0
        self._known_until_ms = started_ms
        return self._finish_read(update, position, started_ms)

    def _apply_read(self, update: Any, position: int | None) -> bool:
        """Applies a read from a position unless a broadcast has moved on meanwhile.

        Returns:
            Whether all records of the read are applied now.
        """
        with self._lock:
            if self._position == position:
                self._try(self._apply_update, update)
            return self._position is not None and self._position >= update.position

    def _try(self, apply: Callable[..., Any], *arguments: Any) -> Any:
        """Applies records; after an exception, the next read brings all of them again.

        The position is known already then, though some records may not be applied.
        """
        try:
            return apply(*arguments)
        except Exception:
            self._position = None
            raise

    def _broadcast(self, update: Any, position: int) -> None:
        """Broadcasts records, or only their position if they are too large."""
        size_bytes = sum(len(value) for _, value in update.records)
        records = update.records if size_bytes <= MAX_BROADCAST_BYTES else ()
        base = position if records else UNKNOWN_POSITION
        self._messenger.broadcast_records(self.log_name, base, update.position, records)

    def _fetch(self, position: int | None, wait_ms: int) -> Result[Any, Fault]:
        raise NotImplementedError

    def _apply_update(self, update: Any) -> None:
        raise NotImplementedError

    def _apply_records(self, records: list[tuple[str, bytes]], position: int) -> bool:
        """Applies records that follow the last; returns False if they are invalid."""
        raise NotImplementedError

    def _finish_read(
        self, update: Any, position: int | None, started_ms: float
    ) -> float:
        """Completes a read from a position; returns the pause until the next run."""
        raise NotImplementedError

    def _record_read_result(self, read: Result[Any, Fault]) -> float | None:
        """Records the result of a read; returns the backoff after a failure.

        A position that does not exist any more is no failure of the store: a snapshot
        is read next.
        """
        if read.is_err() and read.unwrap_err().code is codes.STORE_TRIMMED:
            self._position = None
            self._wakeup.set()
            return 0.0
        pause_ms = self._monitor.check(read)
        if pause_ms is not None:
            self._wakeup.set()
        return pause_ms
