"""Impairs the links of chosen daemons to all instances of a site.

The daemons of the site have to run the module `soak.impaired_gateway`.
"""

from __future__ import annotations

import json
from typing import Iterable

from demo.gateway_site import GatewaySite

MODULE = "soak.impaired_gateway"
SUFFIX = ".links"


def impair_links(site: GatewaySite, daemons: Iterable[str], mode: str) -> None:
    """Cuts daemons off from all instances.

    Args:
        site: The site.
        daemons: Names of the daemons.
        mode: `hang`, `reset` or `refuse`, as described at `impaired_gateway.Mode`.
    """
    document = {"mode": mode, "addresses": list(site.advertised_addresses.values())}
    for name in daemons:
        path = site.settings_path(name).with_suffix(SUFFIX)
        path.write_text(json.dumps(document))


def restore_links(site: GatewaySite, daemons: Iterable[str]) -> None:
    """Restores the links of daemons."""
    for name in daemons:
        site.settings_path(name).with_suffix(SUFFIX).unlink(missing_ok=True)
