"""Databases, their members, and the record of who is primary.

The record of a database is the only thing about it that has to be agreed. It
lives under one key of the platform's store and changes once a promotion is
claimed and once it is done, not on a schedule.
"""

import attrs

from ferry_decisions import _positions
from ferry_decisions import _structuring


@attrs.frozen(slots=True)
class Member:
    """One member of a database, an endpoint.

    Attributes:
        name: Unique within the database.
        data_centre: Where it runs.
        host: Its IP number.
        port: Its TCP port.
    """

    name: str
    data_centre: str
    host: str
    port: int = attrs.field(
        validator=attrs.validators.and_(
            attrs.validators.ge(1), attrs.validators.le(65_535)
        )
    )

    @property
    def address(self) -> str:
        """Its `host:port`, as the platform's list of VMs names it."""
        return f"{self.host}:{self.port}"


@attrs.frozen(slots=True)
class Database:
    """A replicated database as the settings describe it.

    Attributes:
        name: Unique in the fleet.
        members: All its members.
        slots: Statements that may run at once on one member.
        connections: Endpoint connections that all members together bear.
    """

    name: str
    members: tuple[Member, ...] = attrs.field(
        validator=attrs.validators.min_len(1)
    )
    slots: int = attrs.field(default=5, validator=attrs.validators.ge(1))
    connections: int = attrs.field(default=35)

    @connections.validator
    def _check_connections(self, _: object, value: int) -> None:
        count = len(self.members)
        least = count * count + count - 1 + count * self.slots + 1
        if value < least:
            raise ValueError(f"connections must be at least {least}")

    def member(self, name: str) -> Member:
        """Returns a member by name.

        Raises:
            KeyError: The database has no such member.
        """
        for member in self.members:
            if member.name == name:
                return member
        raise KeyError(name)

    @property
    def majority(self) -> int:
        """How many members are more than half."""
        return len(self.members) // 2 + 1

    @property
    def control_connections(self) -> int:
        """Connections kept for control, all members together.

        The node that serves a member watches every member, and the one that
        serves the primary waits at each replica for confirmations.
        """
        count = len(self.members)
        return count * count + count - 1

    @property
    def replica_connections(self) -> int:
        """Connections for statements at one replica: one for each slot."""
        return self.slots

    @property
    def primary_connections(self) -> int:
        """Connections for statements at the primary: what the rest leaves."""
        replicas = (len(self.members) - 1) * self.replica_connections
        return self.connections - self.control_connections - replicas

    @property
    def transaction_connections(self) -> int:
        """Connections at the primary that open transactions may hold."""
        return self.primary_connections - self.slots


@attrs.frozen(slots=True)
class Record:
    """Who is primary of a database, as agreed through the store.

    Attributes:
        database: The database's name.
        term: The term that was claimed.
        primary: The member that leads `term`; empty while the claim is open.
        claimant: The node that claimed the term.
        claim_id: Identifies the claim, to read back a lost answer.
        starts: Pairs of a term and its first index.
    """

    database: str
    term: int
    primary: str = ""
    claimant: str = ""
    claim_id: str = ""
    starts: tuple[tuple[int, int], ...] = ()

    @property
    def history(self) -> _positions.History:
        """The starts as a history."""
        return _positions.History(self.starts)

    def newer_than(self, other: "Record | None") -> bool:
        """Whether this record supersedes another."""
        if other is None:
            return True
        return (self.term, bool(self.primary)) > (
            other.term,
            bool(other.primary),
        )


TOPOLOGY_PREFIX = "topology/"


def database_from_json(raw: object) -> Database:
    """Returns a database's description from plain JSON values.

    Raises:
        InvalidDocumentError: With every mistake of the document.
    """
    return _structuring.structure(raw, Database, "database")


def record_from_json(raw: object) -> Record:
    """Returns a record from plain JSON values.

    Raises:
        InvalidDocumentError: The document has another form.
    """
    return _structuring.structure(raw, Record, "record")


@attrs.frozen(slots=True)
class MemberStatus:
    """What a member says of itself.

    Attributes:
        name: The member.
        promised: The highest term it was fenced at; it takes no entry and no
            order of an earlier one.
        is_primary: Whether it believes that it leads.
        received: How much its log holds; this survives its restart. The term
            of the position is the last one whose *start* the log has reached:
            a member that follows a new primary counts in the new term only
            when it holds all that the term began with, else its shorter log
            would win over one that holds acknowledged entries.
        applied: How much of it its reads show, in the same term.
        term: The term that it leads or follows.
        owner: The node that owns it, with the id of its ownership; statements
            of other nodes are refused.
        guests: Connections for statements that another owner has left.
        upstream_silence_s: Seconds since it last heard of its primary; 0 for
            the primary itself.
    """

    name: str
    promised: int
    is_primary: bool
    received: _positions.Position
    applied: _positions.Position
    term: int
    owner: str = ""
    guests: int = 0
    upstream_silence_s: float = 0.0
