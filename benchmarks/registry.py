"""Benchmarks by name; each registers its main function."""

from __future__ import annotations

from typing import Callable, TypeVar

Main = Callable[[list[str]], "int | None"]
MainT = TypeVar("MainT", bound=Callable[..., "int | None"])
BENCHMARKS: dict[str, Main] = {}


def benchmark(name: str) -> Callable[[MainT], MainT]:
    """Registers a function that takes a command line and returns an exit code."""

    def register(main: MainT) -> MainT:
        BENCHMARKS[name] = main
        return main

    return register
