"""Stand-in for the platform's log service: an append-only log with offsets."""

from __future__ import annotations

import argparse
import threading
import time
from collections import deque
from typing import NamedTuple

import cbor2

from .serving import (
    Application,
    Controls,
    Request,
    Response,
    json_response,
    now_ms,
    serve,
)

THREAD_COUNT = 64
FIRST_OFFSET = 1
MAX_READ_RECORDS = 1000
MAX_WAIT_MS = 30_000
OUTAGE_POLL_INTERVAL_MS = 50


class LogEntry(NamedTuple):
    """One stored record.

    Attributes:
        offset: Offset in the log.
        appended_ms: CLOCK_MONOTONIC when it was appended.
        data: The encoded record.
    """

    offset: int
    appended_ms: float
    data: bytes


class Log:
    """Retained records of the log; thread-safe."""

    def __init__(self) -> None:
        self._entries: deque[LogEntry] = deque()
        self._next_offset = FIRST_OFFSET
        self._changed = threading.Condition()

    def append(self, data: bytes) -> int:
        """Appends one record and returns its offset."""
        with self._changed:
            offset = self._next_offset
            self._next_offset += 1
            self._entries.append(LogEntry(offset, now_ms(), data))
            self._changed.notify_all()
        return offset

    def apply_retention(self, records: int, age_ms: float) -> None:
        """Drops the oldest records beyond a count or an age; 0 sets no limit."""
        oldest_ms = now_ms() - age_ms
        with self._changed:
            while self._entries:
                too_many = records and len(self._entries) > records
                too_old = age_ms and self._entries[0].appended_ms < oldest_ms
                if not too_many and not too_old:
                    break
                self._entries.popleft()

    def read(self, start: int, limit: int) -> dict[str, object]:
        """Returns the log's first and next offset, and records from an offset on."""
        with self._changed:
            first = self._entries[0].offset if self._entries else self._next_offset
            skipped = max(start - first, 0)
            stop = min(skipped + limit, len(self._entries))
            selected = [self._entries[index] for index in range(skipped, stop)]
            records = [[entry.offset, entry.data] for entry in selected]
            return {"start": first, "end": self._next_offset, "records": records}

    def wait_for_record(self, start: int, timeout_s: float) -> bool:
        """Waits for a record at or after an offset; returns whether there is one."""
        with self._changed:
            return self._changed.wait_for(lambda: self._next_offset > start, timeout_s)


def make_application(log: Log) -> Application:
    """Returns the HTTP application that serves a log.

    Controls:
        outage: Whether all requests are refused.
        outage_ports: Ports whose requests are refused.
        slow_ms: Delay of each response.
        lose_answers: Number of next appends whose response is truncated after the
            record was appended.
        retain_records: Maximum number of records; 0 for no limit.
        retain_ms: Maximum age of a record; 0 for no limit.
    """
    application = Application()
    controls = Controls(
        application,
        outage=False,
        outage_ports=[],
        slow_ms=0,
        lose_answers=0,
        retain_records=0,
        retain_ms=0,
    )
    lock = threading.Lock()

    def has_outage(request: Request) -> bool:
        return controls["outage"] or request.port in controls["outage_ports"]

    def outage() -> Response:
        return json_response({"reason": "outage"}, 503)

    def consume_lost_answer() -> bool:
        with lock:
            if not controls["lose_answers"]:
                return False
            controls["lose_answers"] -= 1
            return True

    @application.route("POST", "/records")
    def append(request: Request) -> Response:
        time.sleep(controls["slow_ms"] / 1000)
        if has_outage(request):
            return outage()
        offset = log.append(request.body)
        log.apply_retention(controls["retain_records"], controls["retain_ms"])
        return json_response({"offset": offset})._replace(
            is_truncated=consume_lost_answer()
        )

    @application.route("GET", "/records")
    def read(request: Request) -> Response:
        parameters = request.parameters()
        start = int(parameters.get("from", FIRST_OFFSET))
        limit = min(int(parameters.get("limit", MAX_READ_RECORDS)), MAX_READ_RECORDS)
        wait_ms = min(int(parameters.get("wait_ms", 0)), MAX_WAIT_MS)
        wait_end_ms = now_ms() + wait_ms
        time.sleep(controls["slow_ms"] / 1000)
        while not has_outage(request):
            remaining_ms = wait_end_ms - now_ms()
            if log.wait_for_record(
                start, max(min(remaining_ms, OUTAGE_POLL_INTERVAL_MS), 0) / 1000
            ):
                break
            if remaining_ms <= 0:
                break
        if has_outage(request):
            return outage()
        log.apply_retention(controls["retain_records"], controls["retain_ms"])
        body = cbor2.dumps(log.read(start, limit))
        return Response(200, body, "application/cbor")

    return application


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--address",
        action="append",
        required=True,
        help="HOST:PORT; may be repeated, so that each client has its own port",
    )
    arguments = parser.parse_args()
    serve(make_application(Log()), arguments.address, THREAD_COUNT)


if __name__ == "__main__":
    main()
