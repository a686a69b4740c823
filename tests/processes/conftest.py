"""Fixtures: a small site of real daemons, servers and upstreams per test module."""

from __future__ import annotations

from typing import Any, Iterator

import pytest

from demo.client import Client
from demo.deployment import DEPLOYMENTS, Deployment, Service
from demo.site import Options, Site

SMALL = Deployment(
    "small",
    ("heredia", "alajuela"),
    (Service("catalogo", True, 4), Service("carga", False, 4)),
    routers=3,
)
OPTIONS = Options(service_ms=2.0, cold_ms=0, vm_lag_ms=200, report_lag_ms=0)


@pytest.fixture(scope="module")
def file() -> dict[str, Any]:
    """Operator file that is in force at the start."""
    file = DEPLOYMENTS["pecera"].load_operator_file()
    file["zones"] = [{"name": zone, "state": "in"} for zone in SMALL.zones]
    for service in file["services"]:
        service["policy"] |= {"cold_start_ms": 0}
    return file


@pytest.fixture(scope="module")
def options() -> Options:
    """Options of the site; a module may override them."""
    return OPTIONS


@pytest.fixture(scope="module")
def site(
    tmp_path_factory: pytest.TempPathFactory, file: dict[str, Any], options: Options
) -> Iterator[Site]:
    """Running site with the operator file in force and all daemons ready."""
    with Site(SMALL, tmp_path_factory.mktemp("site"), options) as site:
        site.publish(file)
        site.wait_until_ready()
        yield site


@pytest.fixture
def client(site: Site) -> Client:
    """Client that sends requests of one tenant of the file."""
    return Client(site, "shops")
