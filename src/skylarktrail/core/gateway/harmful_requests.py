"""Requests that end the instances that run them.

Load pattern: a caller repeats a request that crashes each instance that begins to run
it, through any daemon, while the instances that are left get all the other requests.
Such a request is blocked after it has ended a few instances. A request that has been
answered recently is not harmful: instances end for other reasons too, and then break
off whatever they run.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Iterable, NamedTuple

# A second instance may end by chance while it runs a request that is sent once more.
MAX_ENDED_INSTANCES = 2
ENDED_MEMORY_MS = 60_000.0  # Ends further apart than this are unrelated.
ANSWERED_MEMORY_MS = 10_000.0
BLOCK_MS = 600_000.0  # Time to mend the service or the caller.
MAX_REMEMBERED = 4096  # Requests of each kind; the oldest is forgotten first.


class InstanceEnd(NamedTuple):
    """An instance that ended while it may have run a request.

    Attributes:
        fingerprint: Fingerprint of the request.
        instance: Identifier of the instance.
        start_ms: Start of its incarnation.
    """

    fingerprint: str
    instance: str
    start_ms: int


class BlockedRequest(NamedTuple):
    """A request that no instance gets.

    Attributes:
        fingerprint: Fingerprint of the request.
        left_ms: Time until it is no longer blocked.
    """

    fingerprint: str
    left_ms: float


class _Suspect(NamedTuple):
    incarnations: frozenset[tuple[str, int]]
    last_ms: float


class HarmfulRequests:
    """Counts the instances that ended while they ran a request, and blocks requests.

    A daemon counts what it has seen itself; the granter also counts what the others
    report, as each attempt may come through another daemon.
    """

    def __init__(self) -> None:
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._answered_ms: OrderedDict[str, float] = OrderedDict()
        self._blocked_until_ms: dict[str, float] = {}

    def record_answer(self, fingerprint: str, now_ms: float) -> None:
        """Records that an instance has run a request and answered it."""
        _remember(self._answered_ms, fingerprint, now_ms)
        self._suspects.pop(fingerprint, None)

    def was_answered(self, fingerprint: str, now_ms: float) -> bool:
        """Returns whether this daemon has an answer to a request that is not old."""
        answered_ms = self._answered_ms.get(fingerprint)
        return answered_ms is not None and now_ms - answered_ms <= ANSWERED_MEMORY_MS

    def record_end(self, end: InstanceEnd, now_ms: float) -> bool:
        """Records that an instance ended; returns whether that blocks the request."""
        fingerprint = end.fingerprint
        if self.was_answered(fingerprint, now_ms):
            return False
        known = self._suspects.get(fingerprint)
        incarnations = frozenset([(end.instance, end.start_ms)])
        if known is not None and now_ms - known.last_ms <= ENDED_MEMORY_MS:
            incarnations |= known.incarnations
        _remember(self._suspects, fingerprint, _Suspect(incarnations, now_ms))
        if len(incarnations) < MAX_ENDED_INSTANCES:
            return False
        is_new = self.blocked_ms(fingerprint, now_ms) == 0.0
        if is_new:
            self._blocked_until_ms[fingerprint] = now_ms + BLOCK_MS
        return is_new

    def blocked_ms(self, fingerprint: str, now_ms: float) -> float:
        """Returns for how long a request is still blocked; 0 if it is not."""
        return max(0.0, self._blocked_until_ms.get(fingerprint, now_ms) - now_ms)

    def block(self, requests: Iterable[BlockedRequest], now_ms: float) -> list[str]:
        """Blocks requests that another daemon blocks.

        Returns:
            The fingerprints of those that this daemon does not block, as it has an
            answer to them.
        """
        answered = []
        for request in requests:
            if self.was_answered(request.fingerprint, now_ms):
                answered.append(request.fingerprint)
                continue
            until_ms = now_ms + min(BLOCK_MS, request.left_ms)
            self._blocked_until_ms[request.fingerprint] = until_ms
        return answered

    def unblock(self, fingerprints: Iterable[str]) -> None:
        """Ends the block of requests that have an answer."""
        for fingerprint in fingerprints:
            self._blocked_until_ms.pop(fingerprint, None)
            self._suspects.pop(fingerprint, None)

    def list_blocked(self, now_ms: float) -> list[BlockedRequest]:
        """Returns the requests that are blocked."""
        self._blocked_until_ms = {
            fingerprint: until_ms
            for fingerprint, until_ms in self._blocked_until_ms.items()
            if until_ms > now_ms
        }
        return [
            BlockedRequest(fingerprint, until_ms - now_ms)
            for fingerprint, until_ms in self._blocked_until_ms.items()
        ]


def _remember(items: OrderedDict, fingerprint: str, value: object) -> None:
    """Adds an item as the latest one, and forgets the oldest beyond the limit."""
    items[fingerprint] = value
    items.move_to_end(fingerprint)
    if len(items) > MAX_REMEMBERED:
        items.popitem(last=False)
