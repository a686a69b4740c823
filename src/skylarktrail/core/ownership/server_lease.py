"""What a granter knows about one server: its set, its lease, its clock."""

from __future__ import annotations

from typing import NamedTuple

from .messages import Grant, GrantAnswer, GrantedSlice
from .status import ServerStatus
from .timings import Timings


class OutstandingGrant(NamedTuple):
    """A grant without an answer yet.

    Attributes:
        sent_ms: When it was sent.
        version: Version of the set that it names.
        fencing: Whether it only raises the term and reads the clock.
    """

    sent_ms: float
    version: int
    is_fencing: bool


class ServerLease:
    """The granter's account of one server in one group.

    Attributes:
        server: VM identifier.
        slices: The set that the server should hold, by first hash.
        fenced: Whether the server accepted a grant of the term in force.
    """

    def __init__(self, server: str, timings: Timings, lease_ms: float) -> None:
        """Opens an account.

        Args:
            server: VM identifier.
            timings: Durations of the protocol.
            lease_ms: Longest lease that the server may have been given.
        """
        self.server = server
        self.slices: dict[int, GrantedSlice] = {}
        self.fenced = False
        self._timings = timings
        self._longest_lease_ms = max(lease_ms, timings.lease_ms)
        self._boot_id = ""
        self._clock_ms = 0
        self._clock_read_ms: float | None = None
        self._version = 1
        self._acknowledged_version = 0
        self._releasing: dict[GrantedSlice, tuple[int, float]] = {}
        self._outstanding: OutstandingGrant | None = None
        self._next_send_ms = 0.0

    def begin_term(self) -> None:
        """Makes the next grant carry the whole set, for a new term."""
        self.fenced = False
        self._acknowledged_version = 0
        self._next_send_ms = 0.0

    def lease_end_ms(self) -> float:
        """Returns when every lease given so far has ended, on the own clock."""
        if self._clock_read_ms is None:
            return 0.0
        return self._clock_read_ms + self._timings.add_drift_margin(
            self._longest_lease_ms
        )

    def has_lapsed(self, now_ms: float) -> bool:
        """Tells whether no lease of this server can be in force."""
        return now_ms > self.lease_end_ms()

    def is_ready_for_lease(self, now_ms: float) -> bool:
        """Tells whether a grant sent now would give a useful lease."""
        if self._clock_read_ms is None or not self.fenced:
            return False
        return now_ms < self._clock_read_ms + self._timings.lease_ms / 2

    def is_idle(self) -> bool:
        """Tells whether the server holds nothing and owes no answer."""
        return not (self.slices or self._releasing or self._outstanding)

    def add_slice(self, held: GrantedSlice) -> None:
        """Adds a slice to the set, or changes its fence."""
        self.slices[held.start] = held
        self._bump_version()

    def remove_slice(self, start: int) -> None:
        """Takes a slice out of the set; it is held until acknowledged or lapsed."""
        held = self.slices.pop(start)
        self._bump_version()
        self._releasing[held] = (self._version, self.lease_end_ms())

    def replace_slices(self, slices: list[GrantedSlice]) -> None:
        """Replaces the set by one of other bounds that it covers."""
        before = list(self.slices.values())
        self.slices = {held.start: held for held in slices}
        self._bump_version()
        for held in before:
            if not any(new.start <= held.start < new.end for new in slices):
                self._releasing[held] = (self._version, self.lease_end_ms())

    def discard_slices(self) -> list[GrantedSlice]:
        """Empties the set of a server whose lease has lapsed."""
        dropped = list(self.slices.values())
        self.slices.clear()
        self._releasing.clear()
        self._bump_version()
        return dropped

    def releasing(self, now_ms: float) -> list[GrantedSlice]:
        """Returns slices that the server may still hold though revoked."""
        self._releasing = {
            held: entry for held, entry in self._releasing.items() if now_ms <= entry[1]
        }
        return list(self._releasing)

    def _bump_version(self) -> None:
        self._version += 1
        self._next_send_ms = 0.0

    def is_due(self, now_ms: float) -> bool:
        """Tells whether a grant should be sent now; one at a time."""
        if self._outstanding is not None:
            if now_ms < self._outstanding.sent_ms + self._timings.lease_ms:
                return False
            self._outstanding = None
        return now_ms >= self._next_send_ms

    def make_grant(self, group: str, term: int, now_ms: float) -> Grant:
        """Returns the next grant: a fencing one to read the clock, or a lease."""
        is_empty = not (self.slices or self._releasing)
        is_fencing = is_empty or not self.fenced or self._is_stale(now_ms)
        self._outstanding = OutstandingGrant(now_ms, self._version, is_fencing)
        self._next_send_ms = now_ms + self._timings.renew_ms
        if is_fencing:
            return Grant(group, term, "", 0, self._version, None)
        expires_at_ms = self._clock_ms + self._timings.lease_ms
        slices = tuple(self.slices.values())
        if self._acknowledged_version == self._version:
            slices = None
        return Grant(group, term, self._boot_id, expires_at_ms, self._version, slices)

    def _is_stale(self, now_ms: float) -> bool:
        if self._clock_read_ms is None:
            return True
        return now_ms >= self._clock_read_ms + self._timings.lease_ms

    def handle_failure(self, sent_ms: float, now_ms: float) -> None:
        """Notes that a grant got no answer."""
        if self._outstanding is None or self._outstanding.sent_ms != sent_ms:
            return
        self._outstanding = None
        pause_ms = self._timings.retry_ms
        if self.has_lapsed(now_ms):
            pause_ms = self._timings.renew_ms
        self._next_send_ms = now_ms + pause_ms

    def handle_answer(self, answer: GrantAnswer, sent_ms: float, now_ms: float) -> bool:
        """Notes the answer to the outstanding grant.

        Returns:
            Whether it answers the outstanding grant and was accepted.
        """
        sent = self._outstanding
        if sent is None or sent.sent_ms != sent_ms:
            return False
        self._outstanding = None
        self._update_clock(answer, now_ms)
        if not answer.accepted:
            self._handle_refusal(answer, now_ms)
            return False
        if sent.is_fencing:
            self.fenced = True
            if self.slices or self._releasing:
                self._next_send_ms = 0.0
            return True
        self._handle_acknowledgement(answer, sent.version)
        return True

    def _update_clock(self, answer: GrantAnswer, now_ms: float) -> None:
        if answer.boot_id != self._boot_id:
            self._boot_id = answer.boot_id
            self._acknowledged_version = 0
            self._releasing.clear()
            self._next_send_ms = 0.0
        self._clock_ms = answer.clock_ms
        self._clock_read_ms = now_ms

    def _handle_refusal(self, answer: GrantAnswer, now_ms: float) -> None:
        if answer.reason == "boot":
            self._next_send_ms = 0.0
            return
        if answer.reason == "version":
            self._acknowledged_version = 0
            self._version = max(self._version, answer.version + 1)
        self._next_send_ms = now_ms + self._timings.retry_ms

    def _handle_acknowledgement(self, answer: GrantAnswer, version: int) -> None:
        self._releasing = {
            held: entry for held, entry in self._releasing.items() if entry[0] > version
        }
        holds_version = answer.version == version
        self._acknowledged_version = version if holds_version else 0
        if version != self._version:
            self._next_send_ms = 0.0

    def status(self, now_ms: float) -> ServerStatus:
        """Returns the account in typed form."""
        return ServerStatus(
            self.server,
            len(self.slices),
            len(self._releasing),
            self.lease_end_ms() - now_ms,
        )
