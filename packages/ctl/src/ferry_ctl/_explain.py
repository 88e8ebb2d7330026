"""`explain`: merges the logs of many nodes into one timeline.

The timeline is that of a request, selected by its id, or of a service and its
changes of primary. Each log line holds one JSON object, which a log collector
may have prefixed with text.
"""

from collections.abc import Iterator
import json
import pathlib
import typing

import attrs
import click

# Written by the entry node and by the serving node, respectively.
REQUEST_EVENTS = frozenset({"RequestDone", "RequestServed"})

OMITTED_LINES_EVENT = "LinesLeftOut"

# Events that are shown with a request, from this long before it began.
CONTEXT_BEFORE_S = 2.0
CONTEXT_EVENTS = frozenset(
    {
        "LeaderFound",
        "LeaderLost",
        "PrimarySuspected",
        "PromotionStep",
        "MemberChanged",
        "DependencyLost",
        "DependencyBack",
        "ConfigurationTaken",
        "StoreRestored",
        "NodeStarted",
        "NodeStopping",
        "Ready",
    }
)

# Fields of every line; all others belong to the event.
HEADER_FIELDS = frozenset({"at", "node", "event"})


@attrs.frozen(slots=True)
class Line:
    """An event of a log.

    Attributes:
        at: Wall-clock time, in seconds.
        node: Name of the node that wrote the line.
        event: Type of the event.
        fields: All other fields of the line.
    """

    at: float
    node: str
    event: str
    fields: dict[str, typing.Any]

    def format(self, origin: float) -> str:
        """Returns the line as text, with its time relative to `origin`."""
        words = " ".join(f"{k}={v}" for k, v in self.fields.items())
        offset = self.at - origin
        return f"{offset:+9.4f}  {self.node:<28} {self.event:<18} {words}"


def parse(text: str) -> Line | None:
    """Parses a line; returns None if it holds no event."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        raw = json.loads(text[start:])
        fields = {k: v for k, v in raw.items() if k not in HEADER_FIELDS}
        return Line(float(raw["at"]), raw["node"], raw["event"], fields)
    except (ValueError, KeyError, TypeError):
        return None


def read(paths: tuple[str, ...]) -> list[Line]:
    """Returns all events of the files, ordered by time."""
    lines: list[Line] = []
    for path in paths:
        text = pathlib.Path(path).read_text(encoding="utf-8", errors="replace")
        lines += [p for p in map(parse, text.splitlines()) if p is not None]
    return sorted(lines, key=lambda line: line.at)


def timeline(lines: list[Line], name: str) -> Iterator[str]:
    """Yields the timeline of a request, by its id, or of a service."""
    requests = [
        x
        for x in lines
        if x.event in REQUEST_EVENTS and x.fields.get("request") == name
    ]
    if requests:
        yield from _request_timeline(lines, requests)
        return
    changes = [x for x in lines if x.fields.get("service") == name]
    if changes:
        yield from (x.format(changes[0].at) for x in changes)
        return
    yield f"no line names {name}"
    yield from _omitted_lines(lines)


def _request_timeline(lines: list[Line], requests: list[Line]) -> Iterator[str]:
    origin = requests[0].at
    first = origin - float(requests[0].fields["elapsed_s"]) - CONTEXT_BEFORE_S
    nodes = {x.node for x in requests}
    member = requests[0].fields["member"] or requests[0].fields["detail"]
    for line in lines:
        if not first <= line.at <= requests[-1].at:
            continue
        is_related = line.node in nodes or member in line.fields.values()
        if line in requests or (line.event in CONTEXT_EVENTS and is_related):
            yield line.format(origin)
    yield from _omitted_lines([x for x in lines if x.node in nodes])


def _omitted_lines(lines: list[Line]) -> Iterator[str]:
    """Yields a note on how many lines the nodes omitted, if any."""
    omitted = [x.fields for x in lines if x.event == OMITTED_LINES_EVENT]
    if omitted:
        kinds = ("requests", "failures", "blocked")
        sums = {k: sum(f.get(k, 0) for f in omitted) for k in kinds}
        words = ", ".join(f"{v} {k}" for k, v in sums.items())
        yield f"lines left out by these nodes: {words}"


@click.command()
@click.argument("name")
@click.argument("files", nargs=-1, required=True)
def explain(name: str, files: tuple[str, ...]) -> None:
    """Shows the timeline of a request (by id) or of a service's primary.

    FILES are the nodes' logs, in any order.
    """
    for line in timeline(read(files), name):
        click.echo(line)
