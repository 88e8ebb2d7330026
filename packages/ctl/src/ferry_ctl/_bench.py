"""`rosemaryferryctl bench`: experiments, each printing one report."""

import click

from ferry_ctl import _bench_capacity
from ferry_ctl import _bench_explore
from ferry_ctl import _bench_failover
from ferry_ctl import _bench_fairness
from ferry_ctl import _bench_idle
from ferry_ctl import _bench_membership
from ferry_ctl import _bench_overload
from ferry_ctl import _bench_path
from ferry_ctl import _bench_replicas
from ferry_ctl import _bench_spread
from ferry_ctl import _report
from ferry_ctl import _standins


@click.group()
def bench() -> None:
    """Runs an experiment and prints its figures."""


_json = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
_seed = click.option("--seed", default=1, show_default=True, help="Seed.")


@bench.command("failover-gap")
@_json
@_seed
@click.option(
    "--seeds", default=40, show_default=True, help="Runs per fault kind."
)
def failover_gap(as_json: bool, seed: int, seeds: int) -> None:
    """Measures the time without acknowledged writes when a primary fails."""
    _report.show(_bench_failover.run(seed, seeds), as_json)


@bench.command("replica-share")
@_json
@_seed
def replica_share(as_json: bool, seed: int) -> None:
    """Measures the share of reads that replicas serve in both workloads."""
    _report.show(_bench_replicas.run(seed), as_json)


@bench.command("fairness")
@_json
@_seed
def fairness(as_json: bool, seed: int) -> None:
    """Measures shares, waits and utilisation while one customer floods."""
    _report.show(_bench_fairness.run(seed), as_json)


@bench.command("membership")
@_json
@_seed
def membership(as_json: bool, seed: int) -> None:
    """Measures failure detection at 7, 50 and 410 nodes, and its cost."""
    _report.show(_bench_membership.run(seed), as_json)


@bench.command("contract-spread")
@_json
@_seed
def contract_spread(as_json: bool, seed: int) -> None:
    """Measures how contract changes spread at 7 and 410 nodes."""
    _report.show(_bench_spread.run(seed), as_json)


@bench.command("path")
@_json
@click.option(
    "--direct", required=True, help="Connection string without a proxy."
)
@click.option(
    "--through", required=True, help="Connection string through a node."
)
@click.option("--pid", type=int, required=True, help="Process ID of that node.")
def path(as_json: bool, direct: str, through: str, pid: int) -> None:
    """Measures the cost of the path through a node that already runs."""
    report = _bench_path.run(
        _bench_path.Target(direct),
        _bench_path.Target(through, _standins.PASSWORD),
        pid,
    )
    _report.show(report, as_json)


@bench.command("capacity")
@_json
@_seed
def capacity(as_json: bool, seed: int) -> None:
    """Measures how costs grow with the fleet, up to the design size."""
    _report.show(_bench_capacity.run(seed), as_json)


@bench.command("idle")
@_json
@click.option("--through", required=True, help="Connection string of a node.")
@click.option("--pid", type=int, required=True, help="Process ID of that node.")
def idle(as_json: bool, through: str, pid: int) -> None:
    """Measures a node's memory for each idle caller."""
    target = _bench_path.Target(through, _standins.PASSWORD)
    _report.show(_bench_idle.run(target, pid), as_json)


@bench.command("overload")
@_json
@_seed
def overload(as_json: bool, seed: int) -> None:
    """Measures goodput at up to five times a primary's write capacity."""
    _report.show(_bench_overload.run(seed), as_json)


@bench.command("explore")
@_json
@_seed
@click.option("--seeds", default=20, show_default=True, help="Schedules.")
def explore(as_json: bool, seed: int, seeds: int) -> None:
    """Runs random schedules of overlapping faults and counts violations."""
    _report.show(_bench_explore.run(seed, seeds), as_json)
