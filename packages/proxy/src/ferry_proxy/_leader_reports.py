"""What the primary of a group reports of itself.

Replicas prove that a term has not been replaced. They do not tell whether the
primary's process is still the one that began it: a member may restart without
its log before the list of members tells so.
"""

import ferry_decisions as decisions

from ferry_proxy import _members


class LeaderReports:
    """The reports of a group's known primary."""

    def __init__(self) -> None:
        self._leader: _members.Leader | None = None
        self._known_at = float("-inf")
        self._end: decisions.Position | None = None
        self._end_at = float("-inf")

    def begin(self, leader: _members.Leader, now: float) -> None:
        """Records that a member is known to lead.

        Peers may name it again that have not noticed its restart yet.

        Args:
            leader: The primary.
            now: The current boot time, in seconds.
        """
        if leader == self._leader:
            return
        self._leader = leader
        self._known_at = now
        self._end = None
        self._end_at = float("-inf")

    def note(self, member: str, report: _members.Report) -> None:
        """Records a report.

        Args:
            member: The id of the member that it is from.
            report: The report.
        """
        leader = self._leader
        if leader is None or member != leader.member:
            return
        if report.leads(leader):
            self.note_end(leader, report.received, report.asked_at)

    def note_end(
        self, leader: _members.Leader, end: decisions.Position, at: float
    ) -> None:
        """Records how far a primary's log reaches, as it told any node.

        The newest report counts. A primary that leads on after a crash may have
        lost the end of its log, which it has not acknowledged.

        Args:
            leader: The primary; ignored if it is not the known one.
            end: The end of its log.
            at: When it was asked, in boot time.
        """
        if leader == self._leader and at >= self._end_at:
            self._end, self._end_at = end, at

    def end_of(self, leader: _members.Leader) -> decisions.Position | None:
        """Returns the end of a primary's log as it last reported it.

        Args:
            leader: The primary; the result is None if it is not the known one.
        """
        return self._end if leader == self._leader else None

    def loss(self, report: _members.Report, now: float) -> str:
        """Returns what shows that the primary leads no more; empty for nothing.

        A report of an earlier term is a late one if it was requested before
        the primary was known. Otherwise it is of another process.

        Args:
            report: The primary's report.
            now: The current boot time, in seconds.
        """
        if self._leader is None or report.role is _members.Role.PRIMARY:
            return ""
        is_earlier = report.term < self._leader.term
        if is_earlier and report.asked_at <= self._known_at:
            return ""
        age_s = now - report.asked_at
        return f"a replica of term {report.term}, asked {age_s:.3f} s ago"
