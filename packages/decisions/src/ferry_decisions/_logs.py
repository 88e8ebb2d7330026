"""Developer logs through absl, for modules that are loaded at startup.

absl is imported when the first line is logged: it would account for a fifth of
the code that a node loads before it accepts callers.
"""


def log_debug(message: str, *args: object) -> None:
    """Logs a message formatted with `args` at debug level."""
    from absl import logging

    logging.debug(message, *args)


def log_warning(message: str, *args: object) -> None:
    """Logs a message formatted with `args` at warning level."""
    from absl import logging

    logging.warning(message, *args)


def log_failure(exc: BaseException, message: str, *args: object) -> None:
    """Logs an exception that was caught before, with its traceback."""
    from absl import logging

    logging.error(message, *args, exc_info=exc)


def log_exception(message: str, *args: object) -> None:
    """Logs an error with the traceback of the exception being handled."""
    from absl import logging

    logging.exception(message, *args)
