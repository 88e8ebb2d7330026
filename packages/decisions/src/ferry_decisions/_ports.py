"""The narrow interfaces through which decisions reach the outside.

Each has a thin adapter in the node and a small fake in the tests. All calls
return futures that complete on the thread that owns the decisions.
"""

from collections.abc import Callable
import typing

import attrs

from ferry_decisions import _databases
from ferry_decisions import _futures
from ferry_decisions import _revisions

Future = _futures.Future


class EndpointRefusedError(Exception):
    """A member answered, and refused: it has promised a later term."""


class EndpointUnreachableError(Exception):
    """A member could not be reached.

    Attributes:
        refused: Whether its machine answered that nothing listens there.
    """

    def __init__(self, detail: str, refused: bool = False) -> None:
        super().__init__(detail)
        self.refused = refused


class StoreUnavailableError(Exception):
    """The store gave no answer; the change may have taken effect."""


@attrs.frozen(slots=True)
class PromoteOrder:
    """The order to lead, or to follow who leads.

    Attributes:
        term: The claimed term.
        primary: The member that is to lead it.
        starts: Pairs of a term and its first index, `term` included.
    """

    term: int
    primary: _databases.Member
    starts: tuple[tuple[int, int], ...]


class EndpointDriver(typing.Protocol):
    """Control of one database's members."""

    def status(
        self, member: _databases.Member
    ) -> "Future[_databases.MemberStatus]":
        """Asks a member for its status."""

    def own(
        self, member: _databases.Member, owner: str
    ) -> "Future[_databases.MemberStatus]":
        """Makes a member take new connections from one owner only.

        An empty owner releases the member: the connections that exist go on,
        as guests of the next owner. Without a release, the connections of the
        former owner are ended before the answer.
        """

    def is_running(
        self, member: _databases.Member, process_id: int
    ) -> "Future[bool]":
        """Whether the connection with that process id runs a statement.

        The answer comes over another connection, so it tells a statement
        that takes long from a connection that is lost.
        """

    def fence(
        self, member: _databases.Member, term: int, claim_id: str
    ) -> "Future[_databases.MemberStatus]":
        """Makes a member promise a term to one claim.

        Fails with `EndpointRefusedError` if it has promised a later term, or
        this one to another claim.
        """

    def promote(
        self, member: _databases.Member, order: PromoteOrder
    ) -> "Future[_databases.MemberStatus]":
        """Makes a fenced member the primary of the order's term."""

    def follow(
        self, member: _databases.Member, order: PromoteOrder
    ) -> "Future[_databases.MemberStatus]":
        """Makes a member a replica; its tail beyond the start is cut."""

    def wait_received(
        self, member: _databases.Member, term: int, index: int, timeout_s: float
    ) -> "Future[_databases.MemberStatus]":
        """Answers once a member has received an index, or at the timeout."""


class ClosableDriver(EndpointDriver, typing.Protocol):
    """A driver with connections to close."""

    def close(self) -> None:
        """Closes the driver's connections."""


@attrs.frozen(slots=True)
class StoreEntry:
    """A value in the store.

    Attributes:
        key: Its key.
        value: Its bytes, at most a megabyte.
        revision: The store's revision that last changed it.
    """

    key: str
    value: bytes
    revision: _revisions.Revision


class StoreWatch(typing.Protocol):
    """A watch on the store."""

    def cancel(self) -> None:
        """Ends the watch."""


class Store(typing.Protocol):
    """The platform's key-value service."""

    @property
    def era(self) -> int:
        """The era in which it last answered."""

    def get(self, key: str) -> "Future[StoreEntry | None]":
        """Reads a key."""

    def list(self, prefix: str) -> "Future[list[StoreEntry]]":
        """Reads all keys that begin with `prefix`."""

    def put_if(
        self, key: str, value: bytes, revision: _revisions.Revision
    ) -> "Future[StoreEntry | None]":
        """Writes a key if its revision is still `revision`.

        A number of 0 stands for no key. Returns the new entry, or None where
        another writer came first. Fails with `StoreUnavailableError` when the
        outcome is not known, as it is where the store answers in another era
        than the revision's.
        """

    def watch(
        self,
        prefix: str,
        notify: Callable[[StoreEntry], None],
        restored: Callable[[], None],
    ) -> StoreWatch:
        """Reports each change below a prefix from now on.

        Args:
            prefix: What the keys begin with.
            notify: Called with each change.
            restored: Called when the store has come back from a copy; what
                changed meanwhile is not reported.
        """
