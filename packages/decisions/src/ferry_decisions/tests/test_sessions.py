"""Settings and tokens of sessions."""

import pytest

import ferry_decisions as decisions


def test_token_carries_floors_to_another_session():
    first = decisions.SessionState().with_floor("a", decisions.Position(2, 7))
    first = first.with_floor("b", decisions.Position(1, 1))
    second = decisions.SessionState().with_token(first.token)
    assert second.floor("a") == decisions.Position(2, 7)
    assert second.floor("b") == decisions.Position(1, 1)
    assert second.floor("c") is None


def test_token_never_lowers_a_floor():
    state = decisions.SessionState().with_floor("a", decisions.Position(3, 1))
    assert state.with_token("a=2:99").floor("a") == decisions.Position(3, 1)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("session", "nonsense"),
        ("session", "a=1"),
        ("read", "age five"),
        ("read", "age -1s"),
        ("timeout_ms", "0"),
        ("timeout_ms", "9999999999"),
        ("idempotency_key", "x" * 129),
        ("no_such_setting", "1"),
    ],
)
def test_bad_setting_is_refused_and_changes_nothing(name, value):
    state = decisions.SessionState()
    with pytest.raises(decisions.RequestFailedError) as found:
        state.with_setting(name, value)
    assert found.value.reason is decisions.INVALID_SETTING


@pytest.mark.parametrize(
    ("text", "seconds"),
    [("age 5s", 5.0), ("age 250ms", 0.25), ("AGE 2min", 120), ("primary", 0)],
)
def test_staleness(text, seconds):
    assert decisions.parse_staleness(text) == seconds
