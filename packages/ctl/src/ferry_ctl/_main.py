"""The command `rosemaryferryctl`: contracts, status, demo and benchmarks.

Adapters add commands through entry points of the group `COMMANDS`.
"""

from collections.abc import Iterable
import importlib.metadata

from absl import logging
import click

from ferry_ctl import _bench
from ferry_ctl import _contracts
from ferry_ctl import _demo
from ferry_ctl import _explain
from ferry_ctl import _load
from ferry_ctl import _losses
from ferry_ctl import _standins
from ferry_ctl import _status

COMMANDS = "rosemaryferry.commands"


@click.group()
def main() -> None:
    """Operates a fleet of rosemaryferry nodes."""


main.add_command(_contracts.contract)
main.add_command(_status.status)
main.add_command(_demo.demo)
main.add_command(_explain.explain)
main.add_command(_load.load)
main.add_command(_losses.losses)
main.add_command(_bench.bench)
main.add_command(_standins.stand_ins)


def add_commands(
    group: click.Group, points: Iterable[importlib.metadata.EntryPoint]
) -> None:
    """Adds the commands of adapters; skips those that fail to load.

    Args:
        group: The group that receives the commands.
        points: The entry points of the commands.
    """
    for point in points:
        try:
            group.add_command(point.load(), point.name)
        except (ImportError, AttributeError) as exc:
            logging.warning("event=command_left_out name=%s: %s", point, exc)


add_commands(main, importlib.metadata.entry_points(group=COMMANDS))


if __name__ == "__main__":
    main()
