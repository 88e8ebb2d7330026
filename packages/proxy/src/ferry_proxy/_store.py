"""Interfaces that the proxy requires of the platform's key-value store."""

import typing

import attrs
import ferry_decisions as decisions


class StoreUnavailableError(Exception):
    """The store did not answer; a write may still take effect."""


class HistoryLostError(Exception):
    """The store no longer has the requested changes.

    It has compacted them, or it was restored from a backup taken before them.
    """


@attrs.frozen(slots=True)
class Item:
    """A key with its value, or the deletion of a key.

    Attributes:
        key: The key.
        value: The value's bytes; None if the key has been deleted.
        revision: The store's revision at which the key last changed.
    """

    key: str
    value: bytes | None
    revision: decisions.Revision


@attrs.frozen(slots=True)
class Changes:
    """Items, and the store's revision that they are complete up to.

    Attributes:
        items: All items of a listing, or only those that changed.
        revision: The store's revision; all items belong to its era.
    """

    items: tuple[Item, ...]
    revision: decisions.Revision


@attrs.frozen(slots=True)
class SnapshotRead:
    """A read of a full snapshot of the store.

    Attributes:
        revision: The store's revision at the time.
        read_at: When it was read, in the clock's seconds.
    """

    revision: decisions.Revision
    read_at: float


class Store(typing.Protocol):
    """A linearizable store with revisions.

    Every call fails with `StoreUnavailableError` if it gets no answer. A write
    whose answer belongs to another era than its condition also counts as
    unanswered, because the condition refers to a history that no longer exists.
    """

    def list(self, prefix: str) -> "decisions.Future[Changes]":
        """Returns all items whose keys start with `prefix`."""

    def changes(
        self, prefix: str, after: decisions.Revision, wait_s: float
    ) -> "decisions.Future[Changes]":
        """Waits for changes made after a revision.

        The result is empty if none arrive within `wait_s`. Fails with
        `HistoryLostError` if the store no longer has the changes.
        """

    def put_if(
        self, key: str, value: bytes, revision: decisions.Revision
    ) -> "decisions.Future[Item | None]":
        """Writes a key if it still has `revision`; number 0 means a new key.

        The result is None if the key has another revision.
        """

    def remove_if(
        self, key: str, revision: decisions.Revision
    ) -> "decisions.Future[bool]":
        """Deletes a key if it still has `revision`.

        The result is False if the key has another revision.
        """


class Promotions(typing.Protocol):
    """The platform's interface for promoting a member to primary."""

    def promote(
        self, service: str, member: str, holder: str, token: int
    ) -> "decisions.Future[None]":
        """Requests a promotion under a fencing token.

        Fails with `PromotionRefusedError` if the platform refused it, and with
        `StoreUnavailableError` if it may have been accepted.
        """


class PromotionRefusedError(Exception):
    """The platform refused a promotion; the member may not be running."""
