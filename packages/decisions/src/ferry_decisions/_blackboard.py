"""A blackboard through which a node's controllers share state.

Each entry has a typed key. A controller declares the keys that it reads and
the keys that it writes. It runs after each change of a key that it reads, and
may write only the keys that it declared.
"""

from collections.abc import Iterable
import typing

import attrs

T = typing.TypeVar("T")


@attrs.frozen(slots=True, eq=False)
class BoardKey(typing.Generic[T]):
    """A typed key of a blackboard entry; compared by identity.

    Attributes:
        name: The entry's name in logs and on the status page.
        default: The entry's value before the first write.
    """

    name: str
    default: T


class UndeclaredAccessError(Exception):
    """A controller accessed an entry that it had not declared."""


class Controller(typing.Protocol):
    """A component that reacts to changes on the blackboard."""

    reads: tuple[BoardKey[typing.Any], ...]
    writes: tuple[BoardKey[typing.Any], ...]

    def run(self, board: "BoardView") -> None:
        """Reacts to the current state of the entries."""


class Blackboard:
    """Holds typed entries and runs the controllers that depend on them."""

    def __init__(self) -> None:
        self._entries: dict[BoardKey[typing.Any], typing.Any] = {}
        self._controllers: list[Controller] = []
        self._pending: list[Controller] = []
        self._running = False

    def subscribe(self, controller: Controller) -> None:
        """Adds a controller and runs it once."""
        self._controllers.append(controller)
        self._pending.append(controller)
        self._run_pending()

    def read(self, key: BoardKey[T]) -> T:
        """Returns the value of an entry."""
        return typing.cast(T, self._entries.get(key, key.default))

    def write(self, key: BoardKey[T], value: T) -> None:
        """Sets an entry and runs its readers, unless the value is equal."""
        if self.read(key) == value:
            return
        self._entries[key] = value
        for controller in self._controllers:
            if key in controller.reads and controller not in self._pending:
                self._pending.append(controller)
        self._run_pending()

    def _run_pending(self) -> None:
        if self._running:
            return
        self._running = True
        try:
            while self._pending:
                controller = self._pending.pop(0)
                controller.run(
                    BoardView(self, controller.reads, controller.writes)
                )
        finally:
            self._running = False


class BoardView:
    """Access to the blackboard limited to one controller's declared keys."""

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
            UndeclaredAccessError: The key was declared neither as read nor as
                written.
        """
        if key not in self._reads and key not in self._writes:
            raise UndeclaredAccessError(key.name)
        return self._board.read(key)

    def write(self, key: BoardKey[T], value: T) -> None:
        """Sets an entry that the controller declared to write.

        Raises:
            UndeclaredAccessError: The key was not declared as written.
        """
        if key not in self._writes:
            raise UndeclaredAccessError(key.name)
        self._board.write(key, value)
