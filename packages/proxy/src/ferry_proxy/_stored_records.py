"""The proxy's own records of groups, as a node's copy of the store has them."""

from collections.abc import Callable
import typing

from ferry_proxy import _records
from ferry_proxy import _store

R = typing.TypeVar("R")


class StoredRecords(typing.Generic[R]):
    """The records of one kind.

    Attributes:
        records: The records, also those of earlier eras of the store.
    """

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
        self.records: dict[_records.GroupKey, R] = {}

    def of_group(self, service: str) -> dict[int, R]:
        """Returns the records of a group, by the era they were written in."""
        return {
            key.era: record
            for key, record in self.records.items()
            if key.service == service
        }

    def apply(self, item: _store.Item) -> None:
        """Applies an item; one with another kind of key is ignored.

        Raises:
            InvalidItemError: The record is malformed.
        """
        if not item.key.startswith(self._prefix):
            return
        found = _records.parse_group_key(self._prefix, item.key)
        if item.value is None:
            self.records.pop(found, None)
        else:
            self.records[found] = self._decode(found.service, item)
