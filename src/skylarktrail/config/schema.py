"""Reads JSON documents and checks them against the published JSON Schemas."""

from __future__ import annotations

import json
from copy import deepcopy
from functools import cache
from importlib.resources import files
from math import isfinite
from pathlib import Path
from typing import Any, Iterable, Iterator, NamedTuple

from jsonschema import Draft202012Validator
from jsonschema.exceptions import ValidationError
from jsonschema.validators import extend
from result import Err, Ok, Result

from ..errors import settings as codes
from ..errors.code import Code, Fault

MAX_NESTING_LEVELS = 16

_KEYWORD_CODES: dict[str, Code] = {
    "type": codes.TYPE_WRONG,
    "enum": codes.VALUE_NOT_ALLOWED,
    "const": codes.VALUE_NOT_ALLOWED,
    "pattern": codes.TEXT_MALFORMED,
    "uniqueItems": codes.ITEM_REPEATED,
    "minimum": codes.VALUE_OUT_OF_RANGE,
    "maximum": codes.VALUE_OUT_OF_RANGE,
    "exclusiveMinimum": codes.VALUE_OUT_OF_RANGE,
    "minLength": codes.VALUE_OUT_OF_RANGE,
    "maxLength": codes.VALUE_OUT_OF_RANGE,
    "minItems": codes.VALUE_OUT_OF_RANGE,
    "maxItems": codes.VALUE_OUT_OF_RANGE,
    "minProperties": codes.VALUE_OUT_OF_RANGE,
    "maxProperties": codes.VALUE_OUT_OF_RANGE,
}


class SchemaFault(NamedTuple):
    """A fault and its position in the document.

    Attributes:
        fault: The numbered fault.
        members: Names and indices that lead from the root to the faulty value.
    """

    fault: Fault
    members: tuple[str | int, ...]


def _is_integer(checker: Any, instance: Any) -> bool:
    """Rejects 256.0, which is an integer to JSON Schema but not to `range`."""
    return isinstance(instance, int) and not isinstance(instance, bool)


def _is_number(checker: Any, instance: Any) -> bool:
    """Rejects NaN, which satisfies every bound, and the infinities."""
    if isinstance(instance, float):
        return isfinite(instance)
    return _is_integer(checker, instance)


_STRICT_TYPES = Draft202012Validator.TYPE_CHECKER.redefine_many(
    {"integer": _is_integer, "number": _is_number}
)
_StrictValidator = extend(Draft202012Validator, type_checker=_STRICT_TYPES)


@cache
def read_schema(name: str) -> dict[str, Any]:
    """Returns the published schema whose file is called `<name>.schema.json`."""
    resource = files(__package__).joinpath(f"{name}.schema.json")
    return json.loads(resource.read_text(encoding="utf-8"))


@cache
def make_validator(name: str) -> Draft202012Validator:
    """Returns the compiled validator of a published schema."""
    return _StrictValidator(read_schema(name))


def find_schema_faults(name: str, document: Any) -> list[SchemaFault]:
    """Returns every violation of a published schema, ordered by path."""
    if _is_nested_too_deep(document):
        return [
            _make_fault(codes.SHAPE_WRONG, (), f"more than {MAX_NESTING_LEVELS} levels")
        ]
    errors = make_validator(name).iter_errors(document)
    found = [fault for error in errors for fault in _convert_error(error)]
    return sorted(set(found), key=lambda item: (item.fault.path, item.fault.code))


def _is_nested_too_deep(document: Any) -> bool:
    """Checks level by level, as recursion would fail on deep or cyclic values."""
    level = [document]
    for _ in range(MAX_NESTING_LEVELS):
        children = [child for parent in level for child in _list_children(parent)]
        level = list({id(child): child for child in children}.values())
        if not level:
            return False
    return True


def _list_children(value: Any) -> Iterable[Any]:
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, (list, tuple)) else ()


def _convert_error(error: ValidationError) -> Iterator[SchemaFault]:
    if error.validator == "required":
        yield from _find_missing_fields(error)
    elif error.validator == "additionalProperties":
        yield from _find_unknown_fields(error)
    elif error.validator == "not":
        detail = "not allowed beside the other fields"
        yield _make_fault(codes.FIELD_UNKNOWN, error.absolute_path, detail)
    else:
        code = _KEYWORD_CODES.get(str(error.validator), codes.SHAPE_WRONG)
        yield _make_fault(code, error.absolute_path, _describe_error(error))


def _find_missing_fields(error: ValidationError) -> Iterator[SchemaFault]:
    for name in error.validator_value:
        if name not in error.instance:
            path = (*error.absolute_path, name)
            yield _make_fault(codes.FIELD_MISSING, path, "required")


def _find_unknown_fields(error: ValidationError) -> Iterator[SchemaFault]:
    known = error.schema.get("properties", {})
    allowed = ", ".join(sorted(known))
    for name in error.instance:
        if name not in known:
            path = (*error.absolute_path, name)
            yield _make_fault(codes.FIELD_UNKNOWN, path, f"allowed here: {allowed}")


def _describe_error(error: ValidationError) -> str:
    found = _shorten(error.instance)
    expected = _shorten(error.validator_value)
    return f"found {found}; {error.validator} is {expected}"


def _shorten(value: Any, length: int = 80) -> str:
    text = json.dumps(value, default=str, skipkeys=True)
    return text if len(text) <= length else text[: length - 3] + "..."


def _make_fault(code: Code, members: Any, detail: str) -> SchemaFault:
    path = tuple(members)
    return SchemaFault(Fault(code, format_path(path), detail), path)


def format_path(members: tuple[str | int, ...]) -> str:
    """Returns a JSON path such as `$.services[0].name`."""
    parts = [f"[{m}]" if isinstance(m, int) else f".{m}" for m in members]
    return "$" + "".join(parts)


def without_faults(document: Any, faults: list[SchemaFault]) -> Any:
    """Returns a copy of a document with None in place of every faulty value."""
    copy = deepcopy(document)
    for item in faults:
        _replace_with_none(copy, item.members)
    return copy


def _replace_with_none(document: Any, members: tuple[str | int, ...]) -> None:
    if not members:
        return
    *parents, last = members
    for member in parents:
        document = document[member]
        if document is None:
            return
    if isinstance(document, list) or last in document:
        document[last] = None


class _DuplicateMember(ValueError):
    """A JSON object has two members of the same name."""


def _collect_unique_members(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    members: dict[str, Any] = {}
    for name, value in pairs:
        if name in members:
            raise _DuplicateMember(name)
        members[name] = value
    return members


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")


def parse_json(text: str | bytes) -> Result[Any, Fault]:
    """Parses JSON; refuses repeated members, NaN and the infinities."""
    try:
        document = json.loads(
            text,
            object_pairs_hook=_collect_unique_members,
            parse_constant=_reject_constant,
        )
    except _DuplicateMember as error:
        return Err(Fault(codes.MEMBER_REPEATED, "$", f"member {error}"))
    except (ValueError, RecursionError) as error:
        return Err(Fault(codes.SETTINGS_UNREADABLE, "$", str(error)))
    return Ok(document)


def read_json(path: Path) -> Result[Any, Fault]:
    """Reads and parses a file of strict JSON, see `parse_json`."""
    try:
        text = path.read_bytes()
    except OSError as error:
        detail = error.strerror or str(error)
        return Err(Fault(codes.SETTINGS_UNREADABLE, str(path), detail))
    return parse_json(text)
