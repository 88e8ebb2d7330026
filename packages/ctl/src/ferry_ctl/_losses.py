"""`losses`: shows from logs when and why requests were not served.

Each row covers one time window. It shows how many requests ran, how many did
not, by reason, and how many log lines were omitted, which tells how complete
the row is. The logs of many nodes are read together.
"""

import collections
from collections.abc import Iterator

import attrs
import click

from ferry_ctl import _explain

RAN = "ran"
DONE_EVENT = "RequestDone"  # The entry node writes one per request.
BAR_WIDTH = 40  # Length of the longest bar, in characters.
STATE_CHANGE_EVENTS = frozenset(
    {"PromotionStep", "Ready", "DependencyLost", "NodeStarted"}
)


@attrs.define
class Window:
    """Counts of the events in one time window.

    Attributes:
        at: Start of the window, in seconds since the first line.
        ran: Number of requests that ran, according to the lines present.
        reasons: Number of requests that did not run, by reason.
        left_out: Number of lines that nodes omitted to stay within their
            logging budget.
        changes: Number of state changes of nodes, by event.
    """

    at: float
    ran: int = 0
    reasons: collections.Counter[str] = attrs.field(factory=collections.Counter)
    left_out: int = 0
    changes: collections.Counter[str] = attrs.field(factory=collections.Counter)

    @property
    def lost(self) -> int:
        """Number of requests that did not run."""
        return sum(self.reasons.values())

    def add(self, line: _explain.Line) -> None:
        """Adds a line to the counts."""
        if line.event == DONE_EVENT:
            outcome = str(line.fields["outcome"])
            if outcome == RAN:
                self.ran += 1
            else:
                self.reasons[outcome] += 1
        elif line.event == _explain.OMITTED_LINES_EVENT:
            self.left_out += sum(int(v) for v in line.fields.values())
        elif line.event in STATE_CHANGE_EVENTS:
            self.changes[line.event] += 1


def windows(lines: list[_explain.Line], step_s: float) -> list[Window]:
    """Returns the non-empty time windows of logs, ordered by time.

    Args:
        lines: All lines, ordered by time.
        step_s: Length of a window, in seconds.
    """
    found: dict[int, Window] = {}
    for line in lines:
        number = int((line.at - lines[0].at) / step_s)
        window = found.setdefault(number, Window(number * step_s))
        window.add(line)
    return [found[n] for n in sorted(found)]


def report(found: list[Window]) -> Iterator[str]:
    """Yields a table whose bars show the losses in each window."""
    max_lost = max((w.lost for w in found), default=0)
    yield f"{'from s':>7} {'ran':>5} {'lost':>5} {'left out':>8}"
    for window in found:
        bar = (
            "#" * round(BAR_WIDTH * window.lost / max_lost) if max_lost else ""
        )
        words = [f"{k}={v}" for k, v in window.reasons.most_common()]
        words += [f"[{k} {v}]" for k, v in sorted(window.changes.items())]
        counts = f"{window.ran:5} {window.lost:5} {window.left_out:8}"
        yield f"{window.at:7.1f} {counts} {bar} {' '.join(words)}".rstrip()


def losses_by_node(lines: list[_explain.Line]) -> Iterator[str]:
    """Yields the number of losses by node, reason and kind of request."""
    sums: collections.Counter[tuple[str, str, str]] = collections.Counter()
    for line in lines:
        if line.event == DONE_EVENT and line.fields["outcome"] != RAN:
            outcome, kind = line.fields["outcome"], line.fields["kind"]
            sums[(line.node, str(outcome), str(kind))] += 1
    for (node, outcome, kind), count in sums.most_common():
        yield f"{count:5} {node} {outcome} {kind}"


@click.command()
@click.option("--step", default=2.0, help="Length of a window, in seconds.")
@click.option(
    "--since", default=0.0, help="Ignore lines before this time, in seconds."
)
@click.option(
    "--until",
    default=float("inf"),
    help="Ignore lines from this time on, in seconds.",
)
@click.argument("files", nargs=-1, required=True)
def losses(
    step: float, since: float, until: float, files: tuple[str, ...]
) -> None:
    """Shows when and why requests were not served.

    FILES are the nodes' logs, in any order; times count from the first line.
    """
    if step <= 0:
        raise click.BadParameter("a window must be longer than 0 s")
    lines = _explain.read(files)
    origin = lines[0].at if lines else 0.0
    lines = [x for x in lines if since <= x.at - origin < until]
    if not lines:
        raise click.ClickException("no line of these logs is in that time")
    for text in (*report(windows(lines, step)), "", *losses_by_node(lines)):
        click.echo(text)
