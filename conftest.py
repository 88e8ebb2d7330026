"""Marks tests of known faults as expected failures and lists them.

KNOWN-RED.txt has an entry per test: the test's id at the start of a line,
followed by the indented rest of the entry. A listed test that passes fails the
run, so that an entry is removed together with its fault.
"""

import pathlib

import pytest

KNOWN_FAILURES = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
COMMENT_MARK = "#"


def _listed_tests() -> list[str]:
    """Returns the ids of the listed tests."""
    if not KNOWN_FAILURES.exists():
        return []
    lines = KNOWN_FAILURES.read_text().splitlines()
    return [
        i for i in lines if i and not i[0].isspace() and i[0] != COMMENT_MARK
    ]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks the listed tests as strict expected failures."""
    listed = set(_listed_tests())
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED", strict=True))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the listed tests below the results."""
    for test in _listed_tests():
        terminalreporter.write_line(f"known red, passed over: {test}")
