"""Decides whether a response that is expected after some time comes early enough.

A first attempt that would miss its latency target is refused at once, as its caller can
still be served elsewhere or later. Requests that wait, and those whose callers retry
after a refusal, have to meet their deadline.
"""

from __future__ import annotations

from .expected_times import ExpectedTimes
from .scheduler_view import SchedulerState
from .ticket import Ticket

# Work times vary, so a response that is expected just at the target is often late.
TARGET_USE_RATIO = 0.8
DEADLINE_USE_RATIO = 0.85  # Fraction of the remaining time that a response may take.
# Fraction of the time until the daemon stops that a response may be expected to take.
# A response that comes later is lost, and the caller cannot know whether it ran.
STOP_USE_RATIO = 0.8


class Timeliness:
    """Compares expected response times with targets, deadlines and a planned stop.

    Args:
        state: State of the daemon and the site.
        times: Expected response times.
    """

    def __init__(self, state: SchedulerState, times: ExpectedTimes) -> None:
        self._state = state
        self._times = times

    def update_lateness(self, ticket: Ticket, now_ms: float) -> None:
        """Notes whether the response can no longer meet the latency target."""
        work_ms = self._times.work_ms(ticket)
        ticket.is_late = now_ms + work_ms > ticket.target_end_ms

    def check_in_time(self, ticket: Ticket, expected_ms: float, now_ms: float) -> bool:
        """Refuses the ticket unless its response is expected in time.

        A first attempt must be expected to meet the latency target when it is
        submitted. A queued request, or one whose caller retries after a refusal, only
        has to meet its deadline. None is placed that the stop of this daemon would cut.
        """
        if self.is_cut_by_stop(ticket, expected_ms, now_ms):
            ticket.refusal_reason = "draining"
            return False
        if self.is_in_time(ticket, expected_ms, now_ms):
            return True
        ticket.refusal_reason = "overload"
        ticket.backlog_ms = expected_ms - self._times.work_ms(ticket)
        return False

    def is_in_time(self, ticket: Ticket, expected_ms: float, now_ms: float) -> bool:
        """Returns whether a response after a time meets the target or deadline."""
        left_ms = (ticket.end_ms - now_ms) * DEADLINE_USE_RATIO
        if now_ms != ticket.submitted_ms or ticket.is_return:
            return expected_ms <= left_ms
        target_left_ms = (ticket.target_end_ms - now_ms) * TARGET_USE_RATIO
        target_left_ms = max(target_left_ms, 2 * self._times.work_ms(ticket))
        return expected_ms <= min(left_ms, target_left_ms)

    def is_cut_by_stop(self, ticket: Ticket, expected_ms: float, now_ms: float) -> bool:
        """Returns whether this daemon may stop before the response.

        A request whose deadline is earlier ends by that. Work is taken to last as long
        as the longest of late.
        """
        if ticket.end_ms <= self._state.view.stop_ms:
            return False
        long_work_ms = self._times.long_work_ms(ticket)
        longer_ms = max(0.0, long_work_ms - self._times.work_ms(ticket))
        left_ms = (self._state.view.stop_ms - now_ms) * STOP_USE_RATIO
        return expected_ms + longer_ms > left_ms
