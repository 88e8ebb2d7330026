"""Claims in the store: the right of one node to change a group's primary.

A claim provides the fencing token. Its holder acts on it only for a limited
time of the boot clock. Other nodes wait for longer than that before they take
a claim over, so that no action of the holder is under way any more.
"""

import attrs
import ferry_decisions as decisions

from ferry_proxy import _catalogue
from ferry_proxy import _change_steps
from ferry_proxy import _clocks
from ferry_proxy import _events
from ferry_proxy import _groups
from ferry_proxy import _policy
from ferry_proxy import _records
from ferry_proxy import _store


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

    def take(self) -> "decisions.Flow[_records.HeldClaim]":
        """Writes a claim to the store.

        Raises:
            ChangeAbandonedError: Another node holds the claim, or the store
                was restored a short while ago.
        """
        service = self._group.service.name
        era = self._catalogue.revision.era
        previous = self._catalogue.claims.get(service)
        now = self._clock.boot_now()
        self._require_unclaimed(previous, now)
        token = (
            previous.claim.token + 1 if previous else _records.first_token(era)
        )
        claim = _records.Claim(self._node, token)
        key = _records.claim_key(era, service)
        item = yield self._store.put_if(
            key, claim.encode(), self._catalogue.condition(key)
        )
        if item is None:
            raise _change_steps.ChangeAbandonedError("another node was faster")
        self._catalogue.take((item,), "own claim")
        if previous is None:
            self._remove_outdated()
        return _records.HeldClaim(claim, item.revision, now)

    def is_valid(self, held: _records.HeldClaim) -> bool:
        """Whether this node may still act on a claim.

        The store has lost a claim of an earlier era and may give it to another
        node.
        """
        age_s = self._clock.boot_now() - held.seen_at
        is_lost = held.revision.era != self._catalogue.revision.era
        return age_s < self._policy.claim_valid_s and not is_lost

    def release(self, held: _records.HeldClaim) -> "decisions.Flow[None]":
        """Marks a claim as done, so that the next one need not wait."""
        done = attrs.evolve(held.claim, done=True)
        service = self._group.service.name
        key = _records.claim_key(held.revision.era, service)
        try:
            item = yield self._store.put_if(key, done.encode(), held.revision)
        except _store.StoreUnavailableError as exc:
            # The next claim has to wait until this one is too old to act on.
            token = held.claim.token
            _change_steps.log_step(
                self._group, "unreleased", token, "", str(exc)
            )
            return
        if item is not None:
            self._catalogue.take((item,), "own claim")

    def _require_unclaimed(
        self, previous: _records.HeldClaim | None, now: float
    ) -> None:
        """Checks that no other node may be acting on a claim.

        Raises:
            ChangeAbandonedError: Another node may be.
        """
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
