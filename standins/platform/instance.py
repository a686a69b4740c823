"""Stand-in for an instance of the gateway's platform.

It runs requests in slots, holds granted key ranges and writes heartbeats to the store.
"""

from __future__ import annotations

import argparse
import json
import os
import sys
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
from .arrivals import ArrivalClock

THREAD_COUNT = 48
QUEUE_LIMIT = 12
NOT_EXECUTED = (("Not-Executed", "1"),)
# An instance that begins to run a request with this in its path ends at once.
CRASH_PATH = "/crash"


class KeyRanges:
    """Key ranges that the instance holds, and the highest fences that it has seen."""

    def __init__(self) -> None:
        self._held_ranges: list[tuple[int, int, int, float]] = []
        self._seen_fences: list[tuple[int, int, int]] = []
        self.changed = threading.Condition()
        self.running_keys: list[int] = []

    def grant(self, first: int, last: int, fence: int, lease_end_ms: float) -> bool:
        """Accepts a range unless a higher fence was seen for one of its keys."""
        with self.changed:
            seen_fences = [
                fence_seen
                for low, high, fence_seen in self._seen_fences
                if low <= last and high >= first
            ]
            if max(seen_fences, default=0) > fence:
                return False
            self._seen_fences = [
                seen for seen in self._seen_fences if seen[0] < first or seen[1] > last
            ]
            self._seen_fences.append((first, last, fence))
            self._held_ranges = [
                held_range
                for held_range in self._held_ranges
                if held_range[3] > now_ms()
                and not first <= held_range[0] <= held_range[1] <= last
            ]
            self._held_ranges.append((first, last, fence, lease_end_ms))
            self._print_held_ranges()
            return True

    def release(self, first: int, last: int, fence: int, timeout_s: float) -> None:
        """Releases a range, then waits for the requests that run on its keys."""
        with self.changed:
            self._held_ranges = [
                remainder
                for held_range in self._held_ranges
                for remainder in _subtract_range(held_range, first, last, fence)
            ]
            self._print_held_ranges()
            end = time.monotonic() + timeout_s
            while any(first <= key <= last for key in self.running_keys):
                self.changed.wait(max(0.0, end - time.monotonic()))

    def covers(self, key: int) -> bool:
        """Returns whether an unexpired range covers a key."""
        return any(
            first <= key <= last and now_ms() < lease_end_ms
            for first, last, _, lease_end_ms in self._held_ranges
        )

    def ranges(self) -> list[list[float]]:
        """Returns first key, last key, fence and remaining ms of each range."""
        return [
            [first, last, fence, lease_end_ms - now_ms()]
            for first, last, fence, lease_end_ms in self._held_ranges
            if lease_end_ms > now_ms()
        ]

    def _print_held_ranges(self) -> None:
        """Prints what is held from now on, for a driver that compares instances."""
        rows = [[low, high, end_ms] for low, high, _, end_ms in self._held_ranges]
        print_line(f"holds {now_ms()} {json.dumps(rows)}")


def print_line(text: str) -> None:
    """Prints a line in one write, as the lines of two threads must not mix."""
    sys.stdout.write(f"{text}\n")
    sys.stdout.flush()


def _subtract_range(held_range, first, last, fence):
    low, high, held_fence, lease_end_ms = held_range
    if held_fence > fence or high < first or low > last:
        return [held_range]
    remainders = []
    if low < first:
        remainders.append((low, first - 1, held_fence, lease_end_ms))
    if high > last:
        remainders.append((last + 1, high, held_fence, lease_end_ms))
    return remainders


def _describe_customer(request: Request) -> str:
    """Returns what a request says of its customer; empty if it says nothing."""
    customer, api_key = request.header("Tenant"), request.header("Authorization")
    return (f" for {customer}" if customer else "") + (" with a key" if api_key else "")


class Instance:
    """One instance, which runs requests and counts them by request id."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self._name = arguments.name
        self._arguments = arguments
        self._start_ms = int(time.time() * 1000)
        self._sequence = 0
        self._state = "ready"
        self._says_leaving = False
        self._key_ranges = KeyRanges()
        self._arrivals = ArrivalClock()
        self._slots = threading.Semaphore(arguments.slots)
        self._lock = threading.Lock()
        self._waiting = 0
        self._running = 0
        self._runs: dict[str, int] = {}
        self._run_times_ms: list[float] = []
        self.application = Application()
        self.controls = Controls(
            self.application,
            work_ms=arguments.work_ms,
            beats=True,
            lost_share=0.0,
            rate_limit_per_s=0.0,
            grant_delay_ms=0.0,
            response_bytes=0,
        )
        self._loss_accumulator = 0.0
        route = self.application.route
        route("POST", "/api/grant")(self._handle_grant)
        route("POST", "/api/release")(self._handle_release)
        route("GET", "/health")(lambda _: self._make_response(200, b"ok"))
        route("GET", "/runs")(lambda _: json_response(self._runs))
        route("GET", "/ranges")(lambda _: json_response(self._key_ranges.ranges()))
        route("GET", "/last")(self._handle_last)
        route("POST", "/drain")(self._handle_drain)
        route("POST", "/leave")(self._handle_leave)
        self.application.fallback(self._handle_request)

    def send_heartbeats(self) -> None:
        """Writes heartbeats to the store until the process ends."""
        pool = urllib3.PoolManager()
        address = f"http://{self._arguments.store}/operator/put"
        while True:
            if self.controls["beats"]:
                self._sequence += 1
                try:
                    pool.request(
                        "POST", address, json=self._make_heartbeat(), timeout=1.0
                    )
                except urllib3.exceptions.HTTPError:
                    pass  # The store is unavailable; the next heartbeat retries.
            time.sleep(self._arguments.heartbeat_ms / 1000)

    def _make_heartbeat(self) -> dict[str, Any]:
        value = {
            "backend": self._arguments.service,
            "address": self._arguments.advertise or self._arguments.address,
            "zone": self._arguments.zone,
            "configVersion": "v1",
            "slots": self._arguments.slots,
            "state": self._state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self._start_ms,
        }
        return {"topic": "keyed.servers", "key": self._name, "value": value}

    def _handle_drain(self, _: Request) -> Response:
        self._state = "draining"
        return json_response({})

    def _handle_leave(self, request: Request) -> Response:
        """Says in all answers that it leaves, and exits if it is told when.

        Its entry stays as it is: it never says that it drains.
        """
        payload = json.loads(request.body or b"{}")
        self._says_leaving = True
        print_line(f"leaves {now_ms()}")
        if "exit_s" in payload:
            threading.Timer(payload["exit_s"], lambda: os._exit(0)).start()
        return json_response({})

    def _handle_last(self, _: Request) -> Response:
        return json_response(
            {"at_ms": self._run_times_ms[-1] if self._run_times_ms else 0}
        )

    def _handle_grant(self, request: Request) -> Response:
        arrival_ms = self._arrivals.arrival_ms()
        payload = json.loads(request.body)
        if request.header("Target-Instance") not in ("", self._name):
            return self._make_response(421, b"", NOT_EXECUTED)
        time.sleep(self.controls["grant_delay_ms"] / 1000)
        is_accepted = self._key_ranges.grant(
            payload["from"],
            payload["to"],
            payload["fence"],
            arrival_ms + payload["holdMs"],
        )
        return self._say_leaving(json_response({}, 200 if is_accepted else 409))

    def _handle_release(self, request: Request) -> Response:
        payload = json.loads(request.body)
        self._key_ranges.release(payload["from"], payload["to"], payload["fence"], 3.0)
        response = json_response({})._replace(headers=(("Handover", "state"),))
        return self._say_leaving(response)

    def _handle_request(self, request: Request) -> Response:
        if request.header("Target-Instance") not in ("", self._name):
            return self._make_response(421, b"", NOT_EXECUTED)
        key = self._parse_key(request)
        with self._lock:
            if self._running + self._waiting >= self._arguments.slots + QUEUE_LIMIT:
                return self._make_response(503, b"", NOT_EXECUTED)
            self._waiting += 1
        with self._slots:
            return self._execute(request, key)

    def _execute(self, request: Request, key: int | None) -> Response:
        with self._lock:
            self._waiting -= 1
        with self._key_ranges.changed:
            if key is not None and not self._key_ranges.covers(key):
                return self._make_response(421, b"", NOT_EXECUTED)
            if key is not None:
                self._key_ranges.running_keys.append(key)
        name = request.header("Request-Id")
        with self._lock:
            self._running += 1
            self._runs[name] = self._runs.get(name, 0) + 1
            self._run_times_ms.append(now_ms())
            print_line(f"run {name} {time.time():.3f}")
        if CRASH_PATH in request.path:
            print_line(f"ends {now_ms()}")
            os._exit(1)
        time.sleep(self.controls["work_ms"] / 1000)
        with self._lock:
            self._running -= 1
        if key is not None:
            with self._key_ranges.changed:
                self._key_ranges.running_keys.remove(key)
                self._key_ranges.changed.notify_all()
        headers = (
            ("Request-Id", name),
            ("Response-Signature", f"{self._name}.1"),
        )
        body = f"{name} by {self._name}{_describe_customer(request)}".encode()
        body = body.ljust(self.controls["response_bytes"])
        response = self._make_response(200, body, headers)
        return response._replace(is_truncated=self._consume_lost_response())

    def _consume_lost_response(self) -> bool:
        with self._lock:
            self._loss_accumulator += self.controls["lost_share"]
            if self._loss_accumulator < 1:
                return False
            self._loss_accumulator -= 1
            return True

    def _parse_key(self, request: Request) -> int | None:
        text = request.header("Shard-Key")
        return int(text) if text and self._arguments.keyed else None

    def _make_response(self, status: int, body: bytes, headers=()) -> Response:
        load = f"{self._running},{self._waiting},{self._arguments.slots},100"
        instance_headers = [("Instance-Id", self._name), ("Instance-Load", load)]
        if self.controls["rate_limit_per_s"]:
            limit = str(self.controls["rate_limit_per_s"])
            instance_headers.append(("Server-Limit", limit))
        response = Response(status, body, "text/plain", (*headers, *instance_headers))
        return self._say_leaving(response)

    def _say_leaving(self, response: Response) -> Response:
        if not self._says_leaving:
            return response
        leaving = ("Server-Leaving", "1")
        return response._replace(headers=(*response.headers, leaving))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--address", required=True, help="host:port")
    parser.add_argument("--advertise", help="host:port written to the store")
    parser.add_argument("--store", required=True, help="host:port")
    parser.add_argument("--zone", required=True)
    parser.add_argument("--slots", type=int, default=3)
    parser.add_argument("--work-ms", type=float, default=20.0)
    parser.add_argument("--heartbeat-ms", type=float, default=300.0)
    parser.add_argument("--keyed", action="store_true")
    arguments = parser.parse_args()
    print_line(f"begins {now_ms()}")
    instance = Instance(arguments)
    threading.Thread(target=instance.send_heartbeats, daemon=True).start()
    serve(instance.application, [arguments.address], THREAD_COUNT)


if __name__ == "__main__":
    main()
