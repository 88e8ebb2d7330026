"""Members of the database groups: their list entries and status reports."""

import enum

import attrs
import ferry_decisions as decisions


@attrs.frozen(slots=True)
class Member:
    """An entry of the list of members.

    Attributes:
        id: Its name; a process that starts at the same address under another
            id is another member.
        service: The group that it belongs to.
        host: Its IP address.
        port: Its TCP port.
        data_centre: Where it runs.
        slots: The number of statements that it runs concurrently.
        draining: Whether it is about to leave.
        leads: Whether it considers itself the primary.
        born: The start time of its process, in Unix milliseconds, which
            distinguishes a restarted process with the same id; 0 if unknown.
        sequence: The number of entries written by this process; it orders two
            entries and is ignored when members are compared.
        revision: The store's revision of the entry, likewise ignored; the
            lowest one if unknown.
    """

    id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    draining: bool = False
    leads: bool = False
    born: int = 0
    sequence: int = attrs.field(default=0, eq=False)
    revision: decisions.Revision = attrs.field(
        default=decisions.UNREAD_REVISION, eq=False
    )

    def has_moved_from(self, before: "Member") -> bool:
        """Whether an earlier entry of this member has another address."""
        return (self.host, self.port) != (before.host, before.port)

    def is_restart_of(self, known: "Member") -> bool:
        """Whether the process restarted after it wrote `known`.

        The new process has none of the state of the previous one.
        """
        return self.born > known.born > 0


class Role(enum.Enum):
    """The role that a member considers itself to have."""

    PRIMARY = "primary"
    REPLICA = "replica"


@attrs.frozen(slots=True)
class Report:
    """A member's status and the time of the request for it.

    Attributes:
        role: The role that it considers itself to have.
        term: Its current term.
        received: The end of the log that it has received.
        paused_term: The term below which it accepts no primary; 0 for none.
        asked_at: The boot time, in seconds, before the request was sent.
        linked_at: When the link that it came over was opened, in boot time;
            minus infinity if unknown.
    """

    role: Role
    term: int
    received: decisions.Position
    paused_term: int
    asked_at: float
    linked_at: float = float("-inf")

    def proves(self, term: int) -> bool:
        """Whether it shows that `term` had not been replaced when asked.

        Every later term begins with a fence that pauses the replica, so the
        report is valid even if the replica has not learned of `term` yet.
        Otherwise a replica that receives nothing would block reads after a
        change of primary.
        """
        not_paused = self.paused_term <= term
        return self.role is Role.REPLICA and self.term <= term and not_paused

    def is_fenced(self, term: int) -> bool:
        """Whether it is a replica's that is paused for a later term."""
        return self.role is Role.REPLICA and self.paused_term > term

    def leads(self, leader: "Leader") -> bool:
        """Whether it is a primary's, in the term in which it is known."""
        return self.role is Role.PRIMARY and self.term == leader.term

    def follows(self, term: int) -> bool:
        """Whether it is a replica that can receive commits of `term`."""
        receiving = self.paused_term <= term
        return self.role is Role.REPLICA and self.term == term and receiving


@attrs.frozen(slots=True)
class Leader:
    """The primary of a group.

    Attributes:
        member: The id of the member.
        term: The term in which it is the primary.
    """

    member: str
    term: int
