"""What a node shows of itself: the status page and the metrics."""

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
        name: The member.
        data_centre: Where it runs.
        role: `primary` or `replica`, by the record.
        term: The term that it follows.
        applied: Its applied position as text.
        age_s: Age of its data in seconds; -1 where it is not known.
        silence_s: Seconds since its last sign of life.
        waiting: Statements that wait for it here, by customer.
        connections: Connections for statements that this node has to it.
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
        name: The database.
        term: The term of its record.
        primary: Its primary.
        members: Its members.
    """

    name: str
    term: int
    primary: str
    members: tuple[MemberLine, ...]


@attrs.frozen(slots=True)
class StatusPage:
    """A node at a glance.

    Attributes:
        node: Its name.
        data_centre: Where it runs.
        stopping: Whether a planned stop is under way.
        nodes: The nodes that it holds to be live.
        store_reader: Whether it asks the store.
        store_reachable: Whether the store answered last.
        vm_list_reachable: Whether the platform's list answered last.
        callers: Callers that are connected.
        contracts: Versions of the contracts it honours, by customer.
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
    """Returns the status page as plain JSON values."""
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
    known = watch.statuses.get(member.name)
    age = watch.tracker.age(member.name)
    service = node.controller.services.get((watch.database.name, member.name))
    return MemberLine(
        name=member.name,
        data_centre=member.data_centre,
        role="primary" if member.name == record.primary else "replica",
        term=known.term if known else 0,
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
