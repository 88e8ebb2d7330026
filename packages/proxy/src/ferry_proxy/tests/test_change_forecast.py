"""Tests of what callers are told while the primary is being changed."""

import attrs
import ferry_decisions as decisions
import pytest

from ferry_proxy import _configuration
from ferry_proxy import _execution
from ferry_proxy import _features
from ferry_proxy import _members
from ferry_proxy import _policy
from ferry_proxy import _requests
from ferry_proxy import _runners
from ferry_proxy.queueing import _change_forecast
from ferry_proxy.tests import fakes
from ferry_proxy.tests import test_refusal_advice

NEVER = float("-inf")
POLICY = _policy.Policy()
PROMOTION_S = POLICY.promote_wait_s / 2


def view(at, is_suspected=False, is_claimed=False, found_at=NEVER):
    return _change_forecast.PrimaryView(
        at=at,
        is_suspected=is_suspected,
        is_claimed=is_claimed,
        found_at=found_at,
    )


@pytest.fixture
def forecast():
    return _change_forecast.ChangeForecast(POLICY)


def test_no_change_no_forecast(forecast):
    forecast.update(view(5.0))
    assert forecast.remaining_s(5.0) == 0.0


def test_a_suspicion_lasts_until_the_claim_and_the_promotion(forecast):
    forecast.update(view(5.0, is_suspected=True))
    expected = POLICY.unanswered_s + PROMOTION_S
    assert forecast.remaining_s(5.0) == pytest.approx(expected)
    assert forecast.remaining_s(5.4) == pytest.approx(expected - 0.4)


def test_the_newest_stage_counts(forecast):
    forecast.update(view(5.0, is_suspected=True))
    forecast.update(view(5.2, is_suspected=True, is_claimed=True))
    assert forecast.remaining_s(5.2) == pytest.approx(PROMOTION_S)
    forecast.note_step("fenced", 5.3)
    assert forecast.remaining_s(5.3) == pytest.approx(PROMOTION_S)
    forecast.note_step("promoting", 5.4)
    assert forecast.remaining_s(5.4) == pytest.approx(PROMOTION_S)


def test_a_forecast_that_has_passed_is_none(forecast):
    forecast.update(view(5.0, is_claimed=True))
    assert forecast.remaining_s(5.0 + PROMOTION_S + 0.01) == 0.0
    forecast.update(view(9.0, is_claimed=True))
    assert forecast.remaining_s(9.0) == 0.0


def test_a_suspicion_that_ends_is_forgotten(forecast):
    forecast.update(view(5.0, is_suspected=True))
    forecast.update(view(5.2))
    assert forecast.remaining_s(5.2) == 0.0
    forecast.update(view(9.0, is_suspected=True))
    assert forecast.remaining_s(9.0) > PROMOTION_S


def test_a_change_that_is_abandoned_begins_anew(forecast):
    forecast.update(view(5.0, is_claimed=True))
    forecast.note_step("promoting", 5.1)
    forecast.note_step("abandoned", 5.8)
    assert forecast.remaining_s(5.8) == 0.0
    forecast.note_step("claimed", 6.2)
    assert forecast.remaining_s(6.2) == pytest.approx(PROMOTION_S)


def test_a_claim_that_lapses_is_told_anew_by_the_next(forecast):
    forecast.update(view(5.0, is_suspected=True, is_claimed=True))
    forecast.update(view(7.1, is_suspected=True))
    assert forecast.remaining_s(7.1) == 0.0
    forecast.update(view(7.9, is_suspected=True, is_claimed=True))
    assert forecast.remaining_s(7.9) == pytest.approx(PROMOTION_S)


def change(forecast, at, took_s):
    forecast.update(view(at, is_claimed=True))
    forecast.update(view(at + took_s + 0.1, found_at=at + took_s))


def test_earlier_changes_replace_the_default(forecast):
    change(forecast, 5.0, 0.7)
    assert forecast.remaining_s(6.0) == 0.0
    forecast.update(view(20.0, is_claimed=True, found_at=5.7))
    assert forecast.remaining_s(20.0) == pytest.approx(0.7)


def test_a_short_change_lowers_the_forecast_slowly(forecast):
    change(forecast, 5.0, 1.0)
    change(forecast, 20.0, 0.5)
    forecast.update(view(30.0, is_claimed=True, found_at=20.5))
    assert forecast.remaining_s(30.0) == pytest.approx(0.8)


def test_a_very_long_change_is_not_expected_again(forecast):
    change(forecast, 5.0, 60.0)
    forecast.update(view(90.0, is_claimed=True, found_at=65.0))
    limit_s = POLICY.unanswered_s + POLICY.promote_wait_s
    assert forecast.remaining_s(90.0) == pytest.approx(limit_s)


class ChangingLab(fakes.Lab):
    """Writes of routes with a short and a long limit to a group in change."""

    def __init__(self, features=test_refusal_advice.ON) -> None:
        super().__init__()
        self.runner: _runners.LocalRunner = _runners.LocalRunner(
            self.clock,
            self.policy,
            _execution.Executor(self.clock, self.policy),
            self.group,
            features=features,
        )
        self.set_limit(0.8)
        for _ in range(5):
            self.do(self.session(), fakes.statement("WRITE x 1"))

    def set_limit(self, timeout_s: float) -> None:
        """Sets the time limit of the route."""
        self.route = attrs.evolve(self.route, timeout_s=timeout_s)
        self.configuration = attrs.evolve(
            self.configuration, routes={"db": self.route}
        )

    def lose_primary(self, claimed: bool = True) -> None:
        """Crashes the primary; another node claims the change of it."""
        self.cluster.crash("a")
        self.run(0.3)
        if claimed:
            self.group.expect_primary_change()

    def ask(self, text: str = "WRITE x 1"):
        """Returns the reply to a statement, and how long it took."""
        started_at = self.clock.now()
        reply = self.do(self.session(), fakes.statement(text))
        return reply, self.clock.now() - started_at

    def lead(self, name: str = "b") -> None:
        """Makes a replica the primary, as the group learns from a peer."""
        self.cluster._lead(self.cluster.members[name])
        term = self.cluster.members[name].term
        self.group.note_leader(_members.Leader(name, term))


def test_a_caller_that_cannot_outlive_the_change_is_refused_at_once():
    lab = ChangingLab()
    lab.lose_primary()
    reply, elapsed_s = lab.ask()
    assert reply.reason is decisions.NO_PRIMARY
    assert elapsed_s < 0.02
    assert 0.9 * PROMOTION_S <= reply.retry_after_s <= PROMOTION_S + 0.2


def test_without_the_feature_it_waits_for_nothing():
    lab = ChangingLab(_features.NONE)
    lab.lose_primary()
    reply, elapsed_s = lab.ask()
    assert reply.reason is decisions.NO_PRIMARY
    assert elapsed_s > 0.5


def test_a_caller_that_returns_as_told_is_served():
    lab = ChangingLab()
    lab.lose_primary()
    reply, _ = lab.ask()
    lab.clock.after(0.7, lab.lead)
    lab.run(reply.retry_after_s)
    reply, elapsed_s = lab.ask()
    assert reply.reason is None
    assert elapsed_s < 0.1


def test_a_caller_with_time_left_waits_for_the_change():
    lab = ChangingLab()
    lab.set_limit(2.0)
    lab.lose_primary()
    lab.clock.after(0.7, lab.lead)
    reply, elapsed_s = lab.ask()
    assert reply.reason is None
    assert elapsed_s > 0.6


def test_returns_after_a_change_are_spread():
    lab = ChangingLab()
    lab.lose_primary()
    told = [lab.ask()[0].retry_after_s for _ in range(30)]
    assert len(set(told)) == 30


def test_a_flood_of_callers_is_never_told_a_time_during_the_change():
    """Guards against times before its end once all slots are promised."""
    lab = ChangingLab()
    lab.lose_primary()
    futs = [
        lab.session().run(fakes.statement("WRITE x 1")) for _ in range(1000)
    ]
    told = [f.result().retry_after_s or 0.0 for f in futs]
    assert min(told) >= 0.99 * PROMOTION_S
    assert max(told) <= PROMOTION_S + lab.route.timeout_s


def test_a_node_that_ran_nothing_yet_tells_no_time_during_the_change():
    lab = ChangingLab()
    lab.lose_primary()
    lab.runner._advice._returns.clear()
    told = [lab.ask()[0].retry_after_s or 0.0 for _ in range(10)]
    assert min(told) >= 0.9 * PROMOTION_S
    assert len(set(told)) == 10


@pytest.mark.parametrize("text", ["WRITE x 1", "BEGIN"])
def test_nobody_is_refused_while_the_primary_accepts_statements(text):
    lab = ChangingLab()
    lab.group.expect_primary_change()  # A planned change has been claimed.
    reply, _ = lab.ask(text)
    assert reply.reason is None


def test_a_write_in_the_queue_of_the_lost_primary_is_told_the_forecast():
    lab = ChangingLab()
    lab.lose_primary()
    request = _requests.Request(
        statement=fakes.statement("WRITE x 1"),
        prepared=None,
        route=lab.route,
        values={},
        arrived=lab.clock.now(),
        arrived_boot=lab.clock.boot_now(),
    )
    exc = decisions.RequestFailedError(decisions.OVERLOADED, "a")
    told = lab.runner._advice.refine(request, exc)
    assert told.reason is decisions.OVERLOADED
    assert told.retry_after_s >= 0.9 * PROMOTION_S


def test_a_transaction_is_refused_at_once():
    lab = ChangingLab()
    lab.lose_primary()
    session = lab.session()
    lab.do(session, fakes.statement("BEGIN"))
    started_at = lab.clock.now()
    reply = lab.do(session, fakes.statement("WRITE x 1"))
    assert reply.reason is decisions.NO_PRIMARY
    assert lab.clock.now() - started_at < 0.02
    assert lab.do(session, fakes.statement("ROLLBACK")).reason is None


def test_a_read_with_a_floor_is_served_by_replicas():
    lab = ChangingLab()
    lab.lose_primary()
    reply, _ = lab.ask("READ x")
    assert reply.reason is None


def test_a_read_of_the_primary_alone_is_refused_at_once():
    lab = ChangingLab()
    kind = _configuration.Consistency.PRIMARY
    lab.route = attrs.evolve(lab.route, consistency=kind)
    lab.set_limit(0.8)
    lab.lose_primary()
    reply, elapsed_s = lab.ask("READ x")
    assert reply.reason is decisions.NO_PRIMARY
    assert elapsed_s < 0.02


def test_a_promoter_that_died_is_not_waited_for_twice():
    """A forecast that has passed refuses nobody, and no time is in the past."""
    lab = ChangingLab()
    lab.lose_primary()
    lab.run(PROMOTION_S + 0.1)
    lab.clock.after(0.3, lab.lead)
    reply, elapsed_s = lab.ask()
    assert reply.reason is None
    assert elapsed_s > 0.2


def test_a_wrong_forecast_tells_a_time_in_the_future():
    lab = ChangingLab()
    lab.lose_primary()
    for _ in range(8):
        reply, _ = lab.ask()
        assert reply.reason.outcome is decisions.Outcome.NOT_RUN
        assert reply.retry_after_s > 0.0
        lab.run(0.4)


def test_a_change_that_begins_again_is_told_anew():
    lab = ChangingLab()
    lab.lose_primary()
    lab.run(2.5)  # The claim has lapsed.
    lab.group.expect_primary_change()
    reply, elapsed_s = lab.ask()
    assert reply.reason is decisions.NO_PRIMARY
    assert elapsed_s < 0.02
    assert reply.retry_after_s >= 0.9 * PROMOTION_S


def test_the_promoter_itself_refuses_until_its_change_ends():
    lab = ChangingLab()
    lab.set_limit(0.5)
    lab.add_promoter()
    lab.cluster.crash("a")
    lab.run(0.6)  # The change has been claimed.
    reply, elapsed_s = lab.ask()
    assert reply.reason is decisions.NO_PRIMARY
    assert elapsed_s < 0.02
    lab.run(reply.retry_after_s)
    reply, _ = lab.ask()
    assert reply.reason is None
