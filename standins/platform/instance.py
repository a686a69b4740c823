"""Stand-in for an instance: slots, a queue, key ranges by call, heartbeats."""

from __future__ import annotations

import argparse
import json
import threading
import time
from typing import Any

import urllib3

from ..serving import (
    Application,
    Controls,
    Request,
    Response,
    json_response,
    now_ms,
    serve,
)

THREADS = 48
QUEUE = 12
NOT_EXECUTED = (("Not-Executed", "1"),)


class Keys:
    """Key ranges that the instance holds, and the fences that it has seen."""

    def __init__(self) -> None:
        self._holds: list[tuple[int, int, int, float]] = []
        self._fences: list[tuple[int, int, int]] = []
        self.lock = threading.Condition()
        self.running: list[int] = []

    def grant(self, first: int, last: int, fence: int, lease_ms: float) -> bool:
        """Takes a range unless a higher fence was seen on one of its keys."""
        with self.lock:
            seen = [f for low, high, f in self._fences if low <= last and high >= first]
            if max(seen, default=0) > fence:
                return False
            self._fences = [
                item for item in self._fences if item[0] < first or item[1] > last
            ]
            self._fences.append((first, last, fence))
            self._holds = [
                item
                for item in self._holds
                if item[3] > now_ms() and not first <= item[0] <= item[1] <= last
            ]
            self._holds.append((first, last, fence, now_ms() + lease_ms))
            return True

    def release(self, first: int, last: int, fence: int, wait_s: float) -> None:
        """Gives a range up and waits for the work that runs on it."""
        with self.lock:
            self._holds = [
                part
                for item in self._holds
                for part in _without(item, first, last, fence)
            ]
            end = time.monotonic() + wait_s
            while any(first <= key <= last for key in self.running):
                self.lock.wait(max(0.0, end - time.monotonic()))

    def holds(self, key: int) -> bool:
        """Tells whether it holds a key now."""
        return any(
            first <= key <= last and now_ms() < until_ms
            for first, last, _, until_ms in self._holds
        )

    def ranges(self) -> list[list[float]]:
        """Returns first key, last key, fence and time left of each range."""
        return [
            [first, last, fence, until_ms - now_ms()]
            for first, last, fence, until_ms in self._holds
            if until_ms > now_ms()
        ]


def _without(item, first, last, fence):
    low, high, held, until_ms = item
    if held > fence or high < first or low > last:
        return [item]
    parts = []
    if low < first:
        parts.append((low, first - 1, held, until_ms))
    if high > last:
        parts.append((last + 1, high, held, until_ms))
    return parts


class Instance:
    """One instance: runs requests and keeps count of them."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self._name = arguments.name
        self._arguments = arguments
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self._state = "ready"
        self._keys = Keys()
        self._slots = threading.Semaphore(arguments.slots)
        self._lock = threading.Lock()
        self._waiting = 0
        self._running = 0
        self._runs: dict[str, int] = {}
        self._times: list[float] = []
        self.application = Application()
        self.controls = Controls(
            self.application, work_ms=arguments.work_ms, beats=True, lost_share=0.0
        )
        self._lost_count = 0.0
        route = self.application.route
        route("POST", "/api/grant")(self._grant)
        route("POST", "/api/release")(self._release)
        route("GET", "/health")(lambda _: self._answer(200, b"ok"))
        route("GET", "/runs")(lambda _: json_response(self._runs))
        route("GET", "/ranges")(lambda _: json_response(self._keys.ranges()))
        route("GET", "/last")(self._last)
        route("POST", "/drain")(self._drain)
        self.application.fallback(self._serve)

    def beat(self) -> None:
        """Writes heartbeats until the process ends."""
        pool = urllib3.PoolManager()
        address = f"http://{self._arguments.store}/operator/put"
        while True:
            if self.controls["beats"]:
                self._sequence += 1
                try:
                    pool.request("POST", address, json=self._entry(), timeout=1.0)
                except urllib3.exceptions.HTTPError:
                    pass  # The store is away; the next beat tries again.
            time.sleep(self._arguments.heartbeat_ms / 1000)

    def _entry(self) -> dict[str, Any]:
        value = {
            "backend": self._arguments.service,
            "address": self._arguments.advertise or self._arguments.address,
            "zone": self._arguments.zone,
            "configVersion": "v1",
            "slots": self._arguments.slots,
            "state": self._state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self._born_ms,
        }
        return {"topic": "keyed.servers", "key": self._name, "value": value}

    def _drain(self, _: Request) -> Response:
        self._state = "draining"
        return json_response({})

    def _last(self, _: Request) -> Response:
        return json_response({"at_ms": self._times[-1] if self._times else 0})

    def _grant(self, request: Request) -> Response:
        plain = json.loads(request.body)
        if request.header("Target-Instance") not in ("", self._name):
            return self._answer(421, b"", NOT_EXECUTED)
        is_taken = self._keys.grant(
            plain["from"], plain["to"], plain["fence"], plain["holdMs"]
        )
        return json_response({}, 200 if is_taken else 409)

    def _release(self, request: Request) -> Response:
        plain = json.loads(request.body)
        self._keys.release(plain["from"], plain["to"], plain["fence"], 3.0)
        return json_response({})._replace(headers=(("Handover", "state"),))

    def _serve(self, request: Request) -> Response:
        if request.header("Target-Instance") not in ("", self._name):
            return self._answer(421, b"", NOT_EXECUTED)
        key = self._key_of(request)
        with self._lock:
            if self._running + self._waiting >= self._arguments.slots + QUEUE:
                return self._answer(503, b"", NOT_EXECUTED)
            self._waiting += 1
        with self._slots:
            return self._run(request, key)

    def _run(self, request: Request, key: int | None) -> Response:
        with self._lock:
            self._waiting -= 1
        with self._keys.lock:
            if key is not None and not self._keys.holds(key):
                return self._answer(421, b"", NOT_EXECUTED)
            if key is not None:
                self._keys.running.append(key)
        name = request.header("Request-Id")
        with self._lock:
            self._running += 1
            self._runs[name] = self._runs.get(name, 0) + 1
            self._times.append(now_ms())
            print(f"run {name} {time.time():.3f}", flush=True)
        time.sleep(self.controls["work_ms"] / 1000)
        with self._lock:
            self._running -= 1
        if key is not None:
            with self._keys.lock:
                self._keys.running.remove(key)
                self._keys.lock.notify_all()
        headers = (("Request-Id", name), ("Response-Signature", f"{self._name}.1"))
        answer = self._answer(200, f"{name} by {self._name}".encode(), headers)
        return answer._replace(broken=self._loses_answer())

    def _loses_answer(self) -> bool:
        with self._lock:
            self._lost_count += self.controls["lost_share"]
            if self._lost_count < 1:
                return False
            self._lost_count -= 1
            return True

    def _key_of(self, request: Request) -> int | None:
        text = request.header("Shard-Key")
        return int(text) if text and self._arguments.keyed else None

    def _answer(self, status: int, body: bytes, headers=()) -> Response:
        load = f"{self._running},{self._waiting},{self._arguments.slots},100"
        own = (("Instance-Id", self._name), ("Instance-Load", load))
        return Response(status, body, "text/plain", (*headers, *own))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--address", required=True, help="host:port")
    parser.add_argument("--advertise", help="host:port told to the store")
    parser.add_argument("--store", required=True, help="host:port")
    parser.add_argument("--zone", required=True)
    parser.add_argument("--slots", type=int, default=3)
    parser.add_argument("--work-ms", type=float, default=20.0)
    parser.add_argument("--heartbeat-ms", type=float, default=300.0)
    parser.add_argument("--keyed", action="store_true")
    arguments = parser.parse_args()
    instance = Instance(arguments)
    threading.Thread(target=instance.beat, daemon=True).start()
    serve(instance.application, [arguments.address], THREADS)


if __name__ == "__main__":
    main()
