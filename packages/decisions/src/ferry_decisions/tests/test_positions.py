"""Tests of log positions and of their comparison across terms."""

import pytest

import ferry_decisions as decisions

P = decisions.Position
HISTORY = decisions.History(((1, 0), (2, 5), (3, 9)))


@pytest.mark.parametrize(
    ("name", "applied", "floor", "expected"),
    [
        ("no floor", P(0, 0), P(0, 0), True),
        ("same term, reached", P(2, 7), P(2, 7), True),
        ("same term, short", P(2, 6), P(2, 7), False),
        ("earlier term, longer tail", P(1, 50), P(2, 6), False),
        ("later term, floor was cut", P(2, 5), P(1, 8), True),
        ("later term, below what was kept", P(2, 4), P(1, 5), False),
        ("two terms later", P(3, 8), P(2, 8), True),
        ("unknown later term", P(4, 99), P(3, 1), False),
    ],
)
def test_satisfies(name, applied, floor, expected):
    assert decisions.satisfies(applied, floor, HISTORY) is expected, name


@pytest.mark.parametrize("text", ["", "1", "1:", ":2", "a:b", "-1:2", "1:2:3"])
def test_malformed_position_is_a_typed_error(text):
    with pytest.raises(decisions.InvalidPositionError):
        decisions.Position.from_text(text)


def test_position_text_round_trip():
    assert P.from_text(str(P(3, 14))) == P(3, 14)
