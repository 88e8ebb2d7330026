"""Confirmation of a primary's answers by a majority of its members.

A write is acknowledged only after a majority of the members, including the
primary, hold it in their logs and have promised no later term. A promotion
first fences a majority. Any two majorities share a member, so the successor's
log contains every acknowledged write, and a primary that was replaced gets no
further confirmations. This depends neither on clocks nor on the store.

A read on the primary requires proof that the primary still led after the read
was requested; otherwise a partitioned primary would return stale data as
current. This is the read index of Raft (Ongaro and Ousterhout, 2014): one round
to a majority, shared by all waiting reads.
"""

import math
import typing

import attrs
import sortedcontainers

from ferry_decisions import _databases
from ferry_decisions import _flows
from ferry_decisions import _ports
from ferry_decisions import _supervision
from ferry_decisions import _timers

# How long a replica may hold back its answer until it has received an index.
RECEIVED_WAIT_S = 1.0
PAUSE_AFTER_FAILURE_S = 0.05


class TermReplacedError(Exception):
    """A member has promised a later term; a commit's outcome is unknown."""


@attrs.define(eq=False, slots=True)
class _PendingRead:
    """A read that waits for proof of leadership at `since` or later."""

    since: float
    fut: "_flows.Future[None]"


@attrs.define(slots=True)
class _Replica:
    """The state of one replica in this term, as far as it is known."""

    member: _databases.Member
    held: int = 0
    proved_at: float = -math.inf
    polling: bool = False


class Confirmations:
    """Confirms log positions of one term of one database.

    At most one request is outstanding at each replica, however many answers
    wait, so the request rate is bounded by the round-trip time rather than by
    the statement rate.
    """

    def __init__(
        self,
        timers: _timers.TimerService,
        driver: _ports.EndpointDriver,
        database: _databases.Database,
        primary: str,
        term: int,
    ) -> None:
        self._timers = timers
        self._driver = driver
        self._term = term
        self._needed = database.majority - 1
        self._replicas = {
            m.name: _Replica(m) for m in database.members if m.name != primary
        }
        self._pending: sortedcontainers.SortedDict[
            int, list[_flows.Future[None]]
        ] = sortedcontainers.SortedDict()
        self._pending_reads: list[_PendingRead] = []
        self._replaced = False

    @property
    def confirmed(self) -> int:
        """The highest log index that a majority is known to hold."""
        if self._needed == 0:
            # A single member is a majority by itself.
            return 1 << 62
        held = sorted((r.held for r in self._replicas.values()), reverse=True)
        return held[self._needed - 1]

    @property
    def proved_at(self) -> float:
        """The latest time at which the primary is proved to have led."""
        if self._needed == 0:
            return math.inf
        proofs = sorted(
            (r.proved_at for r in self._replicas.values()), reverse=True
        )
        return proofs[self._needed - 1]

    @property
    def pending(self) -> int:
        """The number of positions and reads that await confirmation."""
        return len(self._pending) + len(self._pending_reads)

    def confirm(self, index: int, led_at: float) -> "_flows.Future[None]":
        """Returns a future that completes once an answer may be sent.

        It fails with `TermReplacedError` if a member promised a later term.

        Args:
            index: The log index that a majority has to hold.
            led_at: The time, in seconds, at or after which the primary must
                be proved to have led.
        """
        if self._replaced:
            return _flows.failed(TermReplacedError())
        if index > self.confirmed:
            fut: _flows.Future[None] = _flows.Future()
            self._pending.setdefault(index, []).append(fut)
            self._poll_replicas()
            return fut
        if led_at <= self.proved_at:
            return _flows.completed(None)
        waiter = _PendingRead(led_at, _flows.Future())
        self._pending_reads.append(waiter)
        self._poll_replicas()
        return waiter.fut

    def note_status(
        self, status: _databases.MemberStatus, asked_at: float
    ) -> None:
        """Processes a replica's status, whichever request returned it.

        Args:
            status: The replica's status.
            asked_at: Time at which the request was sent, in seconds.
        """
        replica = self._replicas.get(status.name)
        if replica is None:
            return
        if status.promised > self._term:
            self._mark_replaced()
            return
        if status.promised != self._term:
            return
        replica.proved_at = max(replica.proved_at, asked_at)
        if status.received.term == self._term:
            replica.held = max(replica.held, status.received.index)
        self._complete_confirmed()

    def close(self) -> None:
        """Fails all pending confirmations; the term is over for this node."""
        self._mark_replaced()

    def _poll_replicas(self) -> None:
        for replica in self._replicas.values():
            if not replica.polling:
                replica.polling = True
                _supervision.start_detached("poll", self._poll(replica))

    def _poll(self, replica: _Replica) -> "_flows.Flow[None]":
        try:
            yield from self._poll_while_pending(replica)
        finally:
            replica.polling = False

    def _poll_while_pending(self, replica: _Replica) -> "_flows.Flow[None]":
        """Polls one replica for as long as confirmations are pending."""
        while self.pending and not self._replaced:
            wanted = 0
            if not self._pending_reads:
                wanted = typing.cast(int, self._pending.keys()[0])
                wanted = max(wanted, replica.held + 1)
            asked_at = self._timers.now()
            try:
                status = yield self._driver.wait_received(
                    replica.member, self._term, wanted, RECEIVED_WAIT_S
                )
            except _ports.EndpointUnreachableError:
                yield _flows.sleep(self._timers, PAUSE_AFTER_FAILURE_S)
                continue
            except _ports.EndpointRefusedError:
                self._mark_replaced()
                break
            self.note_status(status, asked_at)

    def _complete_confirmed(self) -> None:
        confirmed = self.confirmed
        while self._pending and self._pending.keys()[0] <= confirmed:
            _, futs = self._pending.popitem(0)
            for fut in futs:
                _flows.resolve(fut, None)
        proved_at = self.proved_at
        done = [w for w in self._pending_reads if w.since <= proved_at]
        self._pending_reads = [
            w for w in self._pending_reads if w.since > proved_at
        ]
        for waiter in done:
            _flows.resolve(waiter.fut, None)

    def _mark_replaced(self) -> None:
        self._replaced = True
        while self._pending:
            _, futs = self._pending.popitem(0)
            for fut in futs:
                _flows.reject(fut, TermReplacedError())
        fresh, self._pending_reads = self._pending_reads, []
        for waiter in fresh:
            _flows.reject(waiter.fut, TermReplacedError())
