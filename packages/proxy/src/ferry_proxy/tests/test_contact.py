"""The evidence on whether a member lives, and what rests on it."""

import ferry_decisions as decisions
import pytest

from ferry_proxy import _contact
from ferry_proxy.tests import fakes


class Clock(decisions.VirtualTimers):
    def boot_now(self):
        return self.now()


@pytest.mark.parametrize(
    ("latency_s", "steps", "expected"),
    [
        (0.01, ["ask", 0.1], False),
        (0.01, ["ask", 0.2], True),
        (0.01, ["ask", 0.1, "hear", 5.0], False),  # Nobody asked since.
        (0.01, ["ask", 0.1, "hear", "ask", 0.1], False),
        (0.01, ["ask", 0.1, "ask", 0.1], True),  # The first one counts.
        (0.1, ["ask", 0.3], False),  # Slow members take their time.
        (0.1, ["ask", 0.5], True),
        (0.01, ["ask", 0.5, "forgive", 0.0], False),  # This process stood.
    ],
)
def test_quiet(latency_s, steps, expected):
    clock = Clock()
    contact = _contact.Contact(clock)
    contact.latency_s = latency_s
    for step in steps:
        if step == "ask":
            contact.note_asked()
        elif step == "hear":
            contact.note_heard()
        elif step == "forgive":
            contact.exclude_pause(0.5)
        else:
            clock.advance(step)
    assert contact.is_unresponsive is expected


def primary_falls_dark(lab):
    lab.do(lab.session(), fakes.statement("WRITE x 1"))
    lab.cluster.members["a"].dark = True
    return lab.clock.now()


def test_a_dark_primary_is_replaced_a_second_after_it_fell():
    """1.0 s with a promotion of 0.6 s; 1.5 s while only silence counted."""
    lab = fakes.Lab()
    lab.add_promoter()
    fell = primary_falls_dark(lab)
    while lab.group.leader is None or lab.group.leader.member == "a":
        lab.session().run(fakes.statement("WRITE x 1"))
        lab.run(0.02)
    assert lab.clock.now() - fell < 1.3
    assert lab.cluster.lost == []


def test_writers_wait_for_the_next_primary_rather_than_be_refused(
    monkeypatch,
):
    monkeypatch.setattr(fakes, "PROMOTE_S", 0.3)
    lab = fakes.Lab()
    lab.add_promoter()
    fell = primary_falls_dark(lab)
    futs = []
    while lab.clock.now() - fell < 0.9:
        is_primary_changing = lab.group.is_primary_changing
        fut = lab.session().run(fakes.statement("WRITE x 1"))
        if is_primary_changing:
            futs.append(fut)
        lab.run(0.03)
    lab.run(1.5)
    reasons = [f.result().reason for f in futs]
    assert len(futs) > 15
    # Who came last waits behind all others, for no longer than usual.
    assert reasons.count(None) >= len(futs) - 1


def test_what_waited_for_a_change_is_not_refused_at_its_end(monkeypatch):
    """It has the usual time for a link, counted from the change's end."""
    monkeypatch.setattr(fakes, "PROMOTE_S", 0.3)
    lab = fakes.Lab(limit=1)
    lab.add_promoter()
    fell = primary_falls_dark(lab)
    while lab.clock.now() - fell < 0.6:
        lab.run(0.02)
    futs = [lab.session().run(fakes.statement("WRITE x 1")) for _ in range(3)]
    lab.run(2.0)
    assert [f.result().reason for f in futs] == [None] * 3


def test_nobody_waits_for_a_change_that_does_not_come():
    """While the store is away, a dark primary is not replaced."""
    lab = fakes.Lab()
    lab.add_promoter()
    lab.store.down = True
    primary_falls_dark(lab)
    lab.run(4.0)
    assert not lab.group.is_primary_changing
    begun = lab.clock.now()
    answer = lab.do(lab.session(), fakes.statement("WRITE x 1"))
    assert answer.reason is not None
    assert lab.clock.now() - begun < lab.route.target_s / 4 + 0.01


def test_a_transaction_leaves_a_member_that_answers_nobody():
    lab = fakes.Lab()
    session = lab.session()
    lab.do(session, fakes.statement("BEGIN READ"))
    lab.do(session, fakes.statement("READ x"))
    for name in "bc":
        lab.cluster.members[name].dark = True
    begun = lab.clock.now()
    answer = lab.do(session, fakes.statement("READ x"))
    assert answer.reason is decisions.TRANSACTION_LOST
    assert lab.clock.now() - begun < 0.3


def test_a_commit_is_waited_for():
    """Whether it ran is not known: only its own answer tells in time."""
    lab = fakes.Lab()
    session = lab.session()
    lab.do(session, fakes.statement("BEGIN"))
    lab.do(session, fakes.statement("WRITE x 1"))
    lab.cluster.members["a"].dark = True
    begun = lab.clock.now()
    answer = lab.do(session, fakes.statement("COMMIT"), wait=12.0)
    assert answer.reason is decisions.ANSWER_LOST
    assert lab.clock.now() - begun >= lab.route.timeout_s - 0.01


def test_resting_transactions_of_a_replaced_primary_end():
    lab = fakes.Lab()
    lab.add_promoter()
    session = lab.session()
    lab.do(session, fakes.statement("BEGIN"))
    lab.do(session, fakes.statement("WRITE x 1"))
    primary_falls_dark(lab)
    lab.run(3.0)
    assert lab.group.leader is not None and lab.group.leader.member != "a"
    answer = lab.do(session, fakes.statement("COMMIT"))
    assert answer.reason is decisions.TRANSACTION_LOST
