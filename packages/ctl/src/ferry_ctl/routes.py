"""`routes`: what the operators' configuration says, and what it lacks.

Works on a document that lies in a file; how it is read is the adapter's.
Exit codes: 0, and 1 where a database has no route, a check finds something or
two documents differ.
"""

from collections.abc import Callable
from collections.abc import Iterator
import json
import pathlib
import typing

import attrs
import click
import ferry_proxy as proxy

from ferry_ctl import route_analysis

Reader = Callable[[bytes], route_analysis.Book]
FOUND = 1  # Exit code: something is missing, wrong or different.
SHOWN_NAMES = 3  # Databases of a fold that its line names.
MS_PER_S = 1000.0

_DOCUMENT = click.Path(exists=True, dir_okay=False)
_as_json = click.option("--json", "as_json", is_flag=True, help="For programs.")


def group(read: Reader) -> click.Group:
    """Returns the commands for one kind of document.

    Args:
        read: Reads a document. It raises `proxy.InvalidItemError` where the
            bytes are no document at all.
    """

    @click.group()
    def routes() -> None:
        """Reads a configuration: its routes, and what is wrong with them."""

    @routes.command("list")
    @click.argument("file", type=_DOCUMENT)
    @click.option("--database", default="", help="Only names that hold this.")
    @click.option("--service", default="", help="Only this service.")
    @click.option("--kind", default="", help="Only this consistency.")
    @_as_json
    def list_routes(
        file: str, database: str, service: str, kind: str, as_json: bool
    ) -> None:
        """Lists routes; those that differ in a name alone are one line."""
        book = _load(read, file)
        chosen = tuple(
            r
            for r in book.routes
            if database in r.database
            and service in ("", r.service)
            and kind in ("", r.consistency.value)
        )
        folds = route_analysis.fold(chosen)
        _show([attrs.asdict(f) for f in folds], _table(folds), as_json)

    @routes.command()
    @click.argument("file", type=_DOCUMENT)
    @click.argument("database")
    @_as_json
    def which(file: str, database: str, as_json: bool) -> None:
        """Tells which route the callers of a database get, and why."""
        book = _load(read, file)
        choice = route_analysis.choose(book, database)
        _show(_plain(choice), _explained(book, database, choice), as_json)
        _end(choice.route is None)

    @routes.command()
    @click.argument("file", type=_DOCUMENT)
    @_as_json
    def check(file: str, as_json: bool) -> None:
        """Names everything that is wrong, each with its place."""
        found = list(route_analysis.problems(_load(read, file)))
        _show(found, iter(found or ["nothing is wrong"]), as_json)
        _end(bool(found))

    @routes.command()
    @click.argument("before", type=_DOCUMENT)
    @click.argument("after", type=_DOCUMENT)
    @_as_json
    def diff(before: str, after: str, as_json: bool) -> None:
        """Tells which databases get another route, and what differs."""
        found = route_analysis.changes(_load(read, before), _load(read, after))
        rows = [{"kind": c.kind, **_plain(c)} for c in found]
        _show(rows, _differences(found), as_json)
        _end(bool(found))

    return routes


def _load(read: Reader, path: str) -> route_analysis.Book:
    try:
        return read(pathlib.Path(path).read_bytes())
    except proxy.InvalidItemError as exc:
        raise click.ClickException(f"{path}: {exc}") from exc


def _show(raw: object, lines: Iterator[str], as_json: bool) -> None:
    if as_json:
        click.echo(json.dumps(raw))
        return
    for line in lines:
        click.echo(line)


def _end(found: bool) -> None:
    if found:
        raise SystemExit(FOUND)


def _plain(value: attrs.AttrsInstance) -> dict[str, typing.Any]:
    """Returns a value for JSON; a consistency is its word."""

    def serialize(_: object, __: object, field: typing.Any) -> typing.Any:
        if isinstance(field, proxy.Consistency):
            return field.value
        return field

    return attrs.asdict(value, value_serializer=serialize)


def _table(folds: list[route_analysis.Fold]) -> Iterator[str]:
    yield (
        f"{'routes':>6} {'service':<20} {'kind':<8} {'prio':>4} "
        f"{'limit ms':>8} {'target ms':>9} {'stale ms':>8}  databases"
    )
    for found in folds:
        terms = found.terms
        names = ", ".join(found.databases[:SHOWN_NAMES])
        more = len(found.databases) - SHOWN_NAMES
        yield (
            f"{len(found.databases):6} {terms.service:<20} "
            f"{terms.consistency:<8} {terms.priority:4} "
            f"{terms.timeout_s * MS_PER_S:8.0f} "
            f"{terms.target_s * MS_PER_S:9.0f} "
            f"{terms.max_staleness_s * MS_PER_S:8.0f}  {names}"
            + (f" and {more} more" if more > 0 else "")
        )


def _explained(
    book: route_analysis.Book, database: str, choice: route_analysis.Choice
) -> Iterator[str]:
    route = choice.route
    if route is None:
        yield f"no route for {database} in version {book.version}"
        if choice.similar:
            yield f"similar: {', '.join(choice.similar)}"
        return
    yield f"{database} takes route {route.name}, version {book.version}"
    yield f"service {route.service}, reads {route.consistency.value}"
    yield (
        f"a statement may take {route.timeout_s:g} s, an operation aims at "
        f"{route.target_s:g} s, priority {route.priority}"
    )
    if route.max_staleness_s:
        yield f"reads may be {route.max_staleness_s:g} s old"
    if choice.service is None:
        yield f"the configuration has no service {route.service}: it is refused"
    else:
        yield (
            f"each member takes {choice.service.max_connections} connections, "
            f"{choice.service.sync_replicas} replicas receive a commit first"
        )
    for other in choice.passed_over:
        yield f"passed over: route {other.name}, an earlier one in the document"


def _differences(found: list[route_analysis.Change]) -> Iterator[str]:
    for change in found:
        route = change.after or change.before
        assert route is not None
        details = []
        for name in change.fields:
            old, new = getattr(change.before, name), getattr(change.after, name)
            details.append(f"{name} {_word(old)} -> {_word(new)}")
        yield f"{change.kind:<8} {route.database} {', '.join(details)}".rstrip()
    if not found:
        yield "the same routes"


def _word(value: object) -> str:
    return value.value if isinstance(value, proxy.Consistency) else str(value)
