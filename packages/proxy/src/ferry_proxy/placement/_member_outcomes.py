"""What became of the statements that this node sent to a member.

A member may answer status requests and still fail statements. It fails them
fast, so latency and load make it look like the best one. This is passive
outlier detection. A failure share raises the member's cost by the time of the
retries. A member that fails too many statements is ejected: it is used only
while no other can serve, until some probe statements have succeeded. All state
is one node's, in memory, and a few numbers for each member.
"""

import enum

import attrs
import ferry_decisions as decisions

# An older statement's weight falls by this with each newer one, so that about
# the last 20 count, and by time, so that a member which gets none is forgiven.
COUNT_DECAY = 0.95
TIME_DECAY_S = 3.0

# Added to the number of statements, so that a few do not make a large share.
PRIOR_STATEMENTS = 2.0

# A lost statement costs its caller a new attempt; at a quarter, a read with
# two attempts still fails once in 16.
MAX_SHARE = 0.25

# The least sum of the statements' weights, which is that of about ten.
MIN_STATEMENTS = 8.0

# So many failures in a row are no chance, however few statements there are.
MAX_CONSECUTIVE = 5

# How long a member is ejected at first and at most; each failed probe and each
# new ejection doubles it. A member that goes down for a second is used again
# soon after it is back, and a probe that fails costs one read a new attempt.
FIRST_EJECTION_S = 0.2
MAX_EJECTION_S = 0.8

# A member that has served for this long after its return starts anew.
FORGIVEN_AFTER_S = 10.0

# A member that fails half of its statements passes three probes once in eight.
PROBES = 3

# A probe whose caller has left does not prevent others for longer than this.
PROBE_TTL_S = 1.0

# Where nobody reads, a write is the probe, this much later than a read.
WRITE_PROBE_DELAY_S = 0.5


class Verdict(enum.Enum):
    """What became of a statement; the value is its weight as a failure."""

    SERVED = 0.0
    SHED = 0.5  # A busy member sheds load rightly, a faulty one all of it.
    FAILED = 1.0
    LOST = 1.01  # The member closed the link; a failure without a reply.


_FAILURES = {
    decisions.STATEMENT_FAILED: Verdict.FAILED,
    decisions.STATEMENT_TIMEOUT: Verdict.FAILED,
    decisions.MEMBER_BUSY: Verdict.SHED,
}


def verdict_of(reason: decisions.Reason | None) -> Verdict | None:
    """Returns the verdict on a reply; None if it tells nothing.

    Args:
        reason: Why the statement failed; None for success.
    """
    return Verdict.SERVED if reason is None else _FAILURES.get(reason)


class Change(enum.Enum):
    """A change of a member's standing."""

    EJECTED = "ejected"
    RETURNED = "returned"


@attrs.define(slots=True, eq=False)
class MemberOutcomes:
    """The outcomes of one member's statements, and whether it is ejected.

    Attributes:
        is_ejected: Whether other members are preferred.
        ejected_at: When it was last ejected, in the clock's seconds.
        ejection_s: The length of the current or last ejection, in seconds.
    """

    is_ejected: bool = False
    ejected_at: float = float("-inf")
    ejection_s: float = 0.0
    _statements: float = 0.0
    _failures: float = 0.0
    _consecutive: int = 0
    _lost_in_a_row: int = 0
    _noted_at: float = float("-inf")
    _paused_at: float = float("-inf")
    _lost_at: float = float("-inf")
    _retry_at: float = float("-inf")
    _returned_at: float = float("-inf")
    _probe_until: float = float("-inf")
    _passed_probes: int = 0

    def failure_share(self, now: float) -> float:
        """Returns the recent share of failed statements, below 1."""
        self._decay(now)
        return self._failures / (self._statements + PRIOR_STATEMENTS)

    def note(
        self, verdict: Verdict, sent_at: float, now: float
    ) -> Change | None:
        """Records what became of a statement; returns a resulting change.

        Args:
            verdict: What became of it.
            sent_at: When it was sent, in the clock's seconds.
            now: The current time, in the clock's seconds.
        """
        is_failure = verdict is not Verdict.SERVED
        if is_failure and sent_at <= self._paused_at:
            return None
        if verdict is Verdict.LOST:
            # A crash loses all statements in flight, and is one failure.
            if sent_at < self._lost_at:
                return None
            self._lost_at = now
        self._count(verdict, now)
        if self.is_ejected:
            return self._note_while_ejected(is_failure, sent_at, now)
        if not self._is_outlier:
            return None
        self._eject(now)
        return Change.EJECTED

    def note_pause(self, now: float) -> None:
        """Excludes statements that were in flight while this node paused."""
        self._paused_at = now

    @property
    def loses_all(self) -> bool:
        """Whether sending a statement would only use up an attempt.

        This holds for a member that closes the link of each statement, except
        for its probes. Error replies do not count, as they may be the fault of
        one caller's statements.
        """
        return self.is_ejected and self._lost_in_a_row >= MAX_CONSECUTIVE

    def is_probe_due(self, now: float, writes: bool = False) -> bool:
        """Whether a statement should be sent to an ejected member as a probe.

        Args:
            now: The current time, in the clock's seconds.
            writes: Whether the statement writes.
        """
        delay_s = WRITE_PROBE_DELAY_S if writes else 0.0
        due_at = max(self._probe_until, self._retry_at) + delay_s
        return self.is_ejected and now >= due_at

    def claim_probe(self, now: float) -> None:
        """Records that a probe is about to be sent."""
        self._probe_until = now + PROBE_TTL_S

    @property
    def _is_outlier(self) -> bool:
        if self._consecutive >= MAX_CONSECUTIVE:
            return True
        share = self._failures / (self._statements + PRIOR_STATEMENTS)
        return self._statements >= MIN_STATEMENTS and share >= MAX_SHARE

    def _decay(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._noted_at)
        factor = 2.0 ** -(elapsed_s / TIME_DECAY_S)
        self._statements *= factor
        self._failures *= factor
        self._noted_at = now

    def _count(self, verdict: Verdict, now: float) -> None:
        self._decay(now)
        weight = min(1.0, verdict.value)
        self._statements = self._statements * COUNT_DECAY + 1.0
        self._failures = self._failures * COUNT_DECAY + weight
        is_lost = verdict is Verdict.LOST
        self._lost_in_a_row = self._lost_in_a_row + 1 if is_lost else 0
        if verdict is Verdict.SERVED:
            self._consecutive = 0
        elif verdict is not Verdict.SHED:
            self._consecutive += 1

    def _note_while_ejected(
        self, is_failure: bool, sent_at: float, now: float
    ) -> Change | None:
        """Evaluates a probe, or a statement that no other member could run."""
        if sent_at < self._retry_at:
            return None
        self._probe_until = now
        if is_failure:
            self._eject(now)
            return None
        self._passed_probes += 1
        if self._passed_probes < PROBES:
            return None
        self._return(now)
        return Change.RETURNED

    def _eject(self, now: float) -> None:
        if not self.is_ejected:
            self.ejected_at = now
            if now - self._returned_at > FORGIVEN_AFTER_S:
                self.ejection_s = 0.0
        self.is_ejected = True
        self.ejection_s = min(
            MAX_EJECTION_S, max(FIRST_EJECTION_S, 2 * self.ejection_s)
        )
        self._retry_at = now + self.ejection_s
        self._passed_probes = 0

    def _return(self, now: float) -> None:
        self.is_ejected = False
        self._returned_at = now
        self._statements = self._failures = 0.0
        self._consecutive = self._lost_in_a_row = 0
