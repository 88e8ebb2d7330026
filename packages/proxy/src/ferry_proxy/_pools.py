"""The connections of one node to one member.

A member takes few connections, of all nodes together, so each node has a
limit and a queue by priority. Opening costs the member a slot for some time:
a link is kept for as long as it works.
"""

import collections

import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _contact
from ferry_proxy import _link_choice
from ferry_proxy import _link_queue
from ferry_proxy import _link_room
from ferry_proxy import _links
from ferry_proxy import _members
from ferry_proxy import _policy
from ferry_proxy import _pooled_links
from ferry_proxy import _queueing
from ferry_proxy import _reported_position
from ferry_proxy import _teams

PooledLink = _pooled_links.PooledLink
Use = _link_queue.Use


class Pool:
    """Links to one member, and who waits for them."""

    def __init__(
        self,
        clock: _clocks.Clock,
        member: _members.Member,
        connector: _links.Connector,
        policy: _policy.Policy,
        limit: int,
    ) -> None:
        self._clock = clock
        self._connector = connector
        self._policy = policy
        self._idle: list[PooledLink] = []
        self._used: set[PooledLink] = set()
        self._opening: collections.Counter[str] = collections.Counter()
        self._waiters = _link_queue.LinkQueue()
        self._team_usage = _link_choice.TeamUsage()
        self._room = _link_room.LinkRoom(clock.now(), policy.has_teams)
        self._is_retry_scheduled = False
        self._backoff_until = float("-inf")
        self._closed = False
        self.member = member
        self.limit = limit
        self.parallel = limit
        self.reported = _reported_position.ReportedPosition(clock)
        self.contact = _contact.Contact(clock)
        self._draining_since: float | None = None
        self.is_replaced = False
        self.note_entry(member)

    @property
    def in_flight(self) -> int:
        """Links in use, and requests that wait for one."""
        return len(self._used) + len(self._waiters)

    @property
    def size(self) -> int:
        """Links that are open or being opened."""
        return len(self._idle) + len(self._used) + self._opening.total()

    def note_entry(self, member: _members.Member) -> None:
        """Takes in how the member is listed now."""
        self.member = member
        if not member.draining:
            self._draining_since = None
        elif self._draining_since is None:
            self._draining_since = self._clock.now()

    @property
    def accepts_statements(self) -> bool:
        """Whether it may get new statements, or has long been leaving."""
        since = self._draining_since
        if since is None:
            return True
        return self._clock.now() - since < self._policy.drain_s

    @property
    def is_unreachable(self) -> bool:
        """Whether no link is open and the last attempt to open one failed."""
        return self._backing_off and not (self._idle or self._used)

    @property
    def is_refused(self) -> bool:
        """Whether its address answered that the member is not there."""
        refused = self.contact.refused_since < float("inf")
        return refused or self.is_replaced

    def acquire(
        self,
        use: Use,
        priority: int,
        until: float,
        values: dict[str, str] | None = None,
        team: str = _teams.NO_TEAM,
    ) -> "decisions.Future[PooledLink]":
        """Takes a link.

        Args:
            use: What for.
            priority: The place in the queue; 0 goes first.
            until: When to give up, in the clock's seconds.
            values: The session's values, to prefer a link that has them.
            team: In whose name the statements on it run; questions of ours
                take any team's link.

        Fails with `decisions.RequestFailedError` when none is to be had.
        """
        fut: decisions.Future[PooledLink] = decisions.Future()
        if self._closed or self.is_unreachable:
            return decisions.failed(_link_queue.unavailable(self.member.id))
        is_control = use is Use.CONTROL
        rank = _link_queue.CONTROL_RANK if is_control else priority
        left = max(0.0, until - self._clock.now())
        if not is_control and self.expected_wait_s(rank) > left:
            return decisions.failed(_link_queue.overloaded(self.member.id))
        timer = self._clock.after(
            left,
            lambda: decisions.reject(
                fut, _link_queue.overloaded(self.member.id)
            ),
        )
        fut.add_done_callback(lambda _: timer.cancel())
        if team:
            self._team_usage.note(team, self._clock.now())
        self._waiters.add(
            _link_queue.Waiter(rank, use, team, values or {}, fut)
        )
        self._serve()
        return fut

    def release(self, pooled: PooledLink) -> None:
        """Gives a link back that has no transaction open."""
        if pooled not in self._used:
            return
        self._used.discard(pooled)
        pooled.sent_at = None
        if pooled.link.lost or self._closed:
            pooled.link.close()
        else:
            pooled.for_transaction = pooled.is_committing = False
            self._idle.append(pooled)
        self._serve()

    def discard(self, pooled: PooledLink) -> None:
        """Closes a link that must not be used again."""
        self.contact.note_link_failure()
        pooled.link.close()
        self.release(pooled)

    def exchange(
        self, pooled: PooledLink, command: _links.Command
    ) -> "decisions.Flow[_links.Reply]":
        """Runs a command of ours on a link; without an answer it is closed.

        It waits in the member's queue like a statement: where those take long,
        it may, too.

        Raises:
            decisions.RequestFailedError: No answer within `probe_timeout_s`.
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
        """Gives a link back, or closes it if its state is not idle."""
        self.reported.note(reply.position)
        if reply.state is _links.IDLE:
            self.release(pooled)
        else:
            self.discard(pooled)

    def note_sent(self, pooled: PooledLink) -> None:
        """Takes in that a link owes an answer from now on."""
        pooled.sent_at = self._clock.now()
        self.contact.note_asked()

    def note_heard(self, pooled: PooledLink, elapsed_s: float = 0.0) -> None:
        """Takes in that the member answered.

        Args:
            taken: The link.
            elapsed_s: How long a statement took; 0 for other answers.
        """
        self.contact.note_heard(elapsed_s)
        pooled.last_reply_at = self._clock.now()
        pooled.sent_at = None
        if self._waiters:
            self._serve()

    def trim(self) -> None:
        """Closes links that nobody needed for a while, but for a few.

        A VM without power keeps its connections at the member for seconds.
        The fewer they are, the more its successor may open at once.
        """
        for pooled in _link_choice.unneeded(self._idle, self._clock.now()):
            self._idle.remove(pooled)
            pooled.link.close()

    def reject_callers(self) -> None:
        """Sends those who wait, and resting transactions, elsewhere.

        The member leads no more: what waits for it would wait in vain.
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
        """Closes the idle links; those in use close as they come back."""
        self._closed = True
        idle, self._idle = self._idle, []
        for pooled in idle:
            pooled.link.close()
        for waiter in self._waiters.clear():
            decisions.reject(
                waiter.fut, _link_queue.unavailable(self.member.id)
            )

    @property
    def _running(self) -> int:
        """Statements under way at the member, and links being opened.

        Each of both takes a slot.
        """
        asked = sum(t.sent_at is not None for t in self._used)
        return asked + self._opening.total()

    def has_link(self, team: str) -> bool:
        """Whether a statement of a team finds a link that is free."""
        return any(t.team == team for t in self._idle)

    def expected_wait_s(self, rank: int) -> float:
        """Returns how long a statement would wait here, in seconds.

        Args:
            rank: Its place in the queue; 0 goes first.
        """
        if self._running < self.parallel:
            return 0.0
        ahead = self._waiters.ahead_of(rank)
        return _queueing.expected_wait_s(
            ahead, self.parallel, self.contact.latency_s
        )

    @property
    def _backing_off(self) -> bool:
        return self._clock.now() < self._backoff_until

    def _serve(self) -> None:
        """Gives links to those who wait, in order."""
        self._idle = [t for t in self._idle if not t.link.lost]
        missing_links: collections.Counter[str] = collections.Counter()
        for waiter in self._waiters.in_order():
            if waiter.is_done:
                continue  # Who got a link just now has let it be served.
            if self._may_use_link(waiter.use):
                pooled = self._find_idle(waiter)
                if pooled is not None:
                    self._assign(waiter, pooled)
                    continue
                missing_links[waiter.team] += 1
                self._open_up_to(waiter.team, missing_links[waiter.team])
            elif waiter.use is not Use.TRANSACTION:
                break  # All others that wait want to run statements, too.

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
        pooled = sum(t.for_transaction for t in self._used)
        return pooled < max(1, self.limit - self._policy.transaction_reserve)

    def _assign(self, waiter: _link_queue.Waiter, pooled: PooledLink) -> None:
        self._idle.remove(pooled)
        self._used.add(pooled)
        pooled.for_transaction = waiter.use is Use.TRANSACTION
        self.note_sent(pooled)
        if waiter.use is not Use.CONTROL:
            pooled.last_used_at = self._clock.now()
        decisions.resolve(waiter.fut, pooled)

    def _open_up_to(self, team: str, count: int) -> None:
        """Opens a team's links until so many are under way."""
        if self._closed or self._backing_off:
            return
        while self._opening[team] < count and self._may_open_another():
            self._open(team)

    def _may_open_another(self) -> bool:
        """Whether one more link may be opened; an idle one may have to go."""
        bound = self._room.bound(self.limit, self._clock.now())
        if self.size < bound:
            return True
        if bound < self.limit and not self._is_retry_scheduled:
            self._is_retry_scheduled = True
            self._clock.after(_link_room.GROWTH_INTERVAL_S, self._retry_waiters)
        return self._close_idle()

    def _close_surplus(self) -> None:
        """Closes an idle link where there are more than there may be."""
        bound = self._room.bound(self.limit, self._clock.now())
        if self.size > bound:
            self._close_idle()

    def _close_idle(self) -> bool:
        """Closes the idle link that is needed least; whether there was one."""
        unneeded = _link_choice.to_close(
            self._idle, self._team_usage, self._waiters.teams
        )
        if unneeded is None:
            return False
        self._idle.remove(unneeded)
        unneeded.link.close()
        return True

    def _retry_waiters(self) -> None:
        """Serves those who wait once there may be room for another link."""
        self._is_retry_scheduled = False
        self._serve()

    def _open(self, team: str) -> None:
        self._opening[team] += 1
        self.contact.note_asked()
        fut = self._connector.connect(
            self.member, self._policy.connect_timeout_s, team
        )
        fut.add_done_callback(lambda f: self._opened(team, f))

    def _opened(self, team: str, fut: "decisions.Future[_links.Link]") -> None:
        self._opening[team] -= 1
        exc = fut.exception()
        if exc is not None:
            self._note_failure(exc)
            return
        link = fut.result()
        if self._closed:
            link.close()
            return
        pooled = PooledLink(link, self._clock.now(), team)
        self._idle.append(pooled)
        self.note_heard(pooled)
        self._serve()

    def _note_failure(self, exc: BaseException) -> None:
        self.contact.note_link_failure()
        backoff_s = self._policy.connect_backoff_s
        if isinstance(exc, _links.ConnectFailedError):
            self.is_replaced = exc.reason is decisions.WRONG_MEMBER
            if exc.refused:
                self.contact.note_refused()
            elif exc.reason is decisions.TOO_MANY_CONNECTIONS:
                self.contact.note_heard()
                self._room.note_full(self.size, self._clock.now())
                self._close_surplus()
                backoff_s = min(backoff_s, _link_room.FULL_BACKOFF_S)
        self._backoff_until = self._clock.now() + backoff_s
        self._clock.after(backoff_s, self._serve)
        if self.size:
            return
        for waiter in self._waiters.clear():
            decisions.reject(
                waiter.fut, _link_queue.unavailable(self.member.id)
            )
