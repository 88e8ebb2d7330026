"""Stalls of a group's commits, as one node observes them."""

import ferry_decisions as decisions

from ferry_proxy import _acknowledgements
from ferry_proxy import _change_steps
from ferry_proxy import _clocks
from ferry_proxy import _fencing
from ferry_proxy import _groups
from ferry_proxy import _links
from ferry_proxy import _members
from ferry_proxy import _policy


class Stalls:
    """Observes whether replicas receive the commits of a group's primary."""

    def __init__(
        self,
        clock: _clocks.Clock,
        policy: _policy.Policy,
        group: _groups.Group,
    ) -> None:
        self._clock = clock
        self._policy = policy
        self._group = group
        self._detector = _fencing.StallDetector()

    @property
    def stalled_s(self) -> float:
        """For how long no replica has received the primary's commits."""
        if not self._group.service.sync_replicas:
            return 0.0
        return self._detector.stalled_s

    def update(self, reports: dict[str, _members.Report]) -> None:
        """Passes a round's reports of the current term to the detector."""
        leader = self._group.leader
        primary = reports.get(leader.member) if leader else None
        replicas = [
            r
            for n, r in reports.items()
            if leader is not None
            and n != leader.member
            and r.follows(leader.term)
        ]
        now = self._clock.boot_now()
        self._detector.observe(leader, primary, replicas, now)

    def confirm(
        self, acks: _acknowledgements.Acknowledgements
    ) -> "decisions.Flow[None]":
        """Asks all members again before a primary that answers is replaced.

        Args:
            acks: The acknowledgements known to the serving nodes.

        Raises:
            ChangeAbandonedError: A replica receives its commits.
        """
        self.require_unrefuted(acks)
        group = self._group
        futs = [
            decisions.start(group.ask(pool, _links.Status()))
            for pool in group.pools.values()
        ]
        yield decisions.settle_all(futs, lambda _: False)
        reports = {
            name: report
            for name in group.pools
            if (report := group.last_report(name)) is not None
        }
        self.update(reports)
        if self._detector.stalled_s < self._policy.stall_s:
            raise _change_steps.ChangeAbandonedError(
                "a replica receives commits again"
            )

    def require_unrefuted(
        self, acks: _acknowledgements.Acknowledgements
    ) -> None:
        """Checks that no commit was acknowledged during the stall.

        Args:
            acks: The acknowledgements known to the serving nodes.

        Raises:
            ChangeAbandonedError: One was.
        """
        now, stalled_s = self._clock.boot_now(), self._detector.stalled_s
        if _fencing.is_stall_refuted(acks, stalled_s, now):
            raise _change_steps.ChangeAbandonedError(
                f"stalled for {stalled_s:.1f} s, but commits are acknowledged"
            )
