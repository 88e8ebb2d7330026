"""`rosemaryferryctl bench`: experiments that print one JSON object each."""

import click


@click.group()
def bench() -> None:
    """Runs an experiment."""
