"""Tests that an entry of another writer does not hide the others."""

from __future__ import annotations

import json

import pytest

from skylarktrail.platform.entries import decode_entry

ENTRY = {
    "backend": "stock",
    "address": "10.0.0.1:80",
    "zone": "east",
    "slots": 3,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 1,
    "born": 5,
}


@pytest.mark.parametrize(
    "value",
    [
        b"[" * 200_000,
        json.dumps(ENTRY).replace('"slots": 3', '"slots": 1e999').encode(),
        json.dumps(ENTRY).replace('"born": 5', '"born": Infinity').encode(),
        json.dumps(ENTRY | {"coldRemainingMs": 10**400}).encode(),
    ],
)
def test_an_entry_that_cannot_be_read_names_no_instance(value):
    """An exception would end each read of all entries while this one is there."""
    assert decode_entry("i-1", value) is None
