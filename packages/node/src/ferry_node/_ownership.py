"""Exclusive ownership of a member by the node that serves it.

Nodes may disagree for a while about who serves a member. The member itself
decides: it takes statements from its present owner only, so its slots and
connections are given out in one place, and all writes to a primary pass
through one node. That node then knows the last write of every session.
"""

import typing

from absl import logging
import ferry_decisions as decisions

RETRY_S = 0.1
RECLAIM_S = 1.0
POLL_S = 0.003


class Ownership:
    """One node's ownership of one member.

    Attributes:
        floors: The last write of each session, while the member is owned.
        owned: Whether the member is owned, as far as is known.
    """

    def __init__(
        self,
        timers: decisions.TimerService,
        watch: decisions.DatabaseWatch,
        member: decisions.Member,
        owner: str,
    ) -> None:
        self.floors = decisions.SessionFloors()
        self.owned = False
        self._timers = timers
        self._watch = watch
        self._member = member
        self._owner = owner
        self._closed = False
        self._had_guests = False
        self._lost_at = float("-inf")
        decisions.start(self._keep())

    def note_lost(self) -> None:
        """Takes in that the member has another owner."""
        if self.owned:
            self.owned = False
            self._lost_at = self._timers.now()

    def release(self) -> "decisions.Future[None]":
        """Gives the member up; what is under way on it goes on."""
        was_owned = self.owned
        self.close()
        if not was_owned:
            return decisions.completed(None)
        return decisions.start(self._release())

    def _release(self) -> "decisions.Flow[None]":
        try:
            yield self._watch.driver.own(self._member, "")
        except (
            decisions.EndpointUnreachableError,
            decisions.EndpointRefusedError,
        ) as exc:
            logging.info(
                "event=not_released member=%s detail=%s",
                self._member.name,
                exc,
            )

    def close(self) -> None:
        """Stops claiming the member; the next owner takes it."""
        self._closed = True
        self.owned = False

    def wait_until_owned(self, deadline: float) -> "decisions.Flow[None]":
        """Waits until the member is owned.

        Raises:
            RequestFailedError: The deadline came; nothing was handed over.
        """
        while not self.owned:
            if self._closed:
                raise decisions.RequestFailedError(decisions.STOPPING)
            if self._timers.now() >= deadline:
                raise decisions.RequestFailedError(decisions.NO_SERVING_NODE)
            yield decisions.sleep(self._timers, POLL_S)

    def _keep(self) -> "decisions.Flow[None]":
        """Owns the member for as long as this node serves it."""
        while not self._closed:
            if not self.owned:
                yield from self._claim()
            yield decisions.sleep(self._timers, RETRY_S)
            status = self._watch.statuses.get(self._member.name)
            if status is not None and status.owner != self._owner:
                self.note_lost()

    def _claim(self) -> "decisions.Flow[None]":
        """Claims the member, not more than once in a while.

        Where two nodes both hold that they serve it, each claim ends the
        other's connections; the pause keeps that rare until they agree.
        """
        wait_s = self._lost_at + RECLAIM_S - self._timers.now()
        if wait_s > 0:
            yield decisions.sleep(self._timers, wait_s)
        try:
            status = yield self._watch.driver.own(self._member, self._owner)
        except (
            decisions.EndpointUnreachableError,
            decisions.EndpointRefusedError,
        ) as exc:
            logging.debug(
                "event=not_owned member=%s detail=%s", self._member.name, exc
            )
            return
        if self._closed:
            return
        self._watch.statuses[self._member.name] = typing.cast(
            decisions.MemberStatus, status
        )
        self.floors.restart(status.received)
        self._had_guests = status.guests > 0
        self.owned = True

    def floor(
        self, session: str, status: decisions.MemberStatus
    ) -> decisions.Position:
        """Returns a position that covers all writes of a session.

        While guests are left, they may write too, and only the primary's last
        position covers everything.

        Args:
            session: The session's key.
            status: The primary's status, asked for after the session's.
        """
        if status.guests:
            self._had_guests = True
            return status.received
        if self._had_guests:
            self._had_guests = False
            self.floors.restart(status.received)
        return self.floors.floor(session)
