"""Counters and latency histograms, in the Prometheus text format."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import typing

from hdrh import histogram

from ferry_proxy import _statements

# The range of the latency histograms, up to a minute, and their precision.
MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 2

# The most teams with counters of their own. Further teams share a label, which
# cannot be a team's name because of its brackets.
MAX_TEAMS = 100
OTHER_TEAMS = "(others)"

# The most priorities with counters of their own.
MAX_PRIORITIES = 10
OTHER_PRIORITIES = "(others)"

QUANTILES = (50.0, 90.0, 99.0, 99.9)

Labels = tuple[tuple[str, str], ...]
# The labels and the value of each gauge of a family.
Family = Callable[[], Iterable[tuple[dict[str, str], float]]]


class Metrics:
    """The metrics of a node."""

    def __init__(self) -> None:
        self._counters: collections.Counter[tuple[str, Labels]] = (
            collections.Counter()
        )
        self._teams: set[str] = set()
        self._latencies: dict[str, typing.Any] = {}
        self._gauges: list[tuple[str, Callable[[], float], Labels]] = []
        self._families: list[tuple[str, Family]] = []

    def count(self, name: str, **labels: str) -> None:
        """Increments a counter."""
        self._counters[(name, tuple(sorted(labels.items())))] += 1

    def gauge(
        self, name: str, read: Callable[[], float], **labels: str
    ) -> None:
        """Adds a gauge that is read whenever the metrics are rendered."""
        self._gauges.append((name, read, tuple(sorted(labels.items()))))

    def family(self, name: str, read: Family) -> None:
        """Adds gauges whose labels are known only when they are read."""
        self._families.append((name, read))

    def record_refusal(self, reason: str, priority: int) -> None:
        """Records that a request did not run."""
        label = priority_label(priority)
        self.count("refusals_total", reason=reason, priority=label)

    def record_request(
        self,
        route: str,
        kind: _statements.Kind,
        outcome: str,
        elapsed_s: float,
        at_replica: bool,
    ) -> None:
        """Records the outcome and the latency of a request."""
        self.count(
            "requests_total", route=route, kind=kind.value, outcome=outcome
        )
        if kind is _statements.Kind.READ and outcome == "ran":
            place = "replica" if at_replica else "primary"
            self.count("reads_total", place=place)
        found = self._latencies.get(route)
        if found is None:
            found = histogram.HdrHistogram(
                MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
            )
            self._latencies[route] = found
        found.record_value(max(MIN_LATENCY_US, int(elapsed_s * 1e6)))

    def record_team_statement(self, team: str, outcome: str) -> None:
        """Records the outcome of a team's statement.

        The first teams have counters of their own and all others share one,
        since a fleet may have many thousands of teams.
        """
        if team not in self._teams and len(self._teams) >= MAX_TEAMS:
            team = OTHER_TEAMS
        self._teams.add(team)
        self.count("team_statements_total", team=team, outcome=outcome)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        lines = []
        for (name, labels), value in sorted(self._counters.items()):
            lines.append(_line(name, labels, value))
        for name, read, labels in self._gauges:
            lines.append(_line(name, labels, read()))
        for name, read_all in self._families:
            for named, reading in read_all():
                labels = tuple(sorted(named.items()))
                lines.append(_line(name, labels, reading))
        for route, found in sorted(self._latencies.items()):
            for quantile in QUANTILES:
                value = found.get_value_at_percentile(quantile) / 1e6
                labels = (("quantile", f"{quantile / 100:g}"), ("route", route))
                lines.append(_line("request_seconds", labels, value))
            total = found.get_total_count()
            lines.append(
                _line("request_seconds_count", (("route", route),), total)
            )
        return ("\n".join(lines) + "\n").encode()


def priority_label(priority: int) -> str:
    """Returns the label of a priority; unusual ones share a label."""
    is_usual = 0 <= priority < MAX_PRIORITIES
    return str(priority) if is_usual else OTHER_PRIORITIES


def _line(name: str, labels: Labels, value: float) -> str:
    label_text = ",".join(f'{key}="{text}"' for key, text in labels)
    return f"rosemaryferry_{name}{{{label_text}}} {value:g}"
