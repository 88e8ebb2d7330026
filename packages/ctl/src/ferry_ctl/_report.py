"""The one JSON object that an experiment prints."""

import json

import attrs
import click

Figures = dict[str, float]
SIGNIFICANT_DIGITS = 6


@attrs.frozen
class Report:
    """What an experiment found.

    Attributes:
        experiment: Its name.
        seed: Its seed.
        figures: Numbers by name; the unit is in the name.
        baselines: The same names for each baseline.
    """

    experiment: str
    seed: int
    figures: Figures
    baselines: dict[str, Figures] = attrs.field(factory=dict)

    def to_json(self) -> str:
        """Returns the object as one line."""
        fields = attrs.asdict(self)
        fields["figures"] = _rounded(self.figures)
        fields["baselines"] = {
            name: _rounded(f) for name, f in self.baselines.items()
        }
        return json.dumps(fields)


def _rounded(figures: Figures) -> Figures:
    return {n: float(f"{v:.{SIGNIFICANT_DIGITS}g}") for n, v in figures.items()}


def show(report: Report, as_json: bool) -> None:
    """Prints a report, as JSON or as a table."""
    if as_json:
        click.echo(report.to_json())
        return
    click.echo(f"{report.experiment}, seed {report.seed}")
    columns = {"measured": report.figures, **report.baselines}
    names = list(dict.fromkeys(n for f in columns.values() for n in f))
    click.echo(f"{'':34}" + "".join(f"{c:>18}" for c in columns))
    for name in names:
        cells = [
            f"{f[name]:18.5g}" if name in f else f"{'':18}"
            for f in columns.values()
        ]
        click.echo(f"{name:34}" + "".join(cells))


def percentile(values: list[float], share: float) -> float:
    """Returns the value below which a share of all values lies; 0 if none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(share * len(ordered)))
    return ordered[index]


def median(values: list[float]) -> float:
    """Returns the median; 0 where there are no values."""
    return percentile(values, 0.5)
