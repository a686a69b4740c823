"""Looks up routes and distributes requests over the services of a split."""

from __future__ import annotations

from .model import Route, SiteConfig


class RouteTable:
    """Finds routes of one configuration by host and longest path prefix."""

    def __init__(self, config: SiteConfig) -> None:
        self.config = config
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in config.routes:
            self._hosts.setdefault(route.host, {})[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route of a host with the longest matching path prefix, if any."""
        routes = self._hosts.get(host.partition(":")[0].lower())
        if not routes:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None


class Splitter:
    """Distributes the requests of a route by smooth weighted round robin.

    Each service gains credit by its weight with every request, and the one with the
    most credit gets the request and pays the sum of the weights. The shares therefore
    hold even over few requests.
    """

    def __init__(self) -> None:
        self._credits: dict[tuple[str, tuple], list[float]] = {}

    def choose(self, route: Route, random_fraction: float = 0.5) -> str:
        """Returns the service that gets the next request of the route.

        Args:
            random_fraction: Random number in [0, 1) for the initial credits, so that
                the daemons do not choose the same services in step.
        """
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        total = sum(item.weight for item in route.weighted_services)
        key = (route.name, route.weighted_services)
        credits = self._credits.get(key)
        if credits is None:
            credits = [
                (random_fraction - 0.5) * item.weight
                for item in route.weighted_services
            ]
            self._credits[key] = credits
        for index, item in enumerate(route.weighted_services):
            credits[index] += item.weight
        best = max(range(len(credits)), key=credits.__getitem__)
        credits[best] -= total
        return route.weighted_services[best].service

    def keep_only(self, routes: tuple[Route, ...]) -> None:
        """Discards the credits of routes that were removed or whose weights changed."""
        known = {(route.name, route.weighted_services) for route in routes}
        self._credits = {k: v for k, v in self._credits.items() if k in known}
