"""Promotion of a new primary, from the claim to the final record.

The process may be interrupted safely after any of these steps:

1. Claim the next term in the database's record by compare-and-swap. If the
   reply is lost, the record is read back and the claim's id is compared;
   success is never assumed.
2. Fence a majority of the members at the term. From then on no commit of an
   earlier term can be confirmed.
3. Choose the fenced member with the highest position and promote it.
4. Publish the primary and the start of its term in the record.
5. Make the other members follow.

A claimant that stops midway leaves an open claim, which the next claimant
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
READ_BACK_ATTEMPTS = 5
READ_BACK_PAUSE_S = 0.1
FENCE_TIMEOUT_S = 0.5
PROMOTE_TIMEOUT_S = 1.0


class ClaimLostError(Exception):
    """The store holds a newer record of another node.

    Attributes:
        record: The newer record.
    """

    def __init__(self, record: _databases.Record) -> None:
        super().__init__(f"{record.database} is at term {record.term}")
        self.record = record


class LogIncompleteError(Exception):
    """A member has lost its log and does not hold all of it again."""


class NoMajorityError(ExceptionGroup[Exception]):
    """Fewer members than a majority could be fenced."""


def record_key(database: str) -> str:
    """Returns the store's key of a database's record."""
    return RECORD_PREFIX + database


def encode_record(record: _databases.Record) -> bytes:
    """Returns the stored form of a record."""
    return json.dumps(_structuring.unstructure(record)).encode()


def decode_record(value: bytes) -> _databases.Record:
    """Returns the record from its stored form.

    Raises:
        InvalidDocumentError: The value is not a record.
        ValueError: The value is not JSON.
    """
    return _databases.record_from_json(json.loads(value))


def read_record(
    timers: _timers.TimerService, store: _ports.Store, database: str
) -> "_flows.Flow[_databases.Record | None]":
    """Reads a database's record from the store.

    Raises:
        StoreUnavailableError: The store did not answer.
        TimeoutExpiredError: It did not answer in time.
    """
    entry = yield _flows.with_timeout(
        timers, READ_TIMEOUT_S, store.get(record_key(database))
    )
    return None if entry is None else decode_record(entry.value)


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
        """Creates an attempt; `run` executes it.

        Args:
            timers: The timer service.
            store: The store that holds the record.
            driver: Controls the members of the database.
            database: The database.
            claimant: The name of this node.
            claim_id: An identifier that is unique among all claims.
            avoid: Members that are promoted only if no other member can be.
        """
        self._timers = timers
        self._store = store
        self._driver = driver
        self._database = database
        self._claimant = claimant
        self._claim_id = claim_id
        self._avoid = avoid

    def run(self, known: _databases.Record) -> "_flows.Flow[_databases.Record]":
        """Runs the promotion; the flow returns the new record.

        Args:
            known: The record whose primary is to be replaced.

        Raises:
            ClaimLostError: The store's record is newer than `known`.
            NoMajorityError: Too few members could be fenced.
            StoreUnavailableError: The store did not answer.
            EndpointUnreachableError: The new primary became unreachable.
        """
        claim, revision = yield from self._claim(known)
        fenced = yield from self._fence(claim)
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
        self._redirect_followers(order)
        record = attrs.evolve(claim, primary=successor.name, starts=starts)
        yield from self._write(record, revision)
        return record

    def _redirect_followers(self, order: _ports.PromoteOrder) -> None:
        """Makes the other members follow, without waiting for them.

        A member that misses the order is repaired by the nodes that watch it.
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
        # The new term follows the term known to this node, not the stored one:
        # a store restored from a backup lacks the latest terms, and members
        # refuse terms that they have promised already.
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
        """Writes the record; returns its revision.

        Reads the record back if the store does not confirm the write.
        """
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
        """Determines whether a write whose reply was lost took effect."""
        key = record_key(record.database)
        failure: Exception = _ports.StoreUnavailableError(key)
        for _ in range(READ_BACK_ATTEMPTS):
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

    def _fence(
        self, claim: _databases.Record
    ) -> "_flows.Flow[list[_databases.MemberStatus]]":
        needed = self._database.majority
        futs = [
            _flows.with_timeout(
                self._timers,
                FENCE_TIMEOUT_S,
                _flows.start(self._fence_member(member, claim)),
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

    def _fence_member(
        self, member: _databases.Member, claim: _databases.Record
    ) -> "_flows.Flow[_databases.MemberStatus]":
        """Fences one member and returns its status.

        Raises:
            LogIncompleteError: The member lacks entries that it may have
                confirmed, so it counts in no majority.
        """
        status = yield self._driver.fence(member, claim.term, self._claim_id)
        had_primary = bool(claim.starts)
        if had_primary and status.received.term == 0:
            raise LogIncompleteError(member.name)
        return typing.cast(_databases.MemberStatus, status)

    def _choose(
        self, fenced: list[_databases.MemberStatus]
    ) -> _databases.MemberStatus:
        """Returns a member that holds every acknowledged write.

        The highest position among any majority guarantees this, so members to
        avoid are excluded only if the remaining ones are still a majority.
        """
        usable = self._usable(fenced)
        if len(usable) < self._database.majority:
            usable = fenced
        return max(usable, key=lambda s: s.received)

    def _usable(
        self, statuses: list[_databases.MemberStatus]
    ) -> list[_databases.MemberStatus]:
        return [s for s in statuses if s.name not in self._avoid]
