"""Claims in the store: the right of one node to change a group's primary.

A claim provides the fencing token. Its holder acts on it only for a limited
time of the boot clock. Other nodes wait for longer than that before they take
a claim over, so that no action of the holder is under way any more. A promotion
is ordered only by the holder of the lease, which outlasts the change.
"""

import math
import typing

import attrs
import ferry_decisions as decisions

from ferry_proxy import _catalogue
from ferry_proxy import _change_steps
from ferry_proxy import _clocks
from ferry_proxy import _events
from ferry_proxy import _groups
from ferry_proxy import _leases
from ferry_proxy import _orders
from ferry_proxy import _policy
from ferry_proxy import _records
from ferry_proxy import _store

# A longer wait costs more time than the rejection that it prevents.
MAX_RELEASE_WAIT_S = 0.4


class Claims:
    """The claims of one node for one group."""

    def __init__(
        self,
        clock: _clocks.Clock,
        policy: _policy.Policy,
        node: str,
        store: _store.Store,
        catalogue: _catalogue.Catalogue,
        group: _groups.Group,
    ) -> None:
        self._clock = clock
        self._policy = policy
        self._node = node
        self._store = store
        self._catalogue = catalogue
        self._group = group
        self._held: _records.HeldClaim | None = None
        self._order: _records.PromotionOrder | None = None
        self._previous_order: _records.PromotionOrder | None = None
        self._recorded_at = float("-inf")
        self._released = decisions.completed(None)

    @property
    def released(self) -> "decisions.Future[None]":
        """Done once the last release is over, or has taken long."""
        return self._released

    def take(
        self, may_order: bool = True
    ) -> "decisions.Flow[_records.HeldClaim]":
        """Writes a claim to the store.

        Args:
            may_order: Whether a promotion may be ordered under the claim.

        Raises:
            ChangeAbandonedError: Another node holds the claim or the lease, or
                the store was restored a short while ago.
        """
        # The store would reject a claim that overtakes this node's release.
        yield self._released
        if may_order:
            self.require_lease()
        self.require_free()
        service = self._group.service.name
        era = self._catalogue.revision.era
        previous = self._catalogue.claims.get(service)
        now = self._clock.boot_now()
        claim = self._next_claim(era, previous)
        key = _records.claim_key(era, service)
        item = yield self._store.put_if(
            key, claim.encode(), self._catalogue.condition(key)
        )
        if item is None:
            raise _change_steps.ChangeAbandonedError(
                "the store has a newer claim"
            )
        self._catalogue.take((item,), "own claim")
        if previous is None:
            self._remove_outdated()
        self._held = _records.HeldClaim(claim, item.revision, now)
        return self._held

    def _next_claim(
        self, era: int, previous: _records.HeldClaim | None
    ) -> _records.Claim:
        """Returns the claim that follows the newest one.

        Args:
            era: The era of the store.
            previous: The newest claim of the era; None if there is none.

        Raises:
            ChangeAbandonedError: An earlier order prevents the change.
        """
        token = (
            previous.claim.token + 1 if previous else _records.first_token(era)
        )
        self._order = self.pending_order()
        self._require_promotable(self._order)
        lease = self._lease.lease if self._lease else None
        return _records.Claim(self._node, token, order=self._order, lease=lease)

    def _require_promotable(
        self, order: _records.PromotionOrder | None
    ) -> None:
        """Checks that an earlier order does not prevent the change.

        Raises:
            ChangeAbandonedError: It does.
        """
        group = self._group
        leader = group.leader.member if group.leader else ""
        if _orders.prevents_change(order, leader, group.pools):
            raise _change_steps.ChangeAbandonedError(
                f"{order} may still be executed"
            )

    def pending_order(self) -> _records.PromotionOrder | None:
        """Returns an order of any change that may still be executed."""
        group = self._group
        recorded = self._catalogue.stored_claims.orders.get(group.service.name)
        now = self._clock.boot_now()
        order = _orders.pending(recorded, now, group.last_leader, group.term)
        if order is not None and group.departures.has_ended(order.member):
            return None
        return order

    @property
    def order(self) -> _records.PromotionOrder | None:
        """The order, of this or an earlier change, that may be executed."""
        return self._order

    def record_order(self, member: str) -> "decisions.Flow[None]":
        """Records an order in the current claim, before it is sent.

        Args:
            member: The member to be promoted.

        Raises:
            ChangeAbandonedError: Another node has taken the claim over, or the
                store did not answer.
        """
        held = self._current()
        token = held.claim.token
        order = _orders.next_order(member, token, self._group.term, self._order)
        lease = _records.Lease(self._node, token)
        claim = attrs.evolve(held.claim, order=order, lease=lease)
        self._recorded_at = self._clock.boot_now()
        try:
            item = yield self._write(held, claim)
        except _store.StoreUnavailableError as exc:
            item = yield from self._read_back(claim, exc)
        if item is None:
            raise _change_steps.ChangeAbandonedError("the claim was taken over")
        self._catalogue.take((item,), "own claim")
        self._held = attrs.evolve(held, claim=claim, revision=item.revision)
        self._previous_order, self._order = self._order, order

    def _read_back(
        self, claim: _records.Claim, failure: _store.StoreUnavailableError
    ) -> "decisions.Flow[_store.Item]":
        """Returns a claim's item if a write without an answer took place.

        Raises:
            ChangeAbandonedError: It did not, or the store does not answer.
        """
        service = self._group.service.name
        key = _records.claim_key(self._catalogue.revision.era, service)
        try:
            found = yield self._store.list(key)
        except _store.StoreUnavailableError as exc:
            raise _change_steps.ChangeAbandonedError(
                f"the order was not recorded: {failure}, {exc}"
            ) from exc
        value = claim.encode()
        for item in found.items:
            if item.key == key and item.value == value:
                return typing.cast(_store.Item, item)
        raise _change_steps.ChangeAbandonedError(
            f"the order was not recorded: {failure}"
        )

    def note_answered(self) -> None:
        """Records that the platform has received the recorded order."""
        held = self._current()
        if held.claim.lease is None:
            return
        elapsed_s = self._clock.boot_now() - self._recorded_at
        lease = attrs.evolve(
            held.claim.lease,
            answered_ms=math.ceil(elapsed_s * _leases.MS_PER_S),
        )
        self._held = attrs.evolve(
            held, claim=attrs.evolve(held.claim, lease=lease)
        )

    def note_not_executed(self) -> None:
        """Records that the recorded order was refused, or is not sent."""
        self._order = self._previous_order

    @property
    def _lease(self) -> _records.HeldLease | None:
        """The newest lease that this node knows of."""
        leases = self._catalogue.stored_claims.leases
        return leases.get(self._group.service.name)

    @property
    def holds_lease(self) -> bool:
        """Whether only this node may order promotions at present."""
        held = self._lease
        is_own = held is not None and held.lease.holder == self._node
        return is_own and self._lease_remaining_s > 0

    @property
    def _lease_remaining_s(self) -> float:
        now = self._clock.boot_now()
        return _leases.remaining_s(self._lease, now, self._policy)

    def require_lease(self) -> None:
        """Checks that this node may order promotions.

        Raises:
            LeaseHeldError: Another node holds the lease.
        """
        held = self._lease
        if held is None or held.lease.holder == self._node:
            return
        remaining_s = self._lease_remaining_s
        if remaining_s > 0:
            lease = held.lease
            raise _change_steps.LeaseHeldError(
                lease.holder, lease.token, remaining_s
            )

    def _current(self) -> _records.HeldClaim:
        """Returns the claim that this node has taken last.

        Raises:
            ChangeAbandonedError: It has taken none.
        """
        if self._held is None:
            raise _change_steps.ChangeAbandonedError("no claim is held")
        return self._held

    def _write(
        self, held: _records.HeldClaim, claim: _records.Claim
    ) -> "decisions.Future[_store.Item | None]":
        """Replaces the value of a held claim unless it has changed."""
        key = _records.claim_key(held.revision.era, self._group.service.name)
        return self._store.put_if(key, claim.encode(), held.revision)

    def is_free(self) -> bool:
        """Whether no other node may be acting on a claim."""
        previous = self._catalogue.claims.get(self._group.service.name)
        now = self._clock.boot_now()
        return previous is None or not self._is_held_by_another(previous, now)

    def is_valid(self, held: _records.HeldClaim) -> bool:
        """Whether this node may still act on a claim.

        The store has lost a claim of an earlier era and may give it to another
        node.
        """
        age_s = self._clock.boot_now() - held.seen_at
        is_lost = held.revision.era != self._catalogue.revision.era
        return age_s < self._policy.claim_valid_s and not is_lost

    def require_valid(self, held: _records.HeldClaim) -> None:
        """Checks that this node may still act on a claim.

        Raises:
            ChangeAbandonedError: It may not; another node may act by now.
        """
        if not self.is_valid(held):
            raise _change_steps.ChangeAbandonedError(
                "the claim is too old to act on"
            )

    def release(self) -> None:
        """Starts to mark the claim as done, so that others need not wait."""
        fut = decisions.start(self._release())
        self._released = decisions.first_completed(
            decisions.settled(fut),
            decisions.sleep(self._clock, MAX_RELEASE_WAIT_S),
        )

    def _release(self) -> "decisions.Flow[None]":
        held = self._current()
        group = self._group
        order = self._order
        if order is not None and _orders.has_taken_effect(
            order, group.last_leader, group.term
        ):
            order = None
        done = attrs.evolve(held.claim, done=True, order=order)
        detail = "the claim has changed"
        try:
            item = yield self._write(held, done)
        except _store.StoreUnavailableError as exc:
            # The next claim has to wait until this one is too old to act on.
            item, detail = None, str(exc)
        token = held.claim.token
        if item is None:
            _change_steps.log_step(group, "unreleased", token, "", detail)
            return
        self._catalogue.take((item,), "own claim")
        detail = f"revision {item.revision.number}"
        _change_steps.log_step(group, "released", token, "", detail)

    def require_free(self) -> None:
        """Checks that no other node may be acting on a claim.

        Raises:
            ChangeAbandonedError: Another node may be.
        """
        previous = self._catalogue.claims.get(self._group.service.name)
        now = self._clock.boot_now()
        if previous is not None and self._is_held_by_another(previous, now):
            self._group.expect_primary_change()
            raise _change_steps.ChangeAbandonedError(
                "another node holds the claim"
            )
        # The holder of a claim that the store has lost may not know of the
        # loss yet. The wait also gives members that the restored copy lacks
        # the time to register again.
        if now - self._catalogue.era_seen_at < self._policy.claim_takeover_s:
            raise _change_steps.ChangeAbandonedError(
                "the store has just come back"
            )

    def _remove_outdated(self) -> None:
        """Removes the claims of earlier eras in the background."""
        for item in self._catalogue.outdated_claims(self._group.service.name):
            fut = self._store.remove_if(item.key, item.revision)
            fut.add_done_callback(self._on_removed)

    def _on_removed(self, fut: "decisions.Future[bool]") -> None:
        exc = fut.exception()
        if exc is not None:
            # The claim stays in the store, where it has no effect.
            _events.emit(_events.DependencyLost("store", str(exc)))

    def _is_held_by_another(self, held: _records.HeldClaim, now: float) -> bool:
        """Whether another node may be acting on a claim.

        A claim under this node's own name is from an earlier attempt or an
        earlier process, and no action on it is under way any more.
        """
        is_recent = now - held.seen_at < self._policy.claim_takeover_s
        is_other_holder = held.claim.holder != self._node
        return is_recent and is_other_holder and not held.claim.done
