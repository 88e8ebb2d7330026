"""Pure functions that summarise and check the routes of a configuration.

They serve operators whose configurations are too long to read: thousands of
routes, most of which differ only in their names. A database is mapped to its
route by the proxy's own rule: if several routes name the same database, the
last one in the document applies.
"""

import collections
from collections.abc import Iterator
import difflib

import attrs
import ferry_proxy as proxy

Draft = proxy.ConfigurationDraft

# Similar names that are suggested for a database without a route.
MAX_SIMILAR_NAMES = 3


@attrs.frozen(slots=True)
class RouteTerms:
    """All settings of a route except its own and its database's name."""

    service: str
    consistency: str
    priority: int
    timeout_s: float
    target_s: float
    max_staleness_s: float

    @classmethod
    def of(cls, route: proxy.Route) -> "RouteTerms":
        """Returns the terms of a route."""
        return cls(
            route.service,
            route.consistency.value,
            route.priority,
            route.timeout_s,
            route.target_s,
            route.max_staleness_s,
        )


@attrs.frozen(slots=True)
class RouteGroup:
    """Routes that differ only in their names.

    Attributes:
        terms: The settings that they share.
        databases: Their databases, in the order of the document.
    """

    terms: RouteTerms
    databases: tuple[str, ...]


@attrs.frozen(slots=True)
class RouteChoice:
    """The route that applies to a database.

    Attributes:
        route: The route; None if there is none.
        passed_over: Earlier routes for the same database, which do not apply.
        service: The route's service; None if the configuration lacks it.
        similar: Databases with a similar name, if there is no route.
    """

    route: proxy.Route | None
    passed_over: tuple[proxy.Route, ...] = ()
    service: proxy.Service | None = None
    similar: tuple[str, ...] = ()


@attrs.frozen(slots=True)
class Change:
    """A difference between two configurations in one database's route.

    Attributes:
        before: The route in the old configuration; None if there is none.
        after: The route in the new configuration; None if there is none.
    """

    before: proxy.Route | None
    after: proxy.Route | None

    @property
    def kind(self) -> str:
        """Kind of the change: "gained", "lost" or "altered"."""
        if self.before is None:
            return "gained"
        return "lost" if self.after is None else "altered"

    @property
    def fields(self) -> tuple[str, ...]:
        """Names of the fields that differ; empty if a route is missing."""
        before, after = self.before, self.after
        if before is None or after is None:
            return ()
        names = (f.name for f in attrs.fields(proxy.Route))
        return tuple(
            n for n in names if getattr(before, n) != getattr(after, n)
        )


def group_routes(routes: tuple[proxy.Route, ...]) -> list[RouteGroup]:
    """Groups routes with equal terms; returns the largest groups first."""
    found: dict[RouteTerms, list[str]] = {}
    for route in routes:
        found.setdefault(RouteTerms.of(route), []).append(route.database)
    groups = [RouteGroup(terms, tuple(names)) for terms, names in found.items()]
    return sorted(groups, key=lambda f: -len(f.databases))


def find_route(draft: Draft, database: str) -> RouteChoice:
    """Returns the route that applies to a database, with its context."""
    matching = [r for r in draft.routes if r.database == database]
    if not matching:
        names = sorted({r.database for r in draft.routes})
        close_names = difflib.get_close_matches(
            database, names, MAX_SIMILAR_NAMES
        )
        return RouteChoice(None, similar=tuple(close_names))
    *passed_over, route = matching
    services = {s.name: s for s in draft.services}
    return RouteChoice(route, tuple(passed_over), services.get(route.service))


def problems(draft: Draft) -> Iterator[str]:
    """Yields all actual and likely mistakes, each with its location."""
    yield from draft.mistakes
    services = {s.name for s in draft.services}
    counts = collections.Counter(r.database for r in draft.routes)
    names = collections.Counter(r.name for r in draft.routes)
    for number, route in enumerate(draft.routes):
        place = f"route {number} ({route.name}, database {route.database})"
        if route.service not in services:
            yield f"{place}: no service is named {route.service!r}"
        if counts[route.database] > 1:
            yield f"{place}: one of {counts[route.database]} for its database"
        if names[route.name] > 1:
            yield f"{place}: one of {names[route.name]} of its name"
        yield from (f"{place}: {words}" for words in _time_problems(route))
    used = {r.service for r in draft.routes}
    for service in draft.services:
        if service.name not in used:
            yield f"service {service.name}: no route leads to it"


def _time_problems(route: proxy.Route) -> Iterator[str]:
    """Yields the mistakes in a route's time limits."""
    if route.timeout_s <= 0:
        yield "its time limit is zero: every statement fails"
    elif route.timeout_s < route.target_s:
        yield (
            f"its time limit of {route.timeout_s:g} s is shorter than its "
            f"target of {route.target_s:g} s"
        )
    is_bounded = route.consistency is proxy.Consistency.BOUNDED
    if is_bounded and route.max_staleness_s <= 0:
        yield "no replica is ever fresh enough: its staleness is zero"


def changes(before: Draft, after: Draft) -> list[Change]:
    """Returns the changes between two configurations, sorted by database."""
    old = {r.database: r for r in before.routes}
    new = {r.database: r for r in after.routes}
    databases = sorted(old.keys() | new.keys())
    return [
        Change(old.get(name), new.get(name))
        for name in databases
        if old.get(name) != new.get(name)
    ]
