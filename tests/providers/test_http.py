"""Tests that a refusal sent once more does not answer a later call."""

from __future__ import annotations

import pytest

from skylarktrail.errors import platform as codes
from skylarktrail.providers.http import make_pool_manager, send_request

from ..gateway.repeating_instance import RepeatingInstance

HEADERS = {"Request-Id": "r1"}


@pytest.mark.parametrize("status", [404, 409, 421, 429, 503])
def test_copy_of_a_refusal_does_not_answer_the_next_call(status):
    server = RepeatingInstance(status, "before the answer", False)
    manager = make_pool_manager()
    url = f"http://{server.address}/records"

    def send():
        return send_request(manager, "GET", url, 1000, bytes, headers=HEADERS)

    assert send().unwrap_err().code is codes.PLATFORM_REFUSED
    assert send().unwrap() == b"ran"
    assert send().unwrap() == b"ran"
    assert (server.executed, server.accepted_count) == (["r1", "r1"], 2)
    server.close()
