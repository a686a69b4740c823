"""At-most-once execution under term changes, pauses, clock skew and message loss.

The mutation tests remove one rule at a time and expect an invariant violation.
"""

from __future__ import annotations

import random
import uuid

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from skylarktrail.core.idempotency.home import Home
from skylarktrail.core.idempotency.table import (
    Attempt,
    Entry,
    IdempotencyTable,
    TermView,
)
from skylarktrail.core.idempotency.verdicts import (
    NOT_RUN,
    ClockBehind,
    ExecutionUnknown,
    NotHome,
    Outcome,
    Verdict,
)

from . import simulation
from .simulation import InvariantViolation, Simulation

SEED_COUNT = 120
VIEW_REFRESH_MESSAGES = 8
STEP_COUNT = 3000


class IdempotencyMachine(RuleBasedStateMachine):
    """Drives the simulation by choices that hypothesis draws."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = Simulation()

    @rule(data=st.data(), name=st.sampled_from(simulation.WEIGHTED_NAMES))
    def act(self, data: st.DataObject, name: str) -> None:
        def choose(bound: int) -> int:
            return data.draw(st.integers(0, bound - 1))

        simulation.ACTIONS[name](self.simulation, choose)

    @invariant()
    def invariants_hold(self) -> None:
        self.simulation.check()


TestIdempotency = IdempotencyMachine.TestCase
TestIdempotency.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    stateful_step_count=50,
)


def find_violation(
    simulation_type: type[Simulation], seeds: int = SEED_COUNT
) -> InvariantViolation | None:
    """Runs seeded simulations and returns the first invariant violation."""
    for seed in range(seeds):
        choose = random.Random(seed).randrange
        site = simulation_type()
        try:
            for _ in range(STEP_COUNT):
                site.step(choose)
        except InvariantViolation as violation:
            return violation
    return None


def test_seeded_runs_violate_no_invariant_and_reach_the_expected_verdicts():
    reached: dict[str, int] = {}
    for seed in range(10):
        choose = random.Random(seed).randrange
        site = Simulation()
        for _ in range(STEP_COUNT):
            site.step(choose)
        for name, count in site.verdicts.items():
            reached[name] = reached.get(name, 0) + count
    expected = "run recorded dropped in_progress mismatch unknown forgotten not_home"
    assert {*expected.split(), "from_future"} <= set(reached)


class WithoutBarrier(IdempotencyTable):
    """Treats a key from before the term as new."""

    def raise_barrier(self, acting_since_wall_ms: int) -> None:
        pass


class WithoutSkewInBarrier(IdempotencyTable):
    """Ignores all clock skew, also that of callers."""

    def raise_barrier(self, acting_since_wall_ms: int) -> None:
        super().raise_barrier(acting_since_wall_ms - 2 * simulation.SKEW_MS)


class WithOneSkewInBarrier(IdempotencyTable):
    """Ignores that the clock of an entry daemon may be ahead of the home's."""

    def raise_barrier(self, acting_since_wall_ms: int) -> None:
        super().raise_barrier(acting_since_wall_ms - simulation.SKEW_MS)


class WithoutWatermark(IdempotencyTable):
    """Does not raise the watermark when it drops a key."""

    def drop_oldest_key(self):
        before_ms = self.watermark_ms
        super().drop_oldest_key()
        self.watermark_ms = before_ms


class WithoutLimits(IdempotencyTable):
    """Drops no keys to stay within its limits."""

    def _exceeds_limits(self):
        return False


class WithoutFutureCheck(IdempotencyTable):
    """Accepts keys with a timestamp in the future."""

    def _check_new_key(self, wall_ms, attempt, granter_term):
        far_ms = wall_ms + 10**9
        return super()._check_new_key(
            far_ms, attempt._replace(wall_ms=far_ms), granter_term
        )


class TrustsOwnClock(IdempotencyTable):
    """Checks a key only by the clock of the home, read after a pause."""

    def _check_new_key(self, wall_ms, attempt, granter_term):
        return super()._check_new_key(
            wall_ms, attempt._replace(wall_ms=wall_ms), granter_term
        )


class FinishesAnyAttempt(IdempotencyTable):
    """Lets one attempt record the outcome of another."""

    def finish(self, key: uuid.UUID, attempt_id: bytes, outcome: Outcome) -> bool:
        entry = self._entries.get(key.int)
        owner_id = entry.attempt_id if entry else attempt_id
        return super().finish(key, owner_id, outcome)


class IgnoresDigest(IdempotencyTable):
    """Returns the recorded answer to another request with the same key."""

    def _verdict_for_retry(
        self, entry: Entry, now_ms: int, attempt: Attempt
    ) -> Verdict:
        return super()._verdict_for_retry(
            entry, now_ms, attempt._replace(digest=entry.digest)
        )


class RunsAgainAfterSilence(IdempotencyTable):
    """Treats an attempt without an outcome as not run."""

    def begin(self, now_ms, wall_ms, attempt, granter_term):
        verdict = super().begin(now_ms, wall_ms, attempt, granter_term)
        if isinstance(verdict, ExecutionUnknown) and attempt.key.int in self._entries:
            self._remove(attempt.key.int)
            return super().begin(now_ms, wall_ms, attempt, granter_term)
        return verdict


def deliver_through_paused_home(table: type[IdempotencyTable]) -> None:
    """Sends a key from the future to a home that is paused past its timestamp."""
    site = type("Mutated", (Simulation,), {"table_type": table})()
    key = uuid.UUID(int=(site.now_ms + 3000) << 80 | simulation.VERSION_AND_VARIANT)
    site.keys.append(key)
    send(site, key, home=0)
    site._receive(site.network.pop(), True)
    simulation.ACTIONS["claim"](site, lambda bound: 1)
    site.now_ms += 5000
    simulation.ACTIONS["resume_home"](site, lambda bound: 0)
    deliver_and_run(site)
    simulation.ACTIONS["renew_confirmation"](site, lambda bound: 0)
    send(site, key, home=1)
    site._receive(site.network.pop(), False)
    deliver_and_run(site)


def send(site: Simulation, key: uuid.UUID, home: int) -> None:
    site.granter, granter = home, site.granter
    site._send_attempt(key, lambda bound: bound - 2)
    site.granter = granter


def deliver_and_run(site: Simulation) -> None:
    simulation.ACTIONS["deliver_newest"](site, lambda bound: 0)
    simulation.ACTIONS["run"](site, lambda bound: min(2, bound - 1))


def test_key_from_the_future_at_a_paused_home_is_refused():
    deliver_through_paused_home(IdempotencyTable)
    with pytest.raises(InvariantViolation):
        deliver_through_paused_home(TrustsOwnClock)


class IgnoresConfirmation(Home):
    """Acts in an unconfirmed term."""

    def begin(self, now_ms, wall_ms, attempt, granter_term):
        confirmed = granter_term._replace(is_confirmed=True)
        return super().begin(now_ms, wall_ms, attempt, confirmed)


class ContinuesAnyTerm(Home):
    """Keeps its barrier although another home acted in between."""

    def _is_next_term(self, term: int) -> bool:
        return self.term > 0


TABLE_MUTATIONS = [
    WithoutBarrier,
    WithoutSkewInBarrier,
    WithOneSkewInBarrier,
    WithoutWatermark,
    WithoutLimits,
    WithoutFutureCheck,
    FinishesAnyAttempt,
    IgnoresDigest,
    RunsAgainAfterSilence,
]


@pytest.mark.parametrize("table", TABLE_MUTATIONS, ids=lambda cls: cls.__name__)
def test_removing_a_rule_of_the_table_violates_an_invariant(table):
    assert (
        find_violation(type("Mutated", (Simulation,), {"table_type": table}))
        is not None
    )


class ActsAfterHandOver(Home):
    """Continues to act in a term whose keys it has handed over."""

    def hand_over(self, now_ms, term, max_bytes):
        table_snapshot = super().hand_over(now_ms, term, max_bytes)
        self._closed_term = 0
        return table_snapshot


class OmitsWatermark(Home):
    """Leaves keys out of the snapshot without raising its watermark."""

    def hand_over(self, now_ms, term, max_bytes):
        table_snapshot = super().hand_over(now_ms, term, max_bytes)
        return table_snapshot and table_snapshot._replace(watermark_ms=0)


class TakesOverFromAnyTerm(Home):
    """Takes over from a home of an older term than the previous one."""

    def take_over(self, now_ms, term, previous_term, table_snapshot):
        return super().take_over(
            now_ms, self.term or term, (self.term or term) - 1, table_snapshot
        )


def act_after_hand_over(home: type[Home]) -> None:
    """Sends an attempt to the previous home while its authority still lasts."""
    site = type("Mutated", (Simulation,), {"home_type": home})()
    site.now_ms += 5000
    simulation.ACTIONS["renew_confirmation"](site, lambda bound: 0)
    site.daemons[0].home.update_term(site.view(0))
    simulation.ACTIONS["claim"](site, lambda bound: 1)
    simulation.ACTIONS["hand_over"](site, lambda bound: 0)
    hand_over_message = site.network.pop()
    simulation.ACTIONS["send_first"](site, lambda bound: 0)
    key = site.keys[0]
    site.network.clear()
    send(site, key, home=0)
    site._receive(site.network.pop(), False)
    deliver_and_run(site)
    site._receive(hand_over_message, False)
    site.now_ms += simulation.AUTHORITY_MS
    simulation.ACTIONS["renew_confirmation"](site, lambda bound: 0)
    send(site, key, home=1)
    site._receive(site.network.pop(), False)
    deliver_and_run(site)
    assert key in site.runs


def test_home_does_not_act_after_hand_over():
    act_after_hand_over(Home)
    with pytest.raises(InvariantViolation):
        act_after_hand_over(ActsAfterHandOver)


HOME_MUTATIONS = [
    IgnoresConfirmation,
    ContinuesAnyTerm,
    OmitsWatermark,
    TakesOverFromAnyTerm,
]


@pytest.mark.parametrize("home", HOME_MUTATIONS, ids=lambda cls: cls.__name__)
def test_removing_a_rule_of_the_home_violates_an_invariant(home):
    assert (
        find_violation(type("Mutated", (Simulation,), {"home_type": home})) is not None
    )


class RunsAfterGivingUp(Simulation):
    """An entry daemon acts on a verdict after it has given up."""

    def _handle_verdict(self, message):
        self.tries[message.attempt_id].is_waiting = True
        super()._handle_verdict(message)


class ReadsTermTooEarly(Simulation):
    """A home reads its term before it receives the attempt."""

    def __init__(self) -> None:
        super().__init__()
        self._received_count = 0
        self._views: list[TermView] = []

    def _receive(self, message, is_paused):
        if self._received_count % VIEW_REFRESH_MESSAGES == 0:
            self._views = [
                Simulation.view(self, index) for index in range(simulation.DAEMON_COUNT)
            ]
        self._received_count += 1
        super()._receive(message, is_paused)

    def view(self, index: int) -> TermView:
        return self._views[index] if self._views else super().view(index)


@pytest.mark.parametrize("mutation", [RunsAfterGivingUp, ReadsTermTooEarly])
def test_removing_a_rule_of_the_daemon_violates_an_invariant(mutation):
    assert find_violation(mutation) is not None


@pytest.mark.parametrize("verdict", [NotHome, ClockBehind], ids=lambda cls: cls.kind)
def test_wrong_reported_outcome_violates_an_invariant(verdict, monkeypatch):
    monkeypatch.setattr(verdict, "reported_outcome", NOT_RUN)
    assert find_violation(Simulation) is not None
