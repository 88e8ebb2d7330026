"""Members that left a group, and the commits that may have left with them.

An acknowledged commit is on the primary and on at least one replica, so a
fence that reads all listed replicas finds it. Once that replica has left, the
primary may be the only member that holds the commit, until another replica
has received everything that the primary held at that time. The departure is
open until then.
"""

from collections.abc import Collection
import re
import typing

import attrs
import ferry_decisions as decisions

from ferry_proxy import _acknowledgements
from ferry_proxy import _freshness
from ferry_proxy import _members

# A member that is no longer listed may still be running, cut off by a
# partition. It is taken into account for this long, which is longer than any
# known partition has lasted.
MAX_RUNNING_S = 30.0
# Departures that are remembered. Those that ended earlier are covered by the
# same sample as the latest one.
MAX_DEPARTURES = 32
_INSTANCE = re.compile(r"(?P<key>.*)#(?P<era>\d{1,18}):(?P<number>\d{1,18})")


def key_of(member: _members.Member) -> str:
    """Returns a name that differs between the processes of a member."""
    return f"{member.id}@{member.born}"


@attrs.frozen(slots=True)
class Departure:
    """A process of a member that is no longer listed, or has ended.

    Attributes:
        member: Its last entry.
        removed_at: When this node learned of its departure, in boot time.
        ended_at: By when the process had ended, in boot time; infinite if it
            may still be running.
    """

    member: _members.Member
    removed_at: float
    ended_at: float = float("inf")

    @property
    def revision(self) -> decisions.Revision:
        """The store's revision of the last entry, as far as known."""
        return self.member.revision

    @property
    def key(self) -> str:
        """A name that differs between the processes of a member."""
        return key_of(self.member)

    @property
    def instance(self) -> str:
        """The key, and the entry after which the process departed.

        A process may be listed again, and depart again, under the same key.
        """
        return f"{self.key}#{self.revision.era}:{self.revision.number}"

    @property
    def latest_end(self) -> float:
        """By when the process no longer receives commits, in boot time."""
        return min(self.ended_at, self.removed_at + MAX_RUNNING_S)

    def may_run(self, now: float) -> bool:
        """Whether the process may still be receiving commits.

        Args:
            now: The current boot time, in seconds.
        """
        return now < self.latest_end

    def is_covered_by(
        self, floor: _freshness.Sample, received: decisions.Position
    ) -> bool:
        """Whether a replica holds all that was acknowledged with the process.

        Args:
            floor: A floor of the group.
            received: The end of the replica's log.
        """
        return self.latest_end <= floor.at and received >= floor.floor


def _parse_instance(instance: str) -> tuple[str, decisions.Revision]:
    """Returns the key and the revision of a departure's instance.

    Older builds send the key alone.
    """
    match = _INSTANCE.fullmatch(instance)
    if match is None:
        return instance, decisions.UNREAD_REVISION
    era, number = int(match["era"]), int(match["number"])
    return match["key"], decisions.Revision(era, number)


@attrs.frozen(slots=True)
class PrimaryEnd:
    """The end of a primary's log at some point in time.

    Attributes:
        leader: The primary.
        position: The end of its log.
        at: When it was asked, in boot time.
    """

    leader: _members.Leader
    position: decisions.Position
    at: float


class Departures:
    """The departures from one group."""

    def __init__(self) -> None:
        self._open: dict[str, Departure] = {}
        self._covered: dict[str, decisions.Revision] = {}
        self._ended: dict[str, None] = {}
        self._end: PrimaryEnd | None = None

    def open(self) -> list[Departure]:
        """Returns the departures that are not covered, the latest one last."""
        return list(self._open.values())

    @property
    def covered_keys(self) -> list[str]:
        """The keys of departures covered lately, the latest one last."""
        return list(self._covered)

    def is_covered(self, instance: str) -> bool:
        """Whether a departure was covered, and not only an earlier one.

        Args:
            instance: The instance of the departure.
        """
        key, revision = _parse_instance(instance)
        covered = self._covered.get(key)
        return covered is not None and revision <= covered

    def is_open(self, instance: str) -> bool:
        """Whether a departure, or a later one of the process, is open.

        Args:
            instance: The instance of the departure.
        """
        key, revision = _parse_instance(instance)
        known = self._open.get(key)
        return known is not None and revision <= known.revision

    def note_removed(self, member: _members.Member, now: float) -> None:
        """Records that a member was removed from the list.

        Args:
            member: Its last entry.
            now: The current boot time, in seconds.
        """
        self._add(Departure(member, now))

    def note_restarted(self, before: _members.Member, now: float) -> None:
        """Records that a member restarted, perhaps without its log.

        Args:
            before: The last entry of the process that ended.
            now: The current boot time, in seconds.
        """
        self._add(Departure(before, now, now))

    def note_listed(self, member: _members.Member, now: float) -> None:
        """Records that a member is listed.

        Args:
            member: Its entry.
            now: The current boot time, in seconds.
        """
        self._covered.pop(key_of(member), None)
        self._ended.pop(member.id, None)
        for key, departure in list(self._open.items()):
            if departure.member.id != member.id:
                continue
            if departure.member.born == member.born:
                self._open.pop(key)
            else:
                self.note_ended(key, now)

    def note_ended(self, key: str, now: float) -> None:
        """Records that the process of a departed member has ended.

        Args:
            key: The departure's key.
            now: The current boot time, in seconds.
        """
        known = self._open.get(key)
        if known is None:
            return
        self._ended[known.member.id] = None
        _drop_earliest(self._ended)
        if now < known.latest_end:
            self._open[key] = attrs.evolve(known, ended_at=now)

    def has_ended(self, member: str) -> bool:
        """Whether the process of a departed member has ended.

        Args:
            member: The member's id.
        """
        return member in self._ended

    def adopt(self, departure: Departure) -> None:
        """Adds a departure that another node has observed.

        The caller leaves out members that are listed.
        """
        known = self._open.get(departure.key)
        if known is not None and known.revision >= departure.revision:
            return
        covered = self._covered.get(departure.key)
        if covered is None or covered < departure.revision:
            self._add(departure)

    def cover(self, keys: Collection[str]) -> None:
        """Closes departures that another node found to be covered."""
        for key in keys:
            known = self._open.pop(key, None)
            if known is not None:
                self._note_covered(known)

    def cover_before(self, moment: float) -> None:
        """Closes the departures of processes that ended before a moment.

        Args:
            moment: A boot time, in seconds, at which the primary's log ended
                where enough replicas are known to have caught up with it.
        """
        for key, departure in list(self._open.items()):
            if departure.latest_end <= moment:
                del self._open[key]
                self._note_covered(departure)

    def observe(
        self,
        leader: _members.Leader,
        reports: dict[str, _members.Report],
        copies: int,
    ) -> None:
        """Closes the departures that a round of reports covers.

        Replicas may be some commits behind a primary that was asked at the
        same time. They are therefore compared with one position until they
        have received it.

        Args:
            leader: The primary.
            reports: The reports of listed members, by id.
            copies: How many replicas must have received an acknowledged
                commit, and so all commits of a departed member.
        """
        if not self._open:
            self._end = None
            return
        if self._end is not None and self._end.leader != leader:
            self._end = None
        if self._end is not None and _holders(self._end, reports) >= copies:
            self.cover_before(self._end.at)
            self._end = None
        own = reports.get(leader.member)
        if own is not None and own.leads(leader) and not self._covers_any():
            self._end = PrimaryEnd(leader, own.received, own.asked_at)

    def _covers_any(self) -> bool:
        """Whether the known end of the log covers a departure."""
        end = self._end
        return end is not None and any(
            d.latest_end <= end.at for d in self._open.values()
        )

    def _note_covered(self, departure: Departure) -> None:
        self._covered[departure.key] = departure.revision
        _drop_earliest(self._covered)

    def _add(self, departure: Departure) -> None:
        self._covered.pop(departure.key, None)
        self._open.pop(departure.key, None)
        self._open[departure.key] = departure
        _drop_earliest(self._open)


def _drop_earliest(known: dict[str, typing.Any]) -> None:
    """Drops the earliest entry if there are too many."""
    if len(known) > MAX_DEPARTURES:
        del known[next(iter(known))]


def _holders(end: PrimaryEnd, reports: dict[str, _members.Report]) -> int:
    """Returns how many replicas hold everything up to the end of a log.

    A replica that is paused for a later term does not count: the primary may
    have been replaced before it was asked.
    """
    return sum(
        report.proves(end.leader.term) and report.received >= end.position
        for name, report in reports.items()
        if name != end.leader.member
    )


@attrs.frozen(slots=True)
class MissingCommits:
    """Acknowledged commits that a successor lacks, or may lack.

    Attributes:
        is_known: Whether it is known to lack one.
        detail: Why, for the log.
    """

    is_known: bool
    detail: str


def missing_commits(
    received: decisions.Position,
    departures: list[Departure],
    acks: _acknowledgements.Acknowledgements,
    floor: decisions.Position | None,
) -> MissingCommits | None:
    """Returns the commits that a successor may lack; None if it holds all.

    Args:
        received: The end of its log.
        departures: The open departures, without the old primary's.
        acks: The acknowledgements known to the serving nodes.
        floor: A floor for all commits acknowledged before the nodes began to
            observe acknowledgements; None if there is none.
    """
    if received < acks.at_least:
        detail = f"{acks.at_least} was acknowledged, {received} is held"
        return MissingCommits(True, detail)
    if not departures:
        return None
    names = ", ".join(d.member.id for d in departures)
    if received < acks.at_most:
        detail = f"{names} left, {acks.at_most} may be acknowledged"
        return MissingCommits(False, f"{detail}, {received} is held")
    if floor is None or received < floor:
        detail = f"{names} left, not all acknowledgements are known"
        return MissingCommits(False, detail)
    return None
