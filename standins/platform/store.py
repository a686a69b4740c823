"""Stand-in for the platform's store: keyed and plain logs, and groups."""

from __future__ import annotations

import argparse
import base64
import json
import threading
import time
from collections import deque
from typing import Any

from ..serving import (
    Application,
    Controls,
    Request,
    Response,
    json_response,
    now_ms,
    serve,
)

THREADS = 96
KEYED = "keyed."
ENTRIES = "keyed.servers"
FRAME_BYTES = 4
POSITION_BYTES = 8
GROUP_PARTS = 4
POLL_S = 0.02


class Log:
    """One partition: records kept for a while, and the newest of each key."""

    def __init__(self, is_keyed: bool, keep_ms: float) -> None:
        self._is_keyed = is_keyed
        self._keep_ms = keep_ms
        self.first = 0
        self.records: deque[tuple[float, bytes]] = deque()
        self.newest: dict[str, tuple[bytes, int, float]] = {}

    @property
    def end(self) -> int:
        """Returns the offset of the next record."""
        return self.first + len(self.records)

    def append(self, record: bytes) -> int:
        """Appends one record; returns its offset."""
        offset = self.end
        self.records.append((now_ms(), record))
        if self._is_keyed:
            split = 1 + record[0]
            key, value = record[1:split].decode(), record[split:]
            if value:
                self.newest[key] = (value, offset, now_ms())
            else:
                self.newest.pop(key, None)
        self.trim()
        return offset

    def trim(self) -> None:
        """Drops records that are kept no longer."""
        oldest_ms = now_ms() - self._keep_ms
        while self.records and self.records[0][0] < oldest_ms:
            self.records.popleft()
            self.first += 1

    def expire(self, silent_ms: float) -> None:
        """Removes keys that were not written for a while."""
        oldest_ms = now_ms() - silent_ms
        for key, (_, _, at_ms) in list(self.newest.items()):
            if at_ms < oldest_ms:
                self.append(bytes([len(key.encode())]) + key.encode())

    def since(self, offset: int) -> list[bytes] | None:
        """Returns the records from an offset on; None if some are gone."""
        if offset < self.first:
            return None
        return [data for _, data in list(self.records)[offset - self.first :]]


class Group:
    """Members of a group and the partitions that are dealt to them."""

    def __init__(self) -> None:
        self.generation = 0
        self.members: dict[str, float] = {}

    def join(self, member: str, ttl_ms: float) -> list[int]:
        """Keeps a member in the group; returns its partitions."""
        self._expire()
        if member not in self.members:
            self.generation += 1
        self.members[member] = now_ms() + ttl_ms
        names = sorted(self.members)
        mine = names.index(member)
        return [part for part in range(GROUP_PARTS) if part % len(names) == mine]

    def leave(self, member: str) -> None:
        """Takes a member out of the group."""
        if self.members.pop(member, None) is not None:
            self.generation += 1

    def _expire(self) -> None:
        for name, until_ms in list(self.members.items()):
            if until_ms < now_ms():
                del self.members[name]
                self.generation += 1


class Store:
    """The store, with controls for outages, slowness and lost answers."""

    def __init__(self, keep_ms: float, silent_ms: float) -> None:
        self._silent_ms = silent_ms
        self.application = Application()
        self.controls = Controls(
            self.application, mode="up", delay_ms=0.0, lost_share=0.0
        )
        self._keep_ms = keep_ms
        self._logs: dict[str, Log] = {}
        self._groups: dict[str, Group] = {}
        self._changed = threading.Condition()
        self._calls = 0
        self._lost_count = 0.0
        route = self.application.route
        route("POST", "/api/log-append")(self._guard(self._append))
        route("GET", "/api/log-read")(self._guard(self._read))
        route("GET", "/api/log-newest")(self._guard(self._newest))
        route("POST", "/api/log-join")(self._guard(self._join))
        route("POST", "/api/log-leave")(self._guard(self._leave))
        route("POST", "/operator/put")(self._operator_put)
        route("GET", "/calls")(lambda _: json_response({"calls": self._calls}))

    def _guard(self, handler):
        def handle(request: Request) -> Response:
            self._calls += 1
            mode = self.controls["mode"]
            if mode == "silent":
                self._wait_for_mode()
            elif mode == "busy":
                return json_response({}, 503)
            time.sleep(self.controls["delay_ms"] / 1000)
            response = handler(request)
            return self._lose(request, response)

        return handle

    def _wait_for_mode(self) -> None:
        while self.controls["mode"] == "silent":
            time.sleep(POLL_S)

    def _lose(self, request: Request, response: Response) -> Response:
        """Loses the answers of a share of the writes, evenly."""
        if request.method == "POST":
            self._lost_count += self.controls["lost_share"]
            if self._lost_count >= 1:
                self._lost_count -= 1
                return response._replace(broken=True, body=b" " * 64)
        return response

    def _log(self, topic: str) -> Log:
        return self._logs.setdefault(topic, Log(topic.startswith(KEYED), self._keep_ms))

    def _append(self, request: Request) -> Response:
        query = request.parameters()
        size = int.from_bytes(request.body[:FRAME_BYTES], "big")
        record = request.body[FRAME_BYTES : FRAME_BYTES + size]
        with self._changed:
            log = self._log(query["topic"])
            if "at" in query and int(query["at"]) != log.end:
                return json_response({"endOffset": log.end}, 412)
            offset = log.append(record)
            self._changed.notify_all()
        return json_response({"offset": offset, "endOffset": offset + 1})

    def _operator_put(self, request: Request) -> Response:
        """Writes a record as the operators or the instances do."""
        plain = json.loads(request.body)
        key = plain["key"].encode()
        value = plain["value"]
        data = b"" if value is None else json.dumps(value).encode()
        with self._changed:
            self._log(plain["topic"]).append(bytes([len(key)]) + key + data)
            self._changed.notify_all()
        return json_response({})

    def _read(self, request: Request) -> Response:
        query = request.parameters()
        offset = int(query["from"])
        end_ms = now_ms() + int(query.get("waitMs", 0))
        with self._changed:
            log = self._log(query["topic"])
            while log.end <= offset and now_ms() < end_ms:
                self._changed.wait(max(0.0, end_ms - now_ms()) / 1000)
            log.trim()
            records = log.since(offset)
            if records is None:
                return json_response({"firstOffset": log.first}, 410)
            head = log.end.to_bytes(POSITION_BYTES, "big")
            head += log.first.to_bytes(POSITION_BYTES, "big")
        frames = b"".join(len(r).to_bytes(FRAME_BYTES, "big") + r for r in records)
        return Response(200, head + frames, "application/octet-stream")

    def _newest(self, request: Request) -> Response:
        with self._changed:
            topic = request.parameters()["topic"]
            log = self._log(topic)
            if topic == ENTRIES:
                log.expire(self._silent_ms)
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for key, (value, offset, _) in sorted(log.newest.items())
            ]
            return json_response({"items": items, "more": False, "endOffset": log.end})

    def _join(self, request: Request) -> Response:
        plain: dict[str, Any] = json.loads(request.body)
        with self._changed:
            group = self._groups.setdefault(plain["group"], Group())
            parts = group.join(plain["member"], plain["ttlMs"])
            topic = plain["topics"][0]
            rows = [[topic, part, 0] for part in parts]
            return json_response(
                {
                    "generation": group.generation,
                    "ttlMs": plain["ttlMs"],
                    "parts": rows,
                }
            )

    def _leave(self, request: Request) -> Response:
        plain = json.loads(request.body)
        with self._changed:
            self._groups.setdefault(plain["group"], Group()).leave(plain["member"])
        return json_response({})


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True, help="host:port")
    parser.add_argument("--keep-ms", type=float, default=20_000.0)
    parser.add_argument("--silent-ms", type=float, default=900.0)
    arguments = parser.parse_args()
    store = Store(arguments.keep_ms, arguments.silent_ms)
    serve(store.application, [arguments.address], THREADS)


if __name__ == "__main__":
    main()
