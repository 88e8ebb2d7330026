"""What a configuration's routes say, for people: pure functions.

Answers configurations that have outgrown reading: thousands of routes, most
of which differ in a name alone. The rule by which a caller's database gets
its route is the proxy's own: its routes are kept by database, and of several
for one database the last in the document counts.
"""

import collections
from collections.abc import Iterator
import difflib

import attrs
import ferry_proxy as proxy

Book = proxy.ConfigurationDraft
SIMILAR = 3  # Names that are shown where one is not found.


@attrs.frozen(slots=True)
class Terms:
    """All that a route says but for its names: routes alike share them."""

    service: str
    consistency: str
    priority: int
    timeout_s: float
    target_s: float
    max_staleness_s: float

    @classmethod
    def of(cls, route: proxy.Route) -> "Terms":
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
class Fold:
    """Routes that differ in their names alone.

    Attributes:
        terms: What they share.
        databases: Their databases, in the document's order.
    """

    terms: Terms
    databases: tuple[str, ...]


@attrs.frozen(slots=True)
class Choice:
    """The route that a database gets.

    Attributes:
        route: The route; None where there is none.
        passed_over: Others for the same database: the last one counts.
        service: Its group; None where the configuration lacks it.
        similar: Databases of a similar name, where there is no route.
    """

    route: proxy.Route | None
    passed_over: tuple[proxy.Route, ...] = ()
    service: proxy.Service | None = None
    similar: tuple[str, ...] = ()


@attrs.frozen(slots=True)
class Change:
    """A database whose route is another one.

    Attributes:
        before: Its route before; None for none.
        after: Its route now; None for none.
    """

    before: proxy.Route | None
    after: proxy.Route | None

    @property
    def kind(self) -> str:
        """What became of it, in one word."""
        if self.before is None:
            return "gained"
        return "lost" if self.after is None else "altered"

    @property
    def fields(self) -> tuple[str, ...]:
        """The names of the fields that differ, of an altered one."""
        before, after = self.before, self.after
        if before is None or after is None:
            return ()
        names = (f.name for f in attrs.fields(proxy.Route))
        return tuple(
            n for n in names if getattr(before, n) != getattr(after, n)
        )


def fold(routes: tuple[proxy.Route, ...]) -> list[Fold]:
    """Returns routes by their terms, the largest folds first."""
    found: dict[Terms, list[str]] = {}
    for route in routes:
        found.setdefault(Terms.of(route), []).append(route.database)
    folds = [Fold(terms, tuple(names)) for terms, names in found.items()]
    return sorted(folds, key=lambda f: -len(f.databases))


def choose(book: Book, database: str) -> Choice:
    """Returns the route that callers of a database get, and why."""
    fitting = [r for r in book.routes if r.database == database]
    if not fitting:
        names = sorted({r.database for r in book.routes})
        close = difflib.get_close_matches(database, names, SIMILAR)
        return Choice(None, similar=tuple(close))
    *passed_over, route = fitting
    services = {s.name: s for s in book.services}
    return Choice(route, tuple(passed_over), services.get(route.service))


def problems(book: Book) -> Iterator[str]:
    """Yields everything that is wrong, or likely to be, each with its place."""
    yield from book.mistakes
    services = {s.name for s in book.services}
    counts = collections.Counter(r.database for r in book.routes)
    names = collections.Counter(r.name for r in book.routes)
    for number, route in enumerate(book.routes):
        place = f"route {number} ({route.name}, database {route.database})"
        if route.service not in services:
            yield f"{place}: no service is named {route.service!r}"
        if counts[route.database] > 1:
            yield f"{place}: one of {counts[route.database]} for its database"
        if names[route.name] > 1:
            yield f"{place}: one of {names[route.name]} of its name"
        yield from (f"{place}: {words}" for words in _limits(route))
    used = {r.service for r in book.routes}
    for service in book.services:
        if service.name not in used:
            yield f"service {service.name}: no route leads to it"


def _limits(route: proxy.Route) -> Iterator[str]:
    """Yields what is wrong with a route's times."""
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


def changes(before: Book, after: Book) -> list[Change]:
    """Returns what a new configuration changes, by database."""
    old = {r.database: r for r in before.routes}
    new = {r.database: r for r in after.routes}
    databases = sorted(old.keys() | new.keys())
    return [
        Change(old.get(name), new.get(name))
        for name in databases
        if old.get(name) != new.get(name)
    ]
