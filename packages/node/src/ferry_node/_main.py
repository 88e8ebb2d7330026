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

# The process's exit codes.
EXIT_INVALID_SETTINGS = 2
EXIT_WORK_CUT_OFF = 3


def _load(path: str) -> _settings.Settings:
    """Returns the settings, or prints every mistake and exits."""
    try:
        return _settings.settings_from_file(path)
    except _settings.SettingsUnreadableError as exc:
        click.echo(f"{path}: {exc}", err=True)
    except decisions.InvalidDocumentError as exc:
        for mistake in exc.exceptions:
            click.echo(f"{path}: {mistake}", err=True)
    sys.exit(EXIT_INVALID_SETTINGS)


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
    sys.exit(EXIT_WORK_CUT_OFF if stopper.cut_off else 0)


class _Stopper:
    """Stops the node gracefully on the first signal, at once on the second.

    Attributes:
        cut_off: The number of batches and transactions that the stop cut off.
    """

    def __init__(self, loop: runtime.EventLoop, node: _node.Node) -> None:
        self._loop = loop
        self._node = node
        self._signals = 0
        self.cut_off = 0

    def on_signal(self, *_: object) -> None:
        """Handles a termination signal.

        Runs as a signal handler, so the work is left to the event loop.
        """
        self._signals += 1
        if self._signals == 1:
            self._loop.call_soon(self._stop_gracefully)
            os.write(1, b"stopping\n")
        else:
            self._loop.call_soon(self._stop_now)

    def _stop_gracefully(self) -> None:
        self._node.stop().add_done_callback(
            lambda fut: self._finish(fut.result())
        )

    def _stop_now(self) -> None:
        self._finish(self._node.busy)

    def _finish(self, cut_off: int) -> None:
        self.cut_off = cut_off
        logging.info("event=stopped cut_off=%d", cut_off)
        self._loop.stop()


if __name__ == "__main__":
    main()
