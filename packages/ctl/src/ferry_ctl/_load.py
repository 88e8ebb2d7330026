"""`load`: shows where statements run and wait, and who was refused.

The pages of several nodes are read together: each row is one node's part of
the load of one member.
"""

from collections.abc import Iterator
import json

import attrs
import click

from ferry_ctl import metrics_pages

MS_PER_S = 1000.0

MEMBER_PREFIX = "member_"
REFUSALS = "refusals_total"
FEATURE = "feature_on"

# The columns of a member's row: a metric, its heading and its factor.
COLUMNS = (
    ("member_running", "running", 1.0),
    ("member_waiting", "waiting", 1.0),
    ("member_share", "share", 1.0),
    ("member_expected_wait_seconds", "wait ms", MS_PER_S),
)


@attrs.frozen(slots=True, order=True)
class MemberLoad:
    """One node's part of the load of a member.

    Attributes:
        group: The member's group.
        member: The member.
        node: The page of the node.
        values: The member's metrics by name.
    """

    group: str
    member: str
    node: str
    values: dict[str, float] = attrs.field(factory=dict, order=False)


@attrs.frozen(slots=True, order=True)
class RefusalCount:
    """How many requests one node refused since its start.

    Attributes:
        node: The page of the node.
        priority: The priority of the requests; 0 is the most urgent.
        reason: Why they were refused.
        count: Their number.
    """

    node: str
    priority: str
    reason: str
    count: int


@attrs.frozen(slots=True)
class Load:
    """The load of a fleet, as some of its nodes see it.

    Attributes:
        members: The load of the members.
        refusals: The refused requests.
        features: The optional features that are on, by node.
    """

    members: tuple[MemberLoad, ...]
    refusals: tuple[RefusalCount, ...]
    features: dict[str, list[str]]


def summarize(pages: list[metrics_pages.Page]) -> Load:
    """Returns the load that the pages show together."""
    return Load(
        tuple(sorted(m for p in pages for m in _members(p))),
        tuple(sorted(r for p in pages for r in _refusals(p))),
        {p.source: sorted(_features(p)) for p in pages},
    )


def _members(page: metrics_pages.Page) -> Iterator[MemberLoad]:
    found: dict[tuple[str, str], MemberLoad] = {}
    for sample in page.samples:
        if not sample.name.startswith(MEMBER_PREFIX):
            continue
        key = sample.labels.get("service", ""), sample.labels.get("member", "")
        load = found.setdefault(key, MemberLoad(*key, page.source))
        load.values[sample.name] = sample.value
    yield from found.values()


def _refusals(page: metrics_pages.Page) -> Iterator[RefusalCount]:
    for sample in page.samples:
        if sample.name == REFUSALS:
            yield RefusalCount(
                page.source,
                sample.labels.get("priority", ""),
                sample.labels.get("reason", ""),
                int(sample.value),
            )


def _features(page: metrics_pages.Page) -> Iterator[str]:
    for sample in page.samples:
        if sample.name == FEATURE and sample.value:
            yield sample.labels.get("feature", "")


def report(load: Load) -> Iterator[str]:
    """Yields a table of the members, and the refusals and features by node."""
    headings = " ".join(f"{heading:>8}" for _, heading, _ in COLUMNS)
    yield f"{'group':16} {'member':20} {headings}  node"
    for row in load.members:
        values = " ".join(
            _cell(row.values.get(name), factor) for name, _, factor in COLUMNS
        )
        yield f"{row.group:16} {row.member:20} {values}  {row.node}"
    yield ""
    yield f"{'refused':>8} {'priority':>8} {'reason':20} node"
    for count in load.refusals:
        yield (
            f"{count.count:8} {count.priority:>8} {count.reason:20} "
            f"{count.node}"
        )
    yield ""
    for node, names in load.features.items():
        yield f"features on at {node}: {', '.join(names) or 'none'}"


def _cell(value: float | None, factor: float) -> str:
    return f"{'-':>8}" if value is None else f"{value * factor:8.0f}"


@click.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.argument("pages", metavar="URL_OR_FILE...", nargs=-1, required=True)
def load(as_json: bool, pages: tuple[str, ...]) -> None:
    """Shows where statements run and wait, and who was refused.

    Each page is the URL of a node's metrics, or a file with a copy of them.
    """
    found = summarize([metrics_pages.read(p) for p in pages])
    if as_json:
        click.echo(json.dumps(attrs.asdict(found)))
        return
    for line in report(found):
        click.echo(line)
