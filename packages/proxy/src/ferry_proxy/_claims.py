"""Claims in the store: the right of one node to change a group's primary.

A claim gives the fencing token. Its holder acts for a bounded boot time, and
others wait for longer than that before they take it over, so that nothing of
the holder's is under way any more.
"""

import attrs
import ferry_decisions as decisions

from ferry_proxy import _catalogue
from ferry_proxy import _clocks
from ferry_proxy import _events
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
        era = self._catalogue.revision.era
        known = self._catalogue.claims.get(service)
        now = self._clock.boot_now()
        self._check_free(known, now)
        token = known.claim.token + 1 if known else _records.first_token(era)
        claim = _records.Claim(self._node, token)
        key = _records.claim_key(era, service)
        item = yield self._store.put_if(
            key, claim.encode(), self._catalogue.condition(key)
        )
        if item is None:
            raise _fences.ChangeAbandonedError("another node was faster")
        self._catalogue.take((item,), "own claim")
        if known is None:
            self._remove_outdated()
        return _records.HeldClaim(claim, item.revision, now)

    def is_valid(self, held: _records.HeldClaim) -> bool:
        """Whether this node may still act on a claim.

        One of an earlier era is lost, and the store may give it to another.
        """
        age_s = self._clock.boot_now() - held.seen_at
        is_lost = held.revision.era != self._catalogue.revision.era
        return age_s < self._policy.claim_valid_s and not is_lost

    def finish(self, held: _records.HeldClaim) -> "decisions.Flow[None]":
        """Lets the next claim follow at once."""
        done = attrs.evolve(held.claim, done=True)
        service = self._group.service.name
        key = _records.claim_key(held.revision.era, service)
        try:
            item = yield self._store.put_if(key, done.encode(), held.revision)
        except _store.StoreUnavailableError as exc:
            # The next claim waits until this one is too old to act on.
            token = held.claim.token
            _fences.log_step(self._group, "unreleased", token, "", str(exc))
            return
        if item is not None:
            self._catalogue.take((item,), "own claim")

    def _check_free(self, known: _records.HeldClaim | None, now: float) -> None:
        """Checks that nobody else may be acting.

        Raises:
            ChangeAbandonedError: Another node may.
        """
        if known is not None and self._is_taken(known, now):
            self._group.expect_primary_change()
            raise _fences.ChangeAbandonedError("another node holds the claim")
        # The holder of a claim that the store has lost may not have heard of
        # it; members that the copy lacks have written again meanwhile, too.
        if now - self._catalogue.era_seen_at < self._policy.claim_takeover_s:
            raise _fences.ChangeAbandonedError("the store has just come back")

    def _remove_outdated(self) -> None:
        """Removes the claims of eras that are over; nobody waits for it."""
        for item in self._catalogue.outdated_claims(self._group.service.name):
            fut = self._store.remove_if(item.key, item.revision)
            fut.add_done_callback(self._note_removed)

    def _note_removed(self, fut: "decisions.Future[bool]") -> None:
        exc = fut.exception()
        if exc is not None:  # It stays, and means nothing.
            _events.emit(_events.DependencyLost("store", str(exc)))

    def _is_taken(self, held: _records.HeldClaim, now: float) -> bool:
        """Whether another node may be acting on a claim.

        A claim of this node's own name is of an earlier try, or of a process
        that is gone; nothing of it is under way any more.
        """
        is_recent = now - held.seen_at < self._policy.claim_takeover_s
        is_anothers = held.claim.holder != self._node
        return is_recent and is_anothers and not held.claim.done
