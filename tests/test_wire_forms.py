"""Tests that this build reads and writes what earlier builds have read and written.

`data/wire/` has the forms of earlier builds, recorded by `wire_forms.py`. An earlier
build refuses a message with more or fewer fields, so the form of a kind never changes:
what is new is a new kind, and its form is added in a file of its own. Only the names of
fields, which do not leave the process, may be changed there together with the code.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

from skylarktrail.core.gateway.shared_state import SharedState, read_owners
from skylarktrail.core.state import State
from skylarktrail.gateway.forwarding import decode_state
from skylarktrail.peer import codec
from skylarktrail.peer.messages import MESSAGE_TYPES
from skylarktrail.providers import record_codec

from . import wire_forms
from .wire_forms import make_forms, read_forms, to_plain

DIRECTORY = Path(__file__).parent / "data" / "wire"
RECORDED = [
    pytest.param(form, id=f"{path.stem}-{form.kind}")
    for path in sorted(DIRECTORY.glob("*.json"))
    for form in read_forms(path).values()
]


@pytest.fixture(scope="module")
def present_forms():
    """Returns the forms of this build by kind."""
    return make_forms()


def decode_message(form, name):
    frame = codec.decode(bytes.fromhex(form.encoded)).unwrap()
    assert frame.id == wire_forms.FRAME_ID
    assert frame.message.kind == name
    return frame.message


def decode_owners_of_term(form):
    record = read_owners(bytes.fromhex(form.encoded))
    return [record.table.ranges, record.term]


def decode_shared_record(form, key):
    if key == wire_forms.OWNERS_OF_TERM:
        return decode_owners_of_term(form)
    state = SharedState()
    state.apply([(key, bytes.fromhex(form.encoded))], is_snapshot=True)
    name = key.partition("/")[2]
    values = {
        "era": state.era,
        "granter": state.granter,
        "member": state.members.get(name),
        "forward": state.forward_targets.get(name),
        "owners": state.owners[name].ranges if name in state.owners else None,
    }
    return values[key.partition("/")[0]]


def decode_log_record(form, _):
    return record_codec.decode(bytes.fromhex(form.encoded))


def decode_log_state(form, _):
    state = State(lambda file: True)
    state.load(form.fields)
    return state.dump()


def decode_forward_header(form, _):
    return decode_state(bytes.fromhex(form.encoded).decode())


DECODERS = {
    wire_forms.MESSAGE: decode_message,
    wire_forms.SHARED: decode_shared_record,
    wire_forms.LOG: decode_log_record,
    wire_forms.STATE: decode_log_state,
    wire_forms.FORWARD_HEADER: decode_forward_header,
}


@pytest.mark.parametrize("form", RECORDED)
def test_this_build_decodes_what_an_earlier_one_has_written(form):
    medium, _, name = form.kind.partition("/")
    assert to_plain(DECODERS[medium](form, name)) == form.fields


@pytest.mark.parametrize("form", RECORDED)
def test_this_build_writes_what_an_earlier_one_has_read(form, present_forms):
    assert present_forms[form.kind] == form


def test_each_kind_of_this_build_is_recorded(present_forms):
    recorded = {param.values[0].kind for param in RECORDED}
    assert set(present_forms) == recorded, "see wire_forms.py for recording a new kind"


class WithMoreFields(NamedTuple):
    group: str
    term: int
    more: int = 0


class WithFewerFields(NamedTuple):
    group: str


class WithOtherOrder(NamedTuple):
    term: int
    group: str


class WithOtherType(NamedTuple):
    group: str
    term: float


@pytest.mark.parametrize(
    "changed", [WithMoreFields, WithFewerFields, WithOtherOrder, WithOtherType]
)
def test_a_changed_field_of_a_kind_is_found(monkeypatch, changed):
    changed.kind = "promise_ask"
    monkeypatch.setitem(MESSAGE_TYPES, changed.kind, changed)
    form = read_forms(DIRECTORY / "2b6e40e.json")["message/promise_ask"]
    assert make_forms()[form.kind] != form


def test_two_exchanged_fields_of_one_type_are_found(monkeypatch):
    class Exchanged(NamedTuple):
        echo_ms: int
        sent_ms: int

    Exchanged.kind = "heartbeat"
    monkeypatch.setitem(MESSAGE_TYPES, Exchanged.kind, Exchanged)
    form = read_forms(DIRECTORY / "2b6e40e.json")["message/heartbeat"]
    assert make_forms()[form.kind] != form
