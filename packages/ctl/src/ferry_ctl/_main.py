"""The command `rosemaryferryctl`: contracts, status, demo and benchmarks."""

import click

from ferry_ctl import _bench
from ferry_ctl import _contracts
from ferry_ctl import _demo
from ferry_ctl import _explain
from ferry_ctl import _losses
from ferry_ctl import _standins
from ferry_ctl import _status


@click.group()
def main() -> None:
    """Operates a fleet of rosemaryferry nodes."""


main.add_command(_contracts.contract)
main.add_command(_status.status)
main.add_command(_demo.demo)
main.add_command(_explain.explain)
main.add_command(_losses.losses)
main.add_command(_bench.bench)
main.add_command(_standins.stand_ins)


if __name__ == "__main__":
    main()
