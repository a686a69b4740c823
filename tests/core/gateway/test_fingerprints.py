"""Tests of what two requests with the same fingerprint have in common."""

from __future__ import annotations

import pytest

from skylarktrail.core.gateway.fingerprints import make_fingerprint

HEADERS = {"host": "shop.example", "request-id": "1", "authorization": "alice"}


def test_attempts_of_a_caller_have_the_same_fingerprint():
    later = HEADERS | {"request-id": "2", "deadline-ms": "80"}
    first = make_fingerprint("GET", "/stock/7", HEADERS, b"")
    assert make_fingerprint("GET", "/stock/7", later, b"") == first


@pytest.mark.parametrize(
    "other",
    [
        ("POST", "/stock/7", HEADERS, b""),
        ("GET", "/stock/8", HEADERS, b""),
        ("GET", "/stock/7?all=1", HEADERS, b""),
        ("GET", "/stock/7", HEADERS | {"host": "other.example"}, b""),
        ("GET", "/stock/7", HEADERS | {"authorization": "bob"}, b""),
        ("GET", "/stock/7", HEADERS, b"x"),
    ],
)
def test_other_requests_have_another_fingerprint(other):
    first = make_fingerprint("GET", "/stock/7", HEADERS, b"")
    assert make_fingerprint(*other) != first
