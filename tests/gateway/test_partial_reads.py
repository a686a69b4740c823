"""Tests of reads that end before the end of the log, as the store limits an answer."""

from __future__ import annotations

import threading

import pytest
from waitress.server import create_server

from skylarktrail.core.gateway.lease_calls import LeaseTimings
from skylarktrail.platform.site_store import PlatformStore
from standins.platform.store import Store

from .granter_daemon import GranterDaemon

KEEP_MS = 60_000.0
FILLER_COUNT = 3
PART_COUNT = FILLER_COUNT + 1  # The fillers, and the member's record before the claim.


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
def granter(address):
    daemon = GranterDaemon("d1", address, LeaseTimings())
    daemon.become_granter()
    return daemon


def write_fillers(address):
    client = PlatformStore(address)
    for index in range(FILLER_COUNT):
        assert client.share(f"filler/{index}", b"1", None).is_ok()


def take_over(address):
    """Lets another daemon become granter."""
    successor = GranterDaemon("d2", address, LeaseTimings())
    successor.become_granter()
    return successor


def test_a_part_of_the_log_confirms_no_term(store, address, granter):
    """The record of a successor is in a part that was not read yet."""
    write_fillers(address)
    take_over(address)
    store.controls["read_records"] = 1
    confirmed_ms, reads = granter.role.confirmed_ms, len(granter.reads)
    granter.read()
    assert granter.role.confirmed_ms == confirmed_ms
    assert len(granter.reads) == reads


def test_the_rest_of_the_log_is_read_at_once(store, address, granter):
    write_fillers(address)
    take_over(address)
    store.controls["read_records"] = 1
    assert granter.read() == 0.0
    for _ in range(PART_COUNT):
        assert granter.role.is_granter and granter.is_read_due
        granter.read()
    assert not granter.role.is_granter
    assert not granter.may_grant()


def test_a_term_is_confirmed_at_the_end_of_the_parts(store, address, granter):
    write_fillers(address)
    store.controls["read_records"] = 1
    confirmed_ms = granter.role.confirmed_ms
    for _ in range(FILLER_COUNT - 1):
        granter.read()
    assert granter.role.confirmed_ms == confirmed_ms
    granter.read()
    assert granter.role.confirmed_ms > confirmed_ms
    assert granter.may_grant()


def test_no_claim_rests_on_a_part_of_the_log(store, address):
    """A candidate that has not read all claims nothing, and its claim would fail."""
    daemon = GranterDaemon("d3", address, LeaseTimings())
    daemon.read()
    daemon.read()
    write_fillers(address)
    successor = take_over(address)
    store.controls["read_records"] = 1
    daemon.read()
    daemon.become_candidate()
    daemon.send_writes()
    assert not daemon.role.is_granter
    successor.read()
    assert successor.role.is_granter
