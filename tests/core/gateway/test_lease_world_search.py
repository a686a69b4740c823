"""Searches for two owners where several faults meet within a lease.

Each seed plays three to five faults within a few seconds. To play more of them:
python -m tests.core.gateway.test_lease_world_search FIRST LAST
"""

from __future__ import annotations

import random
import sys

import pytest

from .lease_world import HANG, OK, REFUSE, RESET, SILENT, LeaseWorld, OwnerViolation
from .test_lease_world import first_hash_of, load_on

FAULT_WINDOW_MS = 4000.0
WATCH_MS = 18_000.0  # Longer than the authority of a former granter and a lease.
SEEDS_PER_TEST = 40
SEEDS_FOUND = (
    682,
    845,
    1105,
    1153,
    1185,
    1224,
    1304,
    1712,
    1759,
    1762,
    2527,
    3473,
    3589,
)


class FaultPlay:
    """Plays random faults in a world."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.world = LeaseWorld(seed, instances=self.random.choice((2, 3, 4)))
        self.granter = self.world.wait_for_granter().name
        self.world.advance(self.random.uniform(500, 4000))
        self._kinds = (
            self.take_grants_late,
            self.answer_twice,
            self.move_load,
            self.drain,
            self.unlist,
            self.restart,
            self.restart,
            self.replace,
            self.disturb_link,
            self.disturb_link,
            self.disturb_daemon_links,
            self.freeze_daemon,
            self.isolate_granter,
            self.isolate_granter,
            self.kill_daemon,
            self.silence_store,
            self.restore_store,
            self.hold_listing,
            self.slow_links,
            self.lose_answers,
        )

    def run(self) -> None:
        """Plays faults until they have no effect any more."""
        world, uniform = self.world, self.random.uniform
        for kind in self.random.sample(self._kinds, self.random.randint(3, 5)):
            world.schedule(uniform(0, FAULT_WINDOW_MS), kind)
        for at_ms in (uniform(500, 5000), uniform(2000, 9000)):
            world.schedule(at_ms, self.move_load)
        world.advance(FAULT_WINDOW_MS + WATCH_MS)

    def _instance(self) -> str:
        return self.random.choice(sorted(self.world.instances))

    def _after(self, low_ms: float, high_ms: float, action) -> None:
        self.world.schedule(self.random.uniform(low_ms, high_ms), action)

    def take_grants_late(self) -> None:
        self.world.late_delay_ms = self.random.choice(
            ((200.0, 1000.0), (2000.0, 3900.0), (500.0, 3900.0))
        )
        process = self.world.instances[self._instance()]
        process.late_ratio = self.random.uniform(0.2, 1.0)

        def end() -> None:
            process.late_ratio = 0.0

        self._after(500, 6000, end)

    def answer_twice(self) -> None:
        """The instance that answers twice takes some grants late, too."""
        process = self.world.instances[self._instance()]
        process.has_second_answers = True
        process.work_ms = self.random.choice((0.0, 500.0, 2000.0))
        process.late_ratio = self.random.choice((0.0, 0.2, 0.5))

    def move_load(self) -> None:
        name = self._instance()
        if not self.world.instances[name].leases:
            return
        low = first_hash_of(self.world, name)
        width = self.random.choice((4000, 9000, 16_000))
        self.world.distribution = load_on(low, low + width)

    def drain(self) -> None:
        self.world.drain(self._instance())

    def unlist(self) -> None:
        name = self._instance()
        self.world.unlist(name)
        self._after(500, 9000, lambda: self.world.list_again(name))

    def restart(self) -> None:
        """Restarts an instance up to four times; its entry comes at once or late."""
        name = self._instance()
        at_ms = 0.0
        for _ in range(self.random.randint(1, 4)):
            delay_ms = self.random.choice((0.0, 300.0, 1500.0, 4000.0))
            self.world.schedule(
                at_ms, lambda delay=delay_ms: self._restart(name, delay)
            )
            at_ms += self.random.uniform(100, 1500)

    def _restart(self, name: str, delay_ms: float) -> None:
        if name in self.world.instances:
            self.world.restart(name, delay_ms)

    def replace(self) -> None:
        name = self._instance()
        delay_ms = self.random.choice((0.0, 300.0, 1500.0))
        self.world.replace(name, f"{name}x", delay_ms)

    def disturb_link(self) -> None:
        daemon = self.random.choice((self.granter, "d0", "d1", "d2"))
        address = self.world.instances[self._instance()].address
        state = self.random.choice((HANG, HANG, REFUSE, RESET))
        self.world.set_link(daemon, address, state)
        self._after(100, 6000, lambda: self.world.set_link(daemon, address, OK))

    def disturb_daemon_links(self) -> None:
        daemon = self.random.choice((self.granter, "d0", "d1", "d2"))
        state = self.random.choice((HANG, REFUSE, RESET))
        self.world.set_links_of(daemon, state)
        self._after(300, 6000, lambda: self.world.set_links_of(daemon, OK))

    def freeze_daemon(self) -> None:
        if self.granter in self.world.daemons:
            duration_ms = self.random.uniform(300, 9000)
            self.world.freeze_daemon(self.granter, duration_ms)

    def isolate_granter(self) -> None:
        """Cuts the granter off the store and the daemons, at times off instances."""
        world, name = self.world, self.granter
        world.store_faults.states[name] = self.random.choice((SILENT, REFUSE))
        world.cut_peers.add(name)
        if self.random.random() < 0.5:
            world.set_links_of(name, HANG)
            for process in list(world.instances.values()):
                if self.random.random() < 0.7:
                    self._heal_later(process.address)

        def end() -> None:
            world.store_faults.states.pop(name, None)
            world.cut_peers.discard(name)

        self._after(3000, 14_000, end)

    def _heal_later(self, address: str) -> None:
        self._after(1000, 7000, lambda: self.world.set_link(self.granter, address, OK))

    def kill_daemon(self) -> None:
        if self.granter in self.world.daemons:
            delay_ms = self.random.choice((0.0, 500.0, 3000.0))
            self.world.restart_daemon(self.granter, delay_ms)

    def silence_store(self) -> None:
        states = self.world.store_faults.states
        for name in ("d0", "d1", "d2"):
            states[name] = SILENT
        self._after(300, 9000, states.clear)

    def restore_store(self) -> None:
        self.world.restore_store(self.random.randint(1, 4))

    def hold_listing(self) -> None:
        name = self.random.choice(("d0", "d1", "d2"))
        until_ms = self.world.now_ms + self.random.uniform(500, 6000)
        self.world.listing_held_until_ms[name] = until_ms

    def slow_links(self) -> None:
        self.world.slow_link_ratio = self.random.choice((0.1, 0.5, 1.0))

        def end() -> None:
            self.world.slow_link_ratio = 0.0

        self._after(500, 4000, end)

    def lose_answers(self) -> None:
        self.world.lost_answer_ratio = self.random.choice((0.1, 0.5, 1.0))

        def end() -> None:
            self.world.lost_answer_ratio = 0.0

        self._after(500, 4000, end)


@pytest.mark.parametrize("first", range(0, 3 * SEEDS_PER_TEST, SEEDS_PER_TEST))
def test_faults_that_meet_make_no_second_owner(first):
    for seed in range(first, first + SEEDS_PER_TEST):
        FaultPlay(seed).run()


@pytest.mark.parametrize("seed", SEEDS_FOUND)
def test_faults_that_made_a_second_owner_make_none(seed):
    FaultPlay(seed).run()


def test_an_owner_that_drains_and_restarts_is_not_given_its_keys_back():
    """A former granter renews after the successor has released the range there."""
    FaultPlay(449).run()


def _search(first: int, last: int) -> None:
    for seed in range(first, last + 1):
        try:
            FaultPlay(seed).run()
        except OwnerViolation as error:
            print(seed, str(error).splitlines()[0], flush=True)


if __name__ == "__main__":
    _search(int(sys.argv[1]), int(sys.argv[2]))
