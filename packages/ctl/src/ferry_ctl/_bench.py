"""`rosemaryferryctl bench`: experiments that print one JSON object each."""

import click

from ferry_ctl import _bench_failover
from ferry_ctl import _bench_replicas
from ferry_ctl import _report


@click.group()
def bench() -> None:
    """Runs an experiment."""


_json = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
_seed = click.option("--seed", default=1, show_default=True, help="Seed.")


@bench.command("failover-gap")
@_json
@_seed
@click.option("--seeds", default=40, show_default=True, help="Per kind.")
def failover_gap(as_json: bool, seed: int, seeds: int) -> None:
    """Faults of primaries: the time without an acknowledged order."""
    _report.show(_bench_failover.run(seed, seeds), as_json)


@bench.command("replica-share")
@_json
@_seed
def replica_share(as_json: bool, seed: int) -> None:
    """Both users' workloads: the share of reads that replicas serve."""
    _report.show(_bench_replicas.run(seed), as_json)
