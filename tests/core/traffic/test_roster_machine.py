"""Quotas never add up to more than the total, even while rosters differ."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from skylarktrail.core.traffic.messages import RosterEntry
from skylarktrail.core.traffic.roster import ROSTER_SETTLE_MS, RosterHistory

from .conftest import ZONES, assert_machine_fails, make_instances

DAEMONS = [RosterEntry(f"d{i}", ZONES[i % 3]) for i in range(6)]
INSTANCES = make_instances(6)
DAEMON_INDEXES = st.sets(st.integers(0, 5))
SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
)


class View:
    """Roster history of one daemon."""

    def __init__(self, entry: RosterEntry, seen_index: int) -> None:
        self.history = RosterHistory(entry)
        self.seen_index = seen_index


class Quotas(RuleBasedStateMachine):
    """The roster changes repeatedly; each daemon receives the changes with a delay."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0.0
        self.rosters = [(0.0, DAEMONS[:4])]
        self.views: dict[str, View] = {}
        for entry in DAEMONS[:4]:
            self.start(entry)
        self.advance(ROSTER_SETTLE_MS + 1)

    def start(self, entry: RosterEntry) -> None:
        view = self.views[entry.daemon] = View(entry, len(self.rosters) - 1)
        self.apply_new_rosters(view)

    @rule(receivers=DAEMON_INDEXES)
    def lose_history(self, receivers: set[int]) -> None:
        for index, (_, view) in enumerate(sorted(self.views.items())):
            if index in receivers:
                view.seen_index = len(self.rosters) - 1
                view.history.reset(self.now_ms, self.rosters[-1][1])

    def apply_new_rosters(self, view: View) -> None:
        """Applies every roster since the last one, in the order of the log."""
        for _, roster in self.rosters[view.seen_index :]:
            view.history.update(self.now_ms, roster)
        view.seen_index = len(self.rosters) - 1

    def advance(self, ms: float) -> None:
        self.now_ms += ms
        for view in self.views.values():
            newer = self.rosters[view.seen_index + 1 :]
            if newer and self.now_ms - newer[0][0] > ROSTER_SETTLE_MS:
                self.apply_new_rosters(view)
            view.history.expire(self.now_ms)

    @rule(ms=st.sampled_from([1, 900, 3_500, 7_000]))
    def wait(self, ms: float) -> None:
        self.advance(ms)

    @rule(members=DAEMON_INDEXES, receivers=DAEMON_INDEXES)
    def change_roster(self, members: set[int], receivers: set[int]) -> None:
        roster = [DAEMONS[i] for i in sorted(members)]
        self.rosters.append((self.now_ms, roster))
        for entry in roster:
            if entry.daemon not in self.views:
                self.start(entry)
        self.receive_rosters(receivers)

    @rule(receivers=DAEMON_INDEXES)
    def receive_rosters(self, receivers: set[int]) -> None:
        for index, (_, view) in enumerate(sorted(self.views.items())):
            if index in receivers and view.seen_index < len(self.rosters) - 1:
                self.apply_new_rosters(view)

    @rule(index=st.integers(0, 5))
    def restart(self, index: int) -> None:
        if DAEMONS[index].daemon in self.views:
            self.start(DAEMONS[index])

    @invariant()
    def quotas_add_up_to_no_more_than_the_total(self) -> None:
        for instance in INSTANCES:
            for total in (1, 2, 3, 8):
                total_quota = sum(
                    view.history.quota(self.now_ms, instance, total)
                    for view in self.views.values()
                )
                assert total_quota <= total


def test_quotas_add_up_to_no_more_than_the_total():
    run_state_machine_as_test(Quotas, settings=SETTINGS)


def test_quotas_add_up_to_the_total_when_all_agree():
    histories = [RosterHistory(entry) for entry in DAEMONS]
    for history in histories:
        history.update(0.0, DAEMONS)
    now_ms = ROSTER_SETTLE_MS + 1
    for total in range(1, 20):
        total_quota = sum(h.quota(now_ms, INSTANCES[0], total) for h in histories)
        assert total_quota == total


def drop_replaced_rosters(self: RosterHistory) -> None:
    self._previous.clear()


def count_as_settled(self: RosterHistory) -> None:
    self.settled_at_ms = 0.0


@pytest.mark.parametrize("remove_rule", [drop_replaced_rosters, count_as_settled])
def test_machine_fails_without_each_rule(monkeypatch, remove_rule):
    update = RosterHistory.update

    def mutant(self, now_ms, roster):
        update(self, now_ms, roster)
        remove_rule(self)

    monkeypatch.setattr(RosterHistory, "update", mutant)
    assert_machine_fails(Quotas, steps=40)


def test_new_daemon_has_no_quota_until_the_settle_time_is_over():
    """At the very end of that time other daemons may still use the previous roster."""
    history = RosterHistory(DAEMONS[0])
    history.update(0.0, DAEMONS[:2])
    instance = INSTANCES[0]
    assert history.quota(ROSTER_SETTLE_MS, instance, 8) == 0
    assert history.quota(ROSTER_SETTLE_MS + 1, instance, 8) > 0
