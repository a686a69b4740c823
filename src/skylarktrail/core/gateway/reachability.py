"""Detects that this daemon is cut off from the instances while others may reach them.

Requests over open connections then get no response, or the connections are reset, or
only new ones fail. One instance that fails says little, as it may have failed itself.
Once several fail, probes to further instances decide.
"""

from __future__ import annotations

import enum
import math
from typing import Callable, Mapping, Sequence

# Failed connections to different instances from which on probes are sent.
DOUBT_COUNT = 2
# Instances that are probed at once in the zone of this daemon, and as many in others.
ZONE_PROBE_COUNT = 2
FAILURE_TTL_MS = 3000.0  # Older failures count no more.
# Responses come every few tens of milliseconds under load. So probes are sent if none
# came for this time while requests to several instances are older than that.
SILENCE_MS = 400.0
RENEWED_DOUBT_MS = 1000.0  # Shortest time from an open connection to the next doubt.
PROBE_INTERVAL_MS = 250.0  # A healed cut is noticed within this time.


class LinkState(enum.Enum):
    """Whether this daemon reaches instances.

    Attributes:
        REACHING: It does, as far as is known.
        DOUBTFUL: Several instances failed; probes decide.
        CUT: New connections to all probed instances failed.
    """

    REACHING = "reaching"
    DOUBTFUL = "doubtful"
    CUT = "cut"


class Reachability:
    """Concludes from connections and responses whether this daemon is cut off.

    Args:
        choose: Chooses a number of elements of a sequence at random.

    Attributes:
        state: Present conclusion.
    """

    def __init__(self, choose: Callable[[Sequence[str], int], list[str]]) -> None:
        self._choose = choose
        self.state = LinkState.REACHING
        self._failures_ms: dict[str, float] = {}
        self._unanswered_ms: dict[str, float] = {}
        self._responded_ms = -math.inf
        self._connected_ms = -math.inf
        self._probed_ms = -math.inf

    @property
    def is_cut(self) -> bool:
        """Returns whether this daemon is cut off from the instances."""
        return self.state is LinkState.CUT

    def record_connected(self, now_ms: float) -> None:
        """Records that a new connection to an instance was opened."""
        self._connected_ms = now_ms
        self._failures_ms.clear()
        self._unanswered_ms.clear()
        self.state = LinkState.REACHING

    def record_response(self, now_ms: float) -> None:
        """Records that an instance responded over any connection."""
        self._responded_ms = now_ms

    def record_connect_failure(self, instance: str, now_ms: float) -> None:
        """Records that a new connection to an instance failed.

        Many instances may be lost at once, so this leads to probes only.
        """
        self._record_failure(self._failures_ms, instance, now_ms)

    def record_unanswered_call(self, instance: str, now_ms: float) -> None:
        """Records that a lease call to an instance got no response.

        Instances may leave calls unanswered by themselves, so this too leads to probes
        only.
        """
        self._record_failure(self._unanswered_ms, instance, now_ms)

    def record_probes(
        self, is_open_by_instance: Mapping[str, bool], now_ms: float
    ) -> None:
        """Concludes from the connections that `choose_probes` asked for."""
        if any(is_open_by_instance.values()):
            self.record_connected(now_ms)
        elif is_open_by_instance:
            self.state = LinkState.CUT

    def check_silence(self, request_ages_ms: Sequence[float], now_ms: float) -> None:
        """Doubts the links if requests to several instances get no response.

        Args:
            request_ages_ms: Age of the oldest request in flight, for each instance
                that has one.
            now_ms: Present time.
        """
        old_count = sum(1 for age_ms in request_ages_ms if age_ms >= SILENCE_MS)
        heard_ms = max(self._responded_ms, self._connected_ms)
        is_silent = now_ms - heard_ms >= SILENCE_MS
        if self.state is LinkState.REACHING and is_silent and old_count >= DOUBT_COUNT:
            self.state = LinkState.DOUBTFUL

    def are_open_connections_silent(self, now_ms: float) -> bool:
        """Returns whether open connections get no responses either."""
        return self.is_cut and now_ms - self._responded_ms >= SILENCE_MS

    def choose_probes(
        self, near: Sequence[str], far: Sequence[str], now_ms: float
    ) -> list[str]:
        """Returns the instances to which connections are to be probed now.

        Args:
            near: Instances in the zone of this daemon, which it may reach alone.
            far: All other instances.
            now_ms: Present time.
        """
        is_due = now_ms - self._probed_ms >= PROBE_INTERVAL_MS
        if self.state is LinkState.REACHING or not is_due:
            return []
        self._probed_ms = now_ms
        return self._choose_untried(near) + self._choose_untried(far)

    def _choose_untried(self, instances: Sequence[str]) -> list[str]:
        """Chooses among the instances that have not failed, if there are enough."""
        untried = [name for name in instances if name not in self._failures_ms]
        pool = untried if len(untried) >= ZONE_PROBE_COUNT else instances
        return self._choose(pool, min(ZONE_PROBE_COUNT, len(pool)))

    def _record_failure(
        self, failures_ms: dict[str, float], instance: str, now_ms: float
    ) -> None:
        """Records a failure and doubts the links if there are several.

        Right after a connection was opened there is no doubt.
        """
        for name, at_ms in list(failures_ms.items()):
            if now_ms - at_ms > FAILURE_TTL_MS:
                del failures_ms[name]
        failures_ms[instance] = now_ms
        is_recent = now_ms - self._connected_ms < RENEWED_DOUBT_MS
        is_doubtful = len(failures_ms) >= DOUBT_COUNT and not is_recent
        if self.state is LinkState.REACHING and is_doubtful:
            self.state = LinkState.DOUBTFUL
