"""Tests that one odd record or item does not end the reading of the others."""

from __future__ import annotations

import json

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from skylarktrail.core.checkpoints import LogWindow, make_checkpoint
from skylarktrail.core.follower import LogFollower
from skylarktrail.core.ownership.messages import Grant, GrantedSlice
from skylarktrail.core.records import RECORD_TYPES, Checkpoint, Envelope, Join, Publish
from skylarktrail.core.state import State
from skylarktrail.errors import platform as codes
from skylarktrail.providers.http_grants import HttpGrantClient
from skylarktrail.providers.http_log import HttpLogClient
from skylarktrail.providers.http_reports import HttpReportClient
from skylarktrail.providers.http_vms import HttpVmListClient
from skylarktrail.providers.record_codec import decode

SETTINGS = settings(derandomize=True, database=None, deadline=None, max_examples=400)
VM = {
    "id": "s1",
    "role": "server",
    "service": "stock",
    "zone": "east",
    "address": "10.0.0.1:80",
    "peer_address": "",
    "state": "running",
}
ODD_BODIES = [
    b"",
    b"\xff",
    b"[" * 200_000,
    b"\x81" * 100_000,
    b"\xc0\x61x",
    b"\xd9\xd9\xf7\xc1\x61\x41",
    b"\xd8\x23\x61(",
    b"\xa1\x81\x00\x00",
    b"null",
    b"[]",
    b"3",
    b'{"vms": 3}',
    b'{"in_flight": 1e999, "slots": 1, "age_ms": 1}',
    b'{"in_flight": 1, "slots": 1, "age_ms": NaN}',
    b'{"in_flight": -1, "slots": 1, "age_ms": 1}',
    b'{"in_flight": 1, "slots": 1%s, "age_ms": 1}' % (b"0" * 400),
    cbor2.dumps({"start": 1, "end": 2, "records": [[1]]}),
    cbor2.dumps({"start": 1, "end": float("inf"), "records": []}),
    cbor2.dumps([1, 2]),
]


class Application:
    """Answers each request with a body.

    Attributes:
        body: The body of the next answers.
    """

    body = b""

    def __call__(self, environ, start_response):
        """Answers one request."""
        start_response("200 OK", [("Content-Length", str(len(self.body)))])
        return [self.body]


@pytest.fixture
def application():
    return Application()


@pytest.fixture
def address(serve, application):
    return serve(application)


@pytest.mark.parametrize("body", ODD_BODIES, ids=lambda body: repr(body[:40]))
def test_an_odd_body_is_a_fault(body, application, address):
    """An exception ends the actor that reads, and the daemon follows no more."""
    application.body = body
    results = [
        HttpLogClient([address]).read(1, 10, 0),
        HttpLogClient([address]).append(b"x"),
        HttpVmListClient(address).fetch(),
        HttpReportClient().fetch_load(address, 1000),
    ]
    for result in results:
        assert result.unwrap_err().code is codes.PLATFORM_MALFORMED


@pytest.mark.parametrize(
    "address", ["a..b:80", "127.0.0.1:99999", "", "a\ud800:1", "a b:1", "127.0.0.1:x"]
)
def test_an_odd_address_gives_no_answer(address):
    result = HttpReportClient().fetch_health(address, 300)
    assert result.unwrap_err().code is codes.PLATFORM_NO_ANSWER


ODD_VMS = [
    None,
    3,
    [],
    {},
    VM | {"id": 3},
    VM | {"id": ""},
    VM | {"id": "s2", "role": None},
    VM | {"id": "s2", "zone": ["east"]},
    VM | {"id": "s2", "zone": "\ud800"},
    VM | {"id": "s2", "service": 3},
    VM | {"id": "s2", "state": None},
    VM | {"id": "s2", "address": "10.0.0.1:99999"},
    VM | {"id": "s2", "address": "a..b:80"},
    VM | {"id": "s2", "peer_address": 3},
    {"id": "s2"},
]


def list_ids(client):
    return [vm.id for vm in client.fetch().unwrap()]


@pytest.mark.parametrize("odd", ODD_VMS, ids=repr)
def test_an_odd_item_of_the_vm_list_hides_no_other(odd, application, address):
    client = HttpVmListClient(address)
    application.body = json.dumps({"vms": [odd, VM]}).encode()
    assert list_ids(client) == ["s1"]
    application.body = json.dumps({"vms": [VM, odd, VM | {"id": "s3"}]}).encode()
    assert list_ids(client) == ["s1", "s3"]


def test_a_vm_whose_item_becomes_odd_does_not_seem_removed(application, address):
    """Others would take its keys while it holds its lease."""
    client = HttpVmListClient(address)
    application.body = json.dumps({"vms": [VM]}).encode()
    before = client.fetch().unwrap()
    for change in ({"role": 3}, {"address": "a..b:80"}, {"state": None}):
        application.body = json.dumps({"vms": [VM | change]}).encode()
        assert client.fetch().unwrap() == before
    application.body = json.dumps({"vms": []}).encode()
    assert client.fetch().unwrap() == []


ITEMS = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(),
        st.sampled_from([10**400, -(10**400), 1 << 64]),
        st.floats(),
        st.text(max_size=5),
    ),
    lambda inner: st.lists(inner, max_size=7)
    | st.dictionaries(st.text(max_size=3), inner, max_size=3),
    max_leaves=9,
)


def make_state() -> State:
    """Returns a state with one member, `d1`, whose records count."""
    state = State(lambda file: False)
    state.apply(1, Envelope("d1", "i1", 1, Join("z", "", "")))
    return state


@SETTINGS
@given(st.sampled_from(sorted(RECORD_TYPES)), st.lists(ITEMS, max_size=6))
def test_a_record_with_odd_fields_never_raises(kind, fields):
    envelope = decode(cbor2.dumps([1, "d1", "i1", 2, kind, fields]))
    make_state().apply(2, envelope)


@pytest.mark.parametrize("body", ODD_BODIES, ids=lambda body: repr(body[:40]))
def test_an_odd_record_is_skipped(body):
    state = make_state()
    state.apply(2, decode(body))
    assert state.next_offset == 3


@pytest.mark.parametrize(
    "odd", [{}, {"next_offset": 3}, {"members": 3}, {"next_offset": []}], ids=repr
)
def test_a_reader_recovers_from_the_checkpoint_beside_an_odd_one(odd):
    """The log keeps no earlier records; a checkpoint of another writer is odd."""
    before = State(lambda file: True)
    before.apply(1, Envelope("operator", "", 0, Publish("p", 0, {"site": "a"})))
    good = Envelope("d1", "i1", 2, make_checkpoint(before))
    records = [
        (2, good),
        (3, Envelope("x", "y", 1, Checkpoint(3, odd))),
        (4, Envelope("x", "y", 2, Checkpoint(2, odd))),
    ]
    state = State(lambda file: True)
    result = LogFollower(state).handle_read(1, LogWindow(2, 5), records)
    assert result.has_loaded_checkpoint and not result.is_history_lost
    assert state.file == {"site": "a"}


ANSWER = {
    "accepted": True,
    "boot_id": "b1",
    "clock_ms": 7,
    "term": 1,
    "version": 2,
    "held": [[0, 1 << 63, 1 << 33]],
}
ODD_GRANT_ANSWERS = [
    *[ANSWER | {name: None} for name in list(ANSWER)[:5]],
    *[ANSWER | {name: 10**400} for name in ("clock_ms", "term", "version")],
    *[ANSWER | {name: float("inf")} for name in ("clock_ms", "term", "version")],
    *[
        ANSWER | {"held": value}
        for value in (3, [3], [[0]], [[0, "1", 2]], [[-1, 1, 2]])
    ],
    ANSWER | {"accepted": "false"},
    ANSWER | {"reason": 3},
    ANSWER | {"boot_id": ["b1"]},
]


@pytest.mark.parametrize("answer", [*ODD_GRANT_ANSWERS, [], 3, None], ids=repr)
def test_an_odd_answer_to_a_grant_is_a_fault(answer, application, address):
    """A grant that is taken for accepted by mistake gives requests to its server."""
    application.body = json.dumps(answer).encode()
    grant = Grant("g/0", 1, "b1", 100, 0, ())
    result = HttpGrantClient().send(address, grant, 1000)
    assert result.unwrap_err().code is codes.PLATFORM_MALFORMED


def test_an_answer_to_a_grant_is_read(application, address):
    application.body = json.dumps(ANSWER).encode()
    result = HttpGrantClient().send(address, Grant("g/0", 1, "b1", 100, 0, ()), 1000)
    assert result.unwrap().held == (GrantedSlice(0, 1 << 63, 1 << 33),)
