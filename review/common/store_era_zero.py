"""The project's stand-in for the store, whose answers name the era 0 at first.

The pages say that `Store-Era` stands in all answers and rises by one each time the
store comes back from a copy. They name no first value.
"""

from __future__ import annotations

import argparse

from standins.platform.store import THREAD_COUNT, Store
from standins.serving import serve


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True, help="host:port")
    parser.add_argument("--keep-ms", type=float, default=20_000.0)
    parser.add_argument("--silent-ms", type=float, default=900.0)
    parser.add_argument("--first-era", type=int, default=0)
    arguments = parser.parse_args()
    store = Store(arguments.keep_ms, arguments.silent_ms)
    store._era = arguments.first_era
    serve(store.application, [arguments.address], THREAD_COUNT)


if __name__ == "__main__":
    main()
