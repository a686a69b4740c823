"""The combined result of a first attempt and its hedge."""

from __future__ import annotations

import pytest

from skylarktrail.core.traffic.messages import Outcome
from skylarktrail.daemon.clock import now_ms
from skylarktrail.daemon.exchange import ExchangeResult
from skylarktrail.daemon.hedging import HedgeRace
from skylarktrail.daemon.pools import AbortHandle
from skylarktrail.daemon.response import Response

ANSWERED = ExchangeResult(Outcome.ANSWERED, Response(200, [], b"fish"))
REFUSED = ExchangeResult(Outcome.NOT_RUN, Response(503, [], b""))
BROKEN = ExchangeResult(Outcome.BROKEN, None)
TIMED_OUT = ExchangeResult(Outcome.TIMED_OUT, None)


def resolve(
    first: ExchangeResult, hedge_result: ExchangeResult | None
) -> ExchangeResult:
    """Returns the result of a race; the hedge is still running if it is None."""
    race = HedgeRace(AbortHandle())
    race.register_hedge(AbortHandle())
    if hedge_result is not None:
        race.record_hedge_result(hedge_result, hedge_result.outcome is Outcome.ANSWERED)
    return race.resolve(first, now_ms())


@pytest.mark.parametrize("hedge_result", [BROKEN, TIMED_OUT, None])
def test_refused_first_attempt_does_not_hide_a_hedge_that_may_have_run(hedge_result):
    assert resolve(REFUSED, hedge_result).outcome in (Outcome.BROKEN, Outcome.TIMED_OUT)


@pytest.mark.parametrize(
    "first, hedge_result, expected",
    [
        (ANSWERED, BROKEN, ANSWERED),
        (ANSWERED, None, ANSWERED),
        (BROKEN, ANSWERED, ANSWERED),
        (REFUSED, REFUSED, REFUSED),
        (BROKEN, REFUSED, BROKEN),
    ],
)
def test_response_takes_precedence_then_an_attempt_that_may_have_run(
    first, hedge_result, expected
):
    assert resolve(first, hedge_result) == expected
