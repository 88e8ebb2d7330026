"""Contact with members that are no longer listed but may still be running.

A member that is leaving runs on for a while after its removal from the list,
and one whose entry lapsed may have been cut off from the store only. Both may
receive commits and count for their acknowledgement.
"""

from collections.abc import Callable

import attrs
import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _departures
from ferry_proxy import _groups
from ferry_proxy import _links
from ferry_proxy import _members
from ferry_proxy import _pools

# Pause between two requests to a departed member. Each opens a connection.
PROBE_INTERVAL_S = 1.0

Ask = Callable[[_pools.Pool], "decisions.Flow[_members.Report]"]


@attrs.frozen(slots=True)
class Outcome:
    """The result of a request to a departed member.

    Attributes:
        departure: The departure.
        age_s: Seconds since it was removed from the list.
        report: Its report; None if it sent none.
        has_ended: Whether its process has ended: its address refuses
            connections or is another member's.
        failure: Why there is no report.
        is_silent: Whether it did not answer at all.
    """

    departure: _departures.Departure
    age_s: float
    report: _members.Report | None
    has_ended: bool
    failure: str
    is_silent: bool = False

    def is_unsure(self, is_known_to_all: bool) -> bool:
        """Whether commits that it receives out of reach may be told.

        One that was leaving and is silent has most likely ended. If it has
        not, no node that knows that it left counts what it receives.

        Args:
            is_known_to_all: Whether all serving nodes are in touch, and so
                know that it left.
        """
        if self.report is not None or self.has_ended:
            return False
        has_left = self.departure.member.draining and self.is_silent
        if has_left and is_known_to_all:
            return False
        return self.age_s < _departures.MAX_RUNNING_S

    def describe(self) -> str:
        """Returns a description for the log."""
        if self.report is not None:
            state = f"at {self.report.received}"
        elif self.has_ended:
            state = "ended"
        else:
            state = f"unreachable: {self.failure}"
        leaving = "leaving, " if self.departure.member.draining else ""
        return f"{leaving}{state}, removed {self.age_s:.1f} s ago"


def reach(
    clock: _clocks.Clock,
    group: _groups.Group,
    departure: _departures.Departure,
    ask: Ask,
) -> "decisions.Flow[Outcome]":
    """Sends a request to a departed member, over a link of its own.

    Args:
        clock: The clock.
        group: The group; it learns if the member's process has ended.
        departure: The member's departure.
        ask: Sends the request.
    """
    pool = group.open_pool(departure.member)
    opened_at = clock.now()
    fut = decisions.start(ask(pool))
    yield decisions.settled(fut)
    exc = fut.exception()
    has_ended = exc is not None and pool.is_refused
    pool.close()
    if has_ended:
        group.departures.note_ended(departure.key, clock.boot_now())
    return Outcome(
        departure,
        clock.boot_now() - departure.removed_at,
        fut.result() if exc is None else None,
        has_ended,
        repr(exc),
        is_silent=exc is not None and pool.contact.heard <= opened_at,
    )


def reach_all(
    clock: _clocks.Clock,
    group: _groups.Group,
    departures: list[_departures.Departure],
    ask: Ask,
) -> "decisions.Flow[dict[str, Outcome]]":
    """Sends a request to several departed members at once.

    Returns:
        The outcomes, by the members' ids.
    """
    futs = [
        decisions.start(reach(clock, group, departure, ask))
        for departure in departures
    ]
    yield decisions.settle_all(futs, lambda _: False)
    outcomes = [fut.result() for fut in futs]
    return {o.departure.member.id: o for o in outcomes}


class Probes:
    """Finds out when the processes of a group's departed members end."""

    def __init__(self, clock: _clocks.Clock) -> None:
        self._clock = clock
        self._asked_at: dict[str, float] = {}

    def probe(self, group: _groups.Group) -> None:
        """Asks departed members for their status, at most one time a second."""
        now = self._clock.boot_now()
        running = [d for d in group.departures.open() if d.may_run(now)]
        known = {d.key: self._asked_at.get(d.key) for d in running}
        self._asked_at = {k: at for k, at in known.items() if at is not None}
        for departure in running:
            asked_at = self._asked_at.get(departure.key, float("-inf"))
            if now - asked_at >= PROBE_INTERVAL_S:
                self._asked_at[departure.key] = now
                probe = reach(self._clock, group, departure, _status_of(group))
                decisions.start_detached("probe a departed member", probe)


def _status_of(group: _groups.Group) -> Ask:
    return lambda pool: group.ask(pool, _links.Status())
