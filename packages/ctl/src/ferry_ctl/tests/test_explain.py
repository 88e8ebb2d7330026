"""Tests the timelines that are merged from the logs of nodes."""

import json

import click.testing
import pytest

from ferry_ctl import _explain


def line(at, node, event, prefix="", **fields):
    raw = {"at": at, "node": node, "event": event, **fields}
    return prefix + json.dumps(raw)


DONE = {
    "request": "r1",
    "member": "m1",
    "detail": "",
    "elapsed_s": 0.1,
    "outcome": "no_primary",
}
LOG_ONE = [
    line(5.0, "n1", "LeaderLost", service="s", member="m1", term=1),
    line(5.2, "n1", "RequestDone", prefix=" 3.1 n1 ", **DONE),
    line(5.3, "n1", "LinesLeftOut", requests=4, failures=1, blocked=0),
    "no JSON at all",
    '{"broken": ',
]
LOG_TWO = [
    line(1.0, "n2", "LeaderFound", service="s", member="m1", term=1),
    line(5.1, "n2", "PromotionStep", service="s", member="m1", step="claimed"),
    line(5.1, "n2", "PromotionStep", service="x", member="m9", step="claimed"),
    line(5.19, "n3", "RequestServed", entry="n1", **DONE),
    line(5.15, "n3", "DependencyLost", name="store"),
]


@pytest.fixture
def files(tmp_path):
    paths = []
    for name, lines in (("one", LOG_ONE), ("two", LOG_TWO)):
        path = tmp_path / name
        path.write_text("\n".join(lines))
        paths.append(str(path))
    return paths


@pytest.mark.parametrize(
    ("name", "expected", "unexpected"),
    [
        ("r1", ["LeaderLost", "claimed", "no_primary", "4 requests"], ["m9"]),
        ("r1", ["RequestServed", "entry=n1", "DependencyLost"], []),
        ("s", ["LeaderFound", "LeaderLost", "claimed"], ["RequestDone"]),
        ("nobody", ["no line names nobody", "1 failures"], ["claimed"]),
    ],
)
def test_timelines(files, name, expected, unexpected):
    run = click.testing.CliRunner().invoke(_explain.explain, [name, *files])
    assert run.exit_code == 0
    for words in expected:
        assert words in run.output
    for words in unexpected:
        assert words not in run.output
