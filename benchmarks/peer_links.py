"""Memory and processor time of one daemon's links at several numbers of peers.

The peers run in a second process, whose costs are not included. Both ends of a link
send a heartbeat every 200 ms.
"""

from __future__ import annotations

import argparse
import gc
import subprocess
import sys
import time
from typing import NamedTuple

import psutil

from skylarktrail.peer.codec import encode
from skylarktrail.peer.hub import HEARTBEAT_MS, monotonic_ms
from skylarktrail.peer.links import PeerLinks
from skylarktrail.peer.messages import Heartbeat

PEER_COUNTS = (1, 10, 100, 460)
LOOPBACK = "127.0.0.1:0"
OWN_NAME = "daemon-0"
SETTLE_S = 3.0
CONNECT_TIMEOUT_S = 60.0
FRAME_HEADER_BYTES = 6
TCP_IP_HEADER_BYTES = 52


class Figures(NamedTuple):
    """Cost of the links at one number of peers.

    Attributes:
        peers: Number of links.
        memory_bytes: Growth of the resident memory compared with no peers.
        cpu_share: Processor time as a share of one core.
        heartbeat_us: Processor time to send one heartbeat and receive one.
        silent: Number of links that timed out during the measurement.
    """

    peers: int
    memory_bytes: int
    cpu_share: float
    heartbeat_us: float
    silent: int


def make_links(name: str) -> PeerLinks:
    """Returns links that ignore all received messages."""
    return PeerLinks(
        name,
        "i1",
        "heredia",
        LOOPBACK,
        lambda *message: None,
        lambda *up: None,
        lambda *down: None,
    )


def run_peers(peer_count: int) -> None:
    """Runs a number of peers until the standard input closes."""
    peers = [make_links(f"peer-{index}") for index in range(peer_count)]
    addresses = [links.start().unwrap() for links in peers]
    print(" ".join(addresses), flush=True)
    address = sys.stdin.readline().strip()
    for links in peers:
        links.set_peers({OWN_NAME: address})
        links.set_heartbeats({OWN_NAME})
    sys.stdin.read()
    for links in peers:
        links.stop()


def wait_until_linked(links: PeerLinks, names: list[str]) -> None:
    """Waits until a message from every peer was received.

    Raises:
        TimeoutError: Some peer sent nothing within `CONNECT_TIMEOUT_S`.
    """
    end_s = time.monotonic() + CONNECT_TIMEOUT_S
    while not all(links.last_received_ms(name) for name in names):
        if time.monotonic() > end_s:
            raise TimeoutError(f"not all of {len(names)} peers are linked")
        time.sleep(0.05)


def measure(peer_count: int, duration_s: float) -> Figures:
    """Measures the links to a number of peers for a duration."""
    process = psutil.Process()
    links = make_links(OWN_NAME)
    address = links.start().unwrap()
    gc.collect()
    before_bytes = process.memory_info().rss
    command = [
        sys.executable,
        "-m",
        "benchmarks.peer_links",
        "--serve",
        str(peer_count),
    ]
    with subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    ) as child:
        addresses = child.stdout.readline().split()
        peers = {
            f"peer-{index}": peer_address
            for index, peer_address in enumerate(addresses)
        }
        links.set_peers(peers)
        links.set_heartbeats(set(peers))
        child.stdin.write(address + "\n")
        child.stdin.flush()
        wait_until_linked(links, list(peers))
        time.sleep(SETTLE_S)
        started_s, cpu_s = time.monotonic(), time.process_time()
        time.sleep(duration_s)
        cpu_s = time.process_time() - cpu_s
        elapsed_s = time.monotonic() - started_s
        memory_bytes = process.memory_info().rss - before_bytes
        links.stop()
        child.stdin.close()
    heartbeats = peer_count * elapsed_s * 1000 / HEARTBEAT_MS
    return Figures(
        peer_count,
        memory_bytes,
        cpu_s / elapsed_s,
        cpu_s / heartbeats * 1e6,
        links.counters["silent"],
    )


def heartbeat_bytes() -> int:
    """Returns the bytes of one heartbeat on the wire, with frame and TCP/IP headers."""
    now_ms = monotonic_ms()
    data = encode(Heartbeat(now_ms, now_ms)).unwrap()
    return len(data) + FRAME_HEADER_BYTES + TCP_IP_HEADER_BYTES


def run(sizes: list[int], duration_s: float) -> None:
    """Prints a line for each number of peers, then the growth for each link."""
    print(f"{'peers':>6} {'KB':>8} {'core %':>7} {'us/heartbeat':>13} {'silent':>7}")
    rows = []
    for size in sizes:
        row = measure(size, duration_s)
        rows.append(row)
        print(
            f"{row.peers:>6} {row.memory_bytes / 1024:>8.0f} "
            f"{row.cpu_share * 100:>7.2f} {row.heartbeat_us:>13.1f} {row.silent:>7}",
            flush=True,
        )
    first, last = rows[0], rows[-1]
    if last.peers > first.peers:
        links = last.peers - first.peers
        slope_bytes = (last.memory_bytes - first.memory_bytes) / links
        slope_core = (last.cpu_share - first.cpu_share) / links
        print(f"memory per link: {slope_bytes:.0f} bytes")
        print(f"processor time per link: {slope_core * 1e6:.0f} us per second")
    print(f"heartbeat on the wire: {heartbeat_bytes()} bytes")


def main() -> None:
    """Runs the benchmark, or the peers in its child process."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--serve", type=int, help="run this many peers (internal)")
    parser.add_argument("--sizes", type=int, nargs="+", default=list(PEER_COUNTS))
    parser.add_argument("--seconds", type=float, default=10.0)
    arguments = parser.parse_args()
    if arguments.serve is not None:
        run_peers(arguments.serve)
    else:
        run(arguments.sizes, arguments.seconds)


if __name__ == "__main__":
    main()
