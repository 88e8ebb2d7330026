"""Tests that a caller who returns as told keeps its place in the queue."""

import attrs
import ferry_decisions as decisions
import pytest

from ferry_proxy import _features
from ferry_proxy import _forward_messages
from ferry_proxy import _links
from ferry_proxy.queueing import _kept_places
from ferry_proxy.tests import fakes
from ferry_proxy.tests import test_forwarding
from ferry_proxy.tests import test_refusal_advice


@pytest.fixture
def kept():
    place = _kept_places.KeptPlace()
    place.keep("r", 10.0, 10.5, 0.8)
    return place


def test_a_caller_that_returns_as_told_has_been_queued(kept):
    assert kept.take("r", 10.6) == pytest.approx(0.6)


def test_a_caller_that_returns_too_early_loses_its_place(kept):
    assert kept.take("r", 10.4) == 0.0
    assert kept.take("r", 10.6) == 0.0


def test_a_place_is_forgotten_after_some_time_limits(kept):
    assert kept.take("r", 10.0 + 3 * 0.8 + 0.01) == 0.0


def test_a_place_is_used_once(kept):
    kept.take("r", 10.6)
    assert kept.take("r", 10.7) == 0.0


def test_a_place_belongs_to_its_route(kept):
    assert kept.take("other", 10.6) == 0.0


@pytest.mark.parametrize(
    "queued_for_s", [float("nan"), float("inf"), -1.0, 100.0]
)
def test_invalid_figures_of_a_peer_give_no_place(queued_for_s):
    assert _kept_places.usable_wait_s(queued_for_s, 0.8) == 0.0


def play(keeps_session, features=test_refusal_advice.ON):
    """Plays half as much again as the primary can run, for 2 s."""
    lab = test_refusal_advice.ReturningLoad(features)
    lab.call(50, 0.5)
    lab.run(0.5)
    lab.call(300, 2.0, keeps_session=keeps_session)
    lab.run(5.0)
    return lab


def never_served(lab) -> int:
    return sum(not c.again for c in lab.refused_callers)


def test_callers_that_keep_their_place_are_served_during_the_overload():
    lab = play(keeps_session=True)
    promised = [c for c in lab.refused_callers if c.is_promised]
    assert len(promised) > 200
    assert sum(bool(c.again) for c in promised) >= 0.9 * len(promised)


def test_fewer_callers_are_refused_twice_than_without_the_feature():
    without = play(keeps_session=True, features=_features.NONE)
    assert never_served(without) > 40
    assert never_served(play(keeps_session=True)) < 20


def test_callers_in_new_sessions_are_refused_again_more_often():
    with_place = play(keeps_session=True).share_served_again
    assert play(keeps_session=False).share_served_again < with_place


def test_without_the_feature_nobody_has_a_place():
    lab = fakes.Lab()
    session = lab.session()
    assert not session._kept_place.take("r", lab.clock.now())
    lab = play(keeps_session=True, features=_features.NONE)
    places = [c.session._kept_place._place for c in lab.callers if c.session]
    assert set(places) == {None}


class Recorder:
    """A serving node that refuses all and records what it is asked."""

    def __init__(self) -> None:
        self.queued: list[float] = []

    def run(self, request):
        self.queued.append(request.queued_for_s)
        yield decisions.completed(None)
        return _links.Reply(
            fakes.STATES.IDLE,
            reason=decisions.OVERLOADED,
            retry_after_s=0.2,
            keeps_place=True,
        )

    def begin(self, _):
        raise AssertionError("not used")


def test_a_second_return_is_queued_by_the_first_arrival():
    lab = fakes.Lab()
    lab.runner = recorder = Recorder()
    session = lab.session()
    for _ in range(3):
        lab.do(session, fakes.statement("READ x"))
        lab.run(0.2)
    assert recorder.queued[0] == 0.0
    assert recorder.queued[1] == pytest.approx(0.2, abs=0.02)
    assert recorder.queued[2] == pytest.approx(0.4, abs=0.04)


def test_another_entry_node_knows_no_place():
    lab = fakes.Lab()
    lab.runner = recorder = Recorder()
    lab.do(lab.session(), fakes.statement("READ x"))
    lab.run(0.2)
    lab.do(lab.session(), fakes.statement("READ x"))
    assert recorder.queued == [0.0, 0.0]


def test_a_place_is_kept_when_the_node_that_promised_is_gone():
    lab = test_forwarding.EntryLab()
    lab.local = recorder = Recorder()
    session = lab.session()
    lab.do(session, fakes.statement("READ x"))
    lab.near.fail()
    lab.run(0.2)
    lab.do(session, fakes.statement("READ x"))
    assert len(lab.far.sent) == 1
    assert recorder.queued[1] == pytest.approx(0.2, abs=0.02)


def test_a_session_that_only_asks_has_no_place():
    lab = fakes.Lab()
    lab.runner = recorder = Recorder()
    session = lab.session()
    for _ in range(50):
        lab.do(session, fakes.statement("READ x"))
    assert set(recorder.queued) == {0.0}


def test_a_place_does_not_shorten_the_deadline_of_a_forwarded_request():
    lab = fakes.Lab()
    seen = []

    class Runner(Recorder):
        def run(self, request):
            seen.append(request)
            return super().run(request)

    lab.runner = Runner()
    lab.do(lab.session(), fakes.statement("READ x"))
    request = attrs.evolve(seen[0], queued_for_s=0.5)
    now = lab.clock.now()
    body = _forward_messages.RunRequest.of(request, now)
    served = body.request(lab.clock)
    assert served.deadline == pytest.approx(request.deadline)
    assert served.queued_since == pytest.approx(request.arrived - 0.5)
