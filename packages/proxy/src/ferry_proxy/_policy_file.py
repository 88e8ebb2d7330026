"""Reads tunables from a JSON file with comments.

Importing the required libraries takes 30 ms of processor time, so a node
without such a file does not load this module.
"""

import pathlib

import cattrs
from cattrs import v
import json5

from ferry_proxy import _policy


class InvalidPolicyError(ValueError):
    """A file of tunables is invalid; the message lists all errors."""


def _describe(exc: BaseException, type_: type | None) -> str:
    """Returns a mistake's text; a validator's own text names the value."""
    if type(exc) is ValueError and exc.args:
        return str(exc)
    return v.format_exception(exc, type_)


def policy_from_file(path: str) -> _policy.Policy:
    """Reads tunables from a file.

    Raises:
        InvalidPolicyError: The file cannot be read or is invalid.
    """
    converter = cattrs.Converter(forbid_extra_keys=True)
    try:
        raw = json5.loads(pathlib.Path(path).read_text(encoding="utf-8"))
        return converter.structure(raw, _policy.Policy)
    except (OSError, ValueError) as exc:
        raise InvalidPolicyError(f"{path}: {exc}") from exc
    except cattrs.BaseValidationError as exc:
        mistakes = "; ".join(
            cattrs.transform_error(exc, format_exception=_describe)
        )
        raise InvalidPolicyError(f"{path}: {mistakes}") from exc
