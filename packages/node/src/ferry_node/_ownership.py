"""Exclusive ownership of a member by the node that serves it.

Nodes may temporarily disagree about which of them serves a member. The member
itself resolves this: it accepts statements from its current owner only.
Therefore one node allocates the member's slots and connections, and all
writes to a primary pass through one node, which knows the last write of every
session.
"""

import typing

from absl import logging
import ferry_decisions as decisions

CHECK_INTERVAL_S = 0.1
# The minimum time between losing a member and claiming it again.
MIN_RECLAIM_DELAY_S = 1.0
OWNED_POLL_S = 0.003


class Ownership:
    """One node's ownership of one member.

    Attributes:
        floors: The last write of each session, tracked while the node owns
            the member.
        owned: Whether the node owns the member, as far as it knows.
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
        decisions.Supervisor(
            timers, f"own {member.name}", self._maintain, self.note_lost
        ).start()

    def note_lost(self) -> None:
        """Notes that the member has another owner."""
        if self.owned:
            self.owned = False
            self._lost_at = self._timers.now()

    def release(self) -> "decisions.Future[None]":
        """Gives up the member; work in progress on it continues."""
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
        """Stops claiming the member, so that another node can own it."""
        self._closed = True
        self.owned = False

    def wait_until_owned(self, deadline: float) -> "decisions.Flow[None]":
        """Waits until the node owns the member.

        Args:
            deadline: The time at which to give up.

        Raises:
            RequestFailedError: The deadline passed or the node stopped
                serving the member; nothing was sent to the member.
        """
        while not self.owned:
            if self._closed:
                raise decisions.RequestFailedError(decisions.STOPPING)
            if self._timers.now() >= deadline:
                raise decisions.RequestFailedError(decisions.NO_SERVING_NODE)
            yield decisions.sleep(self._timers, OWNED_POLL_S)

    def _maintain(self) -> "decisions.Flow[None]":
        """Claims the member, and claims it again whenever it is lost."""
        while not self._closed:
            if not self.owned:
                yield from self._claim()
            yield decisions.sleep(self._timers, CHECK_INTERVAL_S)
            status = self._watch.statuses.get(self._member.name)
            if status is not None and status.owner != self._owner:
                self.note_lost()

    def _claim(self) -> "decisions.Flow[None]":
        """Claims the member, after a delay if it was lost recently.

        While two nodes both believe that they serve the member, each claim
        closes the other's connections. The delay keeps this rare until the
        nodes agree.
        """
        wait_s = self._lost_at + MIN_RECLAIM_DELAY_S - self._timers.now()
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

        While connections of a previous owner ("guests") remain, they may
        write too, and only the primary's latest position covers all writes.

        Args:
            session: The session's key.
            status: The primary's status, requested after the session's last
                write.
        """
        if status.guests:
            self._had_guests = True
            return status.received
        if self._had_guests:
            self._had_guests = False
            self.floors.restart(status.received)
        return self.floors.floor(session)
