"""Fixtures that send requests to stand-ins and parse their command lines."""

from __future__ import annotations

import argparse
from typing import Any, Callable

import pytest
import urllib3

from standins.backend import add_arguments

Send = Callable[..., urllib3.BaseHTTPResponse]
THREADS = 16
TIMEOUT_S = 10.0


@pytest.fixture
def send() -> Send:
    """Returns a function that sends one request without a retry."""
    manager = urllib3.PoolManager(retries=False, maxsize=THREADS)

    def request(
        method: str, address: str, path: str, **arguments: Any
    ) -> urllib3.BaseHTTPResponse:
        url = f"http://{address}{path}"
        return manager.request(method, url, timeout=TIMEOUT_S, **arguments)

    return request


@pytest.fixture
def parse_arguments() -> Callable[..., argparse.Namespace]:
    """Returns a function that parses the command line of a backend."""

    def parse(*words: str) -> argparse.Namespace:
        parser = argparse.ArgumentParser()
        add_arguments(parser)
        parser.add_argument("--cold-limit", type=int, default=1)
        parser.add_argument("--cold-ms", type=int, default=0)
        base = ["--address", "127.0.0.1:0", "--name", "one", "--service-ms", "1"]
        return parser.parse_args([*base, *words])

    return parse
