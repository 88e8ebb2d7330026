"""Tests of load reports and of the choice by them."""

import ferry_decisions as decisions
import pytest

from ferry_proxy.placement import _group_loads
from ferry_proxy.placement import _load_reports
from ferry_proxy.tests import fakes

BUSY = [50, 100, 200, 300, 400, 500, 600]


def candidate(node, wait_s=0.0, is_near=True, pending=0, added_s=0.0):
    return _load_reports.Candidate(node, is_near, wait_s, added_s, pending)


def test_a_load_survives_encoding():
    load = _load_reports.decode(BUSY)
    assert load is not None
    assert load.encode() == BUSY
    assert load.wait_s(False, 1) == pytest.approx(0.02)
    assert load.wait_s(True, 7) == pytest.approx(0.06)
    assert load.wait_s(True, -3) == pytest.approx(0.04)


def test_reports_age_and_expire():
    clock = decisions.VirtualTimers()
    reports = _load_reports.LoadReports(clock)
    reports.note("s", "orders", [50, *[4000] * 6])
    clock.advance(0.1)
    assert reports.wait_s("s", "orders", False, 0) == pytest.approx(0.3)
    clock.advance(0.35)
    assert reports.wait_s("s", "orders", False, 0) == 0.0
    clock.advance(0.1)
    assert reports.wait_s("s", "orders", False, 0) is None


def test_statements_sent_since_the_report_count():
    clock = decisions.VirtualTimers()
    reports = _load_reports.LoadReports(clock)
    reports.note("s", "orders", BUSY)
    for _ in range(4):
        reports.note_sent("s", "orders")
    assert reports.added_s("s", "orders") == pytest.approx(0.02)
    reports.note("s", "orders", BUSY)
    assert reports.added_s("s", "orders") == 0.0


def test_the_number_of_reports_is_bounded():
    clock = decisions.VirtualTimers()
    reports = _load_reports.LoadReports(clock)
    for number in range(5_000):
        reports.note(f"s{number}", "orders", BUSY)
        clock.advance(0.0001)
    assert len(reports) <= _load_reports.MAX_REPORTS
    assert reports.wait_s("s4999", "orders", False, 0) is not None


def test_reports_of_streams_that_ended_are_dropped():
    clock = decisions.VirtualTimers()
    reports = _load_reports.LoadReports(clock)
    for number in range(100):
        reports.note(f"s{number}", "orders", BUSY)
    clock.advance(_load_reports.REPORT_TTL_S)
    reports.note("s0", "orders", BUSY)
    assert len(reports) == 1


def test_calls_are_spread_over_comparable_nodes():
    nodes = [candidate(f"n{n}") for n in range(4)]
    chosen = [_load_reports.choose(nodes, f"e {n}") for n in range(400)]
    counts = [chosen.count(n) for n in nodes]
    assert min(counts) > 60


def test_of_two_drawn_nodes_the_one_with_fewer_calls_is_taken():
    nodes = [candidate("n1", pending=9), candidate("n2", pending=1)]
    chosen = _load_reports.choose(nodes, "e 1")
    assert chosen is nodes[1]


@pytest.mark.parametrize(
    ("near", "far", "expected"),
    [
        (0.0, 0.0, "near"),
        (0.009, 0.0, "near"),
        (0.05, 0.0, "far"),
        (None, 0.0, "near"),
    ],
)
def test_the_way_counts(near, far, expected):
    nodes = [
        candidate("near", near),
        candidate("far", far, is_near=False),
    ]
    assert _load_reports.choose(nodes, "e").node == expected


@pytest.mark.parametrize(
    ("home", "other", "expected"),
    [
        (0.05, 0.0, None),
        (0.2, 0.0, "other"),
        (0.2, 0.3, None),
        (0.2, None, None),
        (None, 0.0, None),
    ],
)
def test_relief_of_a_home(home, other, expected):
    at_home = candidate("home", home)
    elsewhere = candidate("other", other)
    found = _load_reports.relief(at_home, [at_home, elsewhere], 0.1)
    assert (found.node if found else None) == expected


@pytest.mark.parametrize(
    ("waits", "expected"),
    [
        ([0.3, 0.2], 0.2),
        ([0.3, 0.05], None),
        ([0.3, None], None),
        ([], None),
    ],
)
def test_the_shortest_wait_when_all_are_late(waits, expected):
    nodes = [candidate(f"n{n}", w) for n, w in enumerate(waits)]
    assert _load_reports.shortest_late_wait_s(nodes, 0.1) == expected


def test_the_load_of_an_idle_group_takes_one_byte():
    lab = fakes.Lab()
    assert _group_loads.load_of(lab.group).encode() == []


def test_the_load_of_a_group_tells_its_queues():
    lab = fakes.Lab()
    lab.do(lab.session(), fakes.statement("WRITE x 1"))
    lab.group.share_among(100)
    for _ in range(20):
        lab.session().run(fakes.statement("WRITE x 1"))
    load = _group_loads.load_of(lab.group)
    assert load.wait_s(True, 1) > 0.04
    assert load.wait_s(False, 1) == 0.0


def test_no_wait_is_told_while_the_primary_is_being_changed():
    """Requests are held for the change, so a wait would be misleading."""
    lab = fakes.Lab()
    lab.do(lab.session(), fakes.statement("WRITE x 1"))
    lab.group.share_among(100)
    for _ in range(20):
        lab.session().run(fakes.statement("WRITE x 1"))
    lab.group.expect_primary_change()
    assert _group_loads.load_of(lab.group).wait_s(True, 1) == 0.0


def test_a_group_without_members_tells_nothing():
    lab = fakes.Lab()
    lab.group.set_members({}, 0)
    assert _group_loads.load_of(lab.group) is _load_reports.IDLE
