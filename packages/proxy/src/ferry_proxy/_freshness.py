"""Freshness of reads: floors that cover all commits up to a point in time.

A commit is acknowledged once `sync_replicas` replicas have received it. A
change of primary first pauses a fence of replicas (`fence_size`), so that no
further commit of the old term can be acknowledged. This has two consequences:

* If a `Quorum` of replicas reports that they are not paused, the term had not
  been replaced when they were asked: every fence includes one of them.
* The end of the primary's log, requested at the same time, covers every commit
  acknowledged before.
"""

import collections
from collections.abc import Collection

import attrs
import ferry_decisions as decisions

from ferry_proxy import _members


def proof_size(replicas: int, sync_replicas: int) -> int:
    """Returns how many unpaused replicas prove that a term is current.

    All but one are needed. A replica that joined an isolated primary after the
    fence was established is not paused, and must not suffice by itself.

    Args:
        replicas: The number of replicas in the group.
        sync_replicas: How many replicas must receive a commit.
    """
    return max(1, sync_replicas, replicas - 1)


@attrs.frozen(slots=True)
class Quorum:
    """Which replicas have to confirm that a term is current.

    Attributes:
        size: How many have to.
        established: The ids of those that no node's fence leaves out: they
            neither joined nor restarted a moment ago, and do not leave.
        min_established: How many of these have to.
    """

    size: int
    established: frozenset[str] = frozenset()
    min_established: int = 0

    def is_met_by(self, confirming: Collection[str]) -> bool:
        """Whether these replicas suffice.

        Args:
            confirming: The ids of replicas that are not paused.
        """
        found = self.established.intersection(confirming)
        is_enough = len(confirming) >= self.size
        return is_enough and len(found) >= self.min_established


def quorum_of(
    replicas: int,
    restarted: int,
    established: frozenset[str],
    sync_replicas: int,
) -> Quorum:
    """Returns the quorum of a group; all replicas if none is established.

    Args:
        replicas: The number of replicas in the group.
        restarted: How many of them restarted a moment ago; each counts twice.
        established: The ids of the established ones.
        sync_replicas: How many replicas must receive a commit.
    """
    size = proof_size(replicas + restarted, sync_replicas)
    if not established:
        return Quorum(max(size, replicas))
    needed = min(len(established), max(1, sync_replicas))
    return Quorum(size, established, needed)


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
    quorum: Quorum,
) -> Sample | None:
    """Returns the sample that a round of reports proves, or None.

    The primary's own report is required: an isolated primary may have replicas
    that are not listed.

    Args:
        leader: The primary as far as known.
        reports: The reports of the round, by member.
        quorum: Which replicas have to confirm that the primary still leads.
    """
    own = reports.get(leader.member)
    if own is None or not own.leads(leader):
        return None
    following = {
        name: report
        for name, report in reports.items()
        if name != leader.member and report.proves(leader.term)
    }
    if not quorum.is_met_by(following):
        return None
    asked_at = min(r.asked_at for r in [own, *following.values()])
    return Sample(asked_at, own.received)


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
