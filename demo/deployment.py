"""Deployments of the demo: zones, services and numbers of instances."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, NamedTuple

DEPLOYMENT_FILES_DIR = Path(__file__).resolve().parent / "deployments"
ROUTER_COUNT = 8


class Service(NamedTuple):
    """One service of a deployment.

    Attributes:
        name: Name in the operator file.
        is_keyed: Whether its instances are servers that own keys.
        instances: Number of instances.
    """

    name: str
    is_keyed: bool
    instances: int

    @property
    def role(self) -> str:
        """Role of the instances in the platform's VM list."""
        return "server" if self.is_keyed else "upstream"


class Deployment(NamedTuple):
    """The VMs of one site.

    Attributes:
        name: Name, also of the operator file.
        zones: Availability zones.
        services: Services with their instances.
        routers: Number of router VMs, each with one daemon.
    """

    name: str
    zones: tuple[str, ...]
    services: tuple[Service, ...]
    routers: int = ROUTER_COUNT

    @property
    def keyed(self) -> Service:
        """The first keyed service."""
        return next(service for service in self.services if service.is_keyed)

    def load_operator_file(self) -> dict[str, Any]:
        """Returns the parsed operator file."""
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
