"""Tests of the selection of links to use and links to close."""

import collections
import random

import pytest

from ferry_proxy import _link_choice
from ferry_proxy import _link_queue
from ferry_proxy import _pooled_links
from ferry_proxy.tests import fakes


def link(team, last_used_at=0.0, last_reply_at=0.0, values=None):
    """Returns an idle link."""
    conn = fakes.FakeLink(MEMBER, team)
    pooled = _pooled_links.PooledLink(
        conn, last_reply_at, team, last_used_at=last_used_at
    )
    pooled.state.values.update(values or {})
    return pooled


MEMBER = fakes.Lab().cluster.members["a"]


def test_a_question_takes_the_link_that_was_silent_longest():
    links = [
        link("a", last_reply_at=3.0),
        link("b", last_reply_at=1.0),
        link("", last_reply_at=2.0),
    ]
    assert _link_choice.for_control(links) is links[1]
    assert _link_choice.for_control([]) is None


@pytest.mark.parametrize(
    ("team", "values", "chosen"),
    [("a", {}, 0), ("a", {"tz": "UTC"}, 1), ("b", {}, 2), ("c", {}, None)],
)
def test_a_statement_takes_a_link_of_its_team(team, values, chosen):
    links = [link("a"), link("a", values={"tz": "UTC"}), link("b")]
    found = _link_choice.for_team(links, team, values)
    assert found is (None if chosen is None else links[chosen])


def uses(**counts):
    made = _link_choice.TeamUsage()
    for team, count in counts.items():
        for _ in range(count):
            made.note(team, 1.0)
    return made


@pytest.mark.parametrize(
    ("counts", "waited_for", "chosen"),
    [
        ({"a": 9, "b": 2}, set(), 0),  # One of a team's two idle links.
        ({"a": 9, "b": 2, "c": 1}, {"a"}, 3),
        ({"a": 9, "b": 2, "c": 3}, {"a"}, 2),
        ({"a": 9, "b": 2, "c": 2}, {"a"}, 2),  # A tie: used longest ago.
        ({"a": 9, "b": 2, "c": 3}, {"a", "b"}, 3),
        ({"a": 9, "b": 2, "c": 1}, {"a", "b", "c"}, 0),
    ],
)
def test_the_link_that_is_needed_least_makes_room(counts, waited_for, chosen):
    links = [link("a", 1.0), link("a", 2.0), link("b", 3.0), link("c", 4.0)]
    found = _link_choice.to_close(links, uses(**counts), waited_for)
    assert found is links[chosen]


def test_the_usage_of_teams_decays():
    made = uses(a=8, b=1)
    made.note("b", 1.0 + 3 * _link_choice.USE_DECAY_S)
    assert made.of("b") > made.of("a") > 0.0
    made.note("b", 100.0)
    assert made.of("a") == 0.0


def least_recently_used(links, *_):
    return min(links, key=lambda t: t.last_used_at)


def opened(choose, seed):
    """Simulates teams of unequal size; returns links opened per statement."""
    rng = random.Random(seed)
    teams = [f"t{n}" for n in range(14)]
    weights = [1 / (n + 1) for n in range(14)]
    links: list[_pooled_links.PooledLink] = []
    seen = _link_choice.TeamUsage()
    count = 0
    for number in range(4000):
        now = number / 30
        team = rng.choices(teams, weights)[0]
        seen.note(team, now)
        pooled = _link_choice.for_team(links, team, {})
        if pooled is None:
            count += 1
            if len(links) == 6:
                links.remove(choose(links, seen, {team}))
            pooled = link(team)
            links.append(pooled)
        pooled.last_used_at = now
    return count / 4000


def test_teams_that_ask_often_keep_their_links():
    """14 teams, the first 14 times as large as the last, share six links.

    If the least recently used link is closed, 0.36 of the statements open a
    link; if it is the link of the team with the fewest requests, 0.27.
    """
    before = [opened(least_recently_used, seed) for seed in range(5)]
    after = [opened(_link_choice.to_close, seed) for seed in range(5)]
    assert sum(before) / 5 == pytest.approx(0.36, abs=0.02)
    assert sum(after) / 5 == pytest.approx(0.27, abs=0.02)


def test_a_pool_keeps_the_links_of_teams_that_ask_often():
    lab = fakes.Lab(has_teams=True, limit=3)
    pool = lab.group.pools["a"]
    for number in range(40):
        team = "big" if number % 2 else f"small{number}"
        use = _link_queue.Use.STATEMENT
        fut = pool.acquire(use, 1, lab.clock.now() + 1.0, {}, team)
        lab.run(0.05)
        pool.release(fut.result())
    teams = collections.Counter(t.team for t in pool._idle)
    assert teams["big"] == 1
    assert pool.size <= 3
