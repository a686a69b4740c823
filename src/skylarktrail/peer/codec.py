"""Encodes the messages between daemons as CBOR.

A frame is the list `[version, kind, id, fields]`; the fields of the message are encoded
by position.
"""

from __future__ import annotations

import math
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

Converter = Callable[[Any], Any]


class Frame(NamedTuple):
    """One message on a link.

    Attributes:
        id: Id of a request, positive; the negated id for the reply to it; 0 for a
            message without a reply.
        message: The decoded message.
    """

    id: int
    message: Message


def encode(message: Message, frame_id: int = 0) -> Result[bytes, Fault]:
    """Encodes one message.

    Args:
        message: The message.
        frame_id: Id of the frame, as in `Frame`.

    Returns:
        The bytes; `MESSAGE_TOO_LARGE` for more than `MAX_MESSAGE_BYTES`,
        `MESSAGE_MALFORMED` for a text that UTF-8 cannot encode.
    """
    try:
        data = cbor2.dumps([VERSION, message.kind, frame_id, tuple(message)])
    except (cbor2.CBOREncodeError, UnicodeError) as error:
        detail = f"{message.kind}: {type(error).__name__}"
        return Err(Fault(codes.MESSAGE_MALFORMED, detail=detail))
    if len(data) > MAX_MESSAGE_BYTES:
        detail = f"{message.kind} of {len(data)} bytes"
        return Err(Fault(codes.MESSAGE_TOO_LARGE, detail=detail))
    return Ok(data)


def decode(data: bytes | str) -> Result[Frame, Fault]:
    """Decodes one message and checks the type of each field.

    Returns:
        The frame; `MESSAGE_MALFORMED`, `MESSAGE_VERSION` or `MESSAGE_KIND` for any
        other input. No input raises an exception.
    """
    if not isinstance(data, bytes):
        return _malformed("a text message")
    if len(data) > MAX_MESSAGE_BYTES:
        return _malformed(f"{len(data)} bytes")
    try:
        decoded = cbor2.loads(data, max_depth=MAX_DEPTH)
    except Exception as error:  # The tag decoders of cbor2 raise many types.
        return _malformed(type(error).__name__)
    if not isinstance(decoded, list) or not decoded:
        return _malformed("not a list")
    if decoded[0] != VERSION:
        return Err(Fault(codes.MESSAGE_VERSION))
    if len(decoded) != FRAME_FIELD_COUNT:
        return _malformed("wrong number of fields")
    _, kind, frame_id, body = decoded
    if not isinstance(kind, str) or type(frame_id) is not int:
        return _malformed("kind or id")
    cls = MESSAGE_TYPES.get(kind)
    if cls is None:
        return Err(Fault(codes.MESSAGE_KIND))
    try:
        message = _converter_for(cls)(body)
    except (TypeError, ValueError, OverflowError) as error:
        return _malformed(f"{kind}: {error}")
    if not getattr(message, "has_usable_values", True):
        return _malformed(f"{kind}: a value out of range")
    return Ok(Frame(frame_id, message))


def _malformed(detail: str) -> Err[Fault]:
    return Err(Fault(codes.MESSAGE_MALFORMED, detail=detail))


@cache
def _converter_for(type_hint: Any) -> Converter:
    """Returns a function that checks a decoded value and converts it to a type.

    The function raises TypeError or ValueError when the value does not fit.
    """
    if hasattr(type_hint, "_fields"):
        return _named_tuple_converter(type_hint)
    if get_origin(type_hint) is tuple:
        return _tuple_converter(get_args(type_hint))
    if get_origin(type_hint) is dict:
        return _exact_type_converter(dict)
    if type_hint is float:
        return _convert_float
    return _exact_type_converter(type_hint)


def _named_tuple_converter(cls: type) -> Converter:
    hints = get_type_hints(cls)
    converters = tuple(_converter_for(hints[field]) for field in cls._fields)

    def convert(value: Any) -> Any:
        values = _check_list(value, len(converters))
        return cls(*(converter(item) for converter, item in zip(converters, values)))

    return convert


def _tuple_converter(args: tuple[Any, ...]) -> Converter:
    if args[-1] is Ellipsis:
        converter = _converter_for(args[0])
        return lambda value: tuple(converter(item) for item in _check_list(value))
    converters = tuple(_converter_for(arg) for arg in args)

    def convert(value: Any) -> Any:
        values = _check_list(value, len(converters))
        return tuple(converter(item) for converter, item in zip(converters, values))

    return convert


def _check_list(value: Any, length: int | None = None) -> list[Any]:
    if not isinstance(value, list):
        raise TypeError("a list is missing")
    if length is not None and len(value) != length:
        raise ValueError(f"{len(value)} fields in place of {length}")
    return value


def _convert_float(value: Any) -> float:
    if type(value) not in (int, float):
        raise TypeError(f"{type(value).__name__} in place of float")
    number = float(value)
    if math.isnan(number):
        raise ValueError("not a number")
    return number


def _exact_type_converter(cls: type) -> Converter:
    def convert(value: Any) -> Any:
        if type(value) is not cls:
            raise TypeError(f"{type(value).__name__} in place of {cls.__name__}")
        return value

    return convert
