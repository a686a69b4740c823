"""What a first try and its hedge come to together."""

from __future__ import annotations

import pytest

from skylarktrail.core.traffic.messages import Outcome
from skylarktrail.daemon.clock import now_ms
from skylarktrail.daemon.exchange import Exchanged
from skylarktrail.daemon.hedging import Race
from skylarktrail.daemon.pools import AbortHandle
from skylarktrail.daemon.response import Response

ANSWERED = Exchanged(Outcome.ANSWERED, Response(200, [], b"fish"))
REFUSED = Exchanged(Outcome.NOT_RUN, Response(503, [], b""))
BROKEN = Exchanged(Outcome.BROKEN, None)
TIMED_OUT = Exchanged(Outcome.TIMED_OUT, None)


def settle(first: Exchanged, hedged: Exchanged | None) -> Exchanged:
    """Settles a race whose hedge has ended, or is still running if None."""
    race = Race(AbortHandle())
    race.enter_hedge(AbortHandle())
    if hedged is not None:
        race.end_hedge(hedged, hedged.outcome is Outcome.ANSWERED)
    return race.settle(first, now_ms())


@pytest.mark.parametrize("hedged", [BROKEN, TIMED_OUT, None])
def test_refused_first_try_does_not_hide_a_hedge_that_may_have_run(hedged):
    assert settle(REFUSED, hedged).outcome in (Outcome.BROKEN, Outcome.TIMED_OUT)


@pytest.mark.parametrize(
    "first, hedged, expected",
    [
        (ANSWERED, BROKEN, ANSWERED),
        (ANSWERED, None, ANSWERED),
        (BROKEN, ANSWERED, ANSWERED),
        (REFUSED, REFUSED, REFUSED),
        (BROKEN, REFUSED, BROKEN),
    ],
)
def test_answer_goes_first_then_what_may_have_run(first, hedged, expected):
    assert settle(first, hedged) == expected
