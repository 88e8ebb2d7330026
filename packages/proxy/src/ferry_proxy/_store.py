"""What the proxy needs of the platform's key-value store."""

import typing

import attrs
import ferry_decisions as decisions


class StoreUnavailableError(Exception):
    """The store gave no answer; a change may take effect all the same."""


class HistoryLostError(Exception):
    """The store has dropped the changes that were asked for."""


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
    revision: int


@attrs.frozen(slots=True)
class Changes:
    """Items, and the revision that they lead up to.

    Attributes:
        items: The items, or what changed.
        revision: The store's revision.
    """

    items: tuple[Item, ...]
    revision: int


class Store(typing.Protocol):
    """A linearizable store with revisions.

    Each call fails with `StoreUnavailableError` without an answer.
    """

    def list(self, prefix: str) -> "decisions.Future[Changes]":
        """Reads all items whose keys begin with `prefix`."""

    def changes(
        self, prefix: str, after: int, wait_s: float
    ) -> "decisions.Future[Changes]":
        """Waits for changes after a revision; none in time is an answer.

        Fails with `HistoryLostError` where they are not kept any more.
        """

    def put_if(
        self, key: str, value: bytes, revision: int
    ) -> "decisions.Future[Item | None]":
        """Writes a key that still has `revision`; 0 for a key that is new.

        The result is None where it has another.
        """

    def remove_if(self, key: str, revision: int) -> "decisions.Future[bool]":
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
