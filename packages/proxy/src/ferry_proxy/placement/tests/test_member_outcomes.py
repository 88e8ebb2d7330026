"""Tests of the outcomes of a member's statements."""

import ferry_decisions as decisions
import pytest

from ferry_proxy.placement import _member_outcomes

Verdict = _member_outcomes.Verdict
Change = _member_outcomes.Change
MAX_CONSECUTIVE = _member_outcomes.MAX_CONSECUTIVE
MAX_EJECTION_S = _member_outcomes.MAX_EJECTION_S


def noted(verdicts, step_s=0.01) -> _member_outcomes.MemberOutcomes:
    """Returns the outcomes after verdicts at a steady rate from time 0."""
    outcomes = _member_outcomes.MemberOutcomes()
    for number, verdict in enumerate(verdicts):
        outcomes.note(verdict, number * step_s, number * step_s)
    return outcomes


def ejected_at(now: float) -> _member_outcomes.MemberOutcomes:
    outcomes = _member_outcomes.MemberOutcomes()
    for _ in range(MAX_CONSECUTIVE):
        outcomes.note(Verdict.LOST, now, now)
    assert outcomes.is_ejected
    return outcomes


@pytest.mark.parametrize(
    ("reason", "expected"),
    [
        (None, Verdict.SERVED),
        (decisions.STATEMENT_FAILED, Verdict.FAILED),
        (decisions.STATEMENT_TIMEOUT, Verdict.FAILED),
        (decisions.MEMBER_BUSY, Verdict.SHED),
        (decisions.BEHIND, None),
        (decisions.NOT_PRIMARY, None),
        (decisions.UNKNOWN_PREPARED, None),
        (decisions.WRONG_MEMBER, None),
        (decisions.PROTOCOL_VIOLATION, None),
    ],
)
def test_verdicts(reason, expected):
    assert _member_outcomes.verdict_of(reason) is expected


@pytest.mark.parametrize(
    ("verdicts", "expected"),
    [
        ([Verdict.FAILED] * 4, False),
        ([Verdict.FAILED] * 5, True),
        ([Verdict.SERVED] * 20 + [Verdict.LOST] * 5, True),
        ([Verdict.SERVED, Verdict.FAILED] * 6, True),
        ([Verdict.SERVED, Verdict.SERVED, Verdict.FAILED] * 10, True),
        (([Verdict.SERVED] * 9 + [Verdict.FAILED]) * 10, False),
        # A member that sheds half of its load may be right to do so.
        ([Verdict.SERVED, Verdict.SHED] * 20, False),
        ([Verdict.SHED] * 20, True),
    ],
)
def test_a_member_that_fails_too_many_statements_is_ejected(verdicts, expected):
    assert noted(verdicts).is_ejected is expected


def test_statements_lost_in_one_crash_are_one_failure():
    """A member that comes and goes can be used while it is there."""
    outcomes = noted([Verdict.SERVED] * 5)
    for crash_at in (0.2, 1.6, 3.0):
        for number in range(10):
            sent_at = crash_at - 0.001 * number - 0.01
            outcomes.note(Verdict.LOST, sent_at, crash_at)
    assert not outcomes.is_ejected
    assert not outcomes.loses_all


def test_an_unused_member_is_forgiven():
    outcomes = noted([Verdict.FAILED] * 4)
    assert outcomes.failure_share(0.04) > 0.5
    assert outcomes.failure_share(15.0) < 0.1


def test_one_probe_at_a_time_after_a_pause():
    outcomes = ejected_at(0.0)
    assert not outcomes.is_probe_due(0.1)
    assert outcomes.is_probe_due(0.25)
    outcomes.claim_probe(0.25)
    assert not outcomes.is_probe_due(0.3)
    # The caller of that one has left.
    assert outcomes.is_probe_due(1.3)


def test_failed_probes_double_the_pause_up_to_a_bound():
    outcomes = ejected_at(0.0)
    now, pauses = 0.0, []
    for _ in range(8):
        now += outcomes.ejection_s
        assert outcomes.is_probe_due(now)
        assert outcomes.note(Verdict.LOST, now, now) is None
        pauses.append(outcomes.ejection_s)
    assert pauses == sorted(pauses)
    assert pauses[0] == pytest.approx(0.4)
    assert pauses[-1] == MAX_EJECTION_S


def test_a_member_returns_after_several_served_probes():
    outcomes = ejected_at(0.0)
    changes = [outcomes.note(Verdict.SERVED, 0.3, 0.3) for _ in range(3)]
    assert changes == [None, None, Change.RETURNED]
    assert outcomes.failure_share(0.3) == 0.0


def test_statements_sent_before_the_ejection_are_no_probes():
    outcomes = ejected_at(0.0)
    for _ in range(5):
        assert outcomes.note(Verdict.SERVED, -0.1, 0.3) is None
        assert outcomes.note(Verdict.LOST, -0.1, 0.3) is None
    assert outcomes.is_ejected
    assert outcomes.ejection_s == pytest.approx(0.2)


@pytest.mark.parametrize(("rest_s", "expected"), [(1.0, 0.4), (20.0, 0.2)])
def test_the_pause_starts_anew_after_a_long_time_of_service(rest_s, expected):
    outcomes = ejected_at(0.0)
    for _ in range(3):
        outcomes.note(Verdict.SERVED, 0.3, 0.3)
    later = 0.3 + rest_s
    for _ in range(MAX_CONSECUTIVE):
        outcomes.note(Verdict.LOST, later, later)
    assert outcomes.ejection_s == pytest.approx(expected)


def test_only_lost_links_make_a_member_refuse_what_only_it_can_run():
    outcomes = ejected_at(0.0)
    assert outcomes.loses_all
    outcomes.note(Verdict.FAILED, 0.3, 0.3)
    assert not outcomes.loses_all
    assert not noted([Verdict.FAILED] * 9).loses_all


def test_writes_probe_later_than_reads():
    outcomes = ejected_at(0.0)
    assert outcomes.is_probe_due(0.3)
    assert not outcomes.is_probe_due(0.3, writes=True)
    assert outcomes.is_probe_due(0.75, writes=True)


def test_failures_of_statements_in_flight_during_a_pause_do_not_count():
    outcomes = _member_outcomes.MemberOutcomes()
    outcomes.note_pause(5.0)
    for _ in range(10):
        assert outcomes.note(Verdict.LOST, 1.0, 5.0) is None
    assert outcomes.failure_share(5.0) == 0.0
