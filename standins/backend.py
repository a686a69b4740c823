"""Base of the stand-in backends: runs requests and records their executions."""

from __future__ import annotations

import argparse
import json
import os
import random
import threading
import time
from collections import deque
from typing import Any, Callable, NamedTuple

from .serving import (
    Application,
    Controls,
    Request,
    Response,
    json_response,
    not_run,
    now_ms,
)
from .slots import Admission, Slots

EXTRA_THREAD_COUNT = 24
MAX_LOAD_SAMPLES = 10_000
DEFAULT_DEADLINE_MS = 600_000
SILENT_RESPONSE_DELAY_MS = 60_000
CANCEL_PREFIX = "/requests/"

Check = Callable[[Request], "Response | None"]


class Execution(NamedTuple):
    """One request that was executed.

    Attributes:
        instance: Server or upstream that executed it.
        method: HTTP method.
        path: Path of the request.
        query: Query of the request.
        key: Value of `Skylark-Key`; "" if absent.
        fence: Value of `Skylark-Fence`; "" if absent.
        request_id: Value of `Skylark-Request-Id`; "" if absent.
        idempotency_key: Value of `Idempotency-Key`; "" if absent.
        begin_ms: CLOCK_MONOTONIC at the start of the execution.
        end_ms: CLOCK_MONOTONIC at its end, when the effect was recorded.
    """

    instance: str
    method: str
    path: str
    query: str
    key: str
    fence: str
    request_id: str
    idempotency_key: str
    begin_ms: float
    end_ms: float


class Journal:
    """Keeps executions in memory and optionally in a JSON Lines file.

    The file outlives a killed process, so a driver can still check it.

    Args:
        path: File to append to; "" keeps the executions in memory only.
    """

    def __init__(self, path: str) -> None:
        self._lock = threading.Lock()
        self._executions: list[Execution] = []
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._file = os.open(path, flags, 0o644) if path else None

    def add(self, execution: Execution) -> None:
        """Records one execution."""
        with self._lock:
            self._executions.append(execution)
            if self._file is not None:
                line = json.dumps(execution._asdict()) + "\n"
                os.write(self._file, line.encode())

    def read_from(self, index: int) -> list[dict[str, Any]]:
        """Returns the executions starting at an index, as JSON objects."""
        with self._lock:
            return [item._asdict() for item in self._executions[index:]]


class InFlightHistory:
    """Timestamped in-flight counts, so that a load report can lag behind."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._samples: deque[tuple[float, int]] = deque(maxlen=MAX_LOAD_SAMPLES)

    def record(self, in_flight: int) -> None:
        """Records a change of the in-flight count."""
        with self._lock:
            self._samples.append((now_ms(), in_flight))

    def count_at_lag(self, lag_ms: float) -> int:
        """Returns the in-flight count as it was `lag_ms` ago; 0 before any sample."""
        sampled_at_ms = now_ms() - lag_ms
        with self._lock:
            samples = reversed(self._samples)
            return next(
                (count for at_ms, count in samples if at_ms <= sampled_at_ms), 0
            )


class Backend:
    """One instance of a stand-in service.

    Controls:
        slow_factor: Multiplies the service time.
        break_answers: Number of next responses to truncate, after the execution.
        silent_answers: Number of next requests to leave without a response, after
            the execution.
        drain: Whether new requests are refused as draining.
        shed: Whether new requests are refused as shed.
        report_lag_ms: Age of the reported load.
        report_ready: Readiness that `/health` reports.

    Args:
        arguments: Parsed command line, with the options of `add_arguments`.
        check: Returns a refusal or None; called when a request arrives, when it
            starts and before its effect is recorded.
        try_accept: Decides from the in-flight count whether to accept one more
            request; accepts all by default.
    """

    def __init__(
        self,
        arguments: argparse.Namespace,
        check: Check,
        try_accept: Callable[[int], bool] | None = None,
    ) -> None:
        self.name: str = arguments.name
        self.application = Application()
        self.controls = Controls(
            self.application,
            slow_factor=1.0,
            break_answers=0,
            silent_answers=0,
            drain=False,
            shed=False,
            report_lag_ms=arguments.report_lag_ms,
            report_ready=True,
        )
        self.slots = Slots(arguments.slots, arguments.queue_limit, try_accept)
        self._check = check
        self._service_ms = arguments.service_ms
        self._random = random.Random(self.name)
        self._journal = Journal(arguments.journal)
        self._load = InFlightHistory()
        self._lock = threading.Lock()
        self._add_routes()

    def _add_routes(self) -> None:
        route = self.application.route
        route("GET", "/health")(self._handle_health)
        route("GET", "/load")(self._handle_load)
        route("GET", "/executed")(self._handle_executed)
        self.application.fallback(self._handle_work)

    def _handle_health(self, request: Request) -> Response:
        ready = self.controls["report_ready"]
        return json_response({"ready": ready, "draining": self.controls["drain"]})

    def _handle_load(self, request: Request) -> Response:
        lag_ms = self.controls["report_lag_ms"]
        in_flight = self._load.count_at_lag(lag_ms)
        return json_response(
            {"in_flight": in_flight, "slots": self.slots.slots, "age_ms": lag_ms}
        )

    def _handle_executed(self, request: Request) -> Response:
        start = int(request.parameters().get("from", 0))
        return json_response({"executed": self._journal.read_from(start)})

    def _handle_cancel(self, request: Request) -> Response:
        request_id = request.path.removeprefix(CANCEL_PREFIX)
        if self.slots.cancel(request_id):
            return json_response({"outcome": "not-run"})
        return json_response({}, 202)

    def _handle_work(self, request: Request) -> Response:
        if request.method == "DELETE" and request.path.startswith(CANCEL_PREFIX):
            return self._handle_cancel(request)
        refusal = self._refuse(request)
        if refusal is not None:
            return refusal
        deadline_ms = now_ms() + int(
            request.header("Skylark-Deadline-Ms") or DEFAULT_DEADLINE_MS
        )
        admission = self.slots.acquire(
            request.header("Skylark-Request-Id"), deadline_ms
        )
        if admission is not Admission.STARTED:
            return not_run(503, admission.value)
        self._load.record(self.slots.in_flight)
        try:
            return self._execute(request)
        finally:
            self.slots.leave()
            self._load.record(self.slots.in_flight)

    def _refuse(self, request: Request) -> Response | None:
        if self.controls["drain"]:
            return not_run(503, "draining")
        if self.controls["shed"]:
            return not_run(503, "shed")
        return self._check(request)

    def _execute(self, request: Request) -> Response:
        begin_ms = now_ms()
        refusal = self._check(request)
        if refusal is not None:
            return refusal
        time.sleep(self._draw_service_ms() / 1000)
        # The lease may have expired if the process was paused meanwhile.
        refusal = self._check(request)
        if refusal is not None:
            return refusal
        execution = Execution(
            self.name,
            request.method,
            request.path,
            request.query,
            request.header("Skylark-Key"),
            request.header("Skylark-Fence"),
            request.header("Skylark-Request-Id"),
            request.header("Idempotency-Key"),
            begin_ms,
            now_ms(),
        )
        self._journal.add(execution)
        return self._make_response(request, execution)

    def _draw_service_ms(self) -> float:
        spread = self._random.uniform(0.5, 1.5)
        return spread * self._service_ms * self.controls["slow_factor"]

    def _make_response(self, request: Request, execution: Execution) -> Response:
        if self.consume_control("silent_answers"):
            time.sleep(SILENT_RESPONSE_DELAY_MS / 1000)
        body = execution._asdict() | {"body": request.body.decode("latin-1")}
        return json_response(body)._replace(
            is_truncated=self.consume_control("break_answers")
        )

    def consume_control(self, control: str) -> bool:
        """Decrements a counting control; returns whether it was above zero."""
        with self._lock:
            if not self.controls[control]:
                return False
            self.controls[control] -= 1
            return True

    def threads(self) -> int:
        """Returns the number of threads that the instance needs.

        The threads beyond slots and queue serve health, load and control requests.
        """
        return self.slots.slots + self.slots.queue_limit + EXTRA_THREAD_COUNT


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the options that keyed servers and upstreams share."""
    parser.add_argument("--address", required=True, help="HOST:PORT")
    parser.add_argument("--name", required=True, help="VM id of the instance")
    parser.add_argument("--slots", type=int, default=3)
    parser.add_argument("--queue-limit", type=int, default=9)
    parser.add_argument("--service-ms", type=float, default=10.0)
    parser.add_argument("--report-lag-ms", type=int, default=0)
    parser.add_argument(
        "--journal", default="", help="file that records the executions"
    )
