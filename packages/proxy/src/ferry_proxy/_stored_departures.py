"""The records of open departures in the store."""

from ferry_proxy import _departure_records
from ferry_proxy import _records
from ferry_proxy import _store


class StoredDepartures:
    """A node's knowledge of the records.

    Attributes:
        records: The records, also those of earlier eras of the store.
    """

    def __init__(self) -> None:
        self.records: dict[
            _records.GroupKey, _departure_records.DepartureRecord
        ] = {}

    def apply(self, item: _store.Item) -> None:
        """Applies an item with a record's key.

        Raises:
            InvalidItemError: The record is malformed.
        """
        found = _records.parse_group_key(_records.DEPARTURE_PREFIX, item.key)
        if item.value is None:
            self.records.pop(found, None)
            return
        entries = _departure_records.decode(found.service, item.value)
        self.records[found] = _departure_records.DepartureRecord(
            entries, item.revision
        )
