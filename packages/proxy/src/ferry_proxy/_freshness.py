"""How fresh a read is: floors that cover all commits up to a moment.

A commit is acknowledged once `sync_replicas` replicas have received it. A
change of primary first pauses a fence of replicas (`fence_size`), so that no
later commit of the old term can be acknowledged. Two facts follow.

* `proof_size` replicas that were not paused, asked at a moment, prove that
  the term had not been replaced then: they meet every fence.
* The end of the primary's log, asked at that moment, covers every commit
  acknowledged before.
"""

import collections

import attrs
import ferry_decisions as decisions

from ferry_proxy import _members


def proof_size(replicas: int, sync_replicas: int) -> int:
    """Returns how many unpaused replicas prove that a term goes on.

    All but one: a replica that joined a cut-off primary after the fence was
    raised is not paused, and must not prove anything by itself.

    Args:
        replicas: How many the group has, without the primary.
        sync_replicas: How many must receive a commit.
    """
    return max(1, sync_replicas, replicas - 1)


def fence_size(replicas: int, sync_replicas: int) -> int:
    """Returns how many paused replicas end the acknowledgements of a term.

    Args:
        replicas: How many the group has, without the primary.
        sync_replicas: How many must receive a commit.
    """
    return max(1, replicas - max(1, sync_replicas) + 1)


@attrs.frozen(slots=True)
class Sample:
    """A position that covers all commits acknowledged before a moment."""

    at: float
    floor: decisions.Position


def sample_of(
    leader: _members.Leader,
    reports: dict[str, _members.Report],
    needed: int,
) -> Sample | None:
    """Returns what one round of reports proves; None where they do not.

    Without the primary's own report there is none: the replicas that are
    listed need not be all that a cut-off primary has.

    Args:
        leader: Who is believed to lead.
        reports: The answers of the round, by member.
        needed: How many replicas prove that the primary still leads.
    """
    own = reports.get(leader.member)
    if own is None or not _leads(own, leader):
        return None
    following = [
        r
        for name, r in reports.items()
        if name != leader.member and r.proves(leader.term)
    ]
    if len(following) < needed:
        return None
    return Sample(min(r.asked_at for r in [own, *following]), own.received)


def _leads(report: _members.Report, leader: _members.Leader) -> bool:
    is_primary = report.role is _members.Role.PRIMARY
    return is_primary and report.term == leader.term


class Floors:
    """The recent samples of one group."""

    MAX_SAMPLES = 64  # At 2.5 a second, more than any staleness that is set.

    def __init__(self) -> None:
        self._samples: collections.deque[Sample] = collections.deque(
            maxlen=self.MAX_SAMPLES
        )
        self._term = 0

    def add(self, sample: Sample, term: int) -> None:
        """Takes a sample in; older ones than the newest are passed over.

        Samples of an earlier term are dropped: they may cover commits that
        were never acknowledged and that no member shows any more.

        Args:
            sample: What a round proved.
            term: The term of the primary that it was proved for.
        """
        if term > self._term:
            self._term = term
            self._samples.clear()
        if not self._samples or sample.at > self._samples[-1].at:
            self._samples.append(sample)

    @property
    def newest(self) -> Sample | None:
        """The newest sample."""
        return self._samples[-1] if self._samples else None

    def covering(self, moment: float) -> decisions.Position | None:
        """Returns a floor for all commits acknowledged before `moment`.

        It is the oldest that does, since that is the one that most replicas
        already show. None where no sample is that new.
        """
        for sample in self._samples:
            if sample.at >= moment:
                return sample.floor
        return None
