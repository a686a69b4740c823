"""Registry of the main functions of the benchmarks by name."""

from __future__ import annotations

from typing import Callable, TypeVar

Main = Callable[[list[str]], "int | None"]
MainT = TypeVar("MainT", bound=Callable[..., "int | None"])
BENCHMARKS: dict[str, Main] = {}


def benchmark(name: str) -> Callable[[MainT], MainT]:
    """Registers a main function under a name.

    The function receives the command-line arguments. It returns the exit code; None
    counts as 0.
    """

    def register(main: MainT) -> MainT:
        BENCHMARKS[name] = main
        return main

    return register
