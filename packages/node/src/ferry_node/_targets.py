"""The members to try for a request, and the nodes that serve them."""

from collections.abc import Callable

import attrs
import ferry_decisions as decisions

from ferry_node import _messages
from ferry_node import _settings

BEHIND_S = 0.2
TOO_OLD_S = 2.0


@attrs.frozen(slots=True)
class Target:
    """A member and the node that serves it.

    Attributes:
        member: The member's name.
        node: The node.
        primary: Whether the member is the primary.
    """

    member: str
    node: decisions.Node
    primary: bool


class Targets:
    """Chooses members by the read policy, the records and placement."""

    def __init__(
        self,
        timers: decisions.TimerService,
        cfg: _settings.Settings,
        nodes: Callable[[], tuple[decisions.Node, ...]],
        database: Callable[[str], decisions.Database | None],
        record: Callable[[str], decisions.Record | None],
        leaving: Callable[[], frozenset[str]],
    ) -> None:
        self._leaving = leaving
        self._timers = timers
        self._cfg = cfg
        self._nodes = nodes
        self._database = database
        self._record = record
        self._policy = decisions.READ_POLICIES.get(cfg.policy.read_policy)()
        self._behind: dict[tuple[str, str], float] = {}

    def order(
        self,
        req: _messages.ExecuteRequest,
        since_write_s: float,
        tried: int,
    ) -> list[Target]:
        """Returns the members to try, the first to try first."""
        database = self._database(req.database)
        record = self._record(req.database)
        if database is None or record is None:
            return []
        if req.as_primary or tried:
            names = [record.primary]
        else:
            names = self._policy.order(
                database,
                self._read_request(req, database, record, since_write_s),
            )
        found = [self.find_target(req.database, record, n) for n in names if n]
        return [t for t in found if t is not None]

    def find_target(
        self, name: str, record: decisions.Record, member: str
    ) -> Target | None:
        """Returns a member with its serving node; None where no node is."""
        database = self._database(name)
        if database is None:
            return None
        node = decisions.serving_node(
            database, database.member(member), self._nodes()
        )
        if node is None:
            return None
        return Target(member, node, member == record.primary)

    def _read_request(
        self,
        req: _messages.ExecuteRequest,
        database: decisions.Database,
        record: decisions.Record,
        since_write_s: float,
    ) -> decisions.ReadRequest:
        now = self._timers.now()
        leaving = self._leaving()
        behind = frozenset(
            m.name
            for m in database.members
            if self._behind.get((database.name, m.name), 0.0) > now
            or m.address in leaving
        )
        return decisions.ReadRequest(
            data_centre=self._cfg.data_centre,
            primary=record.primary,
            floor_known=bool(req.floor),
            staleness_s=req.staleness_s,
            since_write_s=since_write_s,
            behind=behind,
        )

    def note_behind(
        self, database: str, target: Target, reply: _messages.ExecuteReply
    ) -> None:
        """Avoids for a while a replica that was out of reach or too old."""
        if (
            not target.primary
            and reply.detail != decisions.Eligibility.BELOW_FLOOR.value
        ):
            too_old = reply.detail == decisions.Eligibility.TOO_OLD.value
            pause_s = TOO_OLD_S if too_old else BEHIND_S
            until = self._timers.now() + pause_s
            self._behind[(database, target.member)] = until
