"""Records of the log as CBOR."""

from __future__ import annotations

from typing import Any, Callable

import cbor2

from ..core.records import RECORD_TYPES, Envelope, Placement

VERSION = 1


def _plain(kind: type) -> Callable[[Any], Any]:
    def read(value: Any) -> Any:
        if type(value) is not kind:
            raise TypeError(value)
        return value

    return read


def _cuts(value: Any) -> tuple[int, ...]:
    return tuple(map(_plain(int), value))


def _placements(value: Any) -> tuple[Placement, ...]:
    return tuple(
        Placement(_plain(int)(start), _plain(str)(server)) for start, server in value
    )


_FIELD_READERS: dict[str, Callable[[Any], Any]] = {
    "str": _plain(str),
    "int": _plain(int),
    "bool": _plain(bool),
    "dict[str, Any]": _plain(dict),
    "tuple[int, ...]": _cuts,
    "tuple[Placement, ...]": _placements,
}


_TYPE_READERS = {
    cls: [_FIELD_READERS[hint.__forward_arg__] for hint in cls.__annotations__.values()]
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
    """Decodes a record; None when it is ill-formed or of another version."""
    try:
        version, writer, incarnation, seq, kind, fields = cbor2.loads(data)
        if version != VERSION:
            return None
        cls = RECORD_TYPES[kind]
        values = [
            read(value) for read, value in zip(_TYPE_READERS[cls], fields, strict=True)
        ]
        header = (_plain(str)(writer), _plain(str)(incarnation), _plain(int)(seq))
    except (cbor2.CBORError, ValueError, TypeError, KeyError, EOFError):
        return None
    return Envelope(*header, cls(*values))
