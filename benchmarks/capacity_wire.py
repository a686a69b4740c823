"""Cost of the control traffic of a daemon: HTTP, peer messages and heartbeats."""

from __future__ import annotations

import json
import multiprocessing
import threading
import time
from concurrent.futures import ProcessPoolExecutor
from types import SimpleNamespace
from typing import Any, Callable

import cbor2
import pykka

from skylarktrail.core.ownership.messages import Grant, GrantedSlice
from skylarktrail.daemon.peering import Peering
from skylarktrail.peer import messages as peer
from skylarktrail.peer.codec import encode
from skylarktrail.providers.http_grants import HttpGrantClient
from skylarktrail.providers.http_log import HttpLogClient
from skylarktrail.providers.http_reports import HttpReportClient
from skylarktrail.providers.http_vms import HttpVmListClient

from .capacity_meter import Figure, cpu_us, section
from .capacity_responder import Responder
from .capacity_site import SERVICE, names, zone_of
from .peer_links import Figures as LinkFigures
from .peer_links import heartbeat_bytes
from .peer_links import measure as measure_links

EXCHANGE_COUNT = 500
TIMEOUT_MS = 2_000
GRANT_SLICE_COUNTS = (1, 10, 100, 1_000)
VM_COUNTS = (100, 1_000, 2_000)
PEER_COUNTS = (1, 10, 100, 460)
LINK_MEASUREMENT_S = 3.0
ACTOR_MESSAGE_COUNT = 5_000
KEY = bytes(16)
DIGEST = bytes(16)
RESPONSE_BODY = bytes(400)
GROUP = "home/123"
GRANT_RESPONSE = {
    "accepted": True,
    "reason": "",
    "boot_id": "b" * 32,
    "clock_ms": 123_456_789,
    "term": 12,
    "version": 34,
    "held": None,
}


def _measure_exchange(
    path: str, body: bytes, make_call: Callable[[str], Callable[[], Any]]
) -> tuple[float, float]:
    """Returns the client's processor time (us) and the bytes of one HTTP exchange."""
    responder = Responder({path: body})
    with responder:
        call = make_call(responder.address)
        if call().is_err():
            raise ValueError(f"the request for {path} failed")

        def exchange() -> None:
            for _ in range(EXCHANGE_COUNT):
                call()

        exchange_us = cpu_us(exchange, EXCHANGE_COUNT, 2)
    return exchange_us, responder.bytes_per_request()


def _make_grant(slices: int) -> Grant:
    slice_length = 1 << 48
    held = tuple(
        GrantedSlice(
            slice_length * index, slice_length * (index + 1), (12 << 32) + index
        )
        for index in range(slices)
    )
    return Grant(f"{SERVICE}/12", 12, "b" * 32, 123_458_789, 34, held or None)


def _encode_vm_list(count: int) -> bytes:
    vms = [
        {
            "id": name,
            "role": "server",
            "service": SERVICE,
            "zone": zone_of(index),
            "address": "10.20.30.40:8080",
            "peer_address": "",
            "state": "live",
        }
        for index, name in enumerate(names("vm", count))
    ]
    return json.dumps({"vms": vms}).encode()


def _send_grant(grant: Grant) -> Callable[[str], Callable[[], Any]]:
    client = HttpGrantClient()
    return lambda address: lambda: client.send(address, grant, TIMEOUT_MS)


def _read_log(address: str) -> Callable[[], Any]:
    client = HttpLogClient([address])
    return lambda: client.read(123_456, 500, 250)


def _read_health(address: str) -> Callable[[], Any]:
    client = HttpReportClient()
    return lambda: client.fetch_health(address, TIMEOUT_MS)


def _read_load(address: str) -> Callable[[], Any]:
    client = HttpReportClient()
    return lambda: client.fetch_load(address, TIMEOUT_MS)


def _read_vms(address: str) -> Callable[[], Any]:
    client = HttpVmListClient(address)
    return client.fetch


def _make_exchange_figures(
    quantity: str, by: str, size: int, cost: tuple[float, float]
) -> list[Figure]:
    """Returns the figures of one exchange.

    Args:
        quantity: Name of the exchange.
        by: Items that the size counts.
        size: Size at which the exchange was measured.
        cost: Processor time (us) and bytes.
    """
    return [
        Figure(f"{quantity}, time", by, size, cost[0], "us"),
        Figure(f"{quantity}, HTTP bytes", by, size, cost[1], "bytes"),
    ]


@section("http")
def measure_http() -> list[Figure]:
    """Measures one HTTP exchange of each kind with a server in another process."""
    figures: list[Figure] = []
    response = json.dumps(GRANT_RESPONSE).encode()
    for slices in GRANT_SLICE_COUNTS:
        cost = _measure_exchange("/grants", response, _send_grant(_make_grant(slices)))
        figures += _make_exchange_figures(
            "grant with its slices", "slices", slices, cost
        )
    cost = _measure_exchange("/grants", response, _send_grant(_make_grant(0)))
    figures += _make_exchange_figures("renewal", "exchanges", 1, cost)
    batch = cbor2.dumps({"start": 100_000, "end": 123_456, "records": []})
    cost = _measure_exchange("/records", batch, _read_log)
    figures += _make_exchange_figures("empty read of the log", "exchanges", 1, cost)
    health = json.dumps({"ready": True, "draining": False}).encode()
    cost = _measure_exchange("/health", health, _read_health)
    figures += _make_exchange_figures("health", "exchanges", 1, cost)
    load = json.dumps({"in_flight": 2, "slots": 3, "age_ms": 500.0}).encode()
    cost = _measure_exchange("/load", load, _read_load)
    figures += _make_exchange_figures("load", "exchanges", 1, cost)
    for count in VM_COUNTS:
        cost = _measure_exchange("/vms", _encode_vm_list(count), _read_vms)
        figures += _make_exchange_figures("VM list", "VMs", count, cost)
    return figures


def _report_alive_us(peers: int) -> float:
    """Returns the processor time (us) of one check for new heartbeats of the peers."""
    addresses = dict.fromkeys(names("router", peers), "127.0.0.1:1")
    links = SimpleNamespace(last_received_ms=addresses.get)
    peering = SimpleNamespace(
        _addresses=addresses, _links=links, _heard_ms=dict(addresses), _controller=None
    )
    call_count = 100
    return cpu_us(
        lambda: [Peering._report_alive(peering) for _ in range(call_count)],
        call_count,
    )


class _CountingActor(pykka.ThreadingActor):
    """Sets an event after it has received a number of messages."""

    def __init__(self, count: int, done: threading.Event) -> None:
        super().__init__()
        self._remaining_count = count
        self._done = done

    def on_receive(self, message: Any) -> None:
        """Counts one message."""
        self._remaining_count -= 1
        if not self._remaining_count:
            self._done.set()


def _actor_message_us() -> float:
    """Returns the processor time (us) to send and receive one actor message."""
    done = threading.Event()
    counting_actor = _CountingActor.start(ACTOR_MESSAGE_COUNT, done)
    started_s = time.process_time()
    for _ in range(ACTOR_MESSAGE_COUNT):
        counting_actor.tell(None)
    done.wait()
    spent_s = time.process_time() - started_s
    counting_actor.stop()
    return spent_s / ACTOR_MESSAGE_COUNT * 1e6


def _measure_links_in_new_process(peers: int) -> LinkFigures:
    """Measures links in a new process, so that other allocations do not count."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(1, context) as pool:
        return pool.submit(measure_links, peers, LINK_MEASUREMENT_S).result()


@section("peers")
def measure_peers() -> list[Figure]:
    """Measures links with heartbeats, and how the actors process heartbeats."""
    figures = []
    for peers in PEER_COUNTS:
        links = _measure_links_in_new_process(peers)
        values = {
            "links, memory": (links.memory_bytes, "bytes"),
            "links, processor time": (links.cpu_share * 1e6, "us/s"),
            "heartbeat sent and received, time": (links.heartbeat_us, "us"),
            "links found silent while measured": (links.silent, "links"),
            "Peering._report_alive, each tick, time": (_report_alive_us(peers), "us"),
        }
        figures += [
            Figure(quantity, "peers", peers, value, unit)
            for quantity, (value, unit) in values.items()
        ]
    figures.append(
        Figure("heartbeat on the wire", "links", 1, heartbeat_bytes(), "bytes")
    )
    figures.append(
        Figure("tell to an actor, time", "messages", 1, _actor_message_us(), "us")
    )
    return figures


def _make_messages() -> dict[str, peer.Message]:
    headers = (("Content-Type", "application/json"), ("Location", "/orders/1"))
    placements = tuple(
        peer.ProvisionalPlacement(index << 50, "server-123", 12 << 32)
        for index in range(36)
    )
    return {
        "promise_ask": peer.PromiseRequest(GROUP, 12),
        "promise": peer.Promise(GROUP, 12, True),
        "home_begin": peer.HomeBegin(GROUP, KEY, DIGEST, KEY, 2000, 1_700_000_000_000),
        "home_verdict, run": peer.HomeVerdict(KEY, "run", 12),
        "home_finish, 400 byte answer": peer.HomeFinish(
            GROUP, KEY, KEY, "answered", 201, headers, RESPONSE_BODY
        ),
        "placements, 36 slices": peer.Placements(f"{SERVICE}/12", 12, placements),
    }


@section("messages")
def measure_messages() -> list[Figure]:
    """Measures the encoded size of messages between daemons, without headers."""
    return [
        Figure(name, "messages", 1, len(encode(message, 1).unwrap()), "bytes")
        for name, message in _make_messages().items()
    ]
