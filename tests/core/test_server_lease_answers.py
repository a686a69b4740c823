"""Tests that the answer to an earlier grant acknowledges no later one."""

from __future__ import annotations

from skylarktrail.core.ownership.messages import GrantAnswer, GrantedSlice
from skylarktrail.core.ownership.server_lease import ServerLease
from skylarktrail.core.ownership.timings import Timings

TIMINGS = Timings()
TERM = 3
BOOT = "b1"
KEPT, REVOKED = GrantedSlice(0, 100, 7), GrantedSlice(100, 200, 7)


def answer_to(grant, clock_ms, version=None, term=TERM):
    held_version = grant.version if version is None else version
    return GrantAnswer(True, "", BOOT, clock_ms, term, held_version, None)


def make_lease():
    """Returns a lease on two slices that the server has acknowledged."""
    lease = ServerLease("s1", TIMINGS, TIMINGS.lease_ms)
    lease.begin_term()
    for granted in (KEPT, REVOKED):
        lease.add_slice(granted)
    for sent_ms in (0, 10):
        grant = lease.make_grant("g", TERM, sent_ms)
        assert lease.handle_answer(answer_to(grant, sent_ms + 2), sent_ms, sent_ms + 2)
    assert lease.fenced and not lease.releasing(12)
    return lease


def test_a_second_answer_to_an_earlier_grant_acknowledges_no_revocation():
    """The grant without the slice is still on its way, so the server serves it."""
    lease = make_lease()
    earlier_version = lease.make_grant("g", TERM, 310).version
    lease.handle_failure(310, 400)
    lease.remove_slice(REVOKED.start)
    revoking = lease.make_grant("g", TERM, 510)
    second_answer = answer_to(revoking, 512, earlier_version)
    lease.handle_answer(second_answer, 510, 512)
    assert lease.releasing(513) == [REVOKED]


def test_an_answer_of_an_earlier_term_does_not_fence_a_server():
    lease = make_lease()
    lease.begin_term()
    fencing = lease.make_grant("g", TERM + 1, 310)
    lease.handle_answer(answer_to(fencing, 312, term=TERM), 310, 312)
    assert not lease.fenced
