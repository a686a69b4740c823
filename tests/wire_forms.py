"""Records the forms of what leaves the process, for comparison by later builds.

The forms are those of messages between daemons, of the shared records in the store, of
the records of the product's own log and of the header field of forwarded requests. The
module runs on the sources of an earlier build too:

    git archive COMMIT src | tar -x -C DIRECTORY
    PYTHONPATH=DIRECTORY/src .venv/bin/python -m tests.wire_forms --build COMMIT

Forms that a later build adds are recorded with `--without EARLIER_FILE...`.
"""

from __future__ import annotations

import argparse
import importlib.util
import itertools
import json
import typing
from pathlib import Path
from typing import Any, Iterator, NamedTuple

from skylarktrail.core import records
from skylarktrail.core.gateway import ranges, shared_state
from skylarktrail.core.state import State
from skylarktrail.peer import codec, messages
from skylarktrail.providers import record_codec

FRAME_ID = 5
ITEM_COUNT = 2  # Items of a sample list.
MESSAGE, SHARED, LOG, STATE = "message", "shared_record", "log_record", "log_state"
FORWARD_HEADER = "forward_header"
OWNERS_OF_TERM = "owners_of_term"  # Its key in the store is that of owners.


class WireForm(NamedTuple):
    """Form of one kind, with a sample.

    Attributes:
        kind: Name of the kind, for all but messages after the name of its medium.
        signature: Names and types of the fields in order, those of nested ones too.
        fields: Values of the sample by field name.
        encoded: The encoded sample in hexadecimal digits.
    """

    kind: str
    signature: str
    fields: Any
    encoded: str


def describe_type(type_hint: Any) -> str:
    """Describes a type by the names and types of its fields, in order."""
    if hasattr(type_hint, "_fields"):
        hints = typing.get_type_hints(type_hint)
        names = type_hint._fields
        return f"({', '.join(f'{n}: {describe_type(hints[n])}' for n in names)})"
    items = typing.get_args(type_hint)
    if typing.get_origin(type_hint) is tuple:
        if items[-1] is Ellipsis:
            return f"list of {describe_type(items[0])}"
        return f"[{', '.join(describe_type(item) for item in items)}]"
    if typing.get_origin(type_hint) is dict:
        return "dict"
    return type_hint.__name__


def make_sample(type_hint: Any, numbers: Iterator[int] | None = None) -> Any:
    """Makes a value of a type; no two of its parts are equal, other than booleans."""
    numbers = numbers or itertools.count(300)
    if hasattr(type_hint, "_fields"):
        hints = typing.get_type_hints(type_hint)
        return type_hint(*(make_sample(hints[n], numbers) for n in type_hint._fields))
    items = typing.get_args(type_hint)
    if typing.get_origin(type_hint) is tuple:
        if items[-1] is Ellipsis:
            items = (items[0],) * ITEM_COUNT
        return tuple(make_sample(item, numbers) for item in items)
    if typing.get_origin(type_hint) is dict:
        return {f"key-{next(numbers)}": next(numbers)}
    if type_hint is bool:
        return next(numbers) % 2 == 0
    number = next(numbers)
    plain = {str: f"text-{number}", bytes: f"bytes-{number}".encode()}
    plain |= {int: number, float: number + 0.25}
    return plain[type_hint]


def to_plain(value: Any) -> Any:
    """Returns a value as JSON has it, with the names of its fields."""
    if hasattr(value, "_fields"):
        return {name: to_plain(getattr(value, name)) for name in value._fields}
    if isinstance(value, (tuple, list)):
        return [to_plain(item) for item in value]
    if isinstance(value, dict):
        return {key: to_plain(item) for key, item in value.items()}
    return {"hex": value.hex()} if isinstance(value, bytes) else value


def make_message_forms() -> Iterator[WireForm]:
    """Makes the forms of all messages between daemons."""
    if importlib.util.find_spec("skylarktrail.peer.gateway_messages"):
        importlib.import_module("skylarktrail.peer.gateway_messages")
    for kind, cls in sorted(messages.MESSAGE_TYPES.items()):
        sample = make_sample(cls)
        encoded = codec.encode(sample, FRAME_ID).unwrap()
        yield WireForm(
            f"{MESSAGE}/{kind}", describe_type(cls), to_plain(sample), encoded.hex()
        )


def make_shared_forms() -> Iterator[WireForm]:
    """Makes the forms of the records that the daemons share in the store."""
    encoders = {
        "granter": (shared_state.GranterRecord, shared_state.encode_granter),
        "member/d1": (shared_state.Member, shared_state.encode_member),
        "owners/catalogo": (
            tuple[ranges.OwnedRange, ...],
            shared_state.encode_owners,
        ),
    }
    if hasattr(shared_state, "encode_forward_target"):
        encoders["forward/d1"] = (
            shared_state.ForwardTarget,
            shared_state.encode_forward_target,
        )
    if hasattr(shared_state, "encode_era"):
        encoders["era"] = (int, shared_state.encode_era)
    if hasattr(shared_state, "OwnersRecord"):
        encoders[OWNERS_OF_TERM] = (
            tuple[tuple[ranges.OwnedRange, ...], int],
            lambda sample: shared_state.encode_owners(*sample),
        )
    for key, (cls, encode) in sorted(encoders.items()):
        sample = make_sample(cls)
        yield WireForm(
            f"{SHARED}/{key}",
            describe_type(cls),
            to_plain(sample),
            encode(sample).hex(),
        )


def make_log_forms() -> Iterator[WireForm]:
    """Makes the forms of the records of the product's own log."""
    for kind, cls in sorted(records.RECORD_TYPES.items()):
        sample = records.Envelope("d1", "i1", 7, make_sample(cls))
        yield WireForm(
            f"{LOG}/{kind}",
            describe_type(cls),
            to_plain(sample),
            record_codec.encode(sample).hex(),
        )


def make_state_form() -> WireForm:
    """Makes the form of the state that checkpoints and snapshots carry."""
    state = State(lambda file: True)
    service = {"name": "catalogo", "kind": "keyed", "slices": 8, "granter_groups": 2}
    bodies = (
        ("operator", "", records.Publish("p1", 0, {"services": [service]})),
        ("d1", "i1", records.Join("heredia", "127.0.0.1:7001", "")),
        ("d2", "i2", records.Join("alajuela", "127.0.0.1:7002", "")),
        ("d3", "i3", records.Join("cartago", "127.0.0.1:7003", "")),
        ("d1", "i1", records.Claim("catalogo/0", 1, "d2", 1000, 2000)),
        (
            "d1",
            "i1",
            records.Assign("catalogo/0", 1, 1, (records.Placement(0, "s1"),)),
        ),
        ("d1", "i1", records.Split("catalogo/0", 1, 2, 0, (5, 6))),
        ("d3", "i3", records.Leave("d3", "i3")),
    )
    for seq, (writer, incarnation, body) in enumerate(bodies, 1):
        state.apply(state.next_offset, records.Envelope(writer, incarnation, seq, body))
    return WireForm(f"{STATE}/dump", "", to_plain(state.dump()), "")


def make_header_forms() -> Iterator[WireForm]:
    """Makes the form of the header field of requests that daemons forward."""
    if importlib.util.find_spec("skylarktrail.gateway.forwarding") is None:
        return
    forwarding = importlib.import_module("skylarktrail.gateway.forwarding")
    sample = make_sample(forwarding.ForwardedState)
    yield WireForm(
        f"{FORWARD_HEADER}/state",
        describe_type(forwarding.ForwardedState),
        to_plain(sample),
        forwarding.encode_state(sample).encode().hex(),
    )


def make_forms() -> dict[str, WireForm]:
    """Makes the forms of all kinds of this build, by kind."""
    forms = (
        *make_message_forms(),
        *make_shared_forms(),
        *make_log_forms(),
        make_state_form(),
        *make_header_forms(),
    )
    return {form.kind: form for form in forms}


def read_forms(path: Path) -> dict[str, WireForm]:
    """Reads the forms of a file, by kind."""
    document = json.loads(path.read_text())
    return {item["kind"]: WireForm(**item) for item in document["forms"]}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True, help="commit, or name of the change")
    parser.add_argument("--without", nargs="*", type=Path, default=[])
    arguments = parser.parse_args()
    earlier = {kind for path in arguments.without for kind in read_forms(path)}
    forms = [f for kind, f in make_forms().items() if kind not in earlier]
    document = {"build": arguments.build, "forms": [form._asdict() for form in forms]}
    print(json.dumps(document, indent=1))


if __name__ == "__main__":
    main()
