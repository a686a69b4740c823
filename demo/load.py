"""Open-loop load, spread over all ready daemons as a load balancer would."""

from __future__ import annotations

import heapq
import itertools
import json
import random
import threading
from typing import Any, Iterable, NamedTuple

import urllib3
import uuid6

from skylarktrail.errors.idempotency import KEY_FORGOTTEN
from standins.serving import now_ms

from .calls import Attempt, Call, CallResult, Outcome, is_certainly_not_run
from .site import Site

WORKER_COUNT = 96
OUTCOME_BY_HEADER = {"not-run": Outcome.NOT_RUN, "unknown": Outcome.UNKNOWN}
KEY_COUNT = 40
ZIPF_EXPONENT = 0.8
DEADLINE_MS = 4_000
READ_TIMEOUT_S = 8.0
CONNECT_TIMEOUT_S = 0.5
GIVE_UP_AFTER_MS = 10_000
READY_POLL_INTERVAL_S = 0.25
RETRY_DELAY_MS = 100
FINISH_TIMEOUT_S = 15.0
KEYED_READ_WEIGHT = 55
KEYED_WRITE_WEIGHT = 15
STATELESS_READ_WEIGHT = 5
STATELESS_WRITE_WEIGHT = 10


class Flow(NamedTuple):
    """One kind of call and its relative share of the load."""

    service: str
    path_prefix: str
    method: str
    is_keyed: bool
    share: int


def make_flows(file: dict[str, Any]) -> list[Flow]:
    """Returns the read and write flows of each service of an operator file."""
    flows = []
    for service in file["services"]:
        is_keyed = service["kind"] == "keyed"
        shares = {
            "GET": KEYED_READ_WEIGHT if is_keyed else STATELESS_READ_WEIGHT,
            "POST": KEYED_WRITE_WEIGHT if is_keyed else STATELESS_WRITE_WEIGHT,
        }
        prefix = service["path_prefix"]
        methods = service.get("methods", shares)
        flows += [
            Flow(service["name"], prefix, method, is_keyed, share)
            for method, share in shares.items()
            if method in methods
        ]
    return flows


class CallGenerator:
    """Generates random calls; half of the keys follow a Zipf distribution.

    Args:
        file: Operator file with the services and tenants.
        seed: Seed of the random choices.
        key_count: Number of distinct keys.
        flows: Kinds of calls; those of `make_flows` by default.
    """

    def __init__(
        self,
        file: dict[str, Any],
        seed: int = 1,
        key_count: int = KEY_COUNT,
        flows: list[Flow] | None = None,
    ) -> None:
        self._random = random.Random(seed)
        self._flows = make_flows(file) if flows is None else flows
        self._shares = [flow.share for flow in self._flows]
        self._tenants = [tenant["name"] for tenant in file.get("tenants", [])] or [""]
        self._keys = [f"key-{index}" for index in range(key_count)]
        weights = ((index + 1) ** -ZIPF_EXPONENT for index in range(key_count))
        self._key_weights = list(itertools.accumulate(weights))
        self._key_cycle = itertools.cycle(self._keys)
        self._run_id = uuid6.uuid7().hex
        self._call_numbers = itertools.count()

    def draw_interarrival_ms(self, rate_per_s: float) -> float:
        """Returns a random time to the next call of a Poisson process."""
        return self._random.expovariate(rate_per_s) * 1000

    def draw_call(self, due_ms: float) -> Call:
        """Returns a random call that is due at `due_ms`."""
        flow = self._random.choices(self._flows, self._shares)[0]
        number = next(self._call_numbers)
        key = self._draw_key(number) if flow.is_keyed else ""
        is_write = flow.method == "POST"
        return Call(
            f"{self._run_id}-{number}",
            due_ms,
            flow.service,
            flow.method,
            f"{flow.path_prefix}{key or 'item'}",
            key,
            self._random.choice(self._tenants),
            str(uuid6.uuid7()) if is_write else "",
            f"order {number}" if is_write else "",
        )

    def _draw_key(self, number: int) -> str:
        """Returns a Zipf-distributed key for even numbers, else the next key in turn.

        The keys in turn make sure that rare keys are called as well.
        """
        if number % 2:
            return next(self._key_cycle)
        return self._random.choices(self._keys, cum_weights=self._key_weights)[0]


class Balancer:
    """Selects the ready daemons in round-robin order."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._lock = threading.Lock()
        self._ready: list[str] = []
        self._next_index = 0
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._poll_readiness, args=(name,), daemon=True)
            for name in site.running_vms("router")
        ]

    def start(self) -> None:
        """Starts to poll the readiness of the daemons."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops polling."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def pick_ready_daemon(self) -> str | None:
        """Returns the next ready daemon; None if no daemon is ready."""
        with self._lock:
            if not self._ready:
                return None
            self._next_index += 1
            return self._ready[self._next_index % len(self._ready)]

    def exclude(self, daemon: str) -> None:
        """Excludes a daemon until a poll finds it ready again."""
        with self._lock:
            if daemon in self._ready:
                self._ready.remove(daemon)

    def _poll_readiness(self, daemon: str) -> None:
        while not self._stopped.is_set():
            is_ready = self._site.is_ready(daemon)
            with self._lock:
                if is_ready and daemon not in self._ready:
                    self._ready.append(daemon)
                if not is_ready and daemon in self._ready:
                    self._ready.remove(daemon)
            self._stopped.wait(READY_POLL_INTERVAL_S)


class Caller:
    """Sends single attempts of calls and classifies their outcomes."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._pool = urllib3.PoolManager(
            num_pools=32, maxsize=WORKER_COUNT, retries=False
        )
        self._timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)

    def attempt(self, call: Call, daemon: str) -> Attempt:
        """Sends a call through a daemon and returns the attempt."""
        address = self._site.vms[daemon].address
        begin_ms = now_ms()
        try:
            response = self._pool.request(
                call.method,
                f"http://{address}{call.path}?call={call.tag}",
                body=call.body.encode() or None,
                headers=_make_headers(call),
                timeout=self._timeout,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            detail = type(error).__name__
            return Attempt(daemon, begin_ms, now_ms(), Outcome.UNSENT, detail=detail)
        except urllib3.exceptions.HTTPError as error:
            detail = type(error).__name__
            return Attempt(daemon, begin_ms, now_ms(), Outcome.UNKNOWN, detail=detail)
        return _classify_response(
            call, Attempt(daemon, begin_ms, now_ms(), Outcome.FAILED), response
        )


def _make_headers(call: Call) -> dict[str, str]:
    headers = {
        "Skylark-Key": call.key,
        "Skylark-Tenant": call.tenant,
        "Skylark-Deadline-Ms": str(DEADLINE_MS),
        "Idempotency-Key": call.idempotency_key,
    }
    return {name: value for name, value in headers.items() if value}


def _classify_response(
    call: Call, unclassified: Attempt, response: urllib3.BaseHTTPResponse
) -> Attempt:
    body = _parse_body(response.data)
    if 200 <= response.status < 300:
        is_response_to_call = body.get("query") == f"call={call.tag}"
        is_response_to_call = is_response_to_call and body.get("body") == call.body
        outcome = Outcome.ANSWERED if is_response_to_call else Outcome.FOREIGN
        instance = str(body.get("instance", ""))
        return unclassified._replace(
            outcome=outcome, status=response.status, detail=instance
        )
    outcome = OUTCOME_BY_HEADER.get(
        response.headers.get("Skylark-Outcome", ""), Outcome.FAILED
    )
    seconds = response.headers.get("Retry-After", "0")
    retry_after_ms = float(body.get("retry_after_ms") or 1000 * float(seconds))
    if retry_after_ms and body.get("attempt") == Outcome.NOT_RUN.value:
        outcome = Outcome.NOT_RUN
    return unclassified._replace(
        outcome=outcome,
        retry_after_ms=retry_after_ms,
        status=response.status,
        code=int(body.get("code", 0)),
    )


def _parse_body(data: bytes) -> dict[str, Any]:
    try:
        body = json.loads(data)
    except ValueError:
        return {}
    return body if isinstance(body, dict) else {}


def can_infer_not_run(earlier: tuple[Attempt, ...], last: Attempt) -> bool:
    """Returns whether a call with a forgotten idempotency key certainly did not run.

    The daemon reports that it did not run the last attempt but cannot know about
    earlier attempts with that key. The caller knows their outcomes.
    """
    return last.code == KEY_FORGOTTEN.number and is_certainly_not_run(earlier)


class Pending(NamedTuple):
    """A call that waits for its next attempt; ordered by time."""

    at_ms: float
    number: int
    call: Call
    tries: tuple[Attempt, ...]


class Load:
    """Sends calls at a mean rate until it is stopped.

    Args:
        site: Site whose daemons are called.
        generator: Source of the calls.
        rate_per_s: Mean number of calls per second.
    """

    def __init__(self, site: Site, generator: CallGenerator, rate_per_s: float) -> None:
        self._generator = generator
        self._rate_per_s = rate_per_s
        self._balancer = Balancer(site)
        self._caller = Caller(site)
        self._changed = threading.Condition()
        self._pending: list[Pending] = []
        self._call_numbers = itertools.count()
        self._open_count = 0
        self._results: list[CallResult] = []
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run_worker, daemon=True)
            for _ in range(WORKER_COUNT)
        ]
        self._generator_thread = threading.Thread(
            target=self._generate_calls, daemon=True
        )

    def start(self) -> None:
        """Starts to send calls."""
        self._balancer.start()
        for thread in self._threads:
            thread.start()
        self._generator_thread.start()

    def stop(self) -> None:
        """Stops new calls and waits until the open calls have finished."""
        self._stopped.set()
        self._generator_thread.join()
        with self._changed:
            self._changed.wait_for(lambda: self._open_count == 0, FINISH_TIMEOUT_S)
        self._balancer.stop()

    def results(self) -> list[CallResult]:
        """Returns the calls that have finished so far."""
        with self._changed:
            return list(self._results)

    def open_calls(self) -> int:
        """Returns the number of calls without a final outcome."""
        return self._open_count

    def _generate_calls(self) -> None:
        due_ms = now_ms()
        while not self._stopped.is_set():
            due_ms += self._generator.draw_interarrival_ms(self._rate_per_s)
            self._stopped.wait(max(due_ms - now_ms(), 0) / 1000)
            self._push(due_ms, self._generator.draw_call(due_ms), ())

    def _push(self, at_ms: float, call: Call, tries: tuple[Attempt, ...]) -> None:
        with self._changed:
            if not tries:
                self._open_count += 1
            pending = Pending(at_ms, next(self._call_numbers), call, tries)
            heapq.heappush(self._pending, pending)
            self._changed.notify()

    def _pop(self) -> Pending:
        with self._changed:
            while True:
                remaining_ms = (
                    self._pending[0].at_ms - now_ms() if self._pending else None
                )
                if remaining_ms is not None and remaining_ms <= 0:
                    return heapq.heappop(self._pending)
                self._changed.wait(
                    None if remaining_ms is None else remaining_ms / 1000
                )

    def _run_worker(self) -> None:
        while True:
            pending = self._pop()
            call, last = pending.call, self._send_attempt(pending.call)
            if can_infer_not_run(pending.tries, last):
                last = last._replace(outcome=Outcome.NOT_RUN)
                call = call._replace(idempotency_key=str(uuid6.uuid7()))
            tries = (*pending.tries, last)
            next_attempt_ms = self._next_attempt_ms(call, tries)
            if next_attempt_ms is None:
                self._record_result(CallResult(call, tries))
            else:
                self._push(next_attempt_ms, call, tries)

    def _send_attempt(self, call: Call) -> Attempt:
        daemon = self._balancer.pick_ready_daemon()
        if daemon is None:
            clock_ms = now_ms()
            return Attempt("", clock_ms, clock_ms, Outcome.UNSENT, detail="none ready")
        finished = self._caller.attempt(call, daemon)
        if finished.outcome is Outcome.UNSENT:
            self._balancer.exclude(daemon)
        return finished

    def _next_attempt_ms(self, call: Call, tries: tuple[Attempt, ...]) -> float | None:
        """Returns when the caller retries the call; None if its outcome is final."""
        last = tries[-1]
        if last.outcome in (Outcome.ANSWERED, Outcome.FOREIGN, Outcome.FAILED):
            return None
        daemon_reported_unknown = last.status != 0 and last.outcome is Outcome.UNKNOWN
        if daemon_reported_unknown and call.idempotency_key and not last.retry_after_ms:
            return None
        next_attempt_ms = last.end_ms + max(last.retry_after_ms, RETRY_DELAY_MS)
        return (
            next_attempt_ms
            if next_attempt_ms < call.due_ms + GIVE_UP_AFTER_MS
            else None
        )

    def _record_result(self, result: CallResult) -> None:
        with self._changed:
            self._results.append(result)
            self._open_count -= 1
            self._changed.notify_all()


def count_outcomes(results: Iterable[CallResult]) -> dict[Outcome, int]:
    """Returns the number of calls by outcome."""
    counts = dict.fromkeys(Outcome, 0)
    for result in results:
        counts[result.outcome] += 1
    return counts
