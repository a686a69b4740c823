"""The project's stand-in of the store, with the drill of NEWS.md and a late write.

The store goes away while a write of the daemons is on its way. It comes back from a
copy some seconds old, with a higher `Store-Era`; what the operator and the instances
wrote is written again. The write that got no response is executed seconds later, as
soon as its condition holds; if that is not so in time, it is dropped.

- `POST /operator/arm` with `{"records": K}`: the next write of owners of which none is
  moving gets no response, and the store goes away. The copy is K records older.
- `POST /operator/return` with `{"zone": ZONE}` lets the store come back. The operator
  asks to evacuate that zone at the same time.
- `GET /drill` tells how far that is.
"""

from __future__ import annotations

import copy
import json
import sys
import time
from collections import OrderedDict
from pathlib import Path
from typing import Any

import cbor2

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from standins.platform import store as standin  # noqa: E402
from standins.serving import Request, Response, json_response  # noqa: E402

SHARED = "keyed.skylarktrail"
OPERATORS = "keyed.op"
OWNERS = "owners/"
MAX_COPIES = 100
# `fleetbench kinds`, platform_lost, late: done 1 to 6 s later.
FIRST_LATE_S, LAST_LATE_S = 1.0, 6.0
ANSWER_MS = 4.0  # SYSTEM.md, the platform's store.


class DrillStore(standin.Store):
    """A store that can be armed for a drill."""

    def __init__(self, *arguments: Any) -> None:
        self._copies: OrderedDict[int, tuple[float, dict]] = OrderedDict()
        self._armed_records = 0
        self._held: dict[str, Any] | None = None
        self._status: dict[str, Any] = {"state": "calm"}
        super().__init__(*arguments)
        self.controls["delay_ms"] = ANSWER_MS
        route = self.application.route
        route("POST", "/operator/arm")(self._handle_arm)
        route("POST", "/operator/return")(self._handle_return)
        route("GET", "/drill")(self._handle_status)

    def _end(self) -> int:
        return self._get_log(SHARED).end

    def _handle_arm(self, request: Request) -> Response:
        self._armed_records = int(json.loads(request.body)["records"])
        return json_response({})

    def _handle_status(self, _: Request) -> Response:
        with self._changed:
            log = self._get_log(SHARED)
            records = [
                f"{log.first + index} {describe(data)}"
                for index, (_, data) in enumerate(log.records)
            ]
            status = {"era": self._era, "end": log.end, "last": records[-14:]}
            return json_response(self._status | status)

    def _handle_append(self, request: Request) -> Response:
        query = request.parameters()
        if query["topic"] != SHARED:
            return super()._handle_append(request)
        if self._try_hold(query, request.body):
            while True:  # It gets no response.
                time.sleep(60.0)
        with self._changed:
            if self._held is None:
                copied = (time.monotonic(), copy.deepcopy(self._logs))
                self._copies[self._end()] = copied
                while len(self._copies) > MAX_COPIES:
                    self._copies.popitem(last=False)
            response = super()._handle_append(request)
            self._try_execute_late()
            return response

    def _try_hold(self, query: dict[str, str], body: bytes) -> bool:
        """Holds a write and goes away, if that is armed and the write fits."""
        with self._changed:
            if not self._armed_records or self._held or "at" not in query:
                return False
            at = int(query["at"])
            has_copy = at - self._armed_records in self._copies
            if at != self._end() or not has_copy or not is_plain_owners(body):
                return False
            self._held = {"at": at, "body": body, "since_s": time.monotonic()}
            self._status = {"state": "away", "at": at}
            self.controls["mode"] = "silent"
            return True

    def _handle_return(self, request: Request) -> Response:
        zone = json.loads(request.body)["zone"]
        with self._changed:
            end = self._held["at"] - self._armed_records
            copied_s, self._copy = self._copies[end]
            age_s = time.monotonic() - copied_s
            self._copies.clear()
            self._handle_restore(request)
            key = f"evacuate/{zone}".encode()
            self._get_log(OPERATORS).append(bytes([len(key)]) + key + b"{}")
            self._status |= {"state": "back", "copy_age_s": round(age_s, 1)}
        self.controls["mode"] = "up"
        return json_response({})

    def _try_execute_late(self) -> None:
        """Executes the held write if its condition holds; the caller holds the lock."""
        if self._status["state"] != "back" or self._end() != self._held["at"]:
            return
        late_s = time.monotonic() - self._held["since_s"]
        if not FIRST_LATE_S <= late_s <= LAST_LATE_S:
            self._status["state"] = "dropped"
            return
        for record in standin._split_frames(self._held["body"]):
            self._get_log(SHARED).append(record)
        self._status |= {"state": "executed", "late_s": round(late_s, 2)}


def read_owners(record: bytes) -> list[list[Any]] | None:
    """Returns the rows of a record of owners; None for another record."""
    end = 1 + record[0]
    is_owners = record[1:end].decode().startswith(OWNERS)
    return cbor2.loads(record[end:]) if is_owners else None


def is_plain_owners(body: bytes) -> bool:
    """Returns whether an append is one record of owners, none of which moves."""
    records = standin._split_frames(body)
    rows = read_owners(records[0]) if len(records) == 1 else None
    return rows is not None and not any(len(row) > 4 and row[4] for row in rows)


def describe(record: bytes) -> str:
    """Describes a record; of owners, the keys, the owner and the next owner."""
    rows = read_owners(record)
    if rows is None:
        return record[1 : 1 + record[0]].decode()
    return "owners " + ", ".join(
        f"{row[0]}-{row[1]} {row[2]}"
        + (f" to {row[4]}" if len(row) > 4 and row[4] else "")
        for row in rows
    )


if __name__ == "__main__":
    standin.Store = DrillStore
    standin.main()
