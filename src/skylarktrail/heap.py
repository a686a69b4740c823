"""Lets the C library return the memory of large buffers to the system.

The load is many large bodies. glibc maps large buffers separately, but raises the size
from which it does so, up to 32 MB, whenever one is freed. Bodies are then allocated in
heaps, which keep freed memory. A threshold that is set explicitly is not raised.
"""

from __future__ import annotations

import ctypes

M_MMAP_THRESHOLD = -3  # From malloc.h.
M_ARENA_MAX = -8
MMAP_THRESHOLD_BYTES = 128 << 10
# Each heap keeps its own free memory; threads hold the interpreter's lock for most of
# the time, so that they seldom allocate at once.
MAX_ARENAS = 2


def tune_malloc() -> bool:
    """Sets the bounds for this process; returns whether the C library knows them."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return False
    is_set = mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
    return bool(is_set and mallopt(M_ARENA_MAX, MAX_ARENAS))
