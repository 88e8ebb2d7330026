"""The members of the database groups, as listed and as they report."""

import enum

import attrs
import ferry_decisions as decisions


@attrs.frozen(slots=True)
class Member:
    """An entry of the list of members.

    Attributes:
        id: Its name; a restart at the same address under another id is
            another member.
        service: The group that it belongs to.
        host: Its IP number.
        port: Its TCP port.
        data_centre: Where it runs.
        slots: Statements that it runs at the same time.
        draining: Whether it is about to leave.
        leads: Whether it believes to be the primary.
        born: The Unix millisecond at which its process began, which tells one
            life from the next under the same id; 0 where it does not say.
        sequence: How often it has written in this life; it tells the older
            of two entries, and makes no other member.
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

    def is_restart_of(self, known: "Member") -> bool:
        """Whether it began again after `known` was written.

        It then holds and knows nothing of what that life held.
        """
        return self.born > known.born > 0


class Role(enum.Enum):
    """What a member believes to be."""

    PRIMARY = "primary"
    REPLICA = "replica"


@attrs.frozen(slots=True)
class Report:
    """A member's status, and when it was asked for.

    Attributes:
        role: What it believes to be.
        term: The term that it is in.
        received: The end of the log that it has received.
        paused_term: The term at which it stopped receiving; 0 for none.
        asked_at: Boot time, in seconds, before the question was sent.
    """

    role: Role
    term: int
    received: decisions.Position
    paused_term: int
    asked_at: float

    def proves(self, term: int) -> bool:
        """Whether it shows that `term` has not been replaced when it was asked.

        Every later term begins with a fence that pauses it. So it proves as
        much where it has not heard of `term` yet: a replica that receives
        nothing keeps nobody from reading (2 s without reads after a primary's
        crash, on days on which the other replica receives nothing).
        """
        not_paused = self.paused_term <= term
        return self.role is Role.REPLICA and self.term <= term and not_paused

    def follows(self, term: int) -> bool:
        """Whether it is a replica that may receive commits of `term`."""
        receiving = self.paused_term <= term
        return self.role is Role.REPLICA and self.term == term and receiving


@attrs.frozen(slots=True)
class Leader:
    """Who leads a group.

    Attributes:
        member: The member's id.
        term: The term that it leads.
    """

    member: str
    term: int


@attrs.frozen(slots=True)
class RemovedMember:
    """A member that is listed no more, and may live on all the same.

    Attributes:
        member: Its last entry.
        at: When it went, in the clock's seconds.
    """

    member: Member
    at: float
