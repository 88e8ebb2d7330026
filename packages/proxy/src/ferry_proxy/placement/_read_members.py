"""Selection of the member that a read runs at, among those of a group."""

import ferry_decisions as decisions

from ferry_proxy import _groups
from ferry_proxy import _jobs
from ferry_proxy import _pools
from ferry_proxy import _routing
from ferry_proxy.placement import _outcome_recorder


def known_floor(job: _jobs.Job) -> decisions.Position | None:
    """Returns the floor of a read; None if none is recent enough."""
    floor = job.group.floors.covering(job.freshness_cutoff)
    own = job.session_floor
    if floor is None or own is None:
        return floor
    return max(floor, own)


class ReadMembers:
    """Selects the members that reads run at."""

    def __init__(self, outcomes: _outcome_recorder.OutcomeRecorder) -> None:
        self._outcomes = outcomes

    def probed(
        self, job: _jobs.Job, tried: set[str], floor: decisions.Position
    ) -> _pools.Pool | None:
        """Returns an ejected member whose probe this read becomes, if any."""
        usable = self.capable(job, tried, floor)
        if len(usable) < 2:
            return None  # Nobody could run the read if the probe failed.
        return self._outcomes.claim_probe(usable)

    def capable(
        self, job: _jobs.Job, tried: set[str], floor: decisions.Position
    ) -> list[_pools.Pool]:
        """Returns the untried members that answer and may have the floor."""
        return [
            p
            for p in self.untried(job.group, tried)
            if job.group.is_responsive(p) and not p.reported.lacks(floor)
        ]

    def any_promising(self, job: _jobs.Job, floor: decisions.Position) -> bool:
        """Whether any member is neither silent nor known to lack the floor."""
        return any(
            not p.contact.is_silent and not p.reported.lacks(floor)
            for p in self.untried(job.group, set())
        )

    def choose(
        self,
        job: _jobs.Job,
        tried: set[str],
        floor: decisions.Position,
    ) -> _pools.Pool | None:
        """Returns the member that a read runs at; None if none is usable."""
        found = _routing.best(
            [
                self._candidate(job, p, floor)
                for p in self.untried(job.group, tried)
            ]
        )
        return job.group.pools[found.member] if found else None

    def untried(
        self, group: _groups.Group, tried: set[str]
    ) -> list[_pools.Pool]:
        """Returns the pools of members that a read may still be sent to.

        Members that are draining count only if all are: a request must not
        reach one that has long been draining, however many others were tried.
        """
        listed = group.pools.values()
        not_draining = [p for p in listed if not p.member.draining]
        return [
            p
            for p in not_draining or listed
            if p.member.id not in tried
            and p.accepts_statements
            and not p.is_unreachable
        ]

    def _candidate(
        self,
        job: _jobs.Job,
        pool: _pools.Pool,
        floor: decisions.Position,
    ) -> _routing.Candidate:
        group = job.group
        leader = group.leader.member if group.leader else ""
        return _routing.Candidate(
            member=pool.member.id,
            is_primary=pool.member.id == leader,
            is_near=group.is_near(pool),
            is_responsive=group.is_responsive(pool),
            is_silent=pool.contact.is_silent,
            is_behind=pool.reported.lacks(floor),
            in_flight=pool.in_flight,
            slots=pool.member.slots,
            latency_s=pool.contact.latency_s,
            wait_s=pool.expected_wait_s(job.route.priority),
            has_link=pool.has_link(job.caller.team),
            failure_share=self._outcomes.failure_share(pool),
            is_ejected=self._outcomes.is_ejected(pool),
        )
