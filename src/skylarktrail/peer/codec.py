"""CBOR form of the messages between daemons."""

from __future__ import annotations

from functools import cache
from typing import Any, Callable, NamedTuple, get_args, get_origin, get_type_hints

import cbor2
from result import Err, Ok, Result

from ..errors import peer as codes
from ..errors.code import Fault
from .messages import MESSAGE_TYPES, Message

VERSION = 1
MAX_MESSAGE_BYTES = 1 << 20
MAX_DEPTH = 32
FRAME_FIELD_COUNT = 4

Reader = Callable[[Any], Any]


class Frame(NamedTuple):
    """One message on a link.

    Attributes:
        id: Positive for a request, the negative of it for the reply, else 0.
        message: The message.
    """

    id: int
    message: Message


def encode(message: Message, frame_id: int = 0) -> Result[bytes, Fault]:
    """Encodes one message.

    Returns:
        The bytes, or a fault when they are over `MAX_MESSAGE_BYTES`.
    """
    data = cbor2.dumps([VERSION, message.kind, frame_id, tuple(message)])
    if len(data) > MAX_MESSAGE_BYTES:
        detail = f"{message.kind} of {len(data)} bytes"
        return Err(Fault(codes.MESSAGE_TOO_LARGE, detail=detail))
    return Ok(data)


def decode(data: bytes | str) -> Result[Frame, Fault]:
    """Decodes one message and checks the type of each field.

    Returns:
        The frame, or a fault; no input raises.
    """
    if not isinstance(data, bytes):
        return _malformed("a text message")
    if len(data) > MAX_MESSAGE_BYTES:
        return _malformed(f"{len(data)} bytes")
    try:
        plain = cbor2.loads(data, max_depth=MAX_DEPTH)
    except Exception as error:  # The library's decoders of tags raise many types.
        return _malformed(type(error).__name__)
    if not isinstance(plain, list) or not plain:
        return _malformed("not a list")
    if plain[0] != VERSION:
        return Err(Fault(codes.MESSAGE_VERSION))
    if len(plain) != FRAME_FIELD_COUNT:
        return _malformed("wrong number of fields")
    _, kind, frame_id, body = plain
    if not isinstance(kind, str) or type(frame_id) is not int:
        return _malformed("kind or id")
    cls = MESSAGE_TYPES.get(kind)
    if cls is None:
        return Err(Fault(codes.MESSAGE_KIND))
    try:
        return Ok(Frame(frame_id, _reader(cls)(body)))
    except (TypeError, ValueError) as error:
        return _malformed(f"{kind}: {error}")


def _malformed(detail: str) -> Err[Fault]:
    return Err(Fault(codes.MESSAGE_MALFORMED, detail=detail))


@cache
def _reader(hint: Any) -> Reader:
    """Returns a function that checks and converts a decoded value to a type."""
    if hasattr(hint, "_fields"):
        return _named_tuple_reader(hint)
    if get_origin(hint) is tuple:
        return _tuple_reader(get_args(hint))
    if get_origin(hint) is dict:
        return _plain_reader(dict)
    if hint is float:
        return _float_reader
    return _plain_reader(hint)


def _named_tuple_reader(cls: type) -> Reader:
    hints = get_type_hints(cls)
    readers = tuple(_reader(hints[field]) for field in cls._fields)

    def read(value: Any) -> Any:
        values = _sequence(value, len(readers))
        return cls(*(reader(item) for reader, item in zip(readers, values)))

    return read


def _tuple_reader(args: tuple[Any, ...]) -> Reader:
    if args[-1] is Ellipsis:
        reader = _reader(args[0])
        return lambda value: tuple(reader(item) for item in _sequence(value))
    readers = tuple(_reader(arg) for arg in args)

    def read(value: Any) -> Any:
        values = _sequence(value, len(readers))
        return tuple(reader(item) for reader, item in zip(readers, values))

    return read


def _sequence(value: Any, length: int | None = None) -> list[Any]:
    if not isinstance(value, list):
        raise TypeError("a list is missing")
    if length is not None and len(value) != length:
        raise ValueError(f"{len(value)} fields in place of {length}")
    return value


def _float_reader(value: Any) -> float:
    if type(value) not in (int, float):
        raise TypeError(f"{type(value).__name__} in place of float")
    return float(value)


def _plain_reader(cls: type) -> Reader:
    def read(value: Any) -> Any:
        if type(value) is not cls:
            raise TypeError(f"{type(value).__name__} in place of {cls.__name__}")
        return value

    return read
