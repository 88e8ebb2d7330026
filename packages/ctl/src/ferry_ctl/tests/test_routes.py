"""What people are told of a configuration's routes."""

import json

import attrs
import click.testing
import ferry_proxy as proxy
import pytest

from ferry_ctl import route_analysis
from ferry_ctl import routes

BOUNDED = proxy.Consistency.BOUNDED
ORDERS = proxy.Route(
    "r-orders", "orders", "registry", proxy.Consistency.PRIMARY, 1.0, 0.2, 1
)
LOOKUP = proxy.Route(
    "r-lookup", "lookup", "registry", BOUNDED, 3.0, 0.8, 2, 1.5
)
REGISTRY = proxy.Service("registry", 117, 1)
BOOK = route_analysis.Book(7, (ORDERS, LOOKUP), (REGISTRY,), 3.0)
MANY = 10_000


def more(*extra: proxy.Route, **changed) -> route_analysis.Book:
    book = attrs.evolve(BOOK, routes=(*BOOK.routes, *extra))
    return attrs.evolve(book, **changed)


def like(route: proxy.Route, **changed) -> proxy.Route:
    fields = {"name": f"r-{len(changed)}", "database": "other", **changed}
    return attrs.evolve(route, **fields)


@pytest.mark.parametrize(
    ("book", "expected"),
    [
        (BOOK, []),
        (more(like(ORDERS, service="gone")), ["no service is named 'gone'"]),
        (
            more(like(ORDERS, database="orders")),
            ["one of 2 for its database"] * 2,
        ),
        (more(like(ORDERS, name="r-orders")), ["one of 2 of its name"] * 2),
        (more(like(ORDERS, timeout_s=0.0)), ["its time limit is zero"]),
        (more(like(ORDERS, timeout_s=0.1)), ["shorter than its target"]),
        (more(like(LOOKUP, max_staleness_s=0.0)), ["its staleness is zero"]),
        (
            more(services=(REGISTRY, proxy.Service("idle", 5, 0))),
            ["service idle: no route leads to it"],
        ),
        (more(mistakes=("route 3: type is 'x'",)), ["route 3: type is 'x'"]),
    ],
)
def test_a_check_names_each_mistake(book, expected):
    found = list(route_analysis.problems(book))
    assert len(found) == len(expected)
    assert all(e in f for e, f in zip(expected, found, strict=True))


def test_routes_that_differ_in_a_name_alone_are_folded():
    extra = [like(LOOKUP, database=f"d{n}") for n in range(1400)]
    folds = route_analysis.fold((*BOOK.routes, *extra))
    assert [len(f.databases) for f in folds] == [1401, 1]
    assert folds[0].databases[:2] == ("lookup", "d0")


def test_of_several_routes_for_a_database_the_last_counts():
    later = like(LOOKUP, database="orders")
    choice = route_analysis.choose(more(later), "orders")
    assert choice == route_analysis.Choice(later, (ORDERS,), REGISTRY)


@pytest.mark.parametrize(
    ("database", "similar"), [("ordres", ("orders",)), ("zzz", ())]
)
def test_a_database_without_a_route_shows_similar_ones(database, similar):
    choice = route_analysis.choose(BOOK, database)
    assert choice == route_analysis.Choice(None, similar=similar)


def test_a_new_configuration_is_compared_by_database():
    after = attrs.evolve(
        BOOK,
        routes=(attrs.evolve(ORDERS, timeout_s=2.0), like(ORDERS)),
    )
    found = route_analysis.changes(BOOK, after)
    routes_of = [c.after or c.before for c in found]
    told = [
        (c.kind, r.database if r else "", c.fields)
        for c, r in zip(found, routes_of, strict=True)
    ]
    assert told == [
        ("lost", "lookup", ()),
        ("altered", "orders", ("timeout_s",)),
        ("gained", "other", ()),
    ]
    assert route_analysis.changes(BOOK, BOOK) == []


def read(value: bytes) -> route_analysis.Book:
    """Reads a document of the test's own: how many lookups, and a version."""
    try:
        raw = json.loads(value)
    except ValueError as exc:
        raise proxy.InvalidItemError("no JSON") from exc
    extra = [
        like(LOOKUP, name=f"r{n}", database=f"d{n}")
        for n in range(raw["lookups"])
    ]
    return more(*extra, version=raw["version"])


@pytest.fixture
def run(tmp_path):
    def write(name: str, text: str) -> str:
        path = tmp_path / name
        path.write_text(text)
        return str(path)

    files = {
        "small": write("small", '{"version": 7, "lookups": 2}'),
        "large": write("large", json.dumps({"version": 8, "lookups": MANY})),
        "broken": write("broken", "{"),
    }

    def invoke(*words: str) -> click.testing.Result:
        args = [files.get(w, w) for w in words]
        return click.testing.CliRunner().invoke(routes.group(read), args)

    return invoke


@pytest.mark.parametrize(
    ("words", "code", "shown"),
    [
        (["list", "small"], 0, "lookup, d0, d1"),
        (["list", "small", "--kind", "primary"], 0, "orders"),
        (["list", "small", "--database", "d1"], 0, "     1 registry"),
        (["which", "small", "orders"], 0, "takes route r-orders, version 7"),
        (["which", "small", "lookup"], 0, "reads may be 1.5 s old"),
        (["which", "small", "ordres"], 1, "similar: orders"),
        (["check", "small"], 0, "nothing is wrong"),
        (["diff", "small", "small"], 0, "the same routes"),
        (["diff", "small", "large"], 1, "gained   d999"),
        (["check", "broken"], 1, "no JSON"),
        (["list", "nowhere"], 2, "does not exist"),
    ],
)
def test_the_commands_answer_people(run, words, code, shown):
    result = run(*words)
    assert result.exit_code == code
    assert shown in result.output


@pytest.mark.parametrize(
    ("words", "expected"),
    [
        (["list", "small"], 2),
        (["which", "small", "orders"], 4),
        (["check", "small"], 0),
        (["diff", "small", "large"], MANY - 2),
    ],
)
def test_the_commands_answer_programs(run, words, expected):
    assert len(json.loads(run(*words, "--json").output)) == expected


def test_ten_thousand_routes_are_one_page(run):
    """11 lines at most, where the document has 10,002 routes."""
    assert len(run("list", "large").output.splitlines()) < 11
