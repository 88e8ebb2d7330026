"""A change of primary, from the claim to the new record.

The steps, each safe to be cut off after:

1. Claim the next term in the database's record by compare-and-swap. A lost
   answer is read back by the claim's id, never assumed.
2. Fence a majority of the members at the term. From here on no commit of an
   earlier term can be confirmed.
3. Choose the fenced member with the highest position, and promote it.
4. Publish the primary and the start of its term in the record.
5. Make the others follow.

A claimant that stops in the middle leaves an open claim, which the next one
supersedes with a higher term.
"""

import json
import typing

import attrs

from ferry_decisions import _databases
from ferry_decisions import _flows
from ferry_decisions import _ports
from ferry_decisions import _revisions
from ferry_decisions import _structuring
from ferry_decisions import _timers

RECORD_PREFIX = "databases/"
READ_TIMEOUT_S = 0.4
WRITE_TIMEOUT_S = 1.0
READ_BACK_TRIES = 5
READ_BACK_PAUSE_S = 0.1
FENCE_TIMEOUT_S = 0.5
PROMOTE_TIMEOUT_S = 1.0


class ClaimLostError(Exception):
    """Another node's record is newer.

    Attributes:
        record: That record.
    """

    def __init__(self, record: _databases.Record) -> None:
        super().__init__(f"{record.database} is at term {record.term}")
        self.record = record


class NoMajorityError(ExceptionGroup[Exception]):
    """Fewer than a majority of the members could be fenced."""


def record_key(database: str) -> str:
    """Returns the store's key of a database's record."""
    return RECORD_PREFIX + database


def encode_record(record: _databases.Record) -> bytes:
    """Returns a record as the store keeps it."""
    return json.dumps(_structuring.unstructure(record)).encode()


def decode_record(value: bytes) -> _databases.Record:
    """Returns a record from the store's bytes.

    Raises:
        InvalidDocumentError: It is no record.
        ValueError: It is not JSON.
    """
    return _databases.record_from_json(json.loads(value))


class Promotion:
    """One attempt to change the primary of one database."""

    def __init__(
        self,
        timers: _timers.TimerService,
        store: _ports.Store,
        driver: _ports.EndpointDriver,
        database: _databases.Database,
        claimant: str,
        claim_id: str,
        avoid: frozenset[str] = frozenset(),
    ) -> None:
        """Prepares the attempt.

        Args:
            timers: The timer service.
            store: Where the record lives.
            driver: Control of the members.
            database: The database.
            claimant: The name of this node.
            claim_id: Unique among all claims.
            avoid: Members that must not lead while another one can.
        """
        self._timers = timers
        self._store = store
        self._driver = driver
        self._database = database
        self._claimant = claimant
        self._claim_id = claim_id
        self._avoid = avoid

    def run(self, known: _databases.Record) -> "_flows.Flow[_databases.Record]":
        """Runs the change; the flow returns the new record.

        Args:
            known: The record whose primary is to be replaced.

        Raises:
            ClaimLostError: The store's record is newer than `known`.
            NoMajorityError: Too few members could be fenced.
            StoreUnavailableError: The store could not be asked.
            EndpointUnreachableError: The successor went away.
        """
        claim, revision = yield from self._claim(known)
        fenced = yield from self._fence(claim.term)
        successor = self._choose(fenced)
        start = successor.received.index
        starts = claim.history.with_term(claim.term, start).starts
        order = _ports.PromoteOrder(
            claim.term, self._database.member(successor.name), starts
        )
        yield _flows.with_timeout(
            self._timers,
            PROMOTE_TIMEOUT_S,
            self._driver.promote(order.primary, order),
        )
        self._lead_others(order)
        record = attrs.evolve(claim, primary=successor.name, starts=starts)
        yield from self._write(record, revision)
        return record

    def _lead_others(self, order: _ports.PromoteOrder) -> None:
        """Makes the others follow, without waiting for them.

        A member that misses it is repaired by those who watch it.
        """
        for member in self._database.members:
            if member.name != order.primary.name:
                self._driver.follow(member, order)

    def _claim(
        self, known: _databases.Record
    ) -> "_flows.Flow[tuple[_databases.Record, _revisions.Revision]]":
        entry = yield _flows.with_timeout(
            self._timers,
            READ_TIMEOUT_S,
            self._store.get(record_key(known.database)),
        )
        revision = _revisions.Revision(self._store.era)
        if entry is not None:
            stored = decode_record(entry.value)
            if stored.newer_than(known):
                raise ClaimLostError(stored)
            revision = entry.revision
        # Counted on from the node's own: a store that came back from a copy
        # lacks the last terms, and members refuse what they promised before.
        claim = attrs.evolve(
            known,
            term=known.term + 1,
            primary="",
            claimant=self._claimant,
            claim_id=self._claim_id,
        )
        written = yield from self._write(claim, revision)
        return claim, written

    def _write(
        self, record: _databases.Record, revision: _revisions.Revision
    ) -> "_flows.Flow[_revisions.Revision]":
        """Writes the record; returns its revision, reading back if needed."""
        key = record_key(record.database)
        try:
            entry = yield _flows.with_timeout(
                self._timers,
                WRITE_TIMEOUT_S,
                self._store.put_if(key, encode_record(record), revision),
            )
        except (_ports.StoreUnavailableError, _flows.TimeoutExpiredError):
            entry = None
        if entry is not None:
            return typing.cast(_revisions.Revision, entry.revision)
        return (yield from self._read_back(record, revision))

    def _read_back(
        self, record: _databases.Record, revision: _revisions.Revision
    ) -> "_flows.Flow[_revisions.Revision]":
        """Learns whether a write whose answer was lost took effect."""
        key = record_key(record.database)
        failure: Exception = _ports.StoreUnavailableError(key)
        for _ in range(READ_BACK_TRIES):
            try:
                entry = yield _flows.with_timeout(
                    self._timers, READ_TIMEOUT_S, self._store.get(key)
                )
            except (
                _ports.StoreUnavailableError,
                _flows.TimeoutExpiredError,
            ) as exc:
                failure = exc
                yield _flows.sleep(self._timers, READ_BACK_PAUSE_S)
                continue
            if entry is None or entry.revision == revision:
                break
            found = decode_record(entry.value)
            if found == record:
                return typing.cast(_revisions.Revision, entry.revision)
            raise ClaimLostError(found)
        raise _ports.StoreUnavailableError(str(failure))

    def _fence(self, term: int) -> "_flows.Flow[list[_databases.MemberStatus]]":
        needed = self._database.majority
        futs = [
            _flows.with_timeout(
                self._timers,
                FENCE_TIMEOUT_S,
                self._driver.fence(member, term, self._claim_id),
            )
            for member in self._database.members
        ]

        def enough(
            settled: list[_flows.Settled[_databases.MemberStatus]],
        ) -> bool:
            done = [s.result for s in settled if s.failure is None]
            return len(self._usable(done)) >= needed

        settled = yield _flows.settle_all(futs, enough)
        done = [s.result for s in settled if s.failure is None]
        if len(done) < needed:
            raise NoMajorityError(
                f"{self._database.name}: fenced {len(done)} of {needed}",
                [s.failure for s in settled if s.failure is not None],
            )
        return done

    def _choose(
        self, fenced: list[_databases.MemberStatus]
    ) -> _databases.MemberStatus:
        """Returns a member that holds all that was acknowledged.

        That holds for the highest position among any majority, so members to
        avoid are left out only where the others are a majority themselves.
        """
        usable = self._usable(fenced)
        if len(usable) < self._database.majority:
            usable = fenced
        return max(usable, key=lambda s: s.received)

    def _usable(
        self, statuses: list[_databases.MemberStatus]
    ) -> list[_databases.MemberStatus]:
        return [s for s in statuses if s.name not in self._avoid]
