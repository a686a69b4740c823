"""Tests that odd settings are refused and leave the daemon running."""

from __future__ import annotations

import json
import queue
import signal

import pytest

from skylarktrail.config.gateway_settings import parse_gateway_settings
from skylarktrail.config.schema import parse_json
from skylarktrail.gateway import run
from tests.config.test_gateway_settings import GOOD

PATHS = [
    *[(name,) for name in (*GOOD, "threads", "processors", "descriptors")],
    *[("bounds", name) for name in ("grace_s", "lease_max_ms", "repeat_ratio")],
    *[("bounds", name) for name in ("repeat_window_s", "repeat_extra")],
    *[("leases", name) for name in ("lease_ms", "renew_ms", "authority_ms")],
]
ODD_VALUES = [
    "1e999",
    "9" * 400,
    "-1",
    "null",
    "[]",
    "{}",
    '"\\ud800"',
    "[1e308, 1e308]",
]


def make_text(path, value):
    """Returns the text of settings with another value at a path."""
    document = GOOD
    if len(path) == 1:
        document = GOOD | {path[0]: "@"}
    else:
        document = GOOD | {path[0]: {path[1]: "@"}}
    return json.dumps(document).replace('"@"', value)


@pytest.mark.parametrize("value", ODD_VALUES, ids=lambda text: text[:20])
@pytest.mark.parametrize("path", PATHS, ids=".".join)
def test_an_odd_value_raises_nothing(path, value):
    document = parse_json(make_text(path, value))
    if document.is_ok():
        parse_gateway_settings(document.unwrap())


class Service:
    """Counts what becomes of changed settings."""

    def __init__(self) -> None:
        self.refused = []
        self.reloaded = 0

    def log_settings_faults(self, faults):
        """Keeps faults."""
        self.refused.append(faults)

    def reload(self, bounds):
        """Counts changes."""
        self.reloaded += 1


@pytest.mark.parametrize(
    "data", [b"\xff\xfe", b"", b"{", b"[" * 100_000, b'{"a": \xed\xa0\x80}', b"null"]
)
def test_settings_that_cannot_be_read_do_not_end_the_daemon(
    data, tmp_path, monkeypatch
):
    """The file may be read while it is written."""
    monkeypatch.setattr(run, "SETTINGS_POLL_S", 0.01)
    path = tmp_path / "d1.json"
    path.write_bytes(b"{}")
    signals = queue.SimpleQueue()
    service = Service()
    read = run._read_bytes

    def read_changed(name):
        before = read(name)
        path.write_bytes(data)
        if service.refused:
            signals.put(signal.SIGTERM)
        return before

    monkeypatch.setattr(run, "_read_bytes", read_changed)
    run._wait_for_stop(str(path), service, signals)
    assert service.refused and not service.reloaded
