"""Lines for developers, by absl's logging, from code that starts nodes.

The library is loaded with the first line that is written: it would be a fifth
of what a node has to load before it takes callers.
"""


def log_debug(message: str, *args: object) -> None:
    """Writes a debug line; `args` fill its placeholders."""
    from absl import logging

    logging.debug(message, *args)


def log_warning(message: str, *args: object) -> None:
    """Writes a warning; `args` fill its placeholders."""
    from absl import logging

    logging.warning(message, *args)


def log_exception(message: str, *args: object) -> None:
    """Writes an error with the trace of the exception that is handled."""
    from absl import logging

    logging.exception(message, *args)
