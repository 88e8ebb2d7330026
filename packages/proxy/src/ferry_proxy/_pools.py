"""Connection pool of one node to one member.

A member accepts few connections from all nodes together, so each node has a
limit and a priority queue. Opening a connection occupies a slot of the member
for some time, so a link is kept for as long as it works.
"""

import collections

import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _contact
from ferry_proxy import _drain_window
from ferry_proxy import _features
from ferry_proxy import _link_choice
from ferry_proxy import _link_opener
from ferry_proxy import _link_queue
from ferry_proxy import _links
from ferry_proxy import _members
from ferry_proxy import _policy
from ferry_proxy import _pooled_links
from ferry_proxy import _reported_position
from ferry_proxy import _teams
from ferry_proxy.queueing import _admission_queue
from ferry_proxy.queueing import _work

PooledLink = _pooled_links.PooledLink
Use = _link_queue.Use


class Pool:
    """Links to one member and the queue of requests for them.

    Attributes:
        relinked_at: When a link was opened after all earlier ones were lost,
            in boot time; minus infinity if none was.
    """

    def __init__(
        self,
        clock: _clocks.Clock,
        member: _members.Member,
        connector: _links.Connector,
        policy: _policy.Policy,
        limit: int,
        features: _features.Features = _features.NONE,
    ) -> None:
        self._clock = clock
        self._policy = policy
        self._idle: list[PooledLink] = []
        self._used: set[PooledLink] = set()
        self.admission: _admission_queue.AdmissionQueue | None = None
        self._waiters = _link_queue.LinkQueue(clock)
        if features.is_on(_policy.Feature.FAIR_ADMISSION):
            self._waiters = self.admission = _admission_queue.AdmissionQueue(
                clock
            )
        self._opener = _link_opener.LinkOpener(
            clock, connector, policy, self, self._idle
        )
        self._closed = False
        self.member = member
        self.limit = limit
        self.parallel = limit
        self.reported = _reported_position.ReportedPosition(clock)
        self.contact = _contact.Contact(clock)
        self._was_linked = False
        self.relinked_at = float("-inf")
        self._drain_window = _drain_window.DrainWindow(policy.drain_s)
        self.note_entry(member)

    @property
    def in_flight(self) -> int:
        """The number of links in use and of requests waiting for one."""
        return len(self._used) + len(self._waiters)

    @property
    def demand(self) -> decisions.Demand:
        """The statements that run at the member and wait at this node."""
        return decisions.Demand(self._running, len(self._waiters))

    @property
    def size(self) -> int:
        """The number of links that are open or being opened."""
        return len(self._idle) + len(self._used) + self._opener.opening

    @property
    def is_closed(self) -> bool:
        """Whether the pool was closed and needs no more links."""
        return self._closed

    @property
    def waiting_teams(self) -> set[str]:
        """The teams with waiting requests."""
        return self._waiters.teams

    def note_entry(self, member: _members.Member) -> None:
        """Applies the current list entry of the member."""
        self.member = member
        self._drain_window.note(member.draining, self._clock.now())

    @property
    def accepts_statements(self) -> bool:
        """Whether it takes new statements; if draining, for `drain_s` only."""
        return self._drain_window.is_open(self._clock.now())

    @property
    def is_unreachable(self) -> bool:
        """Whether no link is open and the last attempt to open one failed."""
        return self._opener.is_backing_off and not (self._idle or self._used)

    @property
    def is_refused(self) -> bool:
        """Whether the address refuses connections or is another member's."""
        refused = self.contact.refused_since < float("inf")
        return refused or self._opener.is_replaced

    def acquire(
        self,
        use: Use,
        priority: int,
        until: float,
        values: dict[str, str] | None = None,
        team: str = _teams.NO_TEAM,
        work: _work.Work | None = None,
    ) -> "decisions.Future[PooledLink]":
        """Acquires a link.

        Args:
            use: What the link is for.
            priority: The queue priority; 0 goes first.
            until: When to give up, in the clock's seconds.
            values: The session's values; a link that has them is preferred.
            team: The team whose statements run on the link; control commands
                use a link of any team.
            work: The statement that runs on it; None if unknown.

        Fails with `decisions.RequestFailedError` if none becomes available.
        """
        fut: decisions.Future[PooledLink] = decisions.Future()
        if self._closed or self.is_unreachable:
            return decisions.failed(_link_queue.unavailable(self.member.id))
        is_control = use is Use.CONTROL
        rank = _link_queue.CONTROL_RANK if is_control else priority
        work = work or _work.unknown(priority, until)
        waiter = _link_queue.Waiter(rank, use, team, values or {}, fut, work)
        if not is_control:
            refusal = self._waiters.refusal(waiter, until, self._load())
            if refusal is not None:
                return decisions.failed(refusal)
        self._waiters.hold(waiter, until, self._load)
        if team:
            self._opener.note_use(team)
        self._waiters.add(waiter)
        self.serve()
        return fut

    def release(self, pooled: PooledLink) -> None:
        """Returns a link without an open transaction to the pool."""
        if pooled not in self._used:
            return
        self._used.discard(pooled)
        pooled.sent_at = None
        self._waiters.note_released(pooled)
        if pooled.link.lost or self._closed:
            pooled.link.close()
        else:
            pooled.for_transaction = pooled.is_committing = False
            self._idle.append(pooled)
        self.serve()

    def discard(self, pooled: PooledLink) -> None:
        """Closes a link that must not be used again."""
        self.contact.note_link_failure()
        pooled.link.close()
        self.release(pooled)

    def exchange(
        self, pooled: PooledLink, command: _links.Command
    ) -> "decisions.Flow[_links.Reply]":
        """Runs a control command; the link is closed if no reply arrives.

        It waits in the member's queue like a statement. The time limit is
        `probe_timeout_s`, or more where statements take long.

        Raises:
            decisions.RequestFailedError: No reply within the time limit.
        """
        fut = pooled.link.run([command])[0]
        limit_s = max(self._policy.probe_timeout_s, self.contact.max_reply_s)
        try:
            reply: _links.Reply = yield decisions.with_timeout(
                self._clock, limit_s, fut
            )
        except (decisions.TimeoutExpiredError, _links.LinkLostError) as exc:
            self.discard(pooled)
            raise decisions.RequestFailedError(
                decisions.ANSWER_LOST, str(exc)
            ) from exc
        self.note_heard(pooled)
        self.reported.note(reply.position)
        return reply

    def give_back(self, pooled: PooledLink, reply: _links.Reply) -> None:
        """Releases a link, or closes it if its session is not idle."""
        self.reported.note(reply.position)
        if reply.state is _links.IDLE:
            self.release(pooled)
        else:
            self.discard(pooled)

    def note_sent(self, pooled: PooledLink) -> None:
        """Records that a reply is now outstanding on a link."""
        pooled.sent_at = self._clock.now()
        self.contact.note_asked()

    def note_statement(
        self,
        pooled: PooledLink,
        work: _work.Work,
        fut: "decisions.Future[_links.Reply]",
    ) -> None:
        """Records a statement that was sent.

        Args:
            pooled: The link that it runs on.
            work: The statement.
            fut: Its reply.
        """
        self._waiters.note_statement(pooled, work, fut, self._load)

    def exclude_pause(self, late_s: float) -> None:
        """Excludes a pause of this process from what it knows of the member.

        Args:
            late_s: The length of the pause, in seconds.
        """
        self.contact.exclude_pause(late_s)
        self._waiters.exclude_pause(late_s)

    def note_heard(self, pooled: PooledLink, elapsed_s: float = 0.0) -> None:
        """Records that the member replied.

        Args:
            pooled: The link.
            elapsed_s: The duration of a statement; 0 for other replies.
        """
        self.contact.note_heard(elapsed_s)
        pooled.last_reply_at = self._clock.now()
        pooled.sent_at = None
        if self._waiters:
            self.serve()

    def trim(self) -> None:
        """Closes links that have been unused for a while, except for a few.

        After a VM loses power, its connections stay open at the member for
        seconds. The fewer there are, the more its successor can open at once.
        """
        for pooled in _link_choice.unneeded(self._idle, self._clock.now()):
            self._idle.remove(pooled)
            pooled.link.close()

    def reject_callers(self) -> None:
        """Fails waiting requests and closes links of open transactions.

        The member is no longer the primary, so waiting for it is useless.
        """
        for waiter in list(self._waiters):
            if waiter.use is not Use.CONTROL:
                decisions.reject(
                    waiter.fut, _link_queue.unavailable(self.member.id)
                )
        for pooled in list(self._used):
            if pooled.for_transaction and not pooled.is_committing:
                pooled.link.close()

    def close(self) -> None:
        """Closes the idle links; links in use are closed on release."""
        self._closed = True
        for pooled in self._idle:
            pooled.link.close()
        self._idle.clear()
        self.reject_waiters()

    def reject_waiters(self) -> None:
        """Fails all waiting requests, since no link can be opened."""
        for waiter in self._waiters.clear():
            decisions.reject(
                waiter.fut, _link_queue.unavailable(self.member.id)
            )

    def add(self, link: _links.Link, team: str) -> None:
        """Adds an open link of a team, or closes it if the pool is closed."""
        if self._closed:
            link.close()
            return
        opened_at = self._clock.boot_now()
        if not any(not p.link.lost for p in (*self._idle, *self._used)):
            self.relinked_at = opened_at if self._was_linked else float("-inf")
        self._was_linked = True
        pooled = PooledLink(link, self._clock.now(), team, opened_at=opened_at)
        self._idle.append(pooled)
        self.note_heard(pooled)
        self.serve()

    @property
    def _running(self) -> int:
        """Statements at the member and links being opened; each has a slot."""
        asked = sum(t.sent_at is not None for t in self._used)
        return asked + self._opener.opening

    def has_link(self, team: str) -> bool:
        """Whether the team has an idle link."""
        return any(t.team == team for t in self._idle)

    def expected_wait_s(self, rank: int) -> float:
        """Returns the expected queueing time of a statement, in seconds.

        Args:
            rank: The queue rank; 0 goes first.
        """
        return self._waiters.expected_wait_s(rank, self._load())

    def _load(self) -> _link_queue.MemberLoad:
        return _link_queue.MemberLoad(
            member=self.member.id,
            in_progress=self._running,
            places=self.parallel,
            latency_s=self.contact.latency_s,
            is_silent=self.contact.is_unresponsive,
        )

    def serve(self) -> None:
        """Assigns links to waiting requests, in queue order."""
        self._idle[:] = [t for t in self._idle if not t.link.lost]
        if self._running >= self.parallel and not self._waiters.has_control:
            return
        missing_links: collections.Counter[str] = collections.Counter()
        for waiter in self._waiters.in_order():
            if waiter.is_done:
                continue  # A nested call, on assigning a link, served it.
            if self._may_use_link(waiter.use):
                pooled = self._find_idle(waiter)
                if pooled is not None:
                    self._assign(waiter, pooled)
                    continue
                missing_links[waiter.team] += 1
                self._opener.open_up_to(waiter.team, missing_links[waiter.team])
            elif waiter.use is not Use.TRANSACTION:
                break  # All later waiters also want to run statements.

    def _find_idle(self, waiter: _link_queue.Waiter) -> PooledLink | None:
        if waiter.use is Use.CONTROL:
            return _link_choice.for_control(self._idle)
        return _link_choice.for_team(self._idle, waiter.team, waiter.values)

    def _may_use_link(self, use: Use) -> bool:
        if use is Use.CONTROL:
            return True
        if self._running >= self.parallel:
            return False
        if use is Use.STATEMENT:
            return True
        held = sum(t.for_transaction for t in self._used)
        return held < max(1, self.limit - self._policy.transaction_reserve)

    def _assign(self, waiter: _link_queue.Waiter, pooled: PooledLink) -> None:
        self._idle.remove(pooled)
        self._used.add(pooled)
        pooled.for_transaction = waiter.use is Use.TRANSACTION
        self.note_sent(pooled)
        self._waiters.note_assigned(waiter, pooled)
        if waiter.use is not Use.CONTROL:
            pooled.last_used_at = self._clock.now()
        decisions.resolve(waiter.fut, pooled)
