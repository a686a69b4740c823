"""The users' deployments: zones, services and their numbers of instances."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, NamedTuple

DEPLOYMENT_FILES_DIR = Path(__file__).resolve().parent / "deployments"
ROUTER_COUNT = 8


class Service(NamedTuple):
    """One service of a deployment.

    Attributes:
        name: Its name in the operator file.
        is_keyed: Whether its instances are servers that own keys.
        instances: How many there are.
    """

    name: str
    is_keyed: bool
    instances: int

    @property
    def role(self) -> str:
        """Role of its instances in the platform's VM list."""
        return "server" if self.is_keyed else "upstream"


class Deployment(NamedTuple):
    """One site.

    Attributes:
        name: Names the operator file.
        zones: Its availability zones.
        services: Its services.
        routers: Entry VMs, each with one daemon.
    """

    name: str
    zones: tuple[str, ...]
    services: tuple[Service, ...]
    routers: int = ROUTER_COUNT

    @property
    def keyed(self) -> Service:
        """Returns its keyed service."""
        return next(service for service in self.services if service.is_keyed)

    def load_operator_file(self) -> dict[str, Any]:
        """Returns the operator file."""
        return json.loads((DEPLOYMENT_FILES_DIR / f"{self.name}.json").read_text())


DEPLOYMENTS = {
    deployment.name: deployment
    for deployment in (
        Deployment(
            "pecera",
            ("heredia", "alajuela", "cartago"),
            (
                Service("catalogo", True, 13),
                Service("pedidos", False, 7),
                Service("carga", False, 6),
            ),
        ),
        Deployment(
            "vanua",
            ("suva", "lautoka", "nadi"),
            (
                Service("archive", True, 11),
                Service("dues", False, 9),
                Service("notices", False, 6),
            ),
        ),
    )
}
