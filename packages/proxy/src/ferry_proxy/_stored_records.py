"""The proxy's own records of groups, as a node's copy of the store has them."""

from collections.abc import Callable
import typing

from ferry_proxy import _records
from ferry_proxy import _store

R = typing.TypeVar("R")


class StoredRecords(typing.Generic[R]):
    """The records of one kind, also those of earlier eras of the store."""

    def __init__(
        self, prefix: str, decode: Callable[[str, _store.Item], R]
    ) -> None:
        """Creates an empty collection.

        Args:
            prefix: The prefix of the keys of these records.
            decode: Decodes the item of a group's record; raises
                `InvalidItemError` if it is malformed.
        """
        self._prefix = prefix
        self._decode = decode
        self._by_group: dict[str, dict[int, R]] = {}

    def of_group(self, service: str) -> dict[int, R]:
        """Returns the records of a group, by the era they were written in."""
        return dict(self._by_group.get(service, {}))

    def apply(self, item: _store.Item) -> None:
        """Applies an item; one with another kind of key is ignored.

        Raises:
            InvalidItemError: The record is malformed.
        """
        if not item.key.startswith(self._prefix):
            return
        found = _records.parse_group_key(self._prefix, item.key)
        if item.value is not None:
            record = self._decode(found.service, item)
            self._by_group.setdefault(found.service, {})[found.era] = record
        elif found.service in self._by_group:
            self._by_group[found.service].pop(found.era, None)
