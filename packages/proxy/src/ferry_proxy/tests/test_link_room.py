"""Tests of the bound on a pool's links, also with a full member."""

import functools

import ferry_decisions as decisions
import pytest

from ferry_proxy import _link_queue
from ferry_proxy import _link_room
from ferry_proxy import _links
from ferry_proxy import _policy
from ferry_proxy import _pools
from ferry_proxy.tests import fakes

LIMIT = 6


@pytest.mark.parametrize(
    ("age_s", "full_at", "size", "bound"),
    [
        (0.0, None, 0, 1),
        (0.14, None, 0, 1),
        (0.31, None, 0, 3),
        (9.0, None, 0, LIMIT),
        (9.0, 8.9, 3, 2),
        (9.0, 8.9, 0, 1),
        (9.0, 8.0, 3, LIMIT),
    ],
)
def test_bound(age_s, full_at, size, bound):
    room = _link_room.LinkRoom(100.0, True)
    if full_at is not None:
        room.note_full(size, 100.0 + full_at)
    assert room.bound(LIMIT, 100.0 + age_s) == bound


def test_links_that_are_shared_by_all_teams_are_not_limited():
    room = _link_room.LinkRoom(100.0, False)
    room.note_full(1, 100.0)
    assert room.bound(LIMIT, 100.0) == LIMIT


class FullMember:
    """A member that accepts few links from all nodes together."""

    def __init__(self, lab, room):
        self._lab = lab
        self.room = room
        self.opening = 0

    @property
    def open(self):
        links = self._lab.cluster.members["a"].links
        return sum(not link.lost for link in links)

    def _opened(self, _) -> None:
        self.opening -= 1

    def connect(self, member, timeout_s, team):
        if self.open + self.opening < self.room:
            self.opening += 1
            link = self._lab.cluster.connect(member, timeout_s, team)
            link.add_done_callback(self._opened)
            return link
        fut: decisions.Future[object] = decisions.Future()
        full = _links.ConnectFailedError(decisions.TOO_MANY_CONNECTIONS, "")
        self._lab.clock.after(
            0.002, functools.partial(decisions.reject, fut, full)
        )
        return fut


def test_nodes_that_begin_at_a_full_member_each_get_a_link():
    """Six nodes start at a member that has room for nine links.

    After a power loss of all nodes, their old links occupy the other room.
    """
    lab = fakes.Lab()
    for link in list(lab.cluster.members["a"].links):
        link.fail("power")
    member = FullMember(lab, 9)
    policy = _policy.Policy(has_teams=True)
    entry = lab.cluster.members["a"].entry()
    pools = [
        _pools.Pool(lab.clock, entry, member, policy, LIMIT) for _ in range(6)
    ]
    served = [0] * 6
    for step in range(200):
        for number, pool in enumerate(pools):
            fut = pool.acquire(
                _link_queue.Use.STATEMENT,
                1,
                lab.clock.now() + 0.2,
                {},
                f"t{number}-{step % 3}",
            )
            fut.add_done_callback(
                functools.partial(_use, lab, served, pool, number)
            )
        lab.run(0.03)
    assert member.open <= 9
    assert all(pool.size >= 1 for pool in pools)
    assert min(served) > 60


def _use(lab, served, pool, number, fut):
    if fut.exception() is None:
        served[number] += 1
        lab.clock.after(0.01, lambda: pool.release(fut.result()))
