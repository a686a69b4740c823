"""Memory of an idle daemon process, and cost of a table of idempotency keys."""

from __future__ import annotations

import subprocess
import sys

from .capacity_meter import Figure, section
from .home_table import measure as measure_table

KEY_COUNTS = (1_000, 10_000, 100_000)
RESIDENT_SCRIPT = """
import psutil
import skylarktrail.daemon.service
print(psutil.Process().memory_info().rss)
"""


@section("process")
def measure_process() -> list[Figure]:
    """Measures the memory of a process that has only imported the daemon."""
    command = [sys.executable, "-c", RESIDENT_SCRIPT]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    resident_bytes = int(done.stdout)
    return [Figure("imported daemon, memory", "processes", 1, resident_bytes, "bytes")]


@section("homes")
def measure_homes() -> list[Figure]:
    """Measures a table of idempotency keys with responses of 400 bytes."""
    figures = []
    for key_count in KEY_COUNTS:
        row = measure_table(key_count)
        table_bytes = row.key_bytes * key_count
        figures.append(
            Figure("home table, memory", "keys", key_count, table_bytes, "bytes")
        )
        figures.append(Figure("begin and finish", "keys", key_count, row.key_us, "us"))
        figures.append(
            Figure("estimate of a key", "keys", key_count, row.estimated_bytes, "bytes")
        )
    return figures
