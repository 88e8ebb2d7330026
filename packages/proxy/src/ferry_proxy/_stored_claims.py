"""The claims in the store, and the orders and leases recorded in them."""

from ferry_proxy import _records
from ferry_proxy import _store


class StoredClaims:
    """A node's knowledge of the claims.

    Attributes:
        claims: The claims of the store's current era, by group.
        orders: The newest orders that may have been sent, by group. A restored
            store may lack the claims that they were recorded in.
        leases: The newest leases, by group, also of claims that a restored
            store lacks.
    """

    def __init__(self) -> None:
        self.claims: dict[str, _records.HeldClaim] = {}
        self.orders: dict[str, _records.RecordedOrder] = {}
        self.leases: dict[str, _records.HeldLease] = {}

    def begin_era(self) -> None:
        """Forgets the claims of the previous era of the store."""
        self.claims.clear()

    def apply(self, item: _store.Item, era: int, now: float) -> None:
        """Applies an item with a claim's key.

        Args:
            item: The item.
            era: The store's current era; claims of another one are ignored.
            now: The current boot time, in seconds.

        Raises:
            InvalidItemError: The claim is malformed.
        """
        found = _records.parse_group_key(_records.CLAIM_PREFIX, item.key)
        if found.era != era:
            return
        if item.value is None:
            self.claims.pop(found.service, None)
            return
        claim = _records.Claim.decode(found.service, item.value)
        held = _records.HeldClaim(claim, item.revision, now)
        self.claims[found.service] = held
        self._note_order(found.service, claim.order, era, now)
        if claim.lease is not None:
            self._note_lease(found.service, claim.lease, now)

    def _note_order(
        self,
        service: str,
        order: _records.PromotionOrder | None,
        era: int,
        now: float,
    ) -> None:
        known = self.orders.get(service)
        if order is not None:
            if known is None or known.order != order:
                self.orders[service] = _records.RecordedOrder(order, now)
        elif known is not None and known.order.era == era:
            # A claim of an earlier era may be unknown to the new holder.
            del self.orders[service]

    def _note_lease(
        self, service: str, lease: _records.Lease, now: float
    ) -> None:
        known = self.leases.get(service)
        if known is not None and known.lease.token == lease.token:
            now = known.seen_at
        self.leases[service] = _records.HeldLease(lease, now)
