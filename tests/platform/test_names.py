"""Checks that names of the users' platform occur only in the platform package."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
NAMES = (
    "Request-Id Deadline-Ms Target-Instance Response-Signature Not-Executed "
    "Instance-Load Instance-Id Cold-Ms Shard-Key Server-Limit Store-Era "
    "log-append log-read log-newest log-join log-leave log-owners log-commit log-trim "
    "configVersion trafficSplit routeType pathPrefix maxAttempts timeoutMs "
    "targetLatencyMs coldRemainingMs coldStartS coldPerS heartbeatMs holdMs endOffset "
    "firstOffset ttlMs sharded healthCheck maxConnections hostname "
    "keyed.op keyed.servers evacuate/ non_idempotent "
    "nodeName readyAddress internalPortRange maxFds SKYLARKTRAIL_CONFIG "
    "retryBudgetRatio budgetWindowS budgetExtraRetries graceS maxHoldMs fleetbench "
    "apiKeys ratePerS revokePartitioned revokeMs"
).split()
# HTTP compares header names without regard to case.
PATTERNS = {
    name: re.compile(
        rf"(?<![\w.-]){re.escape(name)}(?![\w-])",
        re.IGNORECASE if "-" in name and name[0].isupper() else 0,
    )
    for name in NAMES
}
OWN_NAMES = {
    # Fields of the product's own earlier interface and of its metrics.
    "Request-Id": ("Skylark-Request-Id",),
    "Deadline-Ms": ("Skylark-Deadline-Ms",),
}


def list_sources():
    package = ROOT / "src" / "skylarktrail"
    for path in sorted(package.rglob("*.py")):
        if path.relative_to(package).parts[0] != "platform":
            yield path


@pytest.mark.parametrize("name", NAMES)
def test_name_occurs_only_in_the_platform_package(name):
    found = []
    for path in list_sources():
        text = path.read_text()
        for own in OWN_NAMES.get(name, ()):
            text = text.replace(own, "")
        if PATTERNS[name].search(text):
            found.append(str(path.relative_to(ROOT)))
    assert found == []


def test_platform_package_is_imported_in_one_module():
    importing = [
        str(path.relative_to(ROOT / "src" / "skylarktrail"))
        for path in list_sources()
        if re.search(r"from \.+platform\b", path.read_text())
    ]
    assert importing == ["gateway/run.py"]
