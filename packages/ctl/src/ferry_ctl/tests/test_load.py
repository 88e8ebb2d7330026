"""Tests the summary of load from metrics pages."""

import json

import click.testing
from ferry_proxy import _metrics as proxy_metrics
import pytest

from ferry_ctl import _load
from ferry_ctl import _main
from ferry_ctl import metrics_pages

PAGE = """\
# a comment of a collector
rosemaryferry_refusals_total{priority="0",reason="overloaded"} 12
rosemaryferry_refusals_total{priority="1",reason="no_primary"} 3
rosemaryferry_requests_total{kind="read",outcome="ran",route="r"} 1e+06
rosemaryferry_sessions{} 4
rosemaryferry_feature_on{feature="retry_advice"} 1
rosemaryferry_feature_on{feature="fair_admission"} 0
rosemaryferry_member_running{member="i-1",service="orders"} 2
rosemaryferry_member_waiting{member="i-1",service="orders"} 7
rosemaryferry_member_share{member="i-1",service="orders"} 2
rosemaryferry_member_expected_wait_seconds{member="i-1",service="orders"} 0.083
rosemaryferry_member_expected_wait_seconds{member="i-2",service="orders"} nan
rosemaryferry_member_running{member="i-2",service="orders"} 1
process_open_fds 12
"""


@pytest.fixture
def page(tmp_path):
    path = tmp_path / "node-1.txt"
    path.write_text(PAGE)
    return str(path)


def run(*args):
    return click.testing.CliRunner().invoke(_main.main, ["load", *args])


def test_members_with_what_runs_and_waits(page):
    load = _load.summarize([metrics_pages.read(page)])
    first, second = load.members
    assert (first.group, first.member, first.node) == ("orders", "i-1", page)
    assert first.values == {
        "member_running": 2.0,
        "member_waiting": 7.0,
        "member_share": 2.0,
        "member_expected_wait_seconds": 0.083,
    }
    assert second.values == {"member_running": 1.0}


def test_the_table_of_a_recorded_page(page):
    result = run(page)
    assert result.exit_code == 0
    lines = result.output.splitlines()
    assert lines[1].split() == ["orders", "i-1", "2", "7", "2", "83", page]
    assert lines[2].split() == ["orders", "i-2", "1", "-", "-", "-", page]
    assert "12        0 overloaded" in result.output
    assert f"features on at {page}: retry_advice" in result.output


def test_json(page):
    result = run("--json", page)
    found = json.loads(result.output)
    assert found["features"] == {page: ["retry_advice"]}
    assert found["refusals"][0]["count"] == 12
    assert len(found["members"]) == 2


def test_pages_of_several_nodes_are_read_together(page, tmp_path):
    other = tmp_path / "node-2.txt"
    other.write_text(PAGE)
    load = _load.summarize([metrics_pages.read(str(p)) for p in (page, other)])
    assert [m.node for m in load.members] == [page, str(other)] * 2


@pytest.mark.parametrize(
    "text",
    [
        "",
        "process_open_fds 12\n",
        "<html>not found</html>",
        "rosemaryferry_sessions{} many\n",
        "rosemaryferry_sessions\n",
        'rosemaryferry_member_running{member="i-1} 2\n',
        "rosemaryferry_member_running{member=i-1} 2\n",
    ],
)
def test_what_is_no_metrics_page_is_refused(text, tmp_path):
    path = tmp_path / "page"
    path.write_text(text)
    result = run(str(path))
    assert result.exit_code == 2
    assert str(path) in result.output


def test_bytes_that_are_no_text_are_refused(tmp_path):
    path = tmp_path / "page"
    path.write_bytes(b"\xff\xfe\x00")
    assert run(str(path)).exit_code == 2


@pytest.mark.parametrize(
    "source", ["no-such-file", "http://127.0.0.1:1/metrics", "http://[", "."]
)
def test_a_page_that_cannot_be_read_is_refused(source):
    result = run(source)
    assert result.exit_code == 2
    assert source in result.output


def test_no_page_at_all_is_refused():
    assert run().exit_code == 2


def test_a_page_that_a_node_renders_can_be_read():
    metrics = proxy_metrics.Metrics()
    metrics.record_refusal("overloaded", 2)
    labels = {"service": "orders", "member": "i-1"}
    metrics.family("member_waiting", lambda: [(labels, 7.0)])
    metrics.gauge("sessions", lambda: 4.0)
    load = _load.summarize([metrics_pages.parse("n", metrics.render())])
    assert load.members[0].values == {"member_waiting": 7.0}
    assert load.refusals == (_load.RefusalCount("n", "2", "overloaded", 1),)


def test_errors_are_typed(tmp_path):
    with pytest.raises(metrics_pages.MetricsPageError):
        metrics_pages.parse("page", b"rosemaryferry_x{ 1")
