"""What the proxy needs of the platform's key-value store."""

import typing

import attrs
import ferry_decisions as decisions


class StoreUnavailableError(Exception):
    """The store gave no answer; a change may take effect all the same."""


class HistoryLostError(Exception):
    """The store does not have the changes that were asked for.

    It has dropped them, or it came back from a copy that was made before.
    """


@attrs.frozen(slots=True)
class Item:
    """A key and what it holds.

    Attributes:
        key: The key.
        value: The bytes; None once the key is deleted.
        revision: The store's revision at the change.
    """

    key: str
    value: bytes | None
    revision: decisions.Revision


@attrs.frozen(slots=True)
class Changes:
    """Items, and the revision that they lead up to.

    Attributes:
        items: The items, or what changed.
        revision: The store's revision; all items are of its era.
    """

    items: tuple[Item, ...]
    revision: decisions.Revision


class Store(typing.Protocol):
    """A linearizable store with revisions.

    Each call fails with `StoreUnavailableError` without an answer. A change
    whose answer is of another era than its condition counts as unanswered: the
    condition was meant for a history that is gone.
    """

    def list(self, prefix: str) -> "decisions.Future[Changes]":
        """Reads all items whose keys begin with `prefix`."""

    def changes(
        self, prefix: str, after: decisions.Revision, wait_s: float
    ) -> "decisions.Future[Changes]":
        """Waits for changes after a revision; none in time is an answer.

        Fails with `HistoryLostError` where the store does not have them.
        """

    def put_if(
        self, key: str, value: bytes, revision: decisions.Revision
    ) -> "decisions.Future[Item | None]":
        """Writes a key that still has `revision`; number 0 for a new key.

        The result is None where it has another.
        """

    def remove_if(
        self, key: str, revision: decisions.Revision
    ) -> "decisions.Future[bool]":
        """Deletes a key that still has `revision`.

        The result is False where it has another.
        """


class Promotions(typing.Protocol):
    """The platform's call that makes a member the primary."""

    def promote(
        self, service: str, member: str, holder: str, token: int
    ) -> "decisions.Future[None]":
        """Orders a promotion under a fencing token.

        Fails with `PromotionRefusedError` where it was refused, and with
        `StoreUnavailableError` where it may have been taken.
        """


class PromotionRefusedError(Exception):
    """The platform refused a promotion; the member may not be running."""
