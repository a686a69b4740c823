"""Encodes the records of the log as CBOR.

A record is the list `[version, writer, incarnation, seq, kind, fields]`; the fields of
the body are encoded by position.
"""

from __future__ import annotations

from typing import Any, Callable

import cbor2

from ..core.records import RECORD_TYPES, Envelope, Placement

VERSION = 1


def _exact_type_converter(kind: type) -> Callable[[Any], Any]:
    def convert(value: Any) -> Any:
        if type(value) is not kind:
            raise TypeError(value)
        return value

    return convert


def _convert_int_tuple(value: Any) -> tuple[int, ...]:
    return tuple(map(_exact_type_converter(int), value))


def _convert_placements(value: Any) -> tuple[Placement, ...]:
    return tuple(
        Placement(_exact_type_converter(int)(start), _exact_type_converter(str)(server))
        for start, server in value
    )


_CONVERTERS: dict[str, Callable[[Any], Any]] = {
    "str": _exact_type_converter(str),
    "int": _exact_type_converter(int),
    "bool": _exact_type_converter(bool),
    "dict[str, Any]": _exact_type_converter(dict),
    "tuple[int, ...]": _convert_int_tuple,
    "tuple[Placement, ...]": _convert_placements,
}


_FIELD_CONVERTERS = {
    cls: [_CONVERTERS[hint.__forward_arg__] for hint in cls.__annotations__.values()]
    for cls in RECORD_TYPES.values()
}


def encode(envelope: Envelope) -> bytes:
    """Encodes an envelope for the log."""
    body = envelope.body
    return cbor2.dumps(
        [
            VERSION,
            envelope.writer,
            envelope.incarnation,
            envelope.seq,
            body.kind,
            list(body),
        ]
    )


def decode(data: bytes) -> Envelope | None:
    """Decodes a record; returns None for a malformed record or another version."""
    try:
        version, writer, incarnation, seq, kind, fields = cbor2.loads(data)
        if version != VERSION:
            return None
        cls = RECORD_TYPES[kind]
        values = [
            convert(value)
            for convert, value in zip(_FIELD_CONVERTERS[cls], fields, strict=True)
        ]
        header = (
            _exact_type_converter(str)(writer),
            _exact_type_converter(str)(incarnation),
            _exact_type_converter(int)(seq),
        )
    except (cbor2.CBORError, ValueError, TypeError, KeyError, EOFError):
        return None
    return Envelope(*header, cls(*values))
