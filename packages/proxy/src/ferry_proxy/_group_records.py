"""The proxy's records of groups, as the copy of the store holds them.

Their keys carry the era of the store in which they were written, so that a
delayed write of an earlier era cannot replace a later record.
"""

from ferry_proxy import _clocks
from ferry_proxy import _departure_records
from ferry_proxy import _records
from ferry_proxy import _store


class GroupRecords:
    """The decoded records of all groups.

    Attributes:
        claims: The claims of the store's current era, by group.
        departures: The records of departures, of all eras.
    """

    def __init__(self, clock: _clocks.Clock) -> None:
        self._clock = clock
        self.claims: dict[str, _records.HeldClaim] = {}
        self.departures: dict[
            _records.GroupKey, _departure_records.DepartureRecord
        ] = {}

    def apply(self, item: _store.Item) -> None:
        """Applies an item, which is ignored if it is no record of a group.

        Args:
            item: The item; its revision is of the store's current era.

        Raises:
            InvalidItemError: The record is malformed.
        """
        if item.key.startswith(_records.CLAIM_PREFIX):
            self._apply_claim(item)
        elif item.key.startswith(_records.DEPARTURE_PREFIX):
            self._apply_departures(item)

    def begin_era(self) -> None:
        """Drops the claims of the previous era."""
        self.claims.clear()

    def _apply_claim(self, item: _store.Item) -> None:
        found = _records.parse_group_key(_records.CLAIM_PREFIX, item.key)
        if found.era != item.revision.era:
            return
        service = found.service
        if item.value is None:
            self.claims.pop(service, None)
            return
        claim = _records.Claim.decode(service, item.value)
        now = self._clock.boot_now()
        self.claims[service] = _records.HeldClaim(claim, item.revision, now)

    def _apply_departures(self, item: _store.Item) -> None:
        found = _records.parse_group_key(_records.DEPARTURE_PREFIX, item.key)
        if item.value is None:
            self.departures.pop(found, None)
            return
        entries = _departure_records.decode(found.service, item.value)
        self.departures[found] = _departure_records.DepartureRecord(
            entries, item.revision
        )
