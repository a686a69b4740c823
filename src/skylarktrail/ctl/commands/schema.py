"""`skylarkctl schema`: prints a published JSON Schema."""

from __future__ import annotations

import json
from argparse import ArgumentParser, Namespace

from ...config.schema import read_schema
from ..exit_codes import ExitCode
from ..registry import Report, command

SCHEMAS = {
    "gateway-settings": "gateway_settings",
    "operator-file": "operator_file",
    "settings": "settings",
}


def _add_arguments(parser: ArgumentParser) -> None:
    parser.add_argument("name", choices=sorted(SCHEMAS), help="name of the schema")


@command("schema", "Print a published JSON Schema.", _add_arguments)
def run(arguments: Namespace) -> Report:
    """Prints one schema."""
    data = read_schema(SCHEMAS[arguments.name])
    return Report(ExitCode.OK, data, json.dumps(data, indent=2))
