"""The command `rosemaryferry`: runs a node, or checks its settings."""

import os
import signal
import sys

from absl import logging
import click
import ferry_decisions as decisions
import ferry_runtime as runtime

from ferry_node import _node
from ferry_node import _settings

EXIT_SETTINGS = 2
EXIT_CUT = 3


def _load(path: str) -> _settings.Settings:
    """Returns the settings, or ends the process with every mistake shown."""
    try:
        return _settings.settings_from_file(path)
    except _settings.SettingsUnreadableError as exc:
        click.echo(f"{path}: {exc}", err=True)
    except decisions.InvalidDocumentError as exc:
        for mistake in exc.exceptions:
            click.echo(f"{path}: {mistake}", err=True)
    sys.exit(EXIT_SETTINGS)


@click.group()
def main() -> None:
    """A database proxy with session consistency."""


@main.command("check-settings")
@click.argument("path")
def check_settings(path: str) -> None:
    """Checks a settings file and shows every mistake in it."""
    cfg = _load(path)
    click.echo(f"{path}: settings of node {cfg.node} are valid")


@main.command()
@click.option("--settings", "path", required=True, help="Settings file.")
def run(path: str) -> None:
    """Runs a node until SIGTERM."""
    cfg = _load(path)
    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    if cfg.log_dir:
        logging.get_absl_handler().use_absl_log_file(cfg.node, cfg.log_dir)
    loop = runtime.EventLoop()
    node = _node.Node(loop, cfg)
    stopper = _Stopper(loop, node)
    signal.signal(signal.SIGTERM, stopper.on_signal)
    signal.signal(signal.SIGINT, stopper.on_signal)
    click.echo(
        f"node={cfg.node} callers={node.caller_port} "
        f"admin={node.admin.port} peers={node.peers.port}"
    )
    loop.run()
    node.close()
    sys.exit(EXIT_CUT if stopper.cut else 0)


class _Stopper:
    """Turns the first signal into a planned stop and the second into an end."""

    def __init__(self, loop: runtime.EventLoop, node: _node.Node) -> None:
        self._loop = loop
        self._node = node
        self._signals = 0
        self.cut = 0

    def on_signal(self, *_: object) -> None:
        """Counts a signal."""
        self._signals += 1
        if self._signals == 1:
            self._loop.call_soon(self._begin)
            os.write(1, b"stopping\n")
        else:
            self._loop.call_soon(self._end_now)

    def _begin(self) -> None:
        self._node.stop().add_done_callback(
            lambda fut: self._finish(fut.result())
        )

    def _end_now(self) -> None:
        self._finish(self._node.busy)

    def _finish(self, cut: int) -> None:
        self.cut = cut
        logging.info("event=stopped cut_off=%d", cut)
        self._loop.stop()


if __name__ == "__main__":
    main()
