"""Reads tunables from a JSON file with comments.

Importing the required libraries takes 30 ms of processor time, so a node
without such a file does not load this module.
"""

import pathlib

import cattrs
import json5

from ferry_proxy import _policy


class InvalidPolicyError(ValueError):
    """A file of tunables is invalid; the message lists all errors."""


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
        mistakes = "; ".join(cattrs.transform_error(exc))
        raise InvalidPolicyError(f"{path}: {mistakes}") from exc
