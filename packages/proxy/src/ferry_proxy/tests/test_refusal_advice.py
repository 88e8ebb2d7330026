"""Tests that callers who return as told find room."""

import functools

import attrs
import ferry_decisions as decisions
import pytest

from ferry_proxy import _configuration
from ferry_proxy import _execution
from ferry_proxy import _features
from ferry_proxy import _links
from ferry_proxy import _policy
from ferry_proxy import _runners
from ferry_proxy import _sessions
from ferry_proxy.tests import fakes
from ferry_proxy.tests import test_overload

ON = _features.Features(
    _policy.Policy(features={_policy.Feature.RETRY_ADVICE.value: True}),
    lambda: None,
)


@attrs.define
class Caller:
    """A caller that returns when it is told to.

    Attributes:
        session: Its session; None for a new one with each request.
        first: Whether its first request ran.
        is_promised: Whether it keeps its place.
        told_s: What it was told, in seconds; the first time.
        again: Whether its second request ran; None while it has none.
        told_again_s: What it was told then.
    """

    session: _sessions.Session | None = None
    first: bool | None = None
    is_promised: bool = False
    told_s: float = 0.0
    again: bool | None = None
    told_again_s: float = 0.0


class ReturningLoad(test_overload.Load):
    """Callers that return to a primary with two slots, 200 reads a second."""

    def __init__(self, features: _features.Features = ON) -> None:
        super().__init__()
        self.callers: list[Caller] = []
        self.runner: _runners.LocalRunner = _runners.LocalRunner(
            self.clock,
            self.policy,
            _execution.Executor(self.clock, self.policy),
            self.group,
            features=features,
        )
        self.lag()

    def call(
        self,
        per_s: float,
        seconds: float,
        returns: int = 1,
        keeps_session: bool = False,
    ) -> None:
        """Sends reads at a steady rate; each refused one returns as told.

        Args:
            per_s: The rate of new callers.
            seconds: For how long.
            returns: How often a refused caller asks again at its time.
            keeps_session: Whether it returns in the same session.
        """
        for number in range(int(per_s * seconds)):
            session = self.session() if keeps_session else None
            caller = Caller(session)
            ask = functools.partial(self._first, caller, returns)
            self.clock.after(number / per_s, ask)

    def _first(self, caller: Caller, returns: int) -> None:
        self.callers.append(caller)
        self._use(self.route)
        fut = self._session_of(caller).run(fakes.statement("READ x"))
        fut.add_done_callback(lambda done: self._told(caller, returns, done))

    def _session_of(self, caller: Caller) -> _sessions.Session:
        return caller.session or self.session()

    def _use(self, route: _configuration.Route) -> None:
        routes = {"db": route}
        self.configuration = attrs.evolve(self.configuration, routes=routes)

    def _told(self, caller: Caller, returns: int, done) -> None:
        reply = done.result()
        caller.first = reply.reason is None
        if caller.first:
            return
        caller.told_s = reply.retry_after_s
        caller.is_promised = reply.keeps_place
        for _ in range(returns):
            self.clock.after(caller.told_s, lambda: self._again(caller))

    def _again(self, caller: Caller) -> None:
        self._use(self.route)
        fut = self._session_of(caller).run(fakes.statement("READ x"))
        fut.add_done_callback(lambda done: self._note_again(caller, done))

    def _note_again(self, caller: Caller, done) -> None:
        reply = done.result()
        caller.again = caller.again or reply.reason is None
        caller.told_again_s = reply.retry_after_s or 0.0

    @property
    def refused_callers(self) -> list[Caller]:
        return [c for c in self.callers if not c.first]

    @property
    def share_served_again(self) -> float:
        """The share of the refused callers whose return was served."""
        refused = self.refused_callers
        return sum(bool(c.again) for c in refused) / len(refused)


def play_burst(features: _features.Features) -> ReturningLoad:
    """Plays 160 reads in 0.1 s, and new callers at a quarter of the room."""
    lab = ReturningLoad(features)
    lab.call(50, 0.5)
    lab.run(0.5)
    lab.call(1600, 0.1)
    lab.call(50, 1.5)
    lab.run(5.0)
    return lab


def test_callers_of_a_burst_return_as_told_and_are_served():
    lab = play_burst(ON)
    assert len(lab.refused_callers) > 80
    assert lab.share_served_again >= 0.9


def test_callers_of_a_burst_that_return_in_step_are_refused_again():
    lab = play_burst(_features.NONE)
    assert {c.told_s for c in lab.refused_callers} == {1.0}
    assert lab.share_served_again < 0.9


def test_callers_are_told_a_time_within_their_limit():
    lab = play_burst(ON)
    told = [c.told_s for c in lab.refused_callers]
    assert min(told) > 0.0
    assert max(told) <= lab.route.timeout_s
    assert len(set(told)) > 0.9 * len(told)


def test_new_callers_are_served_while_others_return():
    lab = play_burst(ON)
    late = lab.callers[-50:]
    assert sum(bool(c.first) for c in late) >= 45


def test_callers_are_told_a_later_time_if_capacity_was_lost():
    lab = ReturningLoad()
    lab.call(1600, 0.1)
    lab.run(0.3)
    primary = lab.cluster.members["a"]
    primary.slots = 1
    del primary.slot_free_at[1:]
    lab.run(5.0)
    refused_again = [c for c in lab.refused_callers if not c.again]
    assert refused_again
    assert all(c.told_again_s > 0.0 for c in refused_again)


def test_callers_that_never_return_block_nobody():
    lab = ReturningLoad()
    lab.call(1600, 0.1, returns=0)
    lab.run(0.5)
    lab.callers.clear()
    lab.call(100, 1.0)
    lab.run(3.0)
    assert sum(bool(c.first) for c in lab.callers) >= 95


def test_callers_that_return_twice_find_room_left_for_others():
    lab = ReturningLoad()
    lab.call(1600, 0.1, returns=2)
    lab.run(5.0)
    assert lab.share_served_again >= 0.5


def test_a_flood_that_only_asks_does_not_delay_urgent_callers():
    lab = ReturningLoad()
    lab.call(2000, 1.0, returns=0)
    lab.run(0.5)
    urgent = attrs.evolve(lab.route, name="u", priority=0)
    for number in range(20):
        lab.clock.after(number * 0.02, lambda: lab._ask(urgent))
    lab.run(3.0)
    assert len(lab.served("u")) >= 18


def test_without_the_feature_the_time_is_the_reasons():
    lab = ReturningLoad(_features.NONE)
    lab.call(1600, 0.1)
    lab.run(3.0)
    assert {c.told_s for c in lab.refused_callers} == {1.0}


def test_a_transaction_that_found_no_link_is_told_how_long_it_waited():
    """Guards against 10 ms while a slot, but no link, is free."""
    lab = ReturningLoad()
    lab.cluster.behind.clear()
    for _ in range(10):
        lab.do(lab.session(), fakes.statement("WRITE x 1"))
    holders = [lab.session() for _ in range(6)]
    for session in holders:
        lab.do(session, fakes.statement("BEGIN"))
        lab.do(session, fakes.statement("WRITE x 1"))
    session = lab.session()
    lab.do(session, fakes.statement("BEGIN"))
    reply = lab.do(session, fakes.statement("WRITE x 1"))
    assert reply.reason is decisions.OVERLOADED
    hold_s = lab.policy.hold_share * lab.route.target_s
    assert reply.retry_after_s >= 0.9 * hold_s


def test_members_that_are_gone_are_forgotten():
    lab = ReturningLoad()
    entries = {n: p.member for n, p in lab.group.pools.items()}
    lab.run(0.1)
    for number in range(20):
        entry = attrs.evolve(entries["c"], id="c", born=5_000 + number)
        others = {n: e for n, e in entries.items() if n != "c"}
        lab.runner._advice._returns_at(f"gone{number}")
        lab.group.set_members({**others, "c": entry}, 7)
        lab.do(lab.session(), fakes.statement("READ x"))
    assert len(lab.runner._advice._returns) <= len(lab.group.pools) + 1


def test_nothing_is_kept_without_the_feature():
    lab = ReturningLoad(_features.NONE)
    lab.call(100, 0.5)
    lab.run(2.0)
    assert not lab.runner._advice._returns


class FakeRunner:
    """A serving node with one answer to all statements."""

    def __init__(self, answer) -> None:
        self._answer = answer

    def run(self, _):
        return self._answer()

    def begin(self, _):
        raise AssertionError("not used")


@pytest.mark.parametrize("delay_s", [float("nan"), -1.0, float("inf"), 1e12])
def test_invalid_times_of_a_serving_node_are_not_passed_on(delay_s):
    lab = fakes.Lab()

    def answer():
        yield decisions.completed(None)
        return _links.Reply(
            fakes.STATES.IDLE,
            reason=decisions.OVERLOADED,
            retry_after_s=delay_s,
        )

    lab.runner = FakeRunner(answer)
    reply = lab.do(lab.session(), fakes.statement("READ x"))
    assert reply.retry_after_s is None


def test_callers_without_a_serving_node_return_at_different_times():
    lab = fakes.Lab()
    lab.ctx = attrs.evolve(lab.ctx, features=ON)

    def answer():
        yield decisions.completed(None)
        raise decisions.RequestFailedError(decisions.NO_SERVING_NODE)

    lab.runner = FakeRunner(answer)
    told = {
        lab.do(lab.session(), fakes.statement("READ x")).retry_after_s
        for _ in range(20)
    }
    assert len(told) == 20
    assert max(told) <= 1.0


def test_a_primary_only_route_waits_for_the_primary_alone():
    lab = ReturningLoad()
    kind = _configuration.Consistency.PRIMARY
    lab.route = attrs.evolve(lab.route, consistency=kind)
    lab.call(1600, 0.1)
    lab.run(5.0)
    assert lab.share_served_again >= 0.9
