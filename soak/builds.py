"""Runs gateways of a site on the sources of earlier builds."""

from __future__ import annotations

import json
import subprocess
from pathlib import Path
from typing import NamedTuple

from demo.gateway_site import GatewaySite
from demo.process import PROJECT_DIR

SETTINGS_SCHEMA = Path("skylarktrail", "config", "gateway_settings.schema.json")


class Build(NamedTuple):
    """Sources of one build.

    Attributes:
        name: Commit, or `present` for the working copy.
        source_dir: Directory of the package `skylarktrail`.
        module: Module that runs a gateway.
    """

    name: str
    source_dir: Path
    module: str = "skylarktrail"


PRESENT = Build("present", PROJECT_DIR / "src")


class BuildMissingError(Exception):
    """The history of the repository does not hold the commit."""


def export_build(commit: str, directory: Path) -> Build:
    """Extracts the sources of a commit into a directory.

    Raises:
        BuildMissingError: The commit is not in the history, which may be shallow.
    """
    target = directory / commit
    target.mkdir(parents=True)
    archive = subprocess.run(
        ["git", "archive", commit, "src"], cwd=PROJECT_DIR, capture_output=True
    )
    if archive.returncode:
        raise BuildMissingError(archive.stderr.decode(errors="replace").strip())
    subprocess.run(["tar", "-x", "-C", target], input=archive.stdout, check=True)
    return Build(commit, target / "src")


def use_build(site: GatewaySite, gateway: str, build: Build) -> None:
    """Lets a gateway run a build from its next start on.

    Its settings are those that the build knows, as builds refuse others.
    """
    process = site.gateways[gateway]
    process.source_dir = build.source_dir
    process.module = build.module
    schema = json.loads((build.source_dir / SETTINGS_SCHEMA).read_text())
    settings = site.gateway_settings[gateway]
    known = {key: item for key, item in settings.items() if key in schema["properties"]}
    site.settings_path(gateway).write_text(json.dumps(known))
