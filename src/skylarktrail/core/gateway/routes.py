"""Looks up routes and deals requests to the parts of a split."""

from __future__ import annotations

from .model import Route, SiteConfig


class RouteTable:
    """Routes of one configuration by host and longest path prefix."""

    def __init__(self, config: SiteConfig) -> None:
        self.config = config
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in config.routes:
            self._hosts.setdefault(route.host, {})[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path."""
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
    """Deals requests to the parts of a route in proportion to their weights.

    Each item earns its weight per request and the richest one pays for it, so shares
    are exact over any few requests.
    """

    def __init__(self) -> None:
        self._credits: dict[tuple[str, tuple], list[float]] = {}

    def choose(self, route: Route, random_fraction: float = 0.5) -> str:
        """Returns the service that gets the next request of the route.

        Args:
            random_fraction: Random number below 1, so that daemons do not move in step.
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
        """Forgets routes that are gone or whose weights changed."""
        known = {(route.name, route.weighted_services) for route in routes}
        self._credits = {k: v for k, v in self._credits.items() if k in known}
