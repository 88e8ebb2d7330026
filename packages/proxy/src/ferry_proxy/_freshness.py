"""Freshness of reads: floors that cover all commits up to a point in time.

A commit is acknowledged once `sync_replicas` replicas have received it. A
change of primary first pauses a fence of replicas (`fence_size`), so that no
further commit of the old term can be acknowledged. This has two consequences:

* If `proof_size` replicas report that they are not paused, the term had not
  been replaced when they were asked: every fence includes one of them.
* The end of the primary's log, requested at the same time, covers every commit
  acknowledged before.
"""

import collections

import attrs
import ferry_decisions as decisions

from ferry_proxy import _members


def proof_size(replicas: int, sync_replicas: int, joined: int = 0) -> int:
    """Returns how many unpaused replicas prove that a term is current.

    All but one are needed, and more of them than may be unpaused despite a
    fence: those that it may leave out, and those that joined an isolated
    primary after it was established. In a small group this takes all replicas.

    Args:
        replicas: The number of replicas in the group.
        sync_replicas: How many replicas must receive a commit.
        joined: How many of them joined recently.
    """
    outside_fence = max(1, sync_replicas) - 1 + joined
    return max(1, sync_replicas, replicas - 1, min(replicas, outside_fence + 1))


def fence_size(replicas: int, sync_replicas: int) -> int:
    """Returns how many replicas to pause so that a term can commit nothing.

    Args:
        replicas: The number of replicas in the group.
        sync_replicas: How many replicas must receive a commit.
    """
    return max(1, replicas - max(1, sync_replicas) + 1)


@attrs.frozen(slots=True)
class Sample:
    """A floor for all commits acknowledged before a point in time.

    Attributes:
        at: The point in time, in seconds of boot time.
        floor: A position at or after all of these commits.
    """

    at: float
    floor: decisions.Position


def sample_of(
    leader: _members.Leader,
    reports: dict[str, _members.Report],
    needed: int,
) -> Sample | None:
    """Returns the sample that a round of reports proves, or None.

    The primary's own report is required: an isolated primary may have replicas
    that are not listed.

    Args:
        leader: The primary as far as known.
        reports: The reports of the round, by member.
        needed: How many replicas prove that the primary still leads.
    """
    own = reports.get(leader.member)
    if own is None or not own.leads(leader):
        return None
    following = [
        r
        for name, r in reports.items()
        if name != leader.member and r.proves(leader.term)
    ]
    if len(following) < needed:
        return None
    return Sample(min(r.asked_at for r in [own, *following]), own.received)


class Floors:
    """The recent samples of one group."""

    # At 2.5 samples per second, this covers more than any configured staleness.
    MAX_SAMPLES = 64

    def __init__(self) -> None:
        self._samples: collections.deque[Sample] = collections.deque(
            maxlen=self.MAX_SAMPLES
        )
        self._term = 0

    def add(self, sample: Sample, term: int) -> None:
        """Adds a sample unless it is older than the newest one.

        Samples of an earlier term are dropped: they may cover commits that
        were never acknowledged and that no member has any longer.

        Args:
            sample: The result of a round.
            term: The term of the primary in that round.
        """
        if term > self._term:
            self._term = term
            self._samples.clear()
        if not self._samples or sample.at > self._samples[-1].at:
            self._samples.append(sample)

    @property
    def newest(self) -> Sample | None:
        """The newest sample, or None if there is none."""
        return self._samples[-1] if self._samples else None

    def age_s(self, now: float) -> float:
        """Returns the age of the newest sample; infinity if there is none.

        Args:
            now: The current time, in seconds of boot time.
        """
        return now - self._samples[-1].at if self._samples else float("inf")

    def covering(self, moment: float) -> decisions.Position | None:
        """Returns a floor for all commits acknowledged before `moment`.

        Returns the oldest such floor, since most replicas have reached it, or
        None if no sample is recent enough.

        Args:
            moment: The point in time, in seconds of boot time.
        """
        for sample in self._samples:
            if sample.at >= moment:
                return sample.floor
        return None
