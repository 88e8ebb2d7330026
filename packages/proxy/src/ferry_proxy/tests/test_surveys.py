"""How old floors are at nodes that get them from the surveyor."""

import types
import typing

import attrs
import ferry_decisions as decisions
import pytest

from ferry_proxy import _departures
from ferry_proxy import _freshness
from ferry_proxy import _members
from ferry_proxy import _peer_messages
from ferry_proxy import _surveys

ROUND_INTERVAL_S = 0.4
NETWORK_DELAY_S = 0.002
MAX_FLOOR_AGE_S = 0.7


@attrs.define
class Surveyor:
    """The peer that asks the members, with rounds shifted by a phase."""

    clock: decisions.VirtualTimers
    phase_s: float
    peer: str = ""  # The empty name ranks first.
    silence_s: float = 0.0
    asked: int = 0

    def call(
        self, body: _peer_messages.Message
    ) -> "decisions.Future[_peer_messages.Message]":
        self.asked += 1
        floor_age_s = (self.clock.now() - self.phase_s) % ROUND_INTERVAL_S
        reply = _peer_messages.SurveyReply("a", 1, 1, 5, floor_age_s, 0.0)
        fut: decisions.Future[_peer_messages.Message] = decisions.Future()
        self.clock.after(2 * NETWORK_DELAY_S, lambda: fut.set_result(reply))
        return fut

    def tell(self, body: _peer_messages.Message) -> None:
        raise AssertionError(f"unexpected message: {body}")


@attrs.define
class FakeGroup:
    """A group that records the newest floor that it receives."""

    clock: decisions.VirtualTimers
    floor_covered_at: float = float("-inf")
    rounds: int = 0
    has_failed_contact: bool = False
    departures: _departures.Departures = attrs.field(
        factory=_departures.Departures
    )
    service: typing.Any = attrs.field(
        factory=lambda: types.SimpleNamespace(name="orders")
    )

    def refresh(self) -> None:
        self.rounds += 1

    def apply_survey(
        self, leader: _members.Leader, sample: _freshness.Sample, heard: float
    ) -> None:
        self.floor_covered_at = max(self.floor_covered_at, sample.at)


class Lab:
    """A node that gets a group's floor from the surveyor."""

    def __init__(self, phase_s: float) -> None:
        self.clock = decisions.VirtualTimers()
        self.peer = Surveyor(self.clock, phase_s)
        self.group = FakeGroup(self.clock)
        mesh = types.SimpleNamespace(streams=[self.peer])
        self.surveys = _surveys.Surveys(
            self.clock, "z", typing.cast(typing.Any, mesh), ROUND_INTERVAL_S
        )
        self._ticks = decisions.PeriodicTimer(
            self.clock, ROUND_INTERVAL_S, self._survey
        )

    def _survey(self) -> None:
        self.surveys.survey(typing.cast(typing.Any, self.group))

    def max_floor_age_s(self, seconds: float) -> float:
        """Returns the greatest age of the floor over a period."""
        max_age_s = 0.0
        for _ in range(int(seconds * 100)):
            self.clock.advance(0.01)
            max_age_s = max(
                max_age_s, self.clock.now() - self.group.floor_covered_at
            )
        return max_age_s

    def stop(self) -> None:
        self._ticks.stop()


@pytest.fixture(autouse=True)
def surveyor_ranks_first(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        decisions, "rendezvous_score", lambda _, name: name != ""
    )


@pytest.mark.parametrize("phase_s", [0.0, 0.1, 0.2, 0.3, 0.35, 0.39])
def test_floors_are_younger_than_what_counts_as_isolated(phase_s):
    """Floors stay young at any phase between this node and the surveyor.

    Requests just after the surveyor's round give floors of at most 0.44 s;
    requests at arbitrary times gave up to 0.80 s.
    """
    lab = Lab(phase_s)
    lab.clock.advance(2.0)
    asked = lab.peer.asked
    assert lab.max_floor_age_s(10.0) < MAX_FLOOR_AGE_S - 0.2
    assert lab.peer.asked - asked <= 10.0 / ROUND_INTERVAL_S + 2
    assert lab.group.rounds == 0


def test_a_group_that_is_let_go_is_not_asked_about_any_more():
    lab = Lab(0.1)
    lab.clock.advance(2.0)
    lab.stop()
    lab.clock.advance(2.0)
    asked = lab.peer.asked
    lab.clock.advance(5.0)
    assert lab.peer.asked == asked
