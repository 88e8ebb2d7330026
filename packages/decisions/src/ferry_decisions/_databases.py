"""Databases, their members, and the record that names the primary.

The record is the only state of a database that requires consensus. It is
stored under one key of the platform's store and is written twice per
promotion, when the term is claimed and when the promotion is complete, and
never periodically.
"""

import attrs

from ferry_decisions import _positions
from ferry_decisions import _structuring


@attrs.frozen(slots=True)
class Member:
    """One member of a database: an endpoint that holds a copy of it.

    Attributes:
        name: Its name, unique within the database.
        data_centre: The data centre in which it runs.
        host: Its IP address.
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
        """Its `host:port`, as given in the platform's list of VMs."""
        return f"{self.host}:{self.port}"


@attrs.frozen(slots=True)
class Database:
    """The configuration of a replicated database.

    Attributes:
        name: Its name, unique in the fleet.
        members: All of its members.
        slots: Maximum number of statements that run at once on one member.
        connections: Maximum number of endpoint connections, over all members
            together.
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
        minimum = count * count + count - 1 + count * self.slots + 1
        if value < minimum:
            raise ValueError(f"connections must be at least {minimum}")

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
        """The smallest number of members that is more than half."""
        return len(self.members) // 2 + 1

    @property
    def control_connections(self) -> int:
        """Connections reserved for control, over all members together.

        The node that serves a member watches every member, and the node that
        serves the primary waits at each replica for confirmations.
        """
        count = len(self.members)
        return count * count + count - 1

    @property
    def replica_connections(self) -> int:
        """Connections for statements on one replica: one for each slot."""
        return self.slots

    @property
    def primary_connections(self) -> int:
        """Connections for statements on the primary: all remaining ones."""
        replicas = (len(self.members) - 1) * self.replica_connections
        return self.connections - self.control_connections - replicas

    @property
    def transaction_connections(self) -> int:
        """Connections to the primary that open transactions may hold."""
        return self.primary_connections - self.slots


@attrs.frozen(slots=True)
class Record:
    """The primary of a database, as agreed through the store.

    Attributes:
        database: The database's name.
        term: The claimed term.
        primary: The member that leads `term`; empty while the claim is open.
        claimant: The node that claimed the term.
        claim_id: Identifies the claim, so that a claim whose reply was lost
            can be recognised when the record is read back.
        starts: Pairs of a term and the log index at which it starts.
    """

    database: str
    term: int
    primary: str = ""
    claimant: str = ""
    claim_id: str = ""
    starts: tuple[tuple[int, int], ...] = ()

    @property
    def history(self) -> _positions.History:
        """The starts of terms as a `History`."""
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
    """Builds a database's configuration from decoded JSON.

    Raises:
        InvalidDocumentError: The document is invalid; lists every error in it.
    """
    return _structuring.structure(raw, Database, "database")


def record_from_json(raw: object) -> Record:
    """Builds a record from decoded JSON.

    Raises:
        InvalidDocumentError: The document is not a record.
    """
    return _structuring.structure(raw, Record, "record")


@attrs.frozen(slots=True)
class MemberStatus:
    """A member's report of its own state.

    Attributes:
        name: The member's name.
        promised: The highest term at which it was fenced; it accepts neither
            log entries nor orders of an earlier term.
        is_primary: Whether it believes that it is the primary.
        received: The end of its log, which survives a restart. The term of
            this position is the last one whose *start* the log has reached.
            A member that follows a new primary reports the new term only once
            it holds everything up to the start of that term; otherwise its
            shorter log would outrank one that holds acknowledged entries.
            A member that has lost its log reports term 0 until it holds
            everything that its primary held when it began to follow.
        applied: The position up to which its reads show the log, in the same
            term.
        term: The term that it leads or follows.
        owner: The node that owns it, with the ownership's id; statements from
            other nodes are refused.
        guests: Statement connections left open by a previous owner.
        upstream_silence_s: Seconds since it last heard from its primary; 0
            for the primary itself.
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
