"""Tests of positions in a store that comes back from an older copy."""

from __future__ import annotations

import threading

import pytest
import urllib3
from waitress.server import create_server

from skylarktrail.core.gateway.positions import make_position
from skylarktrail.errors import platform as codes
from skylarktrail.platform.site_store import PlatformStore
from standins.platform.store import Store

KEEP_MS = 60_000.0


@pytest.fixture
def store():
    return Store(KEEP_MS, KEEP_MS)


@pytest.fixture
def address(store):
    server = create_server(store.application, listen="127.0.0.1:0")
    threading.Thread(target=server.run, daemon=True).start()
    yield f"127.0.0.1:{server.effective_port}"
    server.close()


@pytest.fixture
def client(address):
    return PlatformStore(address)


@pytest.fixture
def operate(address):
    def operate(path, document=None):
        """Posts to the store as an operator or an instance."""
        url = f"http://{address}/operator/{path}"
        assert urllib3.request("POST", url, json=document).status == 200

    return operate


def share(client, key, position=None):
    return client.share(key, b"1", position)


def test_positions_rise_with_the_era(client, operate):
    share(client, "a")
    operate("copy")
    assert share(client, "b").unwrap() == make_position(1, 2)
    operate("restore")
    assert share(client, "c").unwrap() == make_position(2, 2)


def test_a_read_from_a_position_of_an_earlier_era_finds_it_gone(client, operate):
    """The log has grown past the position again, so its offset exists."""
    operate("copy")
    position = share(client, "a").unwrap()
    operate("restore")
    for key in "bcd":
        share(client, key)
    read = client.read_shared(position, 0)
    assert read.unwrap_err().code is codes.STORE_TRIMMED
    snapshot = client.read_shared(None, 0).unwrap()
    assert snapshot.is_snapshot
    assert [key for key, _ in snapshot.records] == ["b", "c", "d"]


def test_a_write_on_condition_of_an_earlier_era_is_not_taken_for_applied(
    client, operate
):
    operate("copy")
    position = share(client, "a").unwrap()
    operate("restore")
    share(client, "b")
    written = share(client, "c", position)
    assert written.unwrap_err().code is codes.STORE_CONFLICT


def test_listings_of_a_new_era_are_newer(client, operate):
    operate("copy")
    entry = {"topic": "keyed.servers", "key": "i-1", "value": {}}
    for _ in range(3):
        operate("put", entry)
    before = client.read_instances().unwrap()
    operate("restore")
    assert client.read_instances().unwrap().position > before.position


def test_a_snapshot_of_two_eras_is_not_used(store, client):
    """The store goes back to its copy between two pages of a read."""
    for key in "abc":
        share(client, key)
    pages = []
    handle = store._handle_newest

    def answer_in_pages(request):
        pages.append(request)
        if len(pages) == 2:
            store._era += 1
        response = handle(request)
        is_first = len(pages) == 1
        more = b'"more": true' if is_first else b'"more": false'
        return response._replace(body=response.body.replace(b'"more": false', more))

    route = store.application.route("GET", "/api/log-newest")
    route(store._with_controls(answer_in_pages))
    read = client.read_shared(None, 0)
    assert read.unwrap_err().code is codes.STORE_TRIMMED
