"""Fakes of members, drivers and the network in virtual time.

They stand in at the interfaces of the real decision code and decide nothing
themselves. One `VirtualTimers` drives all of them, so the same seed gives the
same run.
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
# Time that it takes to open a connection to a member.
CONNECT_S = 0.010
FENCE_TIMEOUT_S = 0.5


class PausableTimers:
    """The timers of one node, whose process can be paused."""

    def __init__(self, timers: decisions.VirtualTimers) -> None:
        self._timers = timers
        self._paused_until = 0.0
        self._on_pause: list[Callable[[float], object]] = []

    def now(self) -> float:
        """Returns the virtual time in seconds."""
        return self._timers.now()

    def after(
        self, delay: float, callback: Callable[[], object]
    ) -> decisions.Timer:
        """Runs `callback` once, or at the end of a pause if that is later."""
        return self._timers.after(delay, lambda: self._fire(callback))

    def on_process_pause(self, callback: Callable[[float], object]) -> None:
        """Registers a callback that receives the length of each pause."""
        self._on_pause.append(callback)

    def pause(self, seconds: float) -> None:
        """Pauses the process for some seconds."""
        self._paused_until = self.now() + seconds
        self._timers.after(
            seconds, lambda: [c(seconds) for c in self._on_pause]
        )

    def _fire(self, callback: Callable[[], object]) -> None:
        left = self._paused_until - self.now()
        if left > 0:
            self._timers.after(left, callback)
        else:
            callback()


@attrs.define
class VirtualNet:
    """Network delays and cuts between data centres and members.

    Attributes:
        delay_s: One-way delay between data centres, in seconds.
        local_delay_s: One-way delay inside a data centre, in seconds.
        cut: Pairs of data centres or members that cannot reach each other.
    """

    delay_s: float = 0.001
    local_delay_s: float = 0.0002
    cut: set[frozenset[str]] = attrs.field(factory=set)

    def delay(self, here: str, there: str) -> float:
        """Returns the one-way delay between two data centres."""
        return self.local_delay_s if here == there else self.delay_s

    def is_cut(self, here: str, there: str) -> bool:
        """Returns whether two data centres or members are cut apart."""
        return frozenset((here, there)) in self.cut


class VirtualMember:
    """A fake member without sockets: a log, values by key, and faults.

    Attributes:
        crashed: Whether it refuses connections.
        silent: Whether it accepts messages without answering any.
        slow_s: Extra delay before it handles a message, in seconds.
        paused_until: End of a pause of the member, in seconds.
        owner_id: The node that owns the member; empty for none.
        running: Process ids of connections that run a statement.
        statement_s: Execution time of a statement, in seconds.
        peak_conns: Largest number of open connections so far.
        values: The values that reads see, by key.
    """

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
        """Returns the status that the member reports."""
        guests = sum(c.owner != self.owner_id for c in self.conns)
        return self.replica.status(self._timers.now(), self.owner_id, guests)

    @property
    def delay_s(self) -> float:
        """Delay until it handles a message that arrives now, in seconds."""
        return max(self.paused_until - self._timers.now(), 0.0) + self.slow_s

    def apply_to(self, index: int) -> None:
        """Applies log entries up to an index."""
        replica = self.replica
        if replica.leads:
            return
        while replica.applied < min(index, len(replica.log)):
            self._apply(replica.log[replica.applied])
            replica.applied += 1

    def write(self, key: str, value: int) -> None:
        """Commits one write as the primary.

        Raises:
            RefusedError: The member is not the primary.
        """
        statement = _log.LogStatement(key, (value,))
        self.replica.append((statement,))
        self._apply(self.replica.log[-1])
        self.group.send_committed(self.name)

    def own(self, owner: str) -> None:
        """Accepts statements from one owner only."""
        if self.owner_id and owner and owner != self.owner_id:
            self.drop_conns()
        self.owner_id = owner

    def fence(self, term: int, claim_id: str) -> None:
        """Promises a term; a fenced primary closes its connections."""
        was_primary = self.replica.leads
        self.replica.fence(term, claim_id)
        if was_primary and not self.replica.leads:
            self.drop_conns()

    def promote(self, order: decisions.PromoteOrder) -> None:
        """Becomes the primary."""
        self.apply_to(len(self.replica.log))
        self.replica.lead(order.term, dict(order.starts)[order.term])

    def follow(self, order: decisions.PromoteOrder) -> None:
        """Becomes a replica and drops entries that the primary lacks."""
        if order.term < self.replica.promised:
            raise _log.RefusedError(str(self.replica.promised))
        primary = order.primary.name
        common = self.group.common_prefix(self.name, primary)
        start = dict(order.starts)[order.term]
        end = self.group.log_end(primary)
        was_truncated = self.replica.follow(
            order.term, primary, common, start, end
        )
        self.drop_conns()
        if was_truncated:
            self.values = {}
            count, self.replica.applied = self.replica.applied, 0
            self.apply_to(count)

    def lose_log(self) -> None:
        """Loses all durable state, as a member on a new disk does."""
        self.replica.clear()
        self.values = {}

    def drop_conns(self) -> None:
        """Closes the connections of callers, as a change of role does."""
        for conn in list(self.conns):
            conn.end()

    def when_received(
        self, index: int, timeout_s: float, reply: Callable[[], None]
    ) -> None:
        """Runs `reply` once an index is received, or after the timeout."""
        if index <= len(self.replica.log):
            reply()
            return
        waiting = (index, reply)
        self._waits.append(waiting)

        def expire() -> None:
            if waiting in self._waits:
                self._waits.remove(waiting)
                reply()

        self._timers.after(timeout_s, expire)

    def _received(self, name: str) -> None:
        if name != self.name:
            return
        received_count = len(self.replica.log)
        due = [w for w in self._waits if w[0] <= received_count]
        self._waits = [w for w in self._waits if w[0] > received_count]
        for _, reply in due:
            reply()

    def _apply(self, entry: _log.LogEntry) -> None:
        for statement in entry.statements:
            value = statement.values[0]
            assert isinstance(value, int)
            self.values[statement.sql] = value


@attrs.frozen
class Link:
    """The network link from a node to a member.

    Attributes:
        timers: The timers of the virtual time.
        net: The network, with its delays and cuts.
        data_centre: The data centre of the node.
        member: The member.
    """

    timers: decisions.VirtualTimers
    net: VirtualNet
    data_centre: str
    member: VirtualMember

    @property
    def open(self) -> bool:
        """Whether messages currently arrive."""
        centre = self.member.described.data_centre
        net = self.net
        is_centre_cut = net.is_cut(self.data_centre, centre)
        is_member_cut = net.is_cut(self.data_centre, self.member.name)
        return not is_centre_cut and not is_member_cut

    def deliver(self, work: Callable[[], object]) -> None:
        """Runs a callable at the other end after the network delay.

        Nothing happens if the link is cut by then.
        """
        centre = self.member.described.data_centre
        delay = self.net.delay(self.data_centre, centre)
        self.timers.after(delay, lambda: work() if self.open else None)


class VirtualDriver:
    """One node's fake driver for the members of a database.

    Attributes:
        messages: Number of requests so far.
    """

    def __init__(self, links: dict[str, Link]) -> None:
        self._links = links
        self._connected: set[str] = set()
        self.messages = 0

    def status(
        self, member: decisions.Member
    ) -> "decisions.Future[decisions.MemberStatus]":
        """Asks a member for its status."""
        return self._request(member, PROBE_TIMEOUT_S, lambda _: None)

    def own(
        self, member: decisions.Member, owner: str
    ) -> "decisions.Future[decisions.MemberStatus]":
        """Makes a member accept statements from one owner only."""
        return self._request(member, FENCE_TIMEOUT_S, lambda m: m.own(owner))

    def is_running(
        self, member: decisions.Member, process_id: int
    ) -> "decisions.Future[bool]":
        """Asks whether a connection is running a statement."""
        fut: decisions.Future[bool] = decisions.Future()
        status_future = self._request(member, PROBE_TIMEOUT_S, lambda _: None)
        target = self._links[member.name].member

        def reply(done: "decisions.Future[decisions.MemberStatus]") -> None:
            exc = done.exception()
            if exc is not None:
                decisions.reject(fut, exc)
            else:
                decisions.resolve(fut, process_id in target.running)

        status_future.add_done_callback(reply)
        return fut

    def fence(
        self, member: decisions.Member, term: int, claim_id: str
    ) -> "decisions.Future[decisions.MemberStatus]":
        """Makes a member promise a term to one claim."""
        return self._request(
            member, FENCE_TIMEOUT_S, lambda m: m.fence(term, claim_id)
        )

    def promote(
        self, member: decisions.Member, order: decisions.PromoteOrder
    ) -> "decisions.Future[decisions.MemberStatus]":
        """Makes a fenced member the primary."""
        return self._request(
            member, FENCE_TIMEOUT_S, lambda m: m.promote(order)
        )

    def follow(
        self, member: decisions.Member, order: decisions.PromoteOrder
    ) -> "decisions.Future[decisions.MemberStatus]":
        """Makes a member a replica of the primary."""
        return self._request(member, FENCE_TIMEOUT_S, lambda m: m.follow(order))

    def wait_received(
        self,
        member: decisions.Member,
        term: int,
        index: int,
        timeout_s: float,
    ) -> "decisions.Future[decisions.MemberStatus]":
        """Asks for the status once a member has received an index."""
        return self._request(
            member, timeout_s + PROBE_TIMEOUT_S, lambda _: None, index
        )

    def close(self) -> None:
        """Does nothing: there are no connections to close."""

    def _request(
        self,
        member: decisions.Member,
        timeout_s: float,
        action: Callable[[VirtualMember], object],
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
            link.deliver(lambda: decisions.resolve(fut, status))

        def arrive() -> None:
            if target.crashed:
                link.deliver(lambda: fail(True))
                return
            if target.silent:
                return
            self._connected.add(member.name)
            link.timers.after(target.delay_s, handle)

        def handle() -> None:
            try:
                action(target)
            except _log.RefusedError:
                refusal = decisions.EndpointRefusedError()
                link.deliver(lambda: decisions.reject(fut, refusal))
                return
            target.when_received(wait_index, timeout_s, reply)

        link.timers.after(timeout_s, lambda: fail(False))
        connect_s = 0.0 if member.name in self._connected else CONNECT_S
        link.timers.after(connect_s, lambda: link.deliver(arrive))
        return fut
