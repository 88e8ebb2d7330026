"""Reports of experiments, printed as JSON or as a table."""

import json

import attrs
import click

Figures = dict[str, float]
SIGNIFICANT_DIGITS = 6


@attrs.frozen
class Report:
    """Result of an experiment.

    Attributes:
        experiment: Name of the experiment.
        seed: Seed of its random numbers.
        figures: Measured values by name; the name contains the unit.
        baselines: The corresponding figures of each baseline.
    """

    experiment: str
    seed: int
    figures: Figures
    baselines: dict[str, Figures] = attrs.field(factory=dict)

    def to_json(self) -> str:
        """Returns the report as one line of JSON, with rounded figures."""
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
    """Returns the quantile `share` of the values; 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(share * len(ordered)))
    return ordered[index]


def median(values: list[float]) -> float:
    """Returns the median of the values; 0 if there are none."""
    return percentile(values, 0.5)
