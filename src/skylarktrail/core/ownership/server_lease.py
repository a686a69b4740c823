"""A granter's record of one server: assigned slices, lease and clock."""

from __future__ import annotations

from typing import NamedTuple

from .messages import Grant, GrantAnswer, GrantedSlice
from .status import ServerStatus
from .timings import Timings


class OutstandingGrant(NamedTuple):
    """A grant whose answer has not arrived yet.

    Attributes:
        sent_ms: Monotonic time at which it was sent.
        version: Version of the set of slices that it contains.
        is_fencing: Whether it gives no lease and only makes the server accept the
            term and return its clock.
        term: Term of the granter.
    """

    sent_ms: float
    version: int
    is_fencing: bool
    term: int


class ServerLease:
    """Lease of one server on slices of one group, as its granter records it.

    The end of a lease is given on the server's clock, which every answer contains. A
    first fencing grant reads that clock; leases follow.

    Attributes:
        server: VM identifier.
        slices: Slices that the server should hold, by first hash.
        fenced: Whether the server has accepted a grant of the current term, and so
            refuses grants of earlier terms.
    """

    def __init__(self, server: str, timings: Timings, lease_ms: float) -> None:
        """Starts without slices and without knowledge of the server's clock.

        Args:
            server: VM identifier.
            timings: Durations of the protocol.
            lease_ms: Longest lease that any granter of the group may have given.
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
        # Revoked slices, each with the version of the set that revoked it and the
        # time at which the last lease on it has ended.
        self._releasing: dict[GrantedSlice, tuple[int, float]] = {}
        self._outstanding: OutstandingGrant | None = None
        self._next_send_ms = 0.0

    def begin_term(self) -> None:
        """Starts a new term: the server is fenced and sent the whole set again."""
        self.fenced = False
        self._acknowledged_version = 0
        self._next_send_ms = 0.0

    def lease_end_ms(self) -> float:
        """Returns the local time at which every lease given so far has ended."""
        if self._clock_read_ms is None:
            return 0.0
        return self._clock_read_ms + self._timings.add_drift_margin(
            self._longest_lease_ms
        )

    def has_expired(self, now_ms: float) -> bool:
        """Tells whether no lease of this server can be valid any more."""
        return now_ms > self.lease_end_ms()

    def is_ready_for_lease(self, now_ms: float) -> bool:
        """Tells whether a lease granted now would last long enough.

        The server must be fenced, and its clock must have been read within the last
        half lease.
        """
        if self._clock_read_ms is None or not self.fenced:
            return False
        return now_ms < self._clock_read_ms + self._timings.lease_ms / 2

    def is_idle(self) -> bool:
        """Tells whether the server holds no slices and no answer is outstanding."""
        return not (self.slices or self._releasing or self._outstanding)

    def add_slice(self, granted: GrantedSlice) -> None:
        """Adds a slice to the set, or changes its fence."""
        self.slices[granted.start] = granted
        self._bump_version()

    def remove_slice(self, start: int) -> None:
        """Revokes a slice.

        The server may serve it until it acknowledges the revocation or its lease
        ends.
        """
        granted = self.slices.pop(start)
        self._bump_version()
        self._releasing[granted] = (self._version, self.lease_end_ms())

    def replace_slices(self, slices: list[GrantedSlice]) -> None:
        """Replaces the set after splits and merges.

        Args:
            slices: Slices with new bounds, inside the ranges of the former set.
        """
        before = list(self.slices.values())
        self.slices = {granted.start: granted for granted in slices}
        self._bump_version()
        for granted in before:
            if not any(new.start <= granted.start < new.end for new in slices):
                self._releasing[granted] = (self._version, self.lease_end_ms())

    def discard_slices(self) -> list[GrantedSlice]:
        """Removes and returns all slices of a server whose lease has ended."""
        dropped = list(self.slices.values())
        self.slices.clear()
        self._releasing.clear()
        self._bump_version()
        return dropped

    def releasing(self, now_ms: float) -> list[GrantedSlice]:
        """Returns revoked slices that the server may still serve."""
        self._releasing = {
            granted: entry
            for granted, entry in self._releasing.items()
            if now_ms <= entry[1]
        }
        return list(self._releasing)

    def _bump_version(self) -> None:
        self._version += 1
        self._next_send_ms = 0.0

    def is_due(self, now_ms: float) -> bool:
        """Tells whether a grant should be sent now.

        Only one grant is outstanding at a time. It counts as lost when no answer came
        within the duration of a lease.
        """
        if self._outstanding is not None:
            if now_ms < self._outstanding.sent_ms + self._timings.lease_ms:
                return False
            self._outstanding = None
        return now_ms >= self._next_send_ms

    def make_grant(self, group: str, term: int, now_ms: float) -> Grant:
        """Returns the next grant and records it as outstanding.

        It is a fencing grant if the server has no slices, is not fenced yet, or if its
        clock was read too long ago. Otherwise it gives or renews a lease.
        """
        is_empty = not (self.slices or self._releasing)
        is_fencing = is_empty or not self.fenced or self._is_clock_stale(now_ms)
        self._outstanding = OutstandingGrant(now_ms, self._version, is_fencing, term)
        self._next_send_ms = now_ms + self._timings.renew_ms
        if is_fencing:
            return Grant(group, term, "", 0, self._version, None)
        expires_at_ms = self._clock_ms + self._timings.lease_ms
        slices = tuple(self.slices.values())
        if self._acknowledged_version == self._version:
            slices = None
        return Grant(group, term, self._boot_id, expires_at_ms, self._version, slices)

    def _is_clock_stale(self, now_ms: float) -> bool:
        if self._clock_read_ms is None:
            return True
        return now_ms >= self._clock_read_ms + self._timings.lease_ms

    def handle_failure(self, sent_ms: float, now_ms: float) -> None:
        """Schedules the retry of a grant that got no answer."""
        if self._outstanding is None or self._outstanding.sent_ms != sent_ms:
            return
        self._outstanding = None
        delay_ms = self._timings.retry_ms
        if self.has_expired(now_ms):
            delay_ms = self._timings.renew_ms
        self._next_send_ms = now_ms + delay_ms

    def handle_answer(self, answer: GrantAnswer, sent_ms: float, now_ms: float) -> bool:
        """Handles the answer to a grant; late answers are ignored.

        Returns:
            Whether the outstanding grant was accepted.
        """
        sent = self._outstanding
        if sent is None or sent.sent_ms != sent_ms:
            return False
        if _answers_earlier_grant(answer, sent):
            self.handle_failure(sent_ms, now_ms)
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
        """Records the server's clock; a reboot has released its revoked slices."""
        if answer.boot_id != self._boot_id:
            self._boot_id = answer.boot_id
            self._acknowledged_version = 0
            self._releasing.clear()
            self._next_send_ms = 0.0
        self._clock_ms = answer.clock_ms
        self._clock_read_ms = now_ms

    def _handle_refusal(self, answer: GrantAnswer, now_ms: float) -> None:
        """Schedules the next grant; a reboot is answered at once."""
        if answer.reason == "boot":
            self._next_send_ms = 0.0
            return
        if answer.reason == "version":
            self._acknowledged_version = 0
            self._version = max(self._version, answer.version + 1)
        self._next_send_ms = now_ms + self._timings.retry_ms

    def _handle_acknowledgement(self, answer: GrantAnswer, version: int) -> None:
        """Drops the slices that this version of the set has revoked."""
        self._releasing = {
            granted: entry
            for granted, entry in self._releasing.items()
            if entry[0] > version
        }
        holds_version = answer.version == version
        self._acknowledged_version = version if holds_version else 0
        if version != self._version:
            self._next_send_ms = 0.0

    def status(self, now_ms: float) -> ServerStatus:
        """Returns the lease for the status page."""
        return ServerStatus(
            self.server,
            len(self.slices),
            len(self._releasing),
            self.lease_end_ms() - now_ms,
        )


def _answers_earlier_grant(answer: GrantAnswer, sent: OutstandingGrant) -> bool:
    """Returns whether an acceptance is one that was sent again for an earlier grant.

    It names an earlier term, or another version than the grant's; 0 if the server holds
    nothing any more.
    """
    if not answer.accepted:
        return False
    has_other_version = not sent.is_fencing and answer.version not in (0, sent.version)
    return answer.term < sent.term or has_other_version
