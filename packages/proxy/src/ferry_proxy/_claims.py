"""Claims in the store: the right of one node to change a group's primary.

A claim gives the fencing token. Its holder acts for a bounded boot time, and
others wait for longer than that before they take it over, so that nothing of
the holder's is under way any more.
"""

import attrs
import ferry_decisions as decisions

from ferry_proxy import _catalogue
from ferry_proxy import _clocks
from ferry_proxy import _fences
from ferry_proxy import _groups
from ferry_proxy import _policy
from ferry_proxy import _records
from ferry_proxy import _store


class Claims:
    """One node's claims on one group."""

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
        """Takes the right to act.

        Raises:
            ChangeAbandonedError: Another node has it.
        """
        service = self._group.service.name
        known = self._catalogue.claims.get(service)
        now = self._clock.boot_now()
        if known is not None and self._is_taken(known, now):
            self._group.expect_change()
            raise _fences.ChangeAbandonedError("another node holds the claim")
        token = known.claim.token + 1 if known else 1
        claim = _records.Claim(self._node, token)
        key = _records.CLAIM_PREFIX + service
        item = yield self._store.put_if(
            key, claim.encode(), self._catalogue.condition(key)
        )
        if item is None:
            raise _fences.ChangeAbandonedError("another node was faster")
        self._catalogue.take((item,), "own claim")
        return _records.HeldClaim(claim, item.revision, now)

    def is_valid(self, held: _records.HeldClaim) -> bool:
        """Whether this node may still act on a claim."""
        age_s = self._clock.boot_now() - held.seen_at
        return age_s < self._policy.claim_valid_s

    def finish(self, held: _records.HeldClaim) -> "decisions.Flow[None]":
        """Lets the next claim follow at once."""
        done = attrs.evolve(held.claim, done=True)
        key = _records.CLAIM_PREFIX + self._group.service.name
        try:
            item = yield self._store.put_if(key, done.encode(), held.revision)
        except _store.StoreUnavailableError as exc:
            # The next claim waits until this one is too old to act on.
            token = held.claim.token
            _fences.log_step(self._group, "unreleased", token, "", str(exc))
            return
        if item is not None:
            self._catalogue.take((item,), "own claim")

    def _is_taken(self, held: _records.HeldClaim, now: float) -> bool:
        """Whether another node may be acting on a claim.

        A claim of this node's own name is of an earlier try, or of a process
        that is gone; nothing of it is under way any more.
        """
        is_recent = now - held.seen_at < self._policy.claim_takeover_s
        is_anothers = held.claim.holder != self._node
        return is_recent and is_anothers and not held.claim.done
