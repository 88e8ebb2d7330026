"""Searches orders of events for confirmed routes that are refused for good.

Run it with `python -m ferry_proxy.tests.configuration_search --seed 5000`.
"""

import click
import pytest

from ferry_proxy.tests import configuration_lab


def _findings(lab: configuration_lab.Lab) -> list[str]:
    """Returns a line for the first finding of each kind, node and version."""
    kinds = {
        "refused for good": lab.refusals,
        "late": lab.late,
        "went back": lab.regressions,
    }
    lines: dict[tuple[str, str, int], str] = {}
    for kind, found in kinds.items():
        for case in found:
            evidence = case.evidence
            lines.setdefault(
                (kind, case.node, case.required),
                f"{case.at:.2f} {case.node} {kind}: version {case.version},"
                f" {case.required} required; copy {evidence.copy_age_s:.2f} s"
                f" old by {evidence.reporter or 'its own read'}, era"
                f" {evidence.store_era}, told {evidence.told_version}",
            )
    return list(lines.values())


@click.command()
@click.option("--seed", default=1, help="The first seed.")
@click.option("--runs", default=100, help="How many seeds, one after another.")
@click.option("--seconds", default=40.0, help="Length of each run.")
def main(seed: int, runs: int, seconds: float) -> None:
    """Plays runs of random faults and prints what they show."""
    failed = 0
    with pytest.MonkeyPatch.context() as monkeypatch:
        for number in range(seed, seed + runs):
            lab = configuration_lab.play(monkeypatch, number, seconds)
            lines = _findings(lab)
            failed += bool(lines)
            for line in lines:
                click.echo(f"seed {number}: {line}")
    click.echo(f"{failed} of {runs} runs show something")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()
