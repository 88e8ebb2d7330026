"""Opens links of a pool where requests need them, and closes unneeded ones."""

import collections
import typing

import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _contact
from ferry_proxy import _link_choice
from ferry_proxy import _link_room
from ferry_proxy import _links
from ferry_proxy import _members
from ferry_proxy import _policy
from ferry_proxy import _pooled_links


class Owner(typing.Protocol):
    """The pool whose links are opened.

    Attributes:
        member: The member that the links lead to.
        limit: How many links the pool may have at most.
        contact: When the member was asked and answered.
    """

    member: _members.Member
    limit: int
    contact: _contact.Contact

    @property
    def is_closed(self) -> bool:
        """Whether the pool needs no more links."""

    @property
    def size(self) -> int:
        """The number of links that are open or being opened."""

    @property
    def waiting_teams(self) -> set[str]:
        """The teams with waiting requests."""

    def add(self, link: _links.Link, team: str) -> None:
        """Takes a link that was opened for a team."""

    def serve(self) -> None:
        """Assigns links to waiting requests."""

    def reject_waiters(self) -> None:
        """Fails the waiting requests."""


class LinkOpener:
    """Opens and closes the links of one pool.

    Attributes:
        is_replaced: Whether another member answers at the address.
    """

    def __init__(
        self,
        clock: _clocks.Clock,
        connector: _links.Connector,
        policy: _policy.Policy,
        pool: Owner,
        idle: list[_pooled_links.PooledLink],
    ) -> None:
        """Creates an opener.

        Args:
            clock: The clock.
            connector: Opens connections.
            policy: The tunables.
            pool: The pool.
            idle: The pool's idle links; unneeded ones are taken out.
        """
        self._clock = clock
        self._connector = connector
        self._policy = policy
        self._pool = pool
        self._idle = idle
        self._opening: collections.Counter[str] = collections.Counter()
        self._team_usage = _link_choice.TeamUsage()
        self._room = _link_room.LinkRoom(clock.now(), policy.has_teams)
        self._is_retry_scheduled = False
        self._backoff_until = float("-inf")
        self.is_replaced = False

    @property
    def opening(self) -> int:
        """The number of links that are being opened."""
        return self._opening.total()

    @property
    def is_backing_off(self) -> bool:
        """Whether no attempt is made now, since the last one failed."""
        return self._clock.now() < self._backoff_until

    def note_use(self, team: str) -> None:
        """Records that a statement of a team requests a link."""
        self._team_usage.note(team, self._clock.now())

    def open_up_to(self, team: str, count: int) -> None:
        """Opens links for a team until `count` of them are being opened."""
        if self._pool.is_closed or self.is_backing_off:
            return
        while self._opening[team] < count and self._may_open_another():
            self._open(team)

    def _may_open_another(self) -> bool:
        """Whether another link may be opened; may close an idle one."""
        limit = self._pool.limit
        bound = self._room.bound(limit, self._clock.now())
        if self._pool.size < bound:
            return True
        if bound < limit and not self._is_retry_scheduled:
            self._is_retry_scheduled = True
            self._clock.after(_link_room.GROWTH_INTERVAL_S, self._retry_waiters)
        return self._close_idle()

    def _close_surplus(self) -> None:
        """Closes an idle link if the pool exceeds its current bound."""
        bound = self._room.bound(self._pool.limit, self._clock.now())
        if self._pool.size > bound:
            self._close_idle()

    def _close_idle(self) -> bool:
        """Closes the least needed idle link; returns whether there was one."""
        unneeded = _link_choice.to_close(
            self._idle, self._team_usage, self._pool.waiting_teams
        )
        if unneeded is None:
            return False
        self._idle.remove(unneeded)
        unneeded.link.close()
        return True

    def _retry_waiters(self) -> None:
        """Serves the queue again once the bound on links may have grown."""
        self._is_retry_scheduled = False
        self._pool.serve()

    def _open(self, team: str) -> None:
        self._opening[team] += 1
        self._pool.contact.note_asked()
        fut = self._connector.connect(
            self._pool.member, self._policy.connect_timeout_s, team
        )
        fut.add_done_callback(lambda f: self._opened(team, f))

    def _opened(self, team: str, fut: "decisions.Future[_links.Link]") -> None:
        self._opening[team] -= 1
        exc = fut.exception()
        if exc is None:
            self._pool.add(fut.result(), team)
        else:
            self._note_failure(exc)

    def _note_failure(self, exc: BaseException) -> None:
        contact = self._pool.contact
        contact.note_link_failure()
        backoff_s = self._policy.connect_backoff_s
        if isinstance(exc, _links.ConnectFailedError):
            self.is_replaced = exc.reason is decisions.WRONG_MEMBER
            if exc.refused:
                contact.note_refused()
            elif exc.reason is decisions.TOO_MANY_CONNECTIONS:
                contact.note_heard()
                self._room.note_full(self._pool.size, self._clock.now())
                self._close_surplus()
                backoff_s = min(backoff_s, _link_room.FULL_BACKOFF_S)
        self._backoff_until = self._clock.now() + backoff_s
        self._clock.after(backoff_s, self._pool.serve)
        if not self._pool.size:
            self._pool.reject_waiters()
