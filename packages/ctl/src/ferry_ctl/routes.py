"""`routes`: shows, checks and compares the routes of configurations.

The commands read a document from a file, and the adapter supplies its parser.
The exit code is 1 if a database has no route, a check finds a mistake or two
documents differ, and 0 otherwise.
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

Reader = Callable[[bytes], route_analysis.Draft]

# Exit code if something is missing, wrong or different.
EXIT_FINDINGS = 1

# Number of databases that the line of a group names.
MAX_NAMES_SHOWN = 3

MS_PER_S = 1000.0

_DOCUMENT = click.Path(exists=True, dir_okay=False)
_as_json = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


def group(read: Reader) -> click.Group:
    """Returns the commands for one document format.

    Args:
        read: Parses a document. It raises `proxy.InvalidItemError` if the bytes
            are not a valid document.
    """

    @click.group()
    def routes() -> None:
        """Shows and checks the routes of a configuration."""

    @routes.command("list")
    @click.argument("file", type=_DOCUMENT)
    @click.option(
        "--database",
        default="",
        help="Only databases whose name contains this.",
    )
    @click.option("--service", default="", help="Only this service.")
    @click.option("--kind", default="", help="Only this consistency.")
    @_as_json
    def list_routes(
        file: str, database: str, service: str, kind: str, as_json: bool
    ) -> None:
        """Lists routes; those that differ only in their names share a line."""
        draft = _load(read, file)
        chosen = tuple(
            r
            for r in draft.routes
            if database in r.database
            and service in ("", r.service)
            and kind in ("", r.consistency.value)
        )
        groups = route_analysis.group_routes(chosen)
        _show([attrs.asdict(f) for f in groups], _table(groups), as_json)

    @routes.command()
    @click.argument("file", type=_DOCUMENT)
    @click.argument("database")
    @_as_json
    def which(file: str, database: str, as_json: bool) -> None:
        """Shows which route applies to a database, and why."""
        draft = _load(read, file)
        choice = route_analysis.find_route(draft, database)
        _show(_to_json(choice), _explanation(draft, database, choice), as_json)
        _exit_on(choice.route is None)

    @routes.command()
    @click.argument("file", type=_DOCUMENT)
    @_as_json
    def check(file: str, as_json: bool) -> None:
        """Lists all mistakes, each with its location."""
        found = list(route_analysis.problems(_load(read, file)))
        _show(found, iter(found or ["nothing is wrong"]), as_json)
        _exit_on(bool(found))

    @routes.command()
    @click.argument("before", type=_DOCUMENT)
    @click.argument("after", type=_DOCUMENT)
    @_as_json
    def diff(before: str, after: str, as_json: bool) -> None:
        """Shows which databases get another route, and what differs."""
        found = route_analysis.changes(_load(read, before), _load(read, after))
        rows = [{"kind": c.kind, **_to_json(c)} for c in found]
        _show(rows, _differences(found), as_json)
        _exit_on(bool(found))

    return routes


def _load(read: Reader, path: str) -> route_analysis.Draft:
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


def _exit_on(found: bool) -> None:
    if found:
        raise SystemExit(EXIT_FINDINGS)


def _to_json(value: attrs.AttrsInstance) -> dict[str, typing.Any]:
    """Returns a value for JSON, with each consistency as its name."""

    def serialize(_: object, __: object, field: typing.Any) -> typing.Any:
        if isinstance(field, proxy.Consistency):
            return field.value
        return field

    return attrs.asdict(value, value_serializer=serialize)


def _table(groups: list[route_analysis.RouteGroup]) -> Iterator[str]:
    yield (
        f"{'routes':>6} {'service':<20} {'kind':<8} {'prio':>4} "
        f"{'limit ms':>8} {'target ms':>9} {'stale ms':>8}  databases"
    )
    for found in groups:
        terms = found.terms
        names = ", ".join(found.databases[:MAX_NAMES_SHOWN])
        more = len(found.databases) - MAX_NAMES_SHOWN
        yield (
            f"{len(found.databases):6} {terms.service:<20} "
            f"{terms.consistency:<8} {terms.priority:4} "
            f"{terms.timeout_s * MS_PER_S:8.0f} "
            f"{terms.target_s * MS_PER_S:9.0f} "
            f"{terms.max_staleness_s * MS_PER_S:8.0f}  {names}"
            + (f" and {more} more" if more > 0 else "")
        )


def _explanation(
    draft: route_analysis.Draft,
    database: str,
    choice: route_analysis.RouteChoice,
) -> Iterator[str]:
    route = choice.route
    if route is None:
        yield f"no route for {database} in version {draft.version}"
        if choice.similar:
            yield f"similar: {', '.join(choice.similar)}"
        return
    yield f"{database} takes route {route.name}, version {draft.version}"
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
            details.append(
                f"{name} {_format_value(old)} -> {_format_value(new)}"
            )
        yield f"{change.kind:<8} {route.database} {', '.join(details)}".rstrip()
    if not found:
        yield "the same routes"


def _format_value(value: object) -> str:
    return value.value if isinstance(value, proxy.Consistency) else str(value)
