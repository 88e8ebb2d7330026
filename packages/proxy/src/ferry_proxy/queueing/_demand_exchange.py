"""Exchange of demands with the other serving nodes, and its effect on pools.

Nodes exchange demands only while statements wait somewhere. A node that hears
of a waiting statement tells its own demand as well, so that a silent peer is
one without this feature or without contact.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

import attrs
import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _groups
from ferry_proxy import _pools
from ferry_proxy import _queueing
from ferry_proxy import _serving_peers
from ferry_proxy.queueing import _demand_messages
from ferry_proxy.queueing import _demands
from ferry_proxy.queueing import _slot_shares

# The shortest time between two messages to a peer. A statement takes about as
# long, so the demand hardly changes in less.
TELL_INTERVAL_S = 0.05
# The same for a node at which nothing waits, which only has to be known.
QUIET_INTERVAL_S = 0.1

# A busy member answers several statements in this time.
MIN_ANSWER_S = 0.05


@attrs.frozen(slots=True)
class ExchangeContext:
    """The dependencies of an exchange.

    Attributes:
        clock: The clock.
        own: This node's name.
        streams: Returns the streams to other nodes, by name.
        groups: Returns the groups that this node serves, by name.
        sharing: Returns the names of the other nodes that send statements to
            a group's members now.
        is_on: Returns whether demands are exchanged.
    """

    clock: _clocks.Clock
    own: str
    streams: Callable[[], Mapping[str, _serving_peers.ServingPeer]]
    groups: Callable[[], Mapping[str, _groups.Group]]
    sharing: Callable[[str], Collection[str]]
    is_on: Callable[[], bool]


class DemandExchange:
    """Tells this node's demands, and sets its shares of members' slots.

    Attributes:
        table: The demands that peers told.
        messages_sent: How many messages were sent.
        shared_groups: The groups whose shares follow demand now.
    """

    def __init__(self, ctx: ExchangeContext) -> None:
        self._ctx = ctx
        self.table = _demands.DemandTable(ctx.clock)
        self._meter = _demands.DemandMeter()
        self._told_at = float("-inf")
        self._is_scheduled = False
        self.messages_sent = 0
        self.shared_groups: set[str] = set()

    def update(self) -> None:
        """Tells demands if statements wait, and sets all shares."""
        if not self._ctx.is_on():
            self.shared_groups.clear()
            return
        self.table.trim()
        queued = self._queued_groups()
        self._meter.keep(queued)
        if queued:
            self._schedule()
            if self._may_tell(queued.values()):
                self._tell(queued)
        self.apply()

    def note_statement(self, service: str) -> None:
        """Raises the share, and tells demands, if a statement has to wait."""
        if not self._ctx.is_on():
            return
        group = self._ctx.groups().get(service)
        if group is None or not _waits(group):
            return
        if self._may_tell([group]):
            self.update()
        else:
            self._apply_to(service, group)

    def note(self, peer: str, message: _demand_messages.DemandReport) -> None:
        """Records the demands that a peer told, and updates the shares."""
        if not self._ctx.is_on() or not isinstance(message.demands, dict):
            return
        for service, group in self._ctx.groups().items():
            if service in message.demands and peer in self._ctx.sharing(
                service
            ):
                rows = message.demands[service]
                self.table.note(service, peer, rows, group.pools)
        self.update()

    def apply(self) -> None:
        """Sets this node's shares in the groups with recent news.

        Other groups keep the equal shares that were set before.
        """
        self.shared_groups.clear()
        if not self._ctx.is_on():
            return
        for service, group in self._ctx.groups().items():
            if self._apply_to(service, group):
                self.shared_groups.add(service)

    def _apply_to(self, service: str, group: _groups.Group) -> bool:
        """Sets the shares in a group; returns whether there is recent news."""
        peers = self._ctx.sharing(service)
        told = self.table.fresh(service, peers)
        if told:
            self._set_shares(group, told, len(peers) - len(told))
        return bool(told)

    def _may_tell(self, queued: Iterable[_groups.Group]) -> bool:
        age_s = self._ctx.clock.now() - self._told_at
        if age_s < TELL_INTERVAL_S:
            return False
        return age_s >= QUIET_INTERVAL_S or any(_waits(g) for g in queued)

    def _queued_groups(self) -> dict[str, _groups.Group]:
        """Returns the groups for whose members statements wait at any node."""
        return {
            service: group
            for service, group in self._ctx.groups().items()
            if self._is_queued(service, group)
        }

    def _is_queued(self, service: str, group: _groups.Group) -> bool:
        if _waits(group):
            return True
        told = self.table.fresh(service, self._ctx.sharing(service))
        return any(_demands.is_queued(d) for d in told.values())

    def _tell(self, queued: Mapping[str, _groups.Group]) -> None:
        """Sends each peer the demands for the groups that it serves, too."""
        self._told_at = self._ctx.clock.now()
        by_peer: dict[str, dict[str, dict[str, _demands.Row]]] = {}
        for service, group in queued.items():
            rows = self._meter.sample(service, _own_demands(group))
            for peer in self._ctx.sharing(service):
                by_peer.setdefault(peer, {})[service] = rows
        streams = self._ctx.streams()
        for peer, demands in by_peer.items():
            stream = streams.get(peer)
            if stream is not None and stream.understands_load:
                stream.tell(_demand_messages.DemandReport(demands))
                self.messages_sent += 1

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._ctx.clock.after(TELL_INTERVAL_S, self._run_scheduled)

    def _run_scheduled(self) -> None:
        self._is_scheduled = False
        self.update()

    def _set_shares(
        self,
        group: _groups.Group,
        told: Mapping[str, _demands.Demands],
        unknown: int,
    ) -> None:
        own = self._ctx.own
        idle = decisions.Demand(0, 0)
        for member, pool in group.pools.items():
            demands = {p: d.get(member, idle).total for p, d in told.items()}
            demands[own] = _own_demand(pool).total
            slots = pool.member.slots
            nodes = unknown + len(demands)
            equal = _queueing.parallel_statements(slots, nodes)
            found = _slot_shares.shares(
                _queueing.busy_statements(slots), equal, demands, unknown
            )
            pool.parallel = found[own] if _is_answering(pool) else equal


def _is_answering(pool: _pools.Pool) -> bool:
    """Whether a member answers; one that does not gets no more statements."""
    contact = pool.contact
    return contact.unanswered_s <= max(MIN_ANSWER_S, contact.latency_s)


def _waits(group: _groups.Group) -> bool:
    """Whether a statement waits at this node for a member of the group."""
    return _demands.is_queued(_own_demands(group))


def _own_demands(group: _groups.Group) -> dict[str, decisions.Demand]:
    return {m: _own_demand(p) for m, p in group.pools.items()}


def _own_demand(pool: _pools.Pool) -> decisions.Demand:
    """Returns this node's demand for a member.

    While slots are free, statements wait only for links that are being opened,
    and those count as running.
    """
    demand = pool.demand
    if demand.running < pool.parallel:
        return decisions.Demand(demand.running, 0)
    return demand
