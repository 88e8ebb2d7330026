"""Confirmation by a majority of members of what a primary answers.

A write is acknowledged only when a majority of the members, the primary among
them, hold it in their logs and have promised no later term. A promotion first
fences a majority, and two majorities share a member, so what was acknowledged
is in the successor's log, and a primary that was replaced can get no more
confirmations. Neither clocks nor the store are involved.

A read at the primary needs proof that the primary still led after the read
was asked for, else a primary that is cut off would show old data as new. This
is the read index of Raft (Ongaro and Ousterhout, 2014): one round to a
majority, shared by all reads that wait for it.
"""

import math
import typing

import attrs
import sortedcontainers

from ferry_decisions import _databases
from ferry_decisions import _flows
from ferry_decisions import _ports
from ferry_decisions import _timers

WAIT_S = 1.0
PAUSE_AFTER_FAILURE_S = 0.05


class TermReplacedError(Exception):
    """A member has promised a later term; the fate of a commit is unknown."""


@attrs.define(eq=False, slots=True)
class _FreshWaiter:
    """A read that waits for a round to a majority."""

    since: float
    fut: "_flows.Future[None]"


@attrs.define(slots=True)
class _Replica:
    """What is known of one replica in this term."""

    member: _databases.Member
    held: int = 0
    proved_at: float = -math.inf
    waiting: bool = False


class Confirmations:
    """Confirms positions of one term of one database.

    One request is outstanding at each replica, however many answers wait, so
    the cost is bounded by the round trip and not by the rate of statements.
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
        self._fresh: list[_FreshWaiter] = []
        self._replaced = False

    @property
    def confirmed(self) -> int:
        """The highest index that a majority is known to hold."""
        if self._needed == 0:
            return 1 << 62
        held = sorted((r.held for r in self._replicas.values()), reverse=True)
        return held[self._needed - 1]

    @property
    def proved_at(self) -> float:
        """The last moment at which the primary is known to have led."""
        if self._needed == 0:
            return math.inf
        proofs = sorted(
            (r.proved_at for r in self._replicas.values()), reverse=True
        )
        return proofs[self._needed - 1]

    @property
    def pending(self) -> int:
        """How many positions and reads wait."""
        return len(self._pending) + len(self._fresh)

    def confirm(self, index: int, led_at: float) -> "_flows.Future[None]":
        """Returns a future that is done once an answer may be given.

        It fails with `TermReplacedError` when a member promised a later term.

        Args:
            index: The index that a majority has to hold.
            led_at: The moment, in seconds, after which the primary has to
                be proved to have led.
        """
        if self._replaced:
            return _flows.failed(TermReplacedError())
        if index > self.confirmed:
            fut: _flows.Future[None] = _flows.Future()
            self._pending.setdefault(index, []).append(fut)
            self._ask()
            return fut
        if led_at <= self.proved_at:
            return _flows.completed(None)
        waiter = _FreshWaiter(led_at, _flows.Future())
        self._fresh.append(waiter)
        self._ask()
        return waiter.fut

    def note_status(
        self, status: _databases.MemberStatus, asked_at: float
    ) -> None:
        """Takes in what a replica says of itself, from any request.

        Args:
            status: What it says.
            asked_at: When it was asked, in seconds.
        """
        replica = self._replicas.get(status.name)
        if replica is None:
            return
        if status.promised > self._term:
            self._replace()
            return
        if status.promised != self._term:
            return
        replica.proved_at = max(replica.proved_at, asked_at)
        if status.received.term == self._term:
            replica.held = max(replica.held, status.received.index)
        self._release()

    def close(self) -> None:
        """Fails what is pending: the term is over for this node."""
        self._replace()

    def _ask(self) -> None:
        for replica in self._replicas.values():
            if not replica.waiting:
                replica.waiting = True
                _flows.start(self._follow(replica))

    def _follow(self, replica: _Replica) -> "_flows.Flow[None]":
        """Asks one replica for as long as anything is pending."""
        while self.pending and not self._replaced:
            wanted = 0
            if not self._fresh:
                wanted = typing.cast(int, self._pending.keys()[0])
                wanted = max(wanted, replica.held + 1)
            asked_at = self._timers.now()
            try:
                status = yield self._driver.wait_received(
                    replica.member, self._term, wanted, WAIT_S
                )
            except _ports.EndpointUnreachableError:
                yield _flows.sleep(self._timers, PAUSE_AFTER_FAILURE_S)
                continue
            except _ports.EndpointRefusedError:
                self._replace()
                break
            self.note_status(status, asked_at)
        replica.waiting = False

    def _release(self) -> None:
        confirmed = self.confirmed
        while self._pending and self._pending.keys()[0] <= confirmed:
            _, futs = self._pending.popitem(0)
            for fut in futs:
                _flows.resolve(fut, None)
        proved_at = self.proved_at
        done = [w for w in self._fresh if w.since <= proved_at]
        self._fresh = [w for w in self._fresh if w.since > proved_at]
        for waiter in done:
            _flows.resolve(waiter.fut, None)

    def _replace(self) -> None:
        self._replaced = True
        while self._pending:
            _, futs = self._pending.popitem(0)
            for fut in futs:
                _flows.reject(fut, TermReplacedError())
        fresh, self._fresh = self._fresh, []
        for waiter in fresh:
            _flows.reject(waiter.fut, TermReplacedError())
