"""Fakes at the interfaces, in virtual time: members, store and delays.

The real decisions run on them: nothing here decides anything. One
`VirtualTimers` drives all; the same seed gives the same run.
"""

from collections.abc import Callable
import itertools
import typing

import attrs
import ferry_decisions as decisions

from ferry_standins import _log

if typing.TYPE_CHECKING:
    from ferry_standins import _virtual_conn

PROBE_TIMEOUT_S = 0.3
CONNECT_S = 0.010
FENCE_TIMEOUT_S = 0.5


class PausableTimers:
    """The timers of one node, whose process may be paused."""

    def __init__(self, timers: decisions.VirtualTimers) -> None:
        self._timers = timers
        self._paused_until = 0.0
        self._late: list[Callable[[float], object]] = []

    def now(self) -> float:
        """Returns the virtual time in seconds."""
        return self._timers.now()

    def after(
        self, delay: float, callback: Callable[[], object]
    ) -> decisions.Timer:
        """Runs `callback` once, not before the end of a pause."""
        return self._timers.after(delay, lambda: self._fire(callback))

    def on_process_pause(self, callback: Callable[[float], object]) -> None:
        """Subscribes to pauses of the process."""
        self._late.append(callback)

    def pause(self, seconds: float) -> None:
        """Pauses the process."""
        self._paused_until = self.now() + seconds
        self._timers.after(seconds, lambda: [c(seconds) for c in self._late])

    def _fire(self, callback: Callable[[], object]) -> None:
        left = self._paused_until - self.now()
        if left > 0:
            self._timers.after(left, callback)
        else:
            callback()


@attrs.define
class VirtualNet:
    """Delays and cuts between places; a place is a data centre or a member.

    Attributes:
        delay_s: One-way delay between data centres, in seconds.
        local_delay_s: One-way delay inside one, in seconds.
        cut: Pairs of places between which nothing gets through.
    """

    delay_s: float = 0.001
    local_delay_s: float = 0.0002
    cut: set[frozenset[str]] = attrs.field(factory=set)

    def delay(self, here: str, there: str) -> float:
        """Returns the one-way delay between two data centres."""
        return self.local_delay_s if here == there else self.delay_s

    def is_cut(self, here: str, there: str) -> bool:
        """Whether nothing gets through between two places."""
        return frozenset((here, there)) in self.cut


class VirtualMember:
    """A member without sockets: a log, values by key, and faults."""

    def __init__(
        self,
        timers: decisions.VirtualTimers,
        described: decisions.Member,
        group: _log.Group,
    ) -> None:
        self.described = described
        self.name = described.name
        self.replica = _log.Replica(described.name, last_heard_at=timers.now())
        self.group = group
        self.crashed = False
        self.silent = False
        self.slow_s = 0.0
        self.paused_until = 0.0
        self.owner_id = ""
        self.running: set[int] = set()
        self.process_ids = itertools.count(1)
        self.statement_s = 0.0
        self.conns: set[_virtual_conn.VirtualConn] = set()
        self.peak_conns = 0
        self.values: dict[str, int] = {}
        self._timers = timers
        self._waits: list[tuple[int, Callable[[], None]]] = []
        group.add(self.replica, self.apply_to)
        group.subscribe(self._received)

    def status(self) -> decisions.MemberStatus:
        """Returns what the member says of itself."""
        guests = sum(c.owner != self.owner_id for c in self.conns)
        return self.replica.status(self._timers.now(), self.owner_id, guests)

    @property
    def delay_s(self) -> float:
        """Time until it handles what arrives now, in seconds."""
        return max(self.paused_until - self._timers.now(), 0.0) + self.slow_s

    def apply_to(self, index: int) -> None:
        """Shows entries up to an index."""
        replica = self.replica
        if replica.leads:
            return
        while replica.applied < min(index, len(replica.log)):
            self._show(replica.log[replica.applied])
            replica.applied += 1

    def write(self, key: str, value: int) -> None:
        """Commits one write as the primary.

        Raises:
            RefusedError: The member does not lead.
        """
        statement = _log.LogStatement(key, (value,))
        self.replica.append((statement,))
        self._show(self.replica.log[-1])
        self.group.committed(self.name)

    def own(self, owner: str) -> None:
        """Takes statements from one owner only."""
        if self.owner_id and owner and owner != self.owner_id:
            self.drop_conns()
        self.owner_id = owner

    def fence(self, term: int, claim_id: str) -> None:
        """Promises a term; a primary that is fenced ends its connections."""
        led = self.replica.leads
        self.replica.fence(term, claim_id)
        if led and not self.replica.leads:
            self.drop_conns()

    def promote(self, order: decisions.PromoteOrder) -> None:
        """Becomes the primary."""
        self.apply_to(len(self.replica.log))
        self.replica.lead(order.term, dict(order.starts)[order.term])

    def follow(self, order: decisions.PromoteOrder) -> None:
        """Becomes a replica, without what the primary does not have."""
        if order.term < self.replica.promised:
            raise _log.RefusedError(str(self.replica.promised))
        common = self.group.common_prefix(self.name, order.primary.name)
        start = dict(order.starts)[order.term]
        was_truncated = self.replica.follow(
            order.term, order.primary.name, common, start
        )
        self.drop_conns()
        if was_truncated:
            self.values = {}
            count, self.replica.applied = self.replica.applied, 0
            self.apply_to(count)

    def drop_conns(self) -> None:
        """Ends the connections of callers, as a change of role does."""
        for conn in list(self.conns):
            conn.end()

    def when_received(
        self, index: int, timeout_s: float, answer: Callable[[], None]
    ) -> None:
        """Runs `answer` once an index is received, or at the timeout."""
        if index <= len(self.replica.log):
            answer()
            return
        waiting = (index, answer)
        self._waits.append(waiting)

        def expire() -> None:
            if waiting in self._waits:
                self._waits.remove(waiting)
                answer()

        self._timers.after(timeout_s, expire)

    def _received(self, name: str) -> None:
        if name != self.name:
            return
        have = len(self.replica.log)
        due = [w for w in self._waits if w[0] <= have]
        self._waits = [w for w in self._waits if w[0] > have]
        for _, answer in due:
            answer()

    def _show(self, entry: _log.LogEntry) -> None:
        for statement in entry.statements:
            value = statement.values[0]
            assert isinstance(value, int)
            self.values[statement.sql] = value


@attrs.frozen
class Link:
    """The way from a node to a member.

    Attributes:
        timers: The virtual time.
        net: Delays and cuts.
        place: The data centre of the node.
        member: The member.
    """

    timers: decisions.VirtualTimers
    net: VirtualNet
    place: str
    member: VirtualMember

    @property
    def open(self) -> bool:
        """Whether messages get through."""
        centre = self.member.described.data_centre
        net = self.net
        blocked = net.is_cut(self.place, centre)
        isolated = net.is_cut(self.place, self.member.name)
        return not blocked and not isolated

    def carry(self, work: Callable[[], object]) -> None:
        """Runs work at the other side after the delay, if it gets there."""
        centre = self.member.described.data_centre
        delay = self.net.delay(self.place, centre)
        self.timers.after(delay, lambda: work() if self.open else None)


class VirtualDriver:
    """The driver of one database's members for one node."""

    def __init__(self, links: dict[str, Link]) -> None:
        self._links = links
        self._connected: set[str] = set()
        self.messages = 0

    def status(
        self, member: decisions.Member
    ) -> "decisions.Future[decisions.MemberStatus]":
        """Asks a member for its status."""
        return self._ask(member, PROBE_TIMEOUT_S, lambda _: None)

    def own(
        self, member: decisions.Member, owner: str
    ) -> "decisions.Future[decisions.MemberStatus]":
        """Makes a member take statements from one owner only."""
        return self._ask(member, FENCE_TIMEOUT_S, lambda m: m.own(owner))

    def is_running(
        self, member: decisions.Member, process_id: int
    ) -> "decisions.Future[bool]":
        """Whether the connection with that number runs a statement."""
        fut: decisions.Future[bool] = decisions.Future()
        asked = self._ask(member, PROBE_TIMEOUT_S, lambda _: None)
        target = self._links[member.name].member

        def answer(done: "decisions.Future[decisions.MemberStatus]") -> None:
            exc = done.exception()
            if exc is not None:
                decisions.reject(fut, exc)
            else:
                decisions.resolve(fut, process_id in target.running)

        asked.add_done_callback(answer)
        return fut

    def fence(
        self, member: decisions.Member, term: int, claim_id: str
    ) -> "decisions.Future[decisions.MemberStatus]":
        """Makes a member promise a term to one claim."""
        return self._ask(
            member, FENCE_TIMEOUT_S, lambda m: m.fence(term, claim_id)
        )

    def promote(
        self, member: decisions.Member, order: decisions.PromoteOrder
    ) -> "decisions.Future[decisions.MemberStatus]":
        """Makes a fenced member the primary."""
        return self._ask(member, FENCE_TIMEOUT_S, lambda m: m.promote(order))

    def follow(
        self, member: decisions.Member, order: decisions.PromoteOrder
    ) -> "decisions.Future[decisions.MemberStatus]":
        """Makes a member a replica of the primary."""
        return self._ask(member, FENCE_TIMEOUT_S, lambda m: m.follow(order))

    def wait_received(
        self,
        member: decisions.Member,
        term: int,
        index: int,
        timeout_s: float,
    ) -> "decisions.Future[decisions.MemberStatus]":
        """Answers once a member has received an index."""
        return self._ask(
            member, timeout_s + PROBE_TIMEOUT_S, lambda _: None, index
        )

    def close(self) -> None:
        """Has nothing to close."""

    def _ask(
        self,
        member: decisions.Member,
        timeout_s: float,
        act: Callable[[VirtualMember], object],
        wait_index: int = 0,
    ) -> "decisions.Future[decisions.MemberStatus]":
        link = self._links[member.name]
        self.messages += 1
        fut: decisions.Future[decisions.MemberStatus] = decisions.Future()
        target = link.member

        def fail(refused: bool) -> None:
            self._connected.discard(member.name)
            exc = decisions.EndpointUnreachableError("virtual", refused)
            decisions.reject(fut, exc)

        def reply() -> None:
            status = target.status()
            link.carry(lambda: decisions.resolve(fut, status))

        def arrive() -> None:
            if target.crashed:
                link.carry(lambda: fail(True))
                return
            if target.silent:
                return
            self._connected.add(member.name)
            link.timers.after(target.delay_s, handle)

        def handle() -> None:
            try:
                act(target)
            except _log.RefusedError:
                refusal = decisions.EndpointRefusedError()
                link.carry(lambda: decisions.reject(fut, refusal))
                return
            target.when_received(wait_index, timeout_s, reply)

        link.timers.after(timeout_s, lambda: fail(False))
        extra = 0.0 if member.name in self._connected else CONNECT_S
        link.timers.after(extra, lambda: link.carry(arrive))
        return fut
