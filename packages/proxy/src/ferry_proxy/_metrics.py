"""Counters and latency histograms, shown as Prometheus text."""

import collections
from collections.abc import Callable
import typing

from hdrh import histogram

from ferry_proxy import _statements

LOWEST_US = 1
HIGHEST_US = 60_000_000  # A minute, in microseconds.
DIGITS = 2
MAX_TEAMS = 100  # Lines a node's metrics have for teams, by outcome.
OTHER_TEAMS = "(others)"  # No team has a name with brackets.
QUANTILES = (50.0, 90.0, 99.0, 99.9)

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """What a node counts."""

    def __init__(self) -> None:
        self._counters: collections.Counter[tuple[str, Labels]] = (
            collections.Counter()
        )
        self._teams: set[str] = set()
        self._latencies: dict[str, typing.Any] = {}
        self._gauges: list[tuple[str, Callable[[], float], Labels]] = []

    def count(self, name: str, **labels: str) -> None:
        """Adds one to a counter."""
        self._counters[(name, tuple(sorted(labels.items())))] += 1

    def gauge(
        self, name: str, read: Callable[[], float], **labels: str
    ) -> None:
        """Adds a value that is read when the metrics are asked for."""
        self._gauges.append((name, read, tuple(sorted(labels.items()))))

    def record_request(
        self,
        route: str,
        kind: _statements.Kind,
        outcome: str,
        elapsed_s: float,
        at_replica: bool,
    ) -> None:
        """Takes in the outcome of a request."""
        self.count(
            "requests_total", route=route, kind=kind.value, outcome=outcome
        )
        if kind is _statements.Kind.READ and outcome == "ran":
            place = "replica" if at_replica else "primary"
            self.count("reads_total", place=place)
        found = self._latencies.get(route)
        if found is None:
            found = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
            self._latencies[route] = found
        found.record_value(max(LOWEST_US, int(elapsed_s * 1e6)))

    def record_team_statement(self, team: str, outcome: str) -> None:
        """Takes in the outcome of a team's statement.

        The first teams have counters of their own, the others one together:
        a fleet may have many thousands of teams.
        """
        if team not in self._teams and len(self._teams) >= MAX_TEAMS:
            team = OTHER_TEAMS
        self._teams.add(team)
        self.count("team_statements_total", team=team, outcome=outcome)

    def render(self) -> bytes:
        """Returns all of it in Prometheus' text format."""
        lines = []
        for (name, labels), value in sorted(self._counters.items()):
            lines.append(_line(name, labels, value))
        for name, read, labels in self._gauges:
            lines.append(_line(name, labels, read()))
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


def _line(name: str, labels: Labels, value: float) -> str:
    shown = ",".join(f'{key}="{text}"' for key, text in labels)
    return f"rosemaryferry_{name}{{{shown}}} {value:g}"
