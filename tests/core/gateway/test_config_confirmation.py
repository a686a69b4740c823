"""Tests for how long a configuration counts as confirmed as the newest one."""

from __future__ import annotations

import random

import pytest

from skylarktrail.core.gateway.config_confirmation import (
    ASK_INTERVAL_RATIO,
    LONG_POLL_RATIO,
    ConfigConfirmation,
    Freshness,
)
from skylarktrail.core.gateway.positions import make_position

REVOKE_MS = 5000.0
ADDED_KEY_MS = 2500.0  # After this time no added key may be denied.
CLOCK_RATES = (0.98, 1.0, 1.02)
STEP_MS = 10.0
RUN_MS = 60_000.0
MAX_DELAY_MS = 900.0
LOSS_RATIO = 0.2
SEEDS = range(12)


def test_age_counts_from_the_begin_of_the_request():
    confirmation = ConfigConfirmation()
    confirmation.record(7, 1000.0)
    assert confirmation.freshness(REVOKE_MS, 5000.0).may_admit
    assert not confirmation.freshness(REVOKE_MS, 5001.0).may_admit
    assert confirmation.freshness(REVOKE_MS, 3400.0).may_deny
    assert not confirmation.freshness(REVOKE_MS, 3401.0).may_deny


def test_nothing_is_decided_before_the_first_confirmation():
    assert ConfigConfirmation().freshness(REVOKE_MS, 0.0) == Freshness(False, False)
    assert ConfigConfirmation().needs_read(REVOKE_MS, 0.0)


def test_everything_is_decided_without_a_bound():
    assert ConfigConfirmation().freshness(0.0, 1e9) == Freshness(True, True)


def test_reply_counts_from_the_question_less_its_age():
    confirmation = ConfigConfirmation()
    assert confirmation.record_reply(7, 300.0, 1000.0, 7)
    assert confirmation.latest == (7, 700.0)


def test_reply_about_records_that_are_missing_here_does_not_count():
    confirmation = ConfigConfirmation()
    assert not confirmation.record_reply(8, 0.0, 1000.0, 7)
    assert not confirmation.record_reply(8, 0.0, 1000.0, -1)
    assert confirmation.latest.position == -1


@pytest.mark.parametrize("eras", [(1, 2), (2, 1)])
def test_reply_of_another_era_does_not_count(eras):
    """An older copy of the store gives the same offsets to other records."""
    replied, applied = (make_position(era, 7) for era in eras)
    assert not ConfigConfirmation().record_reply(replied, 0.0, 1000.0, applied)


def test_earlier_moment_replaces_no_later_one():
    confirmation = ConfigConfirmation()
    confirmation.record(7, 1000.0)
    confirmation.record(8, 900.0)
    assert confirmation.latest == (7, 1000.0)


def test_later_era_replaces_an_earlier_one():
    """Else this daemon would go on to confirm positions that exist no more."""
    confirmation = ConfigConfirmation()
    confirmation.record(make_position(1, 9), 1000.0)
    confirmation.record(make_position(2, 3), 990.0)
    confirmation.record(make_position(1, 9), 1010.0)
    assert confirmation.latest == (make_position(2, 3), 990.0)


class Daemon:
    """A daemon with a clock of its own, its applied position and its confirmation."""

    def __init__(self, rate, offset_ms):
        self.rate = rate
        self.offset_ms = offset_ms
        self.applied = 0
        self.confirmation = ConfigConfirmation()
        self.next_ms = 0.0

    def clock_ms(self, at_ms):
        return self.offset_ms + self.rate * at_ms


class World:
    """Daemons that read a log and ask each other over links with delays and losses.

    The log has one record for each removal or addition of a key.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.at_ms = 0.0
        self.written_ms = []  # When each record was acknowledged.
        self.events = []
        self.daemons = [
            Daemon(self.random.choice(CLOCK_RATES), self.random.uniform(0, 1e6))
            for _ in range(4)
        ]
        self.cut_until_ms = [0.0] * len(self.daemons)
        self.decisions = 0

    def later(self, action):
        """Runs an action after a random delay, or never."""
        if self.random.random() > LOSS_RATIO:
            delay_ms = self.random.uniform(0, MAX_DELAY_MS)
            self.events.append((self.at_ms + delay_ms, action))

    def read(self, daemon):
        started_ms = daemon.clock_ms(self.at_ms)

        def answer():
            end = len(self.written_ms)
            self.later(lambda: apply(end))

        def apply(end):
            daemon.applied = max(daemon.applied, end)
            daemon.confirmation.record(end, started_ms)

        self.later(answer)

    def ask(self, daemon, other):
        asked_ms = daemon.clock_ms(self.at_ms)

        def answer():
            latest = other.confirmation.latest
            age_ms = other.confirmation.age_ms(other.clock_ms(self.at_ms))
            self.later(lambda: apply(latest.position, age_ms))

        def apply(position, age_ms):
            daemon.confirmation.record_reply(position, age_ms, asked_ms, daemon.applied)

        if other.confirmation.latest.position >= 0:
            self.later(answer)

    def broadcast(self):
        """Brings records up to some point to a daemon, which confirms nothing."""
        daemon = self.random.choice(self.daemons)
        end = self.random.randint(0, len(self.written_ms))

        def apply():
            daemon.applied = max(daemon.applied, end)

        self.later(apply)

    def step_daemon(self, number, daemon):
        if self.random.random() < 0.002:
            self.cut_until_ms[number] = self.at_ms + self.random.uniform(0, 15_000)
        if self.at_ms < max(daemon.next_ms, self.cut_until_ms[number]):
            return
        daemon.next_ms = self.at_ms + REVOKE_MS * ASK_INTERVAL_RATIO
        if number == 0:
            self.read(daemon)
        else:
            self.ask(daemon, self.daemons[self.random.randrange(number)])
            if daemon.confirmation.needs_read(REVOKE_MS, daemon.clock_ms(self.at_ms)):
                self.read(daemon)

    def check(self, daemon):
        """Compares what a daemon decides with what it had to know by now."""
        at_ms = daemon.clock_ms(self.at_ms)
        freshness = daemon.confirmation.freshness(REVOKE_MS, at_ms)
        unknown_ms = self.written_ms[daemon.applied :]
        oldest_ms = min(unknown_ms, default=self.at_ms)
        if freshness.may_admit:
            self.decisions += 1
            assert self.at_ms - oldest_ms <= REVOKE_MS
        if freshness.may_deny:
            assert self.at_ms - oldest_ms <= ADDED_KEY_MS

    def run(self):
        while self.at_ms < RUN_MS:
            self.at_ms += STEP_MS
            due = [action for when, action in self.events if when <= self.at_ms]
            self.events = [item for item in self.events if item[0] > self.at_ms]
            for action in due:
                action()
            if self.random.random() < 0.01:
                self.written_ms.append(self.at_ms)
            if self.random.random() < 0.1:
                self.broadcast()
            for number, daemon in enumerate(self.daemons):
                self.step_daemon(number, daemon)
                self.check(daemon)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_daemon_admits_a_key_after_the_bound(seed):
    """Links that lose and delay, daemons that are cut off, clocks that run 2% off."""
    world = World(seed)
    world.run()
    assert world.decisions > 1000


def test_check_of_the_world_finds_an_age_that_counts_from_the_reply(monkeypatch):
    """Fails if the world is too kind to show that mistake."""
    record_reply = ConfigConfirmation.record_reply
    monkeypatch.setattr(
        ConfigConfirmation,
        "record_reply",
        lambda self, position, age_ms, asked_ms, applied: record_reply(
            self, position, 0.0, asked_ms, applied
        ),
    )
    with pytest.raises(AssertionError):
        for seed in SEEDS:
            World(seed).run()


def test_interval_and_long_poll_leave_time_for_a_lost_question():
    """The granter's read and two intervals pass before unknown keys are not denied."""
    age_ms = (LONG_POLL_RATIO + ASK_INTERVAL_RATIO) * REVOKE_MS
    confirmation = ConfigConfirmation()
    confirmation.record(1, 0.0)
    assert confirmation.freshness(REVOKE_MS, age_ms).may_deny
    age_ms += 2 * ASK_INTERVAL_RATIO * REVOKE_MS
    assert confirmation.freshness(REVOKE_MS, age_ms).may_admit
