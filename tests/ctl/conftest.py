"""An in-memory log that can fail as the platform's log does, and operator files."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, Callable

import pytest
from result import Err, Ok

from skylarktrail.errors import platform as codes
from skylarktrail.errors.code import Fault
from skylarktrail.providers.interface import LogBatch

DEPLOYMENTS = Path(__file__).parents[2] / "demo" / "deployments"
NO_ANSWER = Err(Fault(codes.PLATFORM_NO_ANSWER))


class FakeLog:
    """In-memory double of the platform's log with injectable failures.

    Attributes:
        records: Encoded records; the first has offset 1.
        start: First offset retained.
        lost_response_count: Number of next appends that take effect without a response.
        lost_append_count: Number of next appends that fail without taking effect.
        failing_read_count: Number of next reads that fail.
        on_append: Called before each append.
    """

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.start = 1
        self.lost_response_count = 0
        self.lost_append_count = 0
        self.failing_read_count = 0
        self.on_append: Callable[[], Any] = lambda: None

    def append(self, record: bytes):
        """Appends one record, unless a failure is due."""
        self.on_append()
        if self.lost_append_count > 0:
            self.lost_append_count -= 1
            return NO_ANSWER
        self.records.append(record)
        if self.lost_response_count > 0:
            self.lost_response_count -= 1
            return NO_ANSWER
        return Ok(len(self.records))

    def read(self, from_offset: int, limit: int, wait_ms: int):
        """Reads records, unless a failure is due."""
        if self.failing_read_count > 0:
            self.failing_read_count -= 1
            return NO_ANSWER
        first = max(from_offset, self.start)
        found = self.records[first - 1 : first - 1 + limit]
        end = len(self.records) + 1
        return Ok(LogBatch(self.start, end, list(enumerate(found, first))))


@pytest.fixture
def log() -> FakeLog:
    """An empty log."""
    return FakeLog()


@pytest.fixture
def pecera_path() -> str:
    """Path of a valid operator file."""
    return str(DEPLOYMENTS / "pecera.json")


@pytest.fixture
def pecera(pecera_path) -> dict[str, Any]:
    """A valid operator file."""
    return json.loads(Path(pecera_path).read_text())


@pytest.fixture
def write_file(tmp_path) -> Callable[[Any], str]:
    """Returns a function that writes a value as a JSON file and returns its path."""
    count = iter(range(100))

    def write(value: Any) -> str:
        path = tmp_path / f"file-{next(count)}.json"
        path.write_text(json.dumps(value))
        return str(path)

    return write
