"""Tests of the selection of a member for a read."""

import attrs
import pytest

from ferry_proxy import _routing

PRIMARY = _routing.Candidate("p", True, True, True, False, 0, 5, 0.02)
NEAR = _routing.Candidate("near", False, True, True, False, 0, 5, 0.02)
FAR = _routing.Candidate("far", False, False, True, False, 0, 5, 0.02)


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, "near"),
        ({"near": {"in_flight": 2}}, "far"),
        ({"near": {"latency_s": 0.1}}, "far"),
        ({"near": {"is_responsive": False}}, "far"),
        ({"near": {"in_flight": 9}, "far": {"in_flight": 9}}, "near"),
        (
            {
                "near": {"is_responsive": False},
                "far": {"is_responsive": False},
            },
            "p",
        ),
        ({"near": {"latency_s": 1.0}, "far": {"latency_s": 1.0}}, "p"),
        ({"near": {"is_behind": True}}, "far"),
        # A silent member makes a read wait; one that lacks a position says so.
        (
            {
                "near": {"is_behind": True},
                "far": {"is_responsive": False, "is_silent": True},
                "p": {"is_responsive": False, "is_silent": True},
            },
            "near",
        ),
        # One that is slow to answer may be busy.
        (
            {
                "near": {"is_behind": True},
                "far": {"is_behind": True},
                "p": {"is_responsive": False},
            },
            "p",
        ),
        # A failed attempt costs the time of a retry.
        ({"near": {"failure_share": 0.9}}, "far"),
        ({"near": {"failure_share": 0.1}}, "near"),
        # An ejected member serves only if no other can.
        ({"near": {"is_ejected": True}, "far": {"in_flight": 9}}, "far"),
        ({"near": {"is_ejected": True}, "far": {"is_ejected": True}}, "p"),
        (
            {
                "near": {"is_ejected": True, "failure_share": 0.9},
                "far": {"is_ejected": True, "failure_share": 0.3},
                "p": {"is_ejected": True},
            },
            "far",
        ),
        (
            {
                "near": {"is_ejected": True},
                "far": {"is_behind": True},
                "p": {"is_silent": True},
            },
            "near",
        ),
        ({"near": {"wait_s": 0.05}}, "far"),
        ({"near": {"wait_s": 0.02}, "far": {"wait_s": 0.02}}, "near"),
        (
            {
                "near": {"wait_s": 0.05, "in_flight": 4},
                "far": {"wait_s": 0.05, "in_flight": 4},
            },
            "p",
        ),
        (
            {
                "near": {"wait_s": 0.05, "in_flight": 4},
                "far": {"wait_s": 0.05, "in_flight": 4},
                "p": {"wait_s": 0.05, "in_flight": 4},
            },
            "near",
        ),
        (
            {
                "near": {"is_behind": True},
                "far": {"is_behind": True},
                "p": {"latency_s": 0.5, "in_flight": 9},
            },
            "p",
        ),
        ({"near": {"latency_s": 0.001}, "far": {"latency_s": 0.004}}, "near"),
        # A free link is worth the time of one statement,
        ({"near": {"has_link": False}}, "far"),
        ({"near": {"has_link": False}, "far": {"has_link": False}}, "near"),
        # but not more than that.
        ({"near": {"has_link": False}, "far": {"in_flight": 2}}, "near"),
    ],
)
def test_best(changes, expected):
    candidates = [
        attrs.evolve(c, **changes.get(c.member, {}))
        for c in (PRIMARY, NEAR, FAR)
    ]
    found = _routing.best(candidates)
    assert found is not None
    assert found.member == expected


def test_no_candidates():
    assert _routing.best([]) is None
