"""Generates the reference of all fields, docs/settings.md, from the JSON Schemas."""

from __future__ import annotations

from typing import Any, Iterator, NamedTuple

from .schema import read_schema

Schema = dict[str, Any]

INTRODUCTION = """\
# Settings and operator file

Both are strict JSON: no comments, no member named twice. `skylarkctl check FILE` lists
every fault of an operator file, `skylarkctl check --settings FILE` those of a daemon's
settings; `skylarkctl schema NAME` prints the schema `operator-file`, `settings` or
`gateway-settings`. Rules that JSON Schema cannot express have the codes 1100 to 1204 in
[errors.md](errors.md). The codes from 1300 on are warnings: entries without an effect
and limits that contradict each other. A file with warnings may be published.

- A whole number is written without a fraction: 256, not 256.0.
- A name has 1 to 63 of the characters a-z, 0-9, `.` and `-`, and begins with a letter
  or a digit.
- An address is an IP address and a port: `10.0.0.1:8080` or `[fd00::1]:8080`.
- A path prefix begins and ends with a slash: `/catalogo/`.

The tables are printed by `python -m skylarktrail.config`; a test compares them with
this page.
"""
SECTIONS = {
    "settings": (
        "Settings of a daemon",
        "Read once, at the start, from the file that `--settings` names. If the file "
        "has faults, the daemon prints all of them and does not start.",
    ),
    "gateway_settings": (
        "Settings of a gateway",
        'The file has `"kind": "gateway"`. Bounds are read again when the file '
        "changes or on SIGHUP; the other fields are read only at the start.",
    ),
    "operator_file": (
        "Operator file",
        "Published as a whole with `skylarkctl publish`; see "
        "[OPERATIONS.md](OPERATIONS.md). A file with a fault changes nothing.",
    ),
}
TABLE_HEADER = "| Field | Unit | Value | Default | Meaning |"
TABLE_SEPARATOR = "|---|---|---|---|---|"
UNITS = {
    "_ms": "ms",
    "_window_s": "s",
    "grace_s": "s",
    "_bytes": "bytes",
    "_percent": "%",
    "_segment": "segment",
    "percentile": "percentile",
    "_factor": "times",
}
_BOUNDS = (
    ("minimum", "maximum", ""),
    ("minItems", "maxItems", "items"),
    ("minLength", "maxLength", "characters"),
)


class Field(NamedTuple):
    """One field of a file.

    Attributes:
        path: Path of the field, such as `zones[].name`.
        schema: JSON Schema of the field.
        presence: `required`, `required when keyed`, or "" for an optional field.
    """

    path: str
    schema: Schema
    presence: str


def list_fields(name: str) -> list[Field]:
    """Returns every field of a published schema."""
    root = read_schema(name)
    return list(_iterate_fields(root, root, ""))


def _iterate_fields(root: Schema, schema: Schema, prefix: str) -> Iterator[Field]:
    presences = _find_presences(schema)
    for name, entry in schema.get("properties", {}).items():
        field = _resolve(root, entry)
        path = f"{prefix}{name}"
        yield Field(path, field, presences.get(name, ""))
        yield from _iterate_fields(root, field, f"{path}.")
        items = _resolve(root, field.get("items", {}))
        yield from _iterate_fields(root, items, f"{path}[].")


def _find_presences(schema: Schema) -> dict[str, str]:
    """Returns the presence of each field that is always or sometimes required."""
    keyed = schema.get("then", {}).get("required", [])
    always = schema.get("required", [])
    presences = dict.fromkeys(keyed, "required when keyed")
    return presences | dict.fromkeys(always, "required")


def _resolve(root: Schema, schema: Schema) -> Schema:
    """Merges a schema with the definition that it refers to."""
    reference = schema.get("$ref")
    if reference is None:
        return schema
    definition = root["$defs"][reference.rpartition("/")[2]]
    return definition | schema


def format_page() -> str:
    """Returns the text of docs/settings.md."""
    parts = [INTRODUCTION]
    for name, (title, text) in SECTIONS.items():
        rows = "\n".join(_format_row(field) for field in list_fields(name))
        parts.append(
            f"\n## {title}\n\n{text}\n\n{TABLE_HEADER}\n{TABLE_SEPARATOR}\n{rows}\n"
        )
    return "".join(parts)


def _format_row(field: Field) -> str:
    schema = field.schema
    meaning = schema.get("description", "")
    cells = (
        f"`{field.path}`",
        _format_unit(field.path),
        _format_value(schema),
        _format_default(field),
        meaning,
    )
    return f"| {' | '.join(cells)} |"


def _format_unit(path: str) -> str:
    found = (unit for suffix, unit in UNITS.items() if path.endswith(suffix))
    return next(found, "–")


def _format_value(schema: Schema) -> str:
    if "enum" in schema:
        return ", ".join(f"`{value}`" for value in schema["enum"])
    if "const" in schema:
        return f"`{schema['const']}`"
    if "oneOf" in schema:
        return "name or `null`"
    kind = schema["type"]
    if "enum" in schema.get("items", {}):
        kind = f"{kind} of {_format_value(schema['items'])}"
    bounds = [text for names in _BOUNDS if (text := _format_bounds(schema, *names))]
    return ", ".join([kind, *bounds])


def _format_bounds(schema: Schema, lower: str, upper: str, counted_unit: str) -> str:
    low, high = schema.get(lower), schema.get(upper)
    if low is None and high is None:
        return ""
    low = 0 if low is None else low
    text = f"{low} and up" if high is None else f"{low} to {high}"
    return f"{text} {counted_unit}".rstrip()


def _format_default(field: Field) -> str:
    if field.presence:
        return field.presence
    if "default" not in field.schema:
        return "–"
    value = field.schema["default"]
    return "`null`" if value is None else f"`{value}`"
