"""Tests the summary of unserved requests from logs."""

import json

import click.testing
import pytest

from ferry_ctl import _explain
from ferry_ctl import _losses


def line(at, event, node="n1", **fields):
    return json.dumps({"at": at, "node": node, "event": event, **fields})


def done(at, outcome, node="n1", kind="read"):
    return line(at, "RequestDone", node, outcome=outcome, kind=kind)


LOG = [
    done(100.0, "ran"),
    done(100.5, "overloaded"),
    line(101.0, "PromotionStep", step="claimed"),
    done(103.0, "overloaded"),
    done(103.1, "no_primary", "n2", "write"),
    done(103.2, "no_primary", "n2", "write"),
    line(103.3, "LinesLeftOut", requests=7, failures=1, blocked=0),
    "words of a collector, no event",
]


@pytest.fixture
def log(tmp_path):
    path = tmp_path / "nodes.log"
    path.write_text("\n".join(LOG))
    return str(path)


def test_windows(log):
    first, second = _losses.windows(_explain.read((log,)), 2.0)
    assert (first.at, first.ran, first.lost) == (0.0, 1, 1)
    assert first.changes == {"PromotionStep": 1}
    assert (second.at, second.ran, second.left_out) == (2.0, 0, 8)
    assert second.reasons == {"overloaded": 1, "no_primary": 2}


def test_bars_are_proportional_to_losses(log):
    rows = list(_losses.report(_losses.windows(_explain.read((log,)), 2.0)))
    assert [r.count("#") for r in rows] == [0, 13, 40]
    assert "no_primary=2 overloaded=1" in rows[2]


def test_losses_by_node(log):
    rows = list(_losses.losses_by_node(_explain.read((log,))))
    assert sorted(row.split() for row in rows) == [
        ["2", "n1", "overloaded", "read"],
        ["2", "n2", "no_primary", "write"],
    ]


@pytest.mark.parametrize(
    ("options", "code", "words"),
    [
        ([], 0, "no_primary=2"),
        (["--step", "0"], 2, "longer than 0 s"),
        (["--since", "50"], 1, "no line"),
        (["--until", "1"], 0, "overloaded=1"),
    ],
)
def test_command(log, options, code, words):
    runner = click.testing.CliRunner()
    result = runner.invoke(_losses.losses, [*options, log])
    assert result.exit_code == code
    assert words in result.output


def test_a_log_without_losses_has_no_bars(tmp_path):
    path = tmp_path / "calm.log"
    path.write_text(done(5.0, "ran"))
    rows = list(_losses.report(_losses.windows(_explain.read((path,)), 2.0)))
    assert "#" not in rows[1]
