"""Stand-in for the platform's store: partition logs and consumer groups."""

from __future__ import annotations

import argparse
import base64
import copy
import json
import threading
import time
from collections import Counter, deque
from typing import Any, NamedTuple

from ..serving import (
    Application,
    Controls,
    Request,
    Response,
    json_response,
    now_ms,
    serve,
)

THREAD_COUNT = 96
FIRST_ERA = 1
KEYED_TOPIC_PREFIX = "keyed."
SERVERS_TOPIC = "keyed.servers"
OPERATORS_TOPIC = "keyed.op"
FRAME_LENGTH_BYTES = 4
OFFSET_BYTES = 8
GROUP_PARTITION_COUNT = 4
POLL_INTERVAL_S = 0.02


class PartitionLog:
    """One partition: records within the retention, and the newest one of each key."""

    def __init__(self, is_keyed: bool, keep_ms: float) -> None:
        self._is_keyed = is_keyed
        self._keep_ms = keep_ms
        self.first = 0
        self.records: deque[tuple[float, bytes]] = deque()
        self.newest_by_key: dict[str, tuple[bytes, int, float]] = {}

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)

    def append(self, record: bytes) -> int:
        """Appends a record and returns its offset.

        A record of a keyed topic starts with the length of its key in one byte and
        the key; an empty value deletes the key.
        """
        offset = self.end
        self.records.append((now_ms(), record))
        if self._is_keyed:
            split = 1 + record[0]
            key, value = record[1:split].decode(), record[split:]
            if value:
                self.newest_by_key[key] = (value, offset, now_ms())
            else:
                self.newest_by_key.pop(key, None)
        self.trim()
        return offset

    def trim(self) -> None:
        """Drops records older than the retention."""
        oldest_ms = now_ms() - self._keep_ms
        while self.records and self.records[0][0] < oldest_ms:
            self.records.popleft()
            self.first += 1

    def expire_silent_keys(self, key_ttl_ms: float) -> None:
        """Deletes keys that were not written for `key_ttl_ms`."""
        oldest_ms = now_ms() - key_ttl_ms
        for key, (_, _, at_ms) in list(self.newest_by_key.items()):
            if at_ms < oldest_ms:
                self.append(bytes([len(key.encode())]) + key.encode())

    def read_from(self, offset: int) -> list[bytes] | None:
        """Returns the records starting at an offset; None if some were dropped."""
        if not self.first <= offset <= self.end:
            return None
        return [data for _, data in list(self.records)[offset - self.first :]]


class HeldAppend(NamedTuple):
    """A conditional append that got no answer, and is executed in a later era.

    Attributes:
        topic: Name of the topic.
        at: Offset at which the partition has to end.
        records: The records.
        era: Era in which the append arrived.
    """

    topic: str
    at: int
    records: list[bytes]
    era: int


class ConsumerGroup:
    """Members of a consumer group, among whom the partitions are assigned."""

    def __init__(self) -> None:
        self.generation = 0
        self.members: dict[str, float] = {}

    def join(self, member: str, ttl_ms: float) -> list[int]:
        """Adds or renews a member and returns its partitions."""
        self._remove_expired_members()
        if member not in self.members:
            self.generation += 1
        self.members[member] = now_ms() + ttl_ms
        names = sorted(self.members)
        member_index = names.index(member)
        return [
            partition
            for partition in range(GROUP_PARTITION_COUNT)
            if partition % len(names) == member_index
        ]

    def leave(self, member: str) -> None:
        """Removes a member from the group."""
        if self.members.pop(member, None) is not None:
            self.generation += 1

    def _remove_expired_members(self) -> None:
        for name, expires_ms in list(self.members.items()):
            if expires_ms < now_ms():
                del self.members[name]
                self.generation += 1


class Store:
    """The store.

    Controls:
        mode: `up`; `silent` delays responses until the mode changes; `busy` refuses.
        delay_ms: Delay of each response.
        lost_share: Share of the writes whose response is truncated.
        read_records: Maximum number of records in the response to a read; 0 for none.

    `POST /operator/copy` keeps a copy of all records, and `POST /operator/restore` goes
    back to it. What operators and instances wrote is then written again.
    `POST /operator/hold` lets a conditional append have no answer, after `skip` others.
    It is executed as soon as its condition holds in a later era, as an offset means
    another record there. `GET /held` returns whether one is held.
    """

    def __init__(
        self, keep_ms: float, key_ttl_ms: float, first_era: int = FIRST_ERA
    ) -> None:
        self._key_ttl_ms = key_ttl_ms
        self.application = Application()
        self.controls = Controls(
            self.application,
            mode="up",
            delay_ms=0.0,
            lost_share=0.0,
            read_records=0,
        )
        self._keep_ms = keep_ms
        self._logs: dict[str, PartitionLog] = {}
        self._groups: dict[str, ConsumerGroup] = {}
        self._changed = threading.Condition()
        self._era = first_era
        self._copy: dict[str, PartitionLog] = {}
        self._appends_to_hold: int | None = None
        self._held_append: HeldAppend | None = None
        self._call_counts: Counter[str] = Counter()
        self._loss_accumulator = 0.0
        route = self.application.route
        route("POST", "/api/log-append")(self._with_controls(self._handle_append))
        route("GET", "/api/log-read")(self._with_controls(self._handle_read))
        route("GET", "/api/log-newest")(self._with_controls(self._handle_newest))
        route("POST", "/api/log-join")(self._with_controls(self._handle_join))
        route("POST", "/api/log-leave")(self._with_controls(self._handle_leave))
        route("POST", "/operator/put")(self._handle_operator_put)
        route("POST", "/operator/copy")(self._handle_copy)
        route("POST", "/operator/restore")(self._handle_restore)
        route("POST", "/operator/hold")(self._handle_hold)
        route("GET", "/held")(lambda _: json_response(self._held_append is not None))
        route("GET", "/calls")(lambda _: json_response(self._call_counts))

    def _with_controls(self, handler):
        def handle(request: Request) -> Response:
            self._call_counts[_name_call(request)] += 1
            mode = self.controls["mode"]
            if mode == "silent":
                self._wait_while_silent()
            elif mode == "busy":
                return json_response({}, 503)
            time.sleep(self.controls["delay_ms"] / 1000)
            response = handler(request)
            era = (("Store-Era", str(self._era)),)
            response = response._replace(headers=response.headers + era)
            return self._truncate_some_writes(request, response)

        return handle

    def _wait_while_silent(self) -> None:
        while self.controls["mode"] == "silent":
            time.sleep(POLL_INTERVAL_S)

    def _truncate_some_writes(self, request: Request, response: Response) -> Response:
        """Truncates the responses of an evenly spaced share of the writes."""
        if request.method == "POST":
            self._loss_accumulator += self.controls["lost_share"]
            if self._loss_accumulator >= 1:
                self._loss_accumulator -= 1
                return response._replace(is_truncated=True, body=b" " * 64)
        return response

    def _get_log(self, topic: str) -> PartitionLog:
        return self._logs.setdefault(
            topic,
            PartitionLog(topic.startswith(KEYED_TOPIC_PREFIX), self._keep_ms),
        )

    def _handle_append(self, request: Request) -> Response:
        query = request.parameters()
        records = _split_frames(request.body)
        with self._changed:
            log = self._get_log(query["topic"])
            if "at" in query and int(query["at"]) != log.end:
                return json_response({"endOffset": log.end}, 412)
            if "at" in query and self._is_to_be_held():
                self._held_append = HeldAppend(
                    query["topic"], log.end, records, self._era
                )
                return json_response({})._replace(is_truncated=True)
            offset = log.end
            for record in records:
                log.append(record)
            end = log.end
            self._execute_held_append()
            self._changed.notify_all()
        return json_response({"offset": offset, "endOffset": end})

    def _is_to_be_held(self) -> bool:
        """Counts a conditional append; returns whether it is the one to be held."""
        if self._appends_to_hold is None:
            return False
        self._appends_to_hold -= 1
        if self._appends_to_hold >= 0:
            return False
        self._appends_to_hold = None
        return True

    def _execute_held_append(self) -> None:
        held = self._held_append
        if held is None or held.era == self._era:
            return
        log = self._get_log(held.topic)
        if log.end == held.at:
            self._held_append = None
            for record in held.records:
                log.append(record)

    def _handle_hold(self, request: Request) -> Response:
        with self._changed:
            self._appends_to_hold = int(json.loads(request.body)["skip"])
        return json_response({})

    def _handle_operator_put(self, request: Request) -> Response:
        """Appends a keyed record, as operators and instances do."""
        payload = json.loads(request.body)
        key = payload["key"].encode()
        value = payload["value"]
        data = b"" if value is None else json.dumps(value).encode()
        with self._changed:
            self._get_log(payload["topic"]).append(bytes([len(key)]) + key + data)
            self._changed.notify_all()
        return json_response({})

    def _handle_copy(self, _: Request) -> Response:
        with self._changed:
            self._copy = copy.deepcopy(self._logs)
        return json_response({})

    def _handle_restore(self, _: Request) -> Response:
        with self._changed:
            lost, self._logs = self._logs, copy.deepcopy(self._copy)
            self._era += 1
            for topic in (OPERATORS_TOPIC, SERVERS_TOPIC):
                log = self._get_log(topic)
                newest = lost[topic].newest_by_key if topic in lost else {}
                for key, (value, _, _) in newest.items():
                    log.append(bytes([len(key.encode())]) + key.encode() + value)
            self._execute_held_append()
            self._changed.notify_all()
        return json_response({"era": self._era})

    def _handle_read(self, request: Request) -> Response:
        query = request.parameters()
        offset = int(query["from"])
        end_ms = now_ms() + int(query.get("waitMs", 0))
        with self._changed:
            log = self._get_log(query["topic"])
            while log.end <= offset and now_ms() < end_ms:
                self._changed.wait(max(0.0, end_ms - now_ms()) / 1000)
            log.trim()
            records = log.read_from(offset)
            if records is None:
                return json_response({"firstOffset": log.first}, 410)
            records = records[: self.controls["read_records"] or None]
            offsets = log.end.to_bytes(OFFSET_BYTES, "big")
            offsets += log.first.to_bytes(OFFSET_BYTES, "big")
        frames = b"".join(
            len(encoded).to_bytes(FRAME_LENGTH_BYTES, "big") + encoded
            for encoded in records
        )
        return Response(200, offsets + frames, "application/octet-stream")

    def _handle_newest(self, request: Request) -> Response:
        with self._changed:
            topic = request.parameters()["topic"]
            log = self._get_log(topic)
            if topic == SERVERS_TOPIC:
                log.expire_silent_keys(self._key_ttl_ms)
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for key, (value, offset, _) in sorted(log.newest_by_key.items())
            ]
            return json_response({"items": items, "more": False, "endOffset": log.end})

    def _handle_join(self, request: Request) -> Response:
        payload: dict[str, Any] = json.loads(request.body)
        with self._changed:
            group = self._groups.setdefault(payload["group"], ConsumerGroup())
            partitions = group.join(payload["member"], payload["ttlMs"])
            topic = payload["topics"][0]
            rows = [[topic, partition, 0] for partition in partitions]
            return json_response(
                {
                    "generation": group.generation,
                    "ttlMs": payload["ttlMs"],
                    "parts": rows,
                }
            )

    def _handle_leave(self, request: Request) -> Response:
        payload = json.loads(request.body)
        with self._changed:
            self._groups.setdefault(payload["group"], ConsumerGroup()).leave(
                payload["member"]
            )
        return json_response({})


def _split_frames(data: bytes) -> list[bytes]:
    """Returns the records of a body, each of which follows its length."""
    records = []
    while data:
        end = FRAME_LENGTH_BYTES + int.from_bytes(data[:FRAME_LENGTH_BYTES], "big")
        records.append(data[FRAME_LENGTH_BYTES:end])
        data = data[end:]
    return records


def _name_call(request: Request) -> str:
    """Returns the last part of the path of a call, and the topic if it names one."""
    topic = request.parameters().get("topic", "")
    return f"{request.path.rpartition('/')[2]} {topic}".strip()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True, help="host:port")
    parser.add_argument("--keep-ms", type=float, default=20_000.0)
    parser.add_argument("--silent-ms", type=float, default=900.0)
    parser.add_argument("--first-era", type=int, default=FIRST_ERA)
    arguments = parser.parse_args()
    store = Store(arguments.keep_ms, arguments.silent_ms, arguments.first_era)
    serve(store.application, [arguments.address], THREAD_COUNT)


if __name__ == "__main__":
    main()
