"""Interfaces (ports) through which this package performs input and output.

Each port has a thin adapter in the node package and a small fake for tests. All
calls return futures that complete on the thread that owns the caller.
"""

from collections.abc import Callable
import typing

import attrs

from ferry_decisions import _databases
from ferry_decisions import _futures
from ferry_decisions import _revisions

Future = _futures.Future


class EndpointRefusedError(Exception):
    """A member refused a request because it has promised a later term."""


class EndpointUnreachableError(Exception):
    """A member could not be reached.

    Attributes:
        refused: Whether its host refused the connection, so nothing listens
            on the port.
    """

    def __init__(self, detail: str, refused: bool = False) -> None:
        super().__init__(detail)
        self.refused = refused


class StoreUnavailableError(Exception):
    """The store did not answer; a write may have taken effect."""


@attrs.frozen(slots=True)
class PromoteOrder:
    """An order to lead a term, or to follow the primary that leads it.

    Attributes:
        term: The claimed term.
        primary: The member that leads the term.
        starts: Pairs of a term and the log index at which it starts,
            including `term`.
    """

    term: int
    primary: _databases.Member
    starts: tuple[tuple[int, int], ...]


class EndpointDriver(typing.Protocol):
    """Controls the members of one database."""

    def status(
        self, member: _databases.Member
    ) -> "Future[_databases.MemberStatus]":
        """Requests a member's status."""

    def own(
        self, member: _databases.Member, owner: str
    ) -> "Future[_databases.MemberStatus]":
        """Restricts new connections to a member to one owner.

        An empty owner releases the member: its existing connections continue
        as guests of the next owner. Without a release, the connections of the
        previous owner are closed before the answer is sent.
        """

    def is_running(
        self, member: _databases.Member, process_id: int
    ) -> "Future[bool]":
        """Whether the connection with that process id is running a statement.

        The question uses a separate connection, so the answer distinguishes a
        slow statement from a lost connection.
        """

    def fence(
        self, member: _databases.Member, term: int, claim_id: str
    ) -> "Future[_databases.MemberStatus]":
        """Fences a member: it promises a term to one claim.

        Fails with `EndpointRefusedError` if the member has promised a later
        term, or the same term to another claim.
        """

    def promote(
        self, member: _databases.Member, order: PromoteOrder
    ) -> "Future[_databases.MemberStatus]":
        """Promotes a fenced member to primary of the order's term."""

    def follow(
        self, member: _databases.Member, order: PromoteOrder
    ) -> "Future[_databases.MemberStatus]":
        """Makes a member a replica; truncates its log at the term's start."""

    def wait_received(
        self, member: _databases.Member, term: int, index: int, timeout_s: float
    ) -> "Future[_databases.MemberStatus]":
        """Waits until a member has received an index or `timeout_s` elapsed."""


class ClosableDriver(EndpointDriver, typing.Protocol):
    """A driver whose connections have to be closed."""

    def close(self) -> None:
        """Closes all connections of the driver."""


@attrs.frozen(slots=True)
class StoreEntry:
    """A key with its value and revision in the store.

    Attributes:
        key: The key.
        value: The value, at most one megabyte.
        revision: The store's revision that last changed the key.
    """

    key: str
    value: bytes
    revision: _revisions.Revision


class StoreWatch(typing.Protocol):
    """An active watch on a prefix of the store."""

    def cancel(self) -> None:
        """Cancels the watch."""


class Store(typing.Protocol):
    """The platform's key-value store."""

    @property
    def era(self) -> int:
        """The era of the store's latest answer."""

    def get(self, key: str) -> "Future[StoreEntry | None]":
        """Reads a key; the result is None if the key does not exist."""

    def list(self, prefix: str) -> "Future[list[StoreEntry]]":
        """Reads all entries whose keys begin with `prefix`."""

    def put_if(
        self, key: str, value: bytes, revision: _revisions.Revision
    ) -> "Future[StoreEntry | None]":
        """Writes a key if its revision is still `revision`.

        A revision number of 0 means that the key must not exist. The result
        is the new entry, or None if another writer came first. Fails with
        `StoreUnavailableError` if the outcome is unknown, which includes an
        answer from another era than that of `revision`.
        """

    def watch(
        self,
        prefix: str,
        notify: Callable[[StoreEntry], None],
        restored: Callable[[], None],
    ) -> StoreWatch:
        """Reports each later change of a key that begins with `prefix`.

        Args:
            prefix: The common prefix of the watched keys.
            notify: Called with each changed entry.
            restored: Called when the store was restored from a backup; the
                changes caused by the restore are not reported.
        """
