"""The quorum of a commit: enough voters that have received it.

A primary acknowledges a commit once any replica has received it, also one that
other nodes do not know yet. Callers are therefore told only once voters hold
it, which every later change of primary takes into account.
"""

from collections.abc import Callable
from collections.abc import Iterable
import typing

import attrs
import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _configuration
from ferry_proxy import _departures
from ferry_proxy import _links
from ferry_proxy import _members
from ferry_proxy import _pools
from ferry_proxy import _voters

# The delay before one more replica is asked. A replica without load replies in
# about 5 ms.
HEDGE_S = 0.03
# The pause before replicas are asked again that had not received a commit. It
# doubles, as each request occupies a slot of the member for a moment.
MIN_RETRY_PAUSE_S = 0.01
MAX_RETRY_PAUSE_S = 0.08
# A change of primary that was under way when a process restarted is over by
# then.
RESTART_S = 10.0
# A voter that has left counts as running for this long at other nodes. Up to a
# second less, it is still one although the copy of the store is that old.
MAX_COPY_AGE_S = _departures.MAX_RUNNING_S - 1.0


@attrs.frozen(slots=True)
class Commit:
    """A commit that a primary has acknowledged.

    Attributes:
        leader: The primary.
        position: A position at or after it in the primary's log.
    """

    leader: _members.Leader
    position: decisions.Position

    def is_received(self, report: _members.Report, complete_at: float) -> bool:
        """Whether a voter has received it, before any fence that it missed.

        A process that restarts forgets that it was paused. This node knows the
        changes of primary from before the process's link was opened if its
        copy of the store is complete for that moment.

        Args:
            report: The voter's report.
            complete_at: The moment that this node's copy of the store is
                complete for, in boot time.
        """
        received = report.received
        is_same_log = received.term == self.leader.term
        is_known = report.linked_at <= complete_at
        return is_same_log and received >= self.position and is_known


def quorum_size(voters: int, sync_replicas: int, copy_age_s: float) -> int:
    """Returns how many replicas have to have received a commit.

    Other nodes may have removed a voter that this node still counts if its
    copy of the store is old. At least one of them all is still a voter.

    Args:
        voters: The number of voters without the primary.
        sync_replicas: How many replicas must receive a commit.
        copy_age_s: The age of this node's copy of the store, in seconds.
    """
    if copy_age_s > MAX_COPY_AGE_S:
        return max(voters, sync_replicas)
    return sync_replicas


class Group(typing.Protocol):
    """The part of a group that a commit quorum depends on.

    Attributes:
        service: Its description.
        leader: The primary as far as known; None if unknown.
        pools: The connection pools of its members, by id.
        voters: Its voters.
        departures: Its departures.
        copy_complete_at: Returns the moment that this node's copy of the store
            is complete for, in boot time.
    """

    service: _configuration.Service
    leader: _members.Leader | None
    pools: dict[str, _pools.Pool]
    voters: _voters.Voters
    departures: _departures.Departures
    copy_complete_at: Callable[[], float]

    def is_responsive(self, pool: _pools.Pool) -> bool:
        """Whether a member is reachable and owes no overdue reply."""

    def is_near(self, pool: _pools.Pool) -> bool:
        """Whether a member is in this node's data centre."""

    def last_report(self, member: str) -> _members.Report | None:
        """Returns the latest report of a member, or None."""

    def ask(
        self, pool: _pools.Pool, command: _links.Command
    ) -> "decisions.Flow[_members.Report]":
        """Sends a control command to a member and returns its report."""


class CommitQuorum:
    """Asks voters for commits, in rounds shared by concurrent ones."""

    def __init__(self, clock: _clocks.Clock, group: Group) -> None:
        self._clock = clock
        self._group = group
        self._rounds = decisions.SharedRounds(self._ask_voters)
        self._reported: decisions.Future[None] = decisions.Future()
        self._newest: Commit | None = None
        self._behind: set[str] = set()

    def require(
        self, commit: Commit, deadline: float
    ) -> "decisions.Flow[None]":
        """Waits until enough voters have received a commit.

        Args:
            commit: The commit.
            deadline: Until when to wait, in the clock's seconds.

        Raises:
            decisions.RequestFailedError: They have not, as far as known.
        """
        self._group.voters.require_record()
        left_s = max(0.0, deadline - self._clock.now())
        timeout = decisions.sleep(self._clock, left_s)
        pause_s = MIN_RETRY_PAUSE_S
        while not self._is_received(commit):
            self._require_time(commit, deadline)
            self._note_newest(commit)
            yield from self._await_round(commit, timeout)
            if not self._is_received(commit):
                yield decisions.sleep(self._clock, pause_s)
                pause_s = min(MAX_RETRY_PAUSE_S, 2 * pause_s)

    def _require_time(self, commit: Commit, deadline: float) -> None:
        """Checks that a commit may still be found received.

        Raises:
            decisions.RequestFailedError: It may not.
        """
        leader = self._group.leader
        if leader is not None and leader.term > commit.leader.term:
            detail = f"{leader.member} leads by now"
            raise decisions.RequestFailedError(decisions.NOT_CONFIRMED, detail)
        if self._clock.now() >= deadline:
            detail = f"too few voters have received it: {self._describe()}"
            raise decisions.RequestFailedError(decisions.NOT_CONFIRMED, detail)

    def _describe(self) -> str:
        """Returns what is known of the voters, for the log."""
        group = self._group
        keys = group.voters.keys
        found = {n: group.last_report(n) for n in group.pools}
        ends = {n: str(r.received) for n, r in found.items() if r is not None}
        age_s = self._clock.boot_now() - group.copy_complete_at()
        voters = "not recorded" if keys is None else sorted(keys)
        return f"voters {voters}, received {ends}, copy {age_s:.1f} s old"

    def may_be_restarted(self, commit: Commit) -> bool:
        """Whether a voter that has received a commit may have restarted lately.

        Its process has then forgotten that it was paused. Where members have
        no time of birth, a restarted process has another id.

        Args:
            commit: The commit.
        """
        since = self._clock.boot_now() - RESTART_S
        return any(
            pool.member.born and pool.relinked_at > since
            for pool in self._voters(commit.leader)
            if self._holds(pool, commit)
        )

    def _is_received(self, commit: Commit) -> bool:
        group = self._group
        voters = self._voters(commit.leader)
        receivers = sum(self._holds(p, commit) for p in voters)
        copy_age_s = self._clock.boot_now() - group.copy_complete_at()
        needed = quorum_size(
            self._voter_count(commit.leader),
            max(1, group.service.sync_replicas),
            copy_age_s,
        )
        return receivers >= needed

    def _holds(self, pool: _pools.Pool, commit: Commit) -> bool:
        report = self._group.last_report(pool.member.id)
        if report is None:
            return False
        # A restarted process has another id where none has a time of birth.
        if not pool.member.born:
            return commit.is_received(report, float("inf"))
        return commit.is_received(report, self._group.copy_complete_at())

    def _voters(self, leader: _members.Leader) -> list[_pools.Pool]:
        """Returns the pools of the listed voters other than the primary."""
        group = self._group
        return [
            pool
            for name, pool in group.pools.items()
            if name != leader.member and group.voters.include(pool.member)
        ]

    def _voter_count(self, leader: _members.Leader) -> int:
        """Returns how many voters other than the primary may be running."""
        group = self._group
        keys = group.voters.keys
        if keys is None:
            return len(self._voters(leader))
        pool = group.pools.get(leader.member)
        own = _departures.key_of(pool.member) if pool is not None else ""
        now = self._clock.boot_now()
        ended = {d.key for d in group.departures.open() if d.ended_at <= now}
        covered = set(group.departures.covered_keys)
        return len(keys - {own} - ended - covered)

    # -- rounds ----------------------------------------------------------

    def _note_newest(self, commit: Commit) -> None:
        """Lets rounds go on until the newest commit is received."""
        newest = self._newest
        if newest is None or commit.position > newest.position:
            self._newest = commit

    def _await_round(
        self, commit: Commit, timeout: "decisions.Future[None]"
    ) -> "decisions.Flow[None]":
        """Waits for a round to end, or to show that a commit is received."""
        done = decisions.settled(self._rounds.join())
        while not (done.done() or timeout.done() or self._is_received(commit)):
            either = decisions.first_completed(done, timeout)
            yield decisions.first_completed(either, self._reported)

    def _ask_voters(self) -> "decisions.Flow[None]":
        """Asks voters one after the other until the newest commit is received.

        The next one is asked after a short delay, or at once after a reply.
        """
        newest = self._newest
        if newest is None:
            return
        futs = []
        self._behind &= self._group.pools.keys()
        for pool in self._in_order(self._voters(newest.leader)):
            if self._is_received(newest):
                return
            fut = decisions.start(self._ask(pool))
            futs.append(fut)
            pause = decisions.sleep(self._clock, HEDGE_S)
            yield decisions.first_completed(decisions.settled(fut), pause)
        yield decisions.settle_all(futs, lambda _: self._is_received(newest))

    def _in_order(self, pools: Iterable[_pools.Pool]) -> list[_pools.Pool]:
        """Returns voters, the most likely to have received a commit first."""
        group = self._group
        return sorted(
            pools,
            key=lambda p: (
                not group.is_responsive(p),
                p.member.id in self._behind,
                not group.is_near(p),
            ),
        )

    def _ask(self, pool: _pools.Pool) -> "decisions.Flow[None]":
        """Asks a voter, and notes whether it is behind the newest commit."""
        try:
            yield from self._group.ask(pool, _links.Status())
        finally:
            if self._newest is not None and self._holds(pool, self._newest):
                self._behind.discard(pool.member.id)
            else:
                self._behind.add(pool.member.id)
            reported, self._reported = self._reported, decisions.Future()
            decisions.resolve(reported, None)
