"""Tests of the order of kinds and teams."""

import ferry_decisions as decisions
import hypothesis
from hypothesis import strategies as st
import pytest

from ferry_proxy import _link_queue
from ferry_proxy.queueing import _kinds

KEY = decisions.WorkKey("", "")
TIMES_S = {0: 0.008, 1: 0.024, 2: 0.04}


def waiter(rank, team=""):
    use = _link_queue.Use.STATEMENT
    return _link_queue.Waiter(rank, use, team, {}, decisions.Future())


def slot_s(waiter):
    return TIMES_S[waiter.rank]


def order(kinds, waiting, late=()):
    return kinds.ordered(waiting, lambda w: w in late, slot_s)


def use_of(kinds, floods, slots_s=20.0):
    """Returns the parts of slot time while all floods go on.

    Args:
        kinds: The kinds.
        floods: How many of each (rank, team) always wait.
        slots_s: How many slot seconds are given out.
    """
    used = dict.fromkeys(floods, 0.0)
    waiting = [
        waiter(rank, team)
        for (rank, team), count in floods.items()
        for _ in range(count)
    ]
    while sum(used.values()) < slots_s:
        first = order(kinds, waiting)[0]
        kinds.charge(first.rank, first.team, slot_s(first))
        used[first.rank, first.team] += slot_s(first)
        waiting.remove(first)
        waiting.append(waiter(first.rank, first.team))
    return {name: part / sum(used.values()) for name, part in used.items()}


def kinds_at_0():
    return _kinds.Kinds(lambda: 0.0)


def test_each_kind_keeps_its_part_in_a_flood_of_all():
    used = use_of(kinds_at_0(), {(0, ""): 9, (1, ""): 9, (2, ""): 9})
    assert used[1, ""] == pytest.approx(_kinds.KIND_SHARE, rel=0.2)
    assert used[2, ""] == pytest.approx(_kinds.KIND_SHARE, rel=0.2)
    assert used[0, ""] > 0.75


def test_a_kind_that_had_all_keeps_its_part_once_others_come():
    kinds = kinds_at_0()
    use_of(kinds, {(2, ""): 5}, slots_s=50.0)
    used = use_of(kinds, {(2, ""): 5, (0, ""): 5}, slots_s=5.0)
    assert used[2, ""] == pytest.approx(_kinds.KIND_SHARE, rel=0.2)


def test_the_most_urgent_kind_goes_first_while_it_is_within_its_part():
    kinds = kinds_at_0()
    for _ in range(100):
        use_of(kinds, {(1, ""): 3, (2, ""): 3}, slots_s=0.2)
        waiting = [waiter(2), waiter(1), waiter(0)]
        assert order(kinds, waiting)[0].rank == 0
        kinds.charge(0, "", TIMES_S[0])


def test_teams_of_a_kind_get_equal_parts_whatever_they_ask_for():
    floods = {(1, "a"): 50, (1, "b"): 2, (1, "c"): 2}
    used = use_of(kinds_at_0(), floods)
    assert set(used) == set(floods)
    assert all(v == pytest.approx(1 / 3, abs=0.02) for v in used.values())


def test_a_team_that_was_away_has_no_more_than_an_equal_part():
    kinds = kinds_at_0()
    use_of(kinds, {(1, "a"): 5, (1, "b"): 5})
    used = use_of(kinds, {(1, "a"): 5, (1, "c"): 5}, slots_s=2.0)
    assert used[1, "c"] == pytest.approx(0.5, abs=0.05)


def test_what_a_statement_used_in_fact_is_charged():
    kinds = kinds_at_0()
    for _ in range(10):
        kinds.charge(1, "long", 0.01)
        kinds.correct(1, "long", 0.06)
        kinds.charge(1, "short", 0.01)
    firsts = order(kinds, [waiter(1, "long"), waiter(1, "short")])
    assert [w.team for w in firsts] == ["short", "long"]


def test_late_ones_go_behind_those_of_their_kind_that_are_in_time():
    late, in_time, other = waiter(1, "a"), waiter(1, "a"), waiter(2, "a")
    found = order(kinds_at_0(), [other, late, in_time], late=[late])
    assert found[0] is in_time
    assert found.index(late) > 0


def test_waits_that_exceed_what_was_expected_correct_later_ones():
    kinds = kinds_at_0()
    for _ in range(30):
        kinds.note_wait(1, 0.6, 0.2)
    assert kinds.wait_ratio(1) == pytest.approx(3.0, rel=0.1)
    assert kinds.wait_ratio(0) == 1.0
    for _ in range(60):
        kinds.note_wait(1, 0.1, 0.2)
    assert kinds.wait_ratio(1) == 1.0


def test_kinds_are_bounded():
    kinds = kinds_at_0()
    for number in range(500):
        kinds.charge(number, "", 0.01)
        kinds.note_wait(number, 0.1, 0.1)
    assert len(kinds) <= _kinds.MAX_KINDS


def test_accounts_are_bounded():
    kinds = kinds_at_0()
    for number in range(5000):
        kinds.charge(1, str(number), 0.01)
        kinds.forget_idle([])
    assert len(kinds) <= _kinds.MAX_TEAMS


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    st.lists(
        st.tuples(st.sampled_from([0, 1, 2]), st.sampled_from("abc")),
        max_size=20,
    ),
    st.lists(st.booleans(), min_size=20, max_size=20),
)
def test_each_request_has_one_place_and_teams_keep_their_order(asked, lates):
    kinds = kinds_at_0()
    waiting = [waiter(rank, team) for rank, team in asked]
    late = [w for w, is_late in zip(waiting, lates, strict=False) if is_late]
    found = order(kinds, waiting, late)
    assert sorted(map(id, found)) == sorted(map(id, waiting))
    for name in set(asked):
        for group in (late, [w for w in waiting if w not in late]):
            own = [w for w in group if (w.rank, w.team) == name]
            assert [w for w in found if w in own] == own
