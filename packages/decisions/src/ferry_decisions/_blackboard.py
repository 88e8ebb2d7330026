"""The blackboard that controllers read and write.

Each entry has a typed key. A controller declares the keys that it reads and
writes; it runs when one of those that it reads has changed, and may write
only what it declared.
"""

from collections.abc import Iterable
import typing

import attrs

T = typing.TypeVar("T")


@attrs.frozen(slots=True, eq=False)
class BoardKey(typing.Generic[T]):
    """The name and the type of an entry.

    Attributes:
        name: For logs and the status page.
        default: What the entry holds before anyone has written it.
    """

    name: str
    default: T


class UndeclaredAccessError(Exception):
    """A controller touched an entry that it had not declared."""


class Controller(typing.Protocol):
    """A part that acts on changes of the blackboard."""

    reads: tuple[BoardKey[typing.Any], ...]
    writes: tuple[BoardKey[typing.Any], ...]

    def run(self, board: "BoardView") -> None:
        """Acts on the present state."""


class Blackboard:
    """Typed entries, and the controllers that depend on them."""

    def __init__(self) -> None:
        self._entries: dict[BoardKey[typing.Any], typing.Any] = {}
        self._controllers: list[Controller] = []
        self._due: list[Controller] = []
        self._running = False

    def subscribe(self, controller: Controller) -> None:
        """Adds a controller and runs it once."""
        self._controllers.append(controller)
        self._due.append(controller)
        self._settle()

    def read(self, key: BoardKey[T]) -> T:
        """Returns the value of an entry."""
        return typing.cast(T, self._entries.get(key, key.default))

    def write(self, key: BoardKey[T], value: T) -> None:
        """Sets an entry; an equal value changes nothing."""
        if self.read(key) == value:
            return
        self._entries[key] = value
        for controller in self._controllers:
            if key in controller.reads and controller not in self._due:
                self._due.append(controller)
        self._settle()

    def _settle(self) -> None:
        if self._running:
            return
        self._running = True
        try:
            while self._due:
                controller = self._due.pop(0)
                controller.run(
                    BoardView(self, controller.reads, controller.writes)
                )
        finally:
            self._running = False


class BoardView:
    """The part of the blackboard that one controller declared."""

    def __init__(
        self,
        board: Blackboard,
        reads: Iterable[BoardKey[typing.Any]],
        writes: Iterable[BoardKey[typing.Any]],
    ) -> None:
        self._board = board
        self._reads = frozenset(reads)
        self._writes = frozenset(writes)

    def read(self, key: BoardKey[T]) -> T:
        """Returns an entry that the controller declared.

        Raises:
            UndeclaredAccessError: It declared neither reading nor writing it.
        """
        if key not in self._reads and key not in self._writes:
            raise UndeclaredAccessError(key.name)
        return self._board.read(key)

    def write(self, key: BoardKey[T], value: T) -> None:
        """Sets an entry that the controller declared to write.

        Raises:
            UndeclaredAccessError: It did not.
        """
        if key not in self._writes:
            raise UndeclaredAccessError(key.name)
        self._board.write(key, value)
