"""Drivers of endpoints: how terms and positions are reached.

Real endpoints differ from the stand-in, so a fleet registers a driver of its
own under a name for the settings. The stand-in's driver sends one control
statement, `SELECT rosemaryferry_control('JSON')`, whose row holds JSON.
"""

import json
import typing

import attrs
import ferry_decisions as decisions
import ferry_runtime as runtime

from ferry_node import _endpoint
from ferry_node import _settings
from ferry_node import _wire

REFUSED_SQLSTATE = "55000"
FOLLOW_TIMEOUT_S = 2.0
CONTROL_USER_SUFFIX = "-control"
CONTROL_FUNCTION = "rosemaryferry_control"


@attrs.frozen(slots=True)
class ControlOrder:
    """A control statement of the stand-in's driver.

    Attributes:
        op: One of status, own, running, fence, promote, follow and wait.
        term: The term it is about.
        claim_id: For fence, the claim.
        owner: For own, the new owner.
        process_id: For running, the connection that is asked about.
        index: For wait, the index.
        timeout_s: For wait, how long, in seconds.
        primary: For promote and follow, the member that leads.
        starts: For promote and follow, the starts of terms.
    """

    op: str
    term: int = 0
    claim_id: str = ""
    index: int = 0
    timeout_s: float = 0.0
    primary: str = ""
    starts: tuple[tuple[int, int], ...] = ()
    owner: str = ""
    process_id: int = 0


class DriverFactory(typing.Protocol):
    """Makes the driver of one database."""

    def __call__(
        self,
        loop: runtime.EventLoop,
        database: decisions.Database,
        cfg: _settings.EndpointSettings,
        probe_timeout_s: float,
    ) -> decisions.ClosableDriver:
        """Returns a driver."""


DRIVERS: decisions.Registry[DriverFactory] = decisions.Registry(
    "endpoint driver"
)


class _ControlLink:
    """One control connection to a member, made anew after each failure."""

    def __init__(
        self,
        loop: runtime.EventLoop,
        member: decisions.Member,
        database: str,
        cfg: _settings.EndpointSettings,
    ) -> None:
        self._loop = loop
        self._member = member
        self._database = database
        self._cfg = cfg
        self._conn: _endpoint.EndpointConn | None = None

    def ask(
        self, order: ControlOrder, timeout_s: float
    ) -> "decisions.Flow[decisions.MemberStatus]":
        """Sends one order; returns the status that the member answers."""
        found = yield from self.ask_raw(order, timeout_s)
        return decisions.structure(found, decisions.MemberStatus, "status")

    def ask_raw(
        self, order: ControlOrder, timeout_s: float
    ) -> "decisions.Flow[typing.Any]":
        """Sends one order; returns the JSON value that the member answers."""
        conn = yield from self._connected()
        payload = encode_order(order)
        try:
            answer = yield decisions.with_timeout(
                self._loop, timeout_s, conn.execute(payload)
            )
        except (
            decisions.TimeoutExpiredError,
            _endpoint.EndpointLostError,
        ) as exc:
            conn.close()
            raise decisions.EndpointUnreachableError(str(exc)) from exc
        return _value_in(answer)

    def close(self) -> None:
        """Closes the connection."""
        if self._conn is not None:
            self._conn.close()

    def _connected(self) -> "decisions.Flow[_endpoint.EndpointConn]":
        conn = self._conn
        if conn is None or conn.closed:
            conn = _endpoint.EndpointConn(
                self._loop,
                self._member.host,
                self._member.port,
                {
                    "user": self._cfg.user + CONTROL_USER_SUFFIX,
                    "database": self._database,
                },
                self._cfg.connect_timeout_s,
            )
            self._conn = conn
        try:
            yield conn.ready
        except (
            _endpoint.EndpointLoginError,
            _endpoint.EndpointLostError,
        ) as exc:
            raise decisions.EndpointUnreachableError(str(exc)) from exc
        return conn


def encode_order(order: ControlOrder) -> bytes:
    """Returns the statement of an order, without what is at its default."""
    raw = decisions.unstructure(order)
    plain = decisions.unstructure(ControlOrder(order.op))
    raw = {n: v for n, v in raw.items() if n == "op" or v != plain[n]}
    text = json.dumps(raw, separators=(",", ":")).replace("'", "''")
    return _wire.encode_query(f"SELECT {CONTROL_FUNCTION}('{text}')")


def _value_in(answer: _endpoint.Answer) -> typing.Any:
    if answer.sqlstate == REFUSED_SQLSTATE:
        raise decisions.EndpointRefusedError()
    for frame in answer.frames:
        if frame.kind == _wire.ROW:
            column = _wire.data_row(frame)[0]
            return json.loads(column or b"{}")
    raise decisions.EndpointUnreachableError(f"no status: {answer.sqlstate}")


@DRIVERS.register("standin")
class StandinDriver:
    """The driver of the stand-in's members."""

    def __init__(
        self,
        loop: runtime.EventLoop,
        database: decisions.Database,
        cfg: _settings.EndpointSettings,
        probe_timeout_s: float,
    ) -> None:
        self._loop = loop
        self._probe_timeout_s = probe_timeout_s

        def link(member: decisions.Member) -> _ControlLink:
            return _ControlLink(loop, member, database.name, cfg)

        self._links = {m.name: link(m) for m in database.members}
        self._waits = {m.name: link(m) for m in database.members}

    def status(
        self, member: decisions.Member
    ) -> "decisions.Future[decisions.MemberStatus]":
        """Asks a member for its status."""
        return self._ask(member, ControlOrder("status"), self._probe_timeout_s)

    def own(
        self, member: decisions.Member, owner: str
    ) -> "decisions.Future[decisions.MemberStatus]":
        """Makes a member take statements from one owner only."""
        return self._ask(
            member, ControlOrder("own", owner=owner), FOLLOW_TIMEOUT_S
        )

    def is_running(
        self, member: decisions.Member, process_id: int
    ) -> "decisions.Future[bool]":
        """Whether the connection with that process id runs a statement."""
        order = ControlOrder("running", process_id=process_id)
        link = self._links[member.name]
        return decisions.start(link.ask_raw(order, self._probe_timeout_s))

    def fence(
        self, member: decisions.Member, term: int, claim_id: str
    ) -> "decisions.Future[decisions.MemberStatus]":
        """Makes a member promise a term to one claim."""
        order = ControlOrder("fence", term=term, claim_id=claim_id)
        return self._ask(member, order, FOLLOW_TIMEOUT_S)

    def promote(
        self, member: decisions.Member, order: decisions.PromoteOrder
    ) -> "decisions.Future[decisions.MemberStatus]":
        """Makes a fenced member the primary."""
        return self._lead("promote", member, order)

    def follow(
        self, member: decisions.Member, order: decisions.PromoteOrder
    ) -> "decisions.Future[decisions.MemberStatus]":
        """Makes a member a replica of the primary."""
        return self._lead("follow", member, order)

    def wait_received(
        self,
        member: decisions.Member,
        term: int,
        index: int,
        timeout_s: float,
    ) -> "decisions.Future[decisions.MemberStatus]":
        """Answers once a member has received an index."""
        order = ControlOrder(
            "wait", term=term, index=index, timeout_s=timeout_s
        )
        link = self._waits[member.name]
        allowed = timeout_s + self._probe_timeout_s
        return decisions.start(link.ask(order, allowed))

    def close(self) -> None:
        """Closes all control connections."""
        for link in [*self._links.values(), *self._waits.values()]:
            link.close()

    def _lead(
        self, op: str, member: decisions.Member, order: decisions.PromoteOrder
    ) -> "decisions.Future[decisions.MemberStatus]":
        request = ControlOrder(
            op,
            term=order.term,
            primary=order.primary.name,
            starts=order.starts,
        )
        return self._ask(member, request, FOLLOW_TIMEOUT_S)

    def _ask(
        self, member: decisions.Member, order: ControlOrder, timeout_s: float
    ) -> "decisions.Future[decisions.MemberStatus]":
        return decisions.start(self._links[member.name].ask(order, timeout_s))
