"""`python -m benchmarks`: runs all registered benchmarks, or only the named ones."""

from __future__ import annotations

import argparse
import importlib
import pkgutil
import sys

import benchmarks

from .registry import BENCHMARKS

MAIN_MODULE = "__main__"


def main(arguments: list[str] | None = None) -> int:
    """Runs the benchmarks one after another; returns 1 if any of them failed."""
    _import_benchmark_modules()
    parser = argparse.ArgumentParser(prog="python -m benchmarks", description=__doc__)
    parser.add_argument("names", nargs="*", metavar="NAME", help=_benchmark_names())
    options = parser.parse_args(arguments)
    unknown = sorted(set(options.names) - set(BENCHMARKS))
    if unknown:
        parser.error(
            f"unknown benchmark {', '.join(unknown)}; choose from {_benchmark_names()}"
        )
    failed = [name for name in options.names or BENCHMARKS if not _run_benchmark(name)]
    if failed:
        print(f"failed: {', '.join(failed)}")
    return 1 if failed else 0


def _import_benchmark_modules() -> None:
    for module in pkgutil.iter_modules(benchmarks.__path__):
        if module.name != MAIN_MODULE:
            importlib.import_module(f"benchmarks.{module.name}")


def _benchmark_names() -> str:
    return ", ".join(BENCHMARKS)


def _run_benchmark(name: str) -> bool:
    print(f"== {name}", flush=True)
    return not BENCHMARKS[name]([])


if __name__ == "__main__":
    sys.exit(main())
