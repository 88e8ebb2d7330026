"""This node's view of one database group: pools, primary and floors."""

from collections.abc import Callable

import ferry_decisions as decisions

from ferry_proxy import _acknowledgements
from ferry_proxy import _claimed_changes
from ferry_proxy import _clocks
from ferry_proxy import _commit_quorum
from ferry_proxy import _configuration
from ferry_proxy import _control_commands
from ferry_proxy import _departures
from ferry_proxy import _events
from ferry_proxy import _features
from ferry_proxy import _freshness
from ferry_proxy import _leader_reports
from ferry_proxy import _links
from ferry_proxy import _members
from ferry_proxy import _membership_changes
from ferry_proxy import _policy
from ferry_proxy import _pools
from ferry_proxy import _proofs
from ferry_proxy import _queueing
from ferry_proxy import _round_plans
from ferry_proxy import _voters
from ferry_proxy.queueing import _commit_stall

# A status round is evaluated after this long. Members without load answer in
# 5 ms, and waiting reads need the floor that the round yields.
STATUS_ROUND_S = 0.12


class Group:
    """The members of one service and their last known state.

    Attributes:
        voters: The members that count towards the quorum of a commit.
        copy_complete_at: Returns the moment that this node's copy of the store
            is complete for, in boot time; infinity without a copy.
        commit_quorum: Waits until enough voters have received a commit.
    """

    def __init__(
        self,
        clock: _clocks.Clock,
        service: _configuration.Service,
        data_centre: str,
        connector: _links.Connector,
        policy: _policy.Policy,
        features: _features.Features = _features.NONE,
    ) -> None:
        self._clock = clock
        self._connector = connector
        self._policy = policy
        self._features = features
        self._data_centre = data_centre
        self._commands = _control_commands.ControlCommands(clock, policy)
        self._proofs = _proofs.Proofs(clock, self)
        self._round_plan = _round_plans.RoundPlan(clock, policy, self)
        self.commits = _commit_stall.CommitWatch(clock, policy, self)
        self._rounds = decisions.SharedRounds(self._round)
        self._changed: decisions.Future[None] = decisions.Future()
        self._last_report: dict[str, _members.Report] = {}
        self._leader_reports = _leader_reports.LeaderReports()
        self.service = service
        self.pools: dict[str, _pools.Pool] = {}
        self.leader: _members.Leader | None = None
        self.term = 0
        self.floors = _freshness.Floors()
        self.last_leader = ""
        self.last_round_at = float("-inf")
        self.leaderless_since = clock.now()
        self.membership = _membership_changes.MembershipChanges(clock)
        self.departures = _departures.Departures()
        self.acks = _acknowledgements.AckWatch(clock)
        self.claimed_change = _claimed_changes.NONE
        self.voters = _voters.Voters()
        self.copy_complete_at: Callable[[], float] = lambda: float("inf")
        self.commit_quorum = _commit_quorum.CommitQuorum(clock, self)
        self._asking: set[str] = set()
        self.primary_change_until = self.leader_found_at = float("-inf")
        self.on_round: list[Callable[[dict[str, _members.Report]], object]] = []
        self.on_step: list[Callable[[str], object]] = []

    # -- members ---------------------------------------------------------

    def set_members(
        self,
        members: dict[str, _members.Member],
        limit: int,
        nodes: int = 1,
    ) -> None:
        """Applies the current member list.

        Args:
            members: All members, by id.
            limit: How many links to each this node may open.
            nodes: How many nodes send statements to the members.
        """
        if self.pools.keys() != members.keys():
            self.membership.note_changed()
        if self.pools:
            self.membership.note_joined(members.keys() - self.pools.keys())
        for name in self.pools.keys() - members.keys():
            self._remove(name)
        for name, member in members.items():
            pool = self.pools.get(name)
            if pool is not None and member.is_restart_of(pool.member):
                self._forget_restarted(pool)
                pool = None
            elif pool is not None and member.has_moved_from(pool.member):
                pool.close()
                pool = None
            self.departures.note_listed(member, self._clock.boot_now())
            if pool is None:
                pool = self.pools[name] = self.open_pool(member, limit)
            else:
                pool.note_entry(member)
                pool.limit = limit
        self.share_among(nodes)

    def share_among(self, nodes: int) -> None:
        """Sets how many nodes currently send statements to the members.

        In a data centre that is cut off, its own nodes alone share the slots.
        """
        for pool in self.pools.values():
            slots = pool.member.slots
            pool.parallel = _queueing.parallel_statements(slots, nodes)

    def open_pool(self, member: _members.Member, limit: int = 1) -> _pools.Pool:
        """Returns a new pool for a member, which need not be listed."""
        return _pools.Pool(
            self._clock,
            member,
            self._connector,
            self._policy,
            limit,
            self._features,
        )

    def _remove(self, name: str) -> None:
        pool = self.pools.pop(name)
        self._close(pool)
        self.membership.note_removed()
        self.departures.note_removed(pool.member, self._clock.boot_now())

    def _forget_restarted(self, pool: _pools.Pool) -> None:
        """Discards all state of a member's process, which has restarted."""
        self._close(pool)
        self.departures.note_restarted(pool.member, self._clock.boot_now())
        self.membership.note_restarted(pool.member.id)

    def _close(self, pool: _pools.Pool) -> None:
        pool.close()
        self._last_report.pop(pool.member.id, None)
        if self.leader is not None and self.leader.member == pool.member.id:
            self._lose_leader()

    def _lose_leader(self) -> None:
        self.leader = None
        self.leaderless_since = self._clock.now()

    @property
    def leader_pool(self) -> _pools.Pool | None:
        """The pool of the primary, or None if no primary is known."""
        return self.pools.get(self.leader.member) if self.leader else None

    @property
    def replicas(self) -> int:
        """The number of listed members other than the primary."""
        return max(0, len(self.pools) - 1)

    @property
    def quorum(self) -> _freshness.Quorum:
        """The replicas that prove that the primary still leads."""
        leader = self.leader.member if self.leader else ""
        replicas = [p.member for n, p in self.pools.items() if n != leader]
        return self.membership.quorum(replicas, self.service.sync_replicas)

    @property
    def is_membership_changing(self) -> bool:
        """Whether members come and go; the list may lack running ones."""
        is_draining = any(p.member.draining for p in self.pools.values())
        return is_draining or self.membership.may_be_incomplete

    @property
    def is_primary_changing(self) -> bool:
        """Whether a change of primary is in progress or expected.

        A primary that stops responding recovers or is replaced within a second
        or two, so callers wait instead of using up their retries. One that
        stays silent for longer is not being replaced, and nobody waits.
        """
        now = self._clock.now()
        if now < self.primary_change_until:
            return True
        limit_s = self._policy.promote_wait_s
        pool = self.leader_pool
        if pool is None:
            return now - self.leaderless_since < limit_s
        return (
            pool.contact.is_unresponsive and pool.contact.unanswered_s < limit_s
        )

    @property
    def floor_age_s(self) -> float:
        """Age in seconds of the newest floor that covers all commits."""
        return self.floors.age_s(self._clock.boot_now())

    @property
    def has_failed_contact(self) -> bool:
        """Whether contact with any member failed and has not recovered."""
        return any(p.contact.link_failing_s > 0 for p in self.pools.values())

    def is_near(self, pool: _pools.Pool) -> bool:
        """Whether a member is in this node's data centre."""
        return pool.member.data_centre == self._data_centre

    def is_responsive(self, pool: _pools.Pool) -> bool:
        """Whether a member is reachable and owes no overdue reply."""
        return not pool.is_unreachable and not pool.contact.is_unresponsive

    def expect_primary_change(self) -> None:
        """Records that a change of primary has begun."""
        wait_s = self._policy.promote_wait_s
        self.primary_change_until = self._clock.now() + wait_s

    def until_leader_changes(self, limit_s: float) -> "decisions.Future[None]":
        """Returns a future that resolves on a new leader or a timeout."""
        timer = decisions.sleep(self._clock, limit_s)
        return decisions.first_completed(self._changed, timer)

    # -- control commands ------------------------------------------------

    def refresh(self) -> "decisions.Future[dict[str, _members.Report]]":
        """Joins the next status round, which starts after this call."""
        return self._rounds.join()

    def prove(self) -> "decisions.Future[_members.Leader]":
        """Confirms, by new status requests, that the leader still leads.

        Fails with `decisions.RequestFailedError` if too few replicas confirm.
        """
        return self._proofs.prove()

    def prove_unfenced(self) -> "decisions.Future[_members.Leader]":
        """Confirms in addition that no replica that replies is fenced."""
        return self._proofs.prove_unfenced()

    def ask(
        self,
        pool: _pools.Pool,
        command: _links.Command,
        guard: _control_commands.Guard = _control_commands.no_guard,
    ) -> "decisions.Flow[_members.Report]":
        """Sends a control command to a member, if the guard does not fail.

        Raises:
            decisions.RequestFailedError: The member sent no report.
        """
        report = yield from self._commands.ask(pool, command, guard)
        if self.pools.get(pool.member.id) is pool:
            self._last_report[pool.member.id] = report
            self._leader_reports.note(pool.member.id, report)
        return report

    def last_report(self, member: str) -> _members.Report | None:
        """Returns the latest report of a member, or None."""
        return self._last_report.get(member)

    def reported_end(
        self, leader: _members.Leader
    ) -> decisions.Position | None:
        """Returns the end of a primary's log as it last reported it."""
        return self._leader_reports.end_of(leader)

    # -- status rounds ---------------------------------------------------

    def _round(self) -> "decisions.Flow[dict[str, _members.Report]]":
        """Runs a status round; reports after `STATUS_ROUND_S` still count."""
        self.last_round_at = self._clock.now()
        reports: dict[str, _members.Report] = {}
        futs = [
            decisions.start(self._ask_with_retry(pool, reports))
            for pool in self._round_plan.members_to_ask(self._asking)
        ]
        enough = decisions.settle_all(
            futs, lambda _: self._sample(reports) is not None
        )
        yield decisions.first_completed(
            decisions.settled(enough),
            decisions.sleep(self._clock, STATUS_ROUND_S),
        )
        self._apply_reports(reports)
        all_done = decisions.settle_all(futs, lambda _: False)
        all_done.add_done_callback(lambda _: self._end_round(reports))
        return reports

    def _ask_with_retry(
        self, pool: _pools.Pool, reports: dict[str, _members.Report]
    ) -> "decisions.Flow[None]":
        """Retries once over another link, as only the first may be lost."""
        name = pool.member.id
        self._asking.add(name)
        try:
            report = yield from self.ask(pool, _links.Status())
        except decisions.RequestFailedError as exc:
            if exc.reason is not decisions.ANSWER_LOST:
                raise
            report = yield from self.ask(pool, _links.Status())
        finally:
            self._asking.discard(name)
        reports[name] = report

    def _apply_reports(self, reports: dict[str, _members.Report]) -> None:
        self._update_leader(reports)
        if self.leader is not None:
            copies = max(1, self.service.sync_replicas)
            self.departures.observe(self.leader, reports, copies)
        sample = self._sample(reports)
        if sample is not None and self.leader is not None:
            self.floors.add(sample, self.leader.term)

    def _end_round(self, reports: dict[str, _members.Report]) -> None:
        self._apply_reports(reports)
        for callback in self.on_round:
            callback(reports)

    def apply_survey(
        self,
        leader: _members.Leader,
        sample: _freshness.Sample,
        heard: float,
    ) -> None:
        """Applies the result of a peer's survey.

        Args:
            leader: The leader known to the peer.
            sample: A floor, with its time in this node's boot time.
            heard: When the peer heard from the primary, in clock seconds.
        """
        self.note_leader(leader)
        if self.leader != leader:
            return
        self.floors.add(sample, leader.term)
        self._leader_reports.note_end(leader, sample.floor, sample.at)
        pool = self.leader_pool
        if pool is not None:
            pool.contact.reported = max(pool.contact.reported, heard)

    def _sample(
        self, reports: dict[str, _members.Report]
    ) -> _freshness.Sample | None:
        if self.leader is None:
            return None
        return _freshness.sample_of(self.leader, reports, self.quorum)

    def _update_leader(self, reports: dict[str, _members.Report]) -> None:
        for name, report in reports.items():
            self.term = max(self.term, report.term)
            if report.role is _members.Role.PRIMARY:
                self.note_leader(_members.Leader(name, report.term))
        leader = self.leader
        if leader is not None and (why := self._loss(leader, reports)):
            name, member = self.service.name, leader.member
            _events.emit(_events.LeaderLost(name, member, self.term, why))
            self._lose_leader()

    def _loss(
        self, leader: _members.Leader, reports: dict[str, _members.Report]
    ) -> str:
        """Returns what shows that the primary leads no more, if anything."""
        if leader.term < self.term:
            return "a later term has begun"
        own = reports.get(leader.member)
        now = self._clock.boot_now()
        return self._leader_reports.loss(own, now) if own is not None else ""

    def note_leader(self, leader: _members.Leader) -> None:
        """Sets the leader unless one of the same or a later term is known."""
        known = self.leader
        is_newer = known is None or leader.term > known.term
        is_listed = leader.member in self.pools
        if leader.term < self.term or not is_newer or not is_listed:
            return
        previous = self.pools.get(self.last_leader)
        self.leader, self.last_leader = leader, leader.member
        self.leader_found_at = self._clock.now()
        self._leader_reports.begin(leader, self._clock.boot_now())
        self.term = leader.term
        self.primary_change_until = float("-inf")
        name = self.service.name
        _events.emit(_events.LeaderFound(name, leader.member, leader.term))
        if previous is not None and previous is not self.leader_pool:
            previous.reject_callers()
        changed, self._changed = self._changed, decisions.Future()
        decisions.resolve(changed, None)
