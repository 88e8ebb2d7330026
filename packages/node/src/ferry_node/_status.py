"""Status page and metrics of a node."""

import math
import typing

import attrs
import ferry_decisions as decisions

from ferry_node import _board

if typing.TYPE_CHECKING:
    from ferry_node import _node


@attrs.frozen(slots=True)
class MemberLine:
    """One member of a database, as this node sees it.

    Attributes:
        name: The name of the member.
        data_centre: The data centre that the member runs in.
        role: `primary` or `replica`, according to the record.
        term: The term that the member follows; 0 if unknown.
        applied: The position that the member has applied, as text.
        age_s: The age of the member's data in seconds; -1 if unknown.
        silence_s: Seconds since the member last responded.
        waiting: The number of statements queued here for the member, by
            customer.
        connections: The number of this node's connections to the member for
            statements.
    """

    name: str
    data_centre: str
    role: str
    term: int
    applied: str
    age_s: float
    silence_s: float
    waiting: dict[str, int]
    connections: int


@attrs.frozen(slots=True)
class DatabaseLine:
    """One database of which this node serves a member.

    Attributes:
        name: The name of the database.
        term: The term of the database's record.
        primary: The name of the primary according to the record.
        members: All members of the database.
    """

    name: str
    term: int
    primary: str
    members: tuple[MemberLine, ...]


@attrs.frozen(slots=True)
class StatusPage:
    """An overview of a node's state.

    Attributes:
        node: The name of the node.
        data_centre: The data centre that the node runs in.
        stopping: Whether a planned stop is in progress.
        nodes: The names of the nodes that it considers live.
        store_reader: Whether it reads the store.
        store_reachable: Whether its last call to the store succeeded.
        vm_list_reachable: Whether its last fetch of the VM list succeeded.
        callers: The number of connected callers.
        contracts: The versions of the contracts that it applies, by customer.
        databases: The databases of which it serves a member.
    """

    node: str
    data_centre: str
    stopping: bool
    nodes: tuple[str, ...]
    store_reader: bool
    store_reachable: bool
    vm_list_reachable: bool
    callers: int
    contracts: dict[str, int]
    databases: tuple[DatabaseLine, ...]


def status(node: "_node.Node") -> typing.Any:
    """Returns the status page as JSON-compatible values."""
    board = node.board
    page = StatusPage(
        node=node.cfg.node,
        data_centre=node.cfg.data_centre,
        stopping=node.stopping,
        nodes=tuple(n.name for n in board.read(_board.NODES)),
        store_reader=board.read(_board.STORE_READER),
        store_reachable=node.directory_sync.store_reachable,
        vm_list_reachable=node.membership.list_reachable,
        callers=node.caller_count,
        contracts=node.contracts.versions(),
        databases=tuple(
            _database_line(node, watch)
            for _, watch in sorted(node.controller.watches.items())
        ),
    )
    return decisions.unstructure(page)


def _database_line(
    node: "_node.Node", watch: decisions.DatabaseWatch
) -> DatabaseLine:
    record = watch.record or decisions.Record(watch.database.name, 0)
    return DatabaseLine(
        name=watch.database.name,
        term=record.term,
        primary=record.primary,
        members=tuple(
            _member_line(node, watch, member, record)
            for member in watch.database.members
        ),
    )


def _member_line(
    node: "_node.Node",
    watch: decisions.DatabaseWatch,
    member: decisions.Member,
    record: decisions.Record,
) -> MemberLine:
    last_status = watch.statuses.get(member.name)
    age = watch.tracker.age(member.name)
    service = node.controller.services.get((watch.database.name, member.name))
    return MemberLine(
        name=member.name,
        data_centre=member.data_centre,
        role="primary" if member.name == record.primary else "replica",
        term=last_status.term if last_status else 0,
        applied=str(watch.tracker.applied(member.name)),
        age_s=-1.0 if math.isinf(age) else round(age, 3),
        silence_s=round(watch.silence(member.name), 3),
        waiting=service.queue.depths() if service else {},
        connections=service.pool.open_count if service else 0,
    )


def metrics(node: "_node.Node") -> str:
    """Returns the metrics in Prometheus's text format."""
    dispatcher = node.dispatcher
    gauges: dict[str, float] = {
        "rosemaryferry_callers": node.caller_count,
        "rosemaryferry_nodes": len(node.board.read(_board.NODES)),
        "rosemaryferry_store_calls_total": node.store.calls,
        "rosemaryferry_probe_bytes_total": node.membership.bytes_sent,
        'rosemaryferry_reads_total{by="replica"}': dispatcher.reads_by_replicas,
        'rosemaryferry_reads_total{by="primary"}': dispatcher.reads_by_primary,
    }
    for (name, member), service in node.controller.services.items():
        labels = f'{{database="{name}",member="{member}"}}'
        gauges[f"rosemaryferry_slots_in_use{labels}"] = service.queue.running
        gauges[f"rosemaryferry_connections{labels}"] = service.pool.open_count
        gauges[f"rosemaryferry_transactions{labels}"] = len(service.channels)
        age = service.watch.tracker.age(member)
        if not math.isinf(age):
            gauges[f"rosemaryferry_member_age_seconds{labels}"] = age
    for watch in node.controller.watches.values():
        label = f'{{database="{watch.database.name}"}}'
        gauges[f"rosemaryferry_promotions_total{label}"] = watch.promotions
    return node.metrics.render(gauges)
