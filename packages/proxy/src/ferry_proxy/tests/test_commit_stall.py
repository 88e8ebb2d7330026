"""Writes at a primary whose replicas are all out of reach."""

import attrs
import ferry_decisions as decisions
import pytest

from ferry_proxy import _configuration
from ferry_proxy import _policy
from ferry_proxy.queueing import _commit_stall
from ferry_proxy.tests import fakes

POLICY = _policy.Policy()
IMMEDIATE_S = 0.1
# By then, one write has gone unanswered for too long and a floor is overdue.
DETECTED_S = 0.7


def primary(member: str = "a", heard_at: float = float("inf")):
    return _commit_stall.Primary(member, heard_at)


@pytest.mark.parametrize(
    ("unanswered_s", "floor_age_s", "expected"),
    [
        (0.2, 0.7, False),  # The commit may still be answered in time.
        (0.3, 0.5, False),  # The next floor is not overdue.
        (0.3, 0.7, True),
        (0.9, 0.7, False),  # A replica was heard after it was sent.
        (5.0, float("inf"), True),
        (5.0, float("nan"), False),
        (5.0, -1.0, False),
    ],
)
def test_when_commits_are_stalled(unanswered_s, floor_age_s, expected):
    stall = _commit_stall.CommitStall(POLICY)
    stall.note_sent("a", 100.0)
    now = 100.0 + unanswered_s
    assert stall.is_stalled(primary(), now, floor_age_s, 2) is expected
    assert not stall.is_stalled(primary("b"), now, floor_age_s, 2)
    silent = primary(heard_at=99.9)
    assert not stall.is_stalled(silent, now, floor_age_s, 2)


def test_a_commit_that_is_answered_ends_a_stall():
    stall = _commit_stall.CommitStall(POLICY)
    stall.note_sent("a", 100.0)
    stall.note_sent("a", 101.0)
    stall.note_rejected(101.0)
    assert stall.is_stalled(primary(), 102.0, 9.0, 2)
    stall.note_committed()
    assert not stall.is_stalled(primary(), 102.0, 9.0, 2)


class Load(fakes.Lab):
    """Statements at a node that may have two in progress at a member."""

    def __init__(self, consistency=_configuration.Consistency.SESSION):
        super().__init__(consistency, limit=8)
        entries = {
            n: attrs.evolve(e, slots=4)
            for n, e in self.cluster.entries().items()
        }
        self.group.set_members(entries, 8, nodes=4)
        self.answers: list[tuple[str, float, decisions.Reason | None]] = []
        self.run(1.0)

    def cut(self) -> None:
        """Cuts the node and the primary off from both replicas."""
        for name in "bc":
            self.cluster.members[name].dark = True

    def heal(self) -> None:
        for name in "bc":
            self.cluster.members[name].dark = False

    def offer(self, text: str, per_s: float, seconds: float) -> None:
        """Sends statements at a steady rate, each in a session of its own."""
        for number in range(int(per_s * seconds)):
            self.clock.after(number / per_s, lambda: self._ask(text))

    def _ask(self, text: str) -> None:
        started_at = self.clock.now()
        fut = self.session().run(fakes.statement(text))

        def note(done) -> None:
            elapsed_s = self.clock.now() - started_at
            self.answers.append((text, elapsed_s, done.result().reason))

        fut.add_done_callback(note)

    def told(self, text: str):
        """Returns the times and reasons of the answers to a statement."""
        return [(s, r) for t, s, r in self.answers if t == text]


def test_writes_that_wait_for_a_replica_leave_room_for_reads():
    """Reads go on at the primary for as long as their floor allows."""
    lab = Load()
    lab.cut()
    lab.offer("WRITE x 1", 20, 1.3)
    lab.run(DETECTED_S)
    lab.answers.clear()
    lab.offer("READ x", 40, 0.5)
    lab.run(0.55)
    reads = [reason for _, reason in lab.told("READ x")]
    assert len(reads) == 20
    assert reads.count(None) >= 18


def test_further_writes_are_refused_at_once_and_truly():
    lab = Load()
    lab.cut()
    lab.offer("WRITE x 1", 20, 3.0)
    lab.run(DETECTED_S)
    lab.answers.clear()
    sent = len(lab.cluster.members["a"].runs)
    lab.run(2.0)
    refused = [
        (elapsed_s, reason)
        for elapsed_s, reason in lab.told("WRITE x 1")
        if reason is decisions.NO_PRIMARY
    ]
    assert len(refused) >= 38
    assert all(elapsed_s <= IMMEDIATE_S for elapsed_s, _ in refused)
    assert all(r.outcome is decisions.Outcome.NOT_RUN for _, r in refused)
    assert all(r.retry_after_s > 0 for _, r in refused)
    assert len(lab.cluster.members["a"].runs) == sent


def test_no_write_is_sent_twice():
    lab = Load()
    lab.cut()
    lab.offer("WRITE x 1", 20, 3.0)
    lab.run(1.5)
    lab.heal()
    lab.run(4.0)
    names = [name for name, _ in lab.cluster.members["a"].runs]
    assert len(names) == len(set(names))


@pytest.mark.parametrize("cut_s", [1.5, 8.0])
def test_writes_run_again_once_a_replica_is_heard(cut_s):
    lab = Load()
    for _ in range(2):
        lab.cut()
        lab.offer("WRITE x 1", 20, 1.0)
        lab.run(cut_s)
        lab.heal()
        lab.run(1.5)
        answer = lab.do(lab.session(), fakes.statement("WRITE x 1"))
        assert answer.reason is None


def test_a_lost_answer_is_no_stall():
    lab = Load()
    lab.cluster.members["a"].replies_to_drop = 1
    lab.offer("WRITE x 1", 20, 2.0)
    lab.run(3.0)
    reasons = [reason for _, reason in lab.told("WRITE x 1")]
    assert reasons.count(None) == len(reasons) - 1
    assert reasons.count(decisions.ANSWER_LOST) == 1


def test_a_lost_answer_without_other_writes_is_no_stall():
    """The floors that come meanwhile show that replicas are in reach."""
    lab = Load()
    lab.cluster.members["a"].replies_to_drop = 1
    lab.offer("WRITE x 1", 1, 1.0)
    for _ in range(15):
        lab.run(0.1)
        assert not lab.group.commits.is_stalled(lab.group.pools["a"])


def test_a_stall_ends_with_the_primary():
    lab = Load()
    lab.cut()
    lab.offer("WRITE x 1", 20, 1.0)
    lab.run(DETECTED_S)
    assert lab.group.commits.is_stalled(lab.group.pools["a"])
    assert not lab.group.commits.is_stalled(lab.group.pools["b"])


def test_a_transaction_cannot_commit_in_a_stall():
    """It is rolled back, and its caller learns that nothing is kept."""
    lab = Load()
    session = lab.session()
    assert lab.do(session, fakes.statement("BEGIN")).reason is None
    assert lab.do(session, fakes.statement("WRITE y 1", "tx")).reason is None
    lab.cut()
    lab.offer("WRITE x 1", 20, 1.0)
    lab.run(DETECTED_S)
    begun = lab.clock.now()
    answer = lab.do(session, fakes.statement("COMMIT", "commit"))
    assert answer.reason.outcome is decisions.Outcome.NOT_RUN
    assert lab.clock.now() - begun <= IMMEDIATE_S
    lab.heal()
    lab.run(2.0)
    assert "commit" not in [n for _, n in lab.cluster.members["a"].log]


def test_a_primary_that_answers_nothing_is_awaited():
    """It is replaced within a second or two, and writes wait for that."""
    lab = Load()
    lab.add_promoter()
    lab.run(1.0)
    lab.cluster.members["a"].dark = True
    lab.offer("WRITE x 1", 20, 1.5)
    lab.run(4.0)
    answers = lab.told("WRITE x 1")
    refused_s = [s for s, r in answers if r is decisions.NO_PRIMARY]
    assert all(waited_s > 0.5 for waited_s in refused_s)
    assert [r for _, r in answers].count(None) >= 15
