"""Time and memory of one table of idempotency keys, at several numbers of keys."""

from __future__ import annotations

import argparse
import time
import tracemalloc
import uuid
from typing import NamedTuple

from skylarktrail.core.idempotency.table import (
    Attempt,
    IdempotencyTable,
    TableLimits,
    TermView,
)
from skylarktrail.core.idempotency.verdicts import Answered

KEY_COUNTS = (1_000, 10_000, 100_000)
START_WALL_MS = 1_700_000_000_000
TERM = TermView(True, START_WALL_MS - 3_600_000, 1)
BODY_BYTES = 400
HEADERS = (("Content-Type", "application/json"), ("Location", "/orders/1"))


class Figures(NamedTuple):
    """Cost of the table at one number of keys.

    Attributes:
        keys: Number of keys in the table.
        key_us: Processor time of one begin and one finish.
        key_bytes: Memory of one key with its response.
        estimated_bytes: Memory of one key as estimated by the table.
    """

    keys: int
    key_us: float
    key_bytes: float
    estimated_bytes: float


def make_key(index: int) -> uuid.UUID:
    """Returns the key of a request; timestamps of keys increase with the index."""
    return uuid.UUID(
        int=(START_WALL_MS + index // 10) << 80 | 7 << 76 | 2 << 62 | index
    )


def fill_table(keys: int) -> IdempotencyTable:
    """Returns a table in which the request of every key was answered."""
    table = IdempotencyTable(TableLimits(1 << 40, keys, 86_400_000, 2000))
    for index in range(keys):
        key = make_key(index)
        wall_ms = START_WALL_MS + index // 10
        attempt_id = index.to_bytes(16, "big")
        digest = attempt_id[::-1]
        attempt = Attempt(key, digest, attempt_id, 2000, wall_ms)
        table.begin(index, wall_ms, attempt, TERM)
        headers = tuple((str(name), str(value)) for name, value in HEADERS)
        table.finish(key, attempt_id, Answered(201, headers, bytes(BODY_BYTES)))
    return table


def measure(keys: int) -> Figures:
    """Measures the time to fill a table, then the memory of a second table.

    Tracing allocations is slow, so it is not active while the time is measured.
    """
    started_s = time.process_time()
    fill_table(keys)
    spent_s = time.process_time() - started_s
    tracemalloc.start()
    table = fill_table(keys)
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return Figures(
        keys, spent_s / keys * 1e6, memory_bytes / keys, table.size_bytes / keys
    )


def main() -> None:
    """Prints a line for each number of keys."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=list(KEY_COUNTS))
    print(f"{'keys':>8} {'us/key':>8} {'bytes/key':>10} {'estimate':>9}")
    for size in parser.parse_args().sizes:
        row = measure(size)
        print(
            f"{row.keys:>8} {row.key_us:>8.2f} {row.key_bytes:>10.0f} "
            f"{row.estimated_bytes:>9.0f}"
        )


if __name__ == "__main__":
    main()
